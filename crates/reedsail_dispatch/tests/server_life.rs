//! Every state of a server by every event, in all sequences of some length.

use reedsail_core::TimeMs;
use reedsail_dispatch::LifeEvent;
use reedsail_dispatch::LifeState;
use reedsail_dispatch::ServerLife;

const NOW: TimeMs = TimeMs(10_000);
const COLD_UNTIL: TimeMs = TimeMs(13_000);
/// Events of a sequence.
const LENGTH: u32 = 5;

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
        LifeEvent::SaidDraining,
        LifeEvent::Evacuated,
        LifeEvent::Returned { cold_until },
        LifeEvent::Down { cold_until },
    ]
}

fn last(sequence: &[LifeEvent], is_meant: impl Fn(&LifeEvent) -> bool) -> Option<LifeEvent> {
    sequence.iter().rev().find(|event| is_meant(event)).copied()
}

/// Returns the state as the rule has it, from the last events of each sort.
fn expected(sequence: &[LifeEvent], now: TimeMs) -> LifeState {
    let of_list = |event: &LifeEvent| matches!(event, LifeEvent::Listed { .. } | LifeEvent::Unlisted);
    let of_operator = |event: &LifeEvent| matches!(event, LifeEvent::Evacuated | LifeEvent::Returned { .. });
    let Some(LifeEvent::Listed {
        is_draining,
        cold_until,
    }) = last(sequence, of_list)
    else {
        return LifeState::Departed;
    };
    let was_told = |event: &LifeEvent| matches!(event, LifeEvent::Returned { .. } | LifeEvent::Down { .. });
    let may_be_cold = last(sequence, was_told).is_some() && now < COLD_UNTIL;
    let said_draining = sequence.contains(&LifeEvent::SaidDraining);
    if is_draining || said_draining {
        LifeState::Draining
    } else if last(sequence, of_operator) == Some(LifeEvent::Evacuated) {
        LifeState::Evacuated
    } else if may_be_cold || cold_until.is_some_and(|until| now < until) {
        LifeState::Cold
    } else {
        LifeState::Warm
    }
}

#[test]
fn every_sequence_of_events_leads_to_the_state_of_the_rule() {
    let events = events();
    let count = events.len().pow(LENGTH);
    for number in 0..count {
        let sequence: Vec<LifeEvent> = (0..LENGTH)
            .map(|place| events[number / events.len().pow(place) % events.len()])
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
