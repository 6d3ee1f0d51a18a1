//! The state of a server after every sequence of events up to a fixed length.

use reedsail_core::TimeMs;
use reedsail_dispatch::LifeEvent;
use reedsail_dispatch::LifeState;
use reedsail_dispatch::ServerLife;

const NOW: TimeMs = TimeMs(10_000);
const COLD_UNTIL: TimeMs = TimeMs(13_000);
/// Number of events in a sequence.
const SEQUENCE_LENGTH: u32 = 5;

fn listed(is_draining: bool, cold_until: Option<TimeMs>) -> LifeEvent {
    LifeEvent::Listed {
        is_draining,
        cold_until,
    }
}

fn events() -> [LifeEvent; 8] {
    let cold_until = COLD_UNTIL;
    [
        listed(false, None),
        listed(false, Some(cold_until)),
        listed(true, None),
        LifeEvent::Unlisted,
        LifeEvent::DrainingNotice,
        LifeEvent::Evacuated,
        LifeEvent::EvacuationEnded { cold_until },
        LifeEvent::Down { cold_until },
    ]
}

fn last_event(sequence: &[LifeEvent], is_wanted: impl Fn(&LifeEvent) -> bool) -> Option<LifeEvent> {
    sequence.iter().rev().find(|event| is_wanted(event)).copied()
}

/// Returns the state that the rule requires, given the last event of each kind.
fn expected(sequence: &[LifeEvent], now: TimeMs) -> LifeState {
    let is_list_event = |event: &LifeEvent| matches!(event, LifeEvent::Listed { .. } | LifeEvent::Unlisted);
    let is_operator_event =
        |event: &LifeEvent| matches!(event, LifeEvent::Evacuated | LifeEvent::EvacuationEnded { .. });
    let Some(LifeEvent::Listed {
        is_draining,
        cold_until,
    }) = last_event(sequence, is_list_event)
    else {
        return LifeState::Departed;
    };
    let is_assumed_cold_event =
        |event: &LifeEvent| matches!(event, LifeEvent::EvacuationEnded { .. } | LifeEvent::Down { .. });
    let may_be_cold = last_event(sequence, is_assumed_cold_event).is_some() && now < COLD_UNTIL;
    let has_draining_notice = sequence.contains(&LifeEvent::DrainingNotice);
    if is_draining || has_draining_notice {
        LifeState::Draining
    } else if last_event(sequence, is_operator_event) == Some(LifeEvent::Evacuated) {
        LifeState::Evacuated
    } else if may_be_cold || cold_until.is_some_and(|until| now < until) {
        LifeState::Cold
    } else {
        LifeState::Warm
    }
}

#[test]
fn every_sequence_of_events_leads_to_the_state_that_the_rule_requires() {
    let events = events();
    let count = events.len().pow(SEQUENCE_LENGTH);
    for number in 0..count {
        let sequence: Vec<LifeEvent> = (0..SEQUENCE_LENGTH)
            .map(|position| events[number / events.len().pow(position) % events.len()])
            .collect();
        let mut life = ServerLife::default();
        for (index, event) in sequence.iter().enumerate() {
            life.apply(*event);
            for now in [NOW, COLD_UNTIL] {
                let known = &sequence[..=index];
                assert_eq!(life.state(now), expected(known, now), "{known:?} at {now:?}");
            }
        }
    }
}
