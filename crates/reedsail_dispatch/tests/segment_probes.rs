//! When a request with a quarantined segment is sent to see whether it still ends servers.

mod segment_instance;

use reedsail_core::TimeMs;
use reedsail_dispatch::AttemptOutcome;
use reedsail_dispatch::WriterPosition;

use segment_instance::BEGIN_MS;
use segment_instance::EVENT_INTERVAL_MS;
use segment_instance::Instance;
use segment_instance::NEIGHBOUR;
use segment_instance::POISON;
use segment_instance::ROOT;
use segment_instance::instance_with_quarantined_segment;

/// Latest time after the last end at which the first instance probes, in milliseconds.
const EARLY_PROBE_MAX_MS: u64 = 11_000;
/// Time within which a second early probe would be sent, in milliseconds.
const OBSERVED_MS: u64 = 300_000;

fn set_position(instance: &mut Instance, position: usize) {
    let writer = WriterPosition {
        position,
        instances: 9,
    };
    instance.dispatcher.due_suspect_records(writer, instance.now);
}

/// Returns how long it takes until an instance sends a request with a segment, in milliseconds.
fn time_to_send(instance: &mut Instance, segment: u64, within_ms: u64) -> Option<u64> {
    let from = instance.now;
    while instance.now.since_ms(from) < within_ms {
        instance.advance(500);
        if instance.sends("own", &[ROOT, segment]) {
            return Some(instance.now.since_ms(from));
        }
    }
    None
}

/// Guards against a sound segment that stays in quarantine for ten minutes after four servers crashed under it.
#[test]
fn a_sound_segment_is_sent_again_soon_after_servers_crashed_under_it() {
    let mut instance = Instance::new(1);
    set_position(&mut instance, 0);
    let attempt = instance.answer_partly("own", &[ROOT, NEIGHBOUR]);
    instance.finish(attempt, AttemptOutcome::Answered);
    for _ in 0..4 {
        instance.end_server_under(&[("own", &[ROOT, NEIGHBOUR])]);
    }
    assert!(!instance.sends("own", &[ROOT, NEIGHBOUR]));
    instance.advance(EARLY_PROBE_MAX_MS);
    let mut attempt = instance.send("own", &[ROOT, NEIGHBOUR]).unwrap();
    assert!(!instance.sends("own", &[ROOT, NEIGHBOUR]));
    instance.advance(BEGIN_MS);
    attempt.record_started(instance.now);
    instance.dispatcher.record_event(&mut attempt, instance.now);
    instance.advance(EVENT_INTERVAL_MS);
    instance.finish(attempt, AttemptOutcome::Answered);
    assert!(instance.sends("own", &[ROOT, NEIGHBOUR]));
}

#[test]
fn a_segment_that_ends_the_server_of_its_early_probe_gets_no_second_one() {
    let mut instance = instance_with_quarantined_segment();
    set_position(&mut instance, 0);
    instance.advance(EARLY_PROBE_MAX_MS);
    instance.end_server_under(&[("own", &[ROOT, POISON])]);
    assert_eq!(time_to_send(&mut instance, POISON, OBSERVED_MS), None);
}

#[test]
fn a_segment_under_which_five_servers_ended_gets_no_early_probe() {
    let mut instance = instance_with_quarantined_segment();
    set_position(&mut instance, 0);
    let mut peer = Instance::new(101);
    for _ in 0..2 {
        peer.end_server_under(&[("own", &[ROOT, POISON])]);
    }
    instance.receive_rows(peer.rows());
    assert_eq!(time_to_send(&mut instance, POISON, OBSERVED_MS), None);
}

#[test]
fn instances_take_turns_to_send_an_early_probe() {
    let times = [0, 1, 2, 8].map(|position| {
        let mut instance = instance_with_quarantined_segment();
        set_position(&mut instance, position);
        time_to_send(&mut instance, POISON, OBSERVED_MS).unwrap()
    });
    assert!(times[0] <= EARLY_PROBE_MAX_MS, "{times:?}");
    assert!(
        times.windows(2).all(|pair| pair[1] >= pair[0] + 2_000),
        "{times:?}"
    );
}

/// An instance that has started since may know fewer ends than there were.
#[test]
fn an_instance_that_has_started_since_the_first_end_sends_no_early_probe() {
    let mut observer = instance_with_quarantined_segment();
    observer.dispatcher.announce_suspects(observer.now);
    let mut newcomer = Instance::new(201);
    newcomer.now = TimeMs::PROCESS_START;
    newcomer.receive_rows(observer.rows());
    set_position(&mut newcomer, 0);
    assert_eq!(time_to_send(&mut newcomer, POISON, OBSERVED_MS), None);
}
