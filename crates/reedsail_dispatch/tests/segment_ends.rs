//! Which ends of servers count against a segment, and which answers speak against them.

mod segment_instance;

use reedsail_core::TimeMs;
use reedsail_dispatch::AttemptOutcome;

use segment_instance::BEGIN_MS;
use segment_instance::Instance;
use segment_instance::NEIGHBOUR;
use segment_instance::POISON;
use segment_instance::ROOT;
use segment_instance::instance_with_quarantined_segment;
use segment_instance::setup;

#[test]
fn servers_that_end_before_the_head_of_the_answer_count() {
    let mut instance = Instance::new(1);
    for _ in 0..3 {
        let attempt = instance.send("own", &[ROOT, POISON]).unwrap();
        instance.advance(BEGIN_MS);
        instance.finish(attempt, AttemptOutcome::Broken);
        instance.replace_server(false);
    }
    assert!(!instance.sends("own", &[ROOT, POISON]));
}

#[test]
fn an_answer_whose_head_came_clears_ends_before_the_head() {
    let mut instance = Instance::new(1);
    for _ in 0..2 {
        let attempt = instance.send("own", &[ROOT, NEIGHBOUR]).unwrap();
        instance.finish(attempt, AttemptOutcome::Broken);
        instance.replace_server(false);
        let attempt = instance.answer_partly("own", &[ROOT, NEIGHBOUR]);
        instance.finish(attempt, AttemptOutcome::Abandoned);
    }
    instance.end_server_under(&[("own", &[ROOT, NEIGHBOUR])]);
    assert!(instance.sends("own", &[ROOT, NEIGHBOUR]));
}

#[test]
fn the_number_of_events_that_one_read_holds_does_not_matter() {
    for events in [0, 1, 8, 9, 12, 200] {
        let mut instance = Instance::new(1);
        for _ in 0..3 {
            let mut attempt = instance.send("own", &[ROOT, POISON]).unwrap();
            instance.advance(BEGIN_MS);
            attempt.record_started(instance.now);
            for _ in 0..events {
                instance.dispatcher.record_event(&mut attempt, instance.now);
            }
            instance.finish(attempt, AttemptOutcome::Broken);
            instance.replace_server(false);
        }
        assert!(!instance.sends("own", &[ROOT, POISON]), "{events} events");
    }
}

#[test]
fn servers_that_end_seconds_into_their_answers_count() {
    let mut instance = Instance::new(1);
    for _ in 0..3 {
        let mut attempt = instance.send("own", &[ROOT, POISON]).unwrap();
        attempt.record_started(instance.now);
        for _ in 0..100 {
            instance.advance(50);
            instance.dispatcher.record_event(&mut attempt, instance.now);
        }
        instance.finish(attempt, AttemptOutcome::Broken);
        instance.replace_server(false);
    }
    assert!(!instance.sends("own", &[ROOT, POISON]));
}

#[test]
fn ends_at_very_different_times_of_the_answers_do_not_add_up() {
    let mut instance = Instance::new(1);
    for answered_ms in [0, 1_500, 8_000] {
        let mut attempt = instance.send("own", &[ROOT, NEIGHBOUR]).unwrap();
        attempt.record_started(instance.now);
        instance.advance(answered_ms);
        instance.finish(attempt, AttemptOutcome::Broken);
        instance.replace_server(false);
    }
    assert!(instance.sends("own", &[ROOT, NEIGHBOUR]));
}

#[test]
fn a_segment_that_was_answered_before_is_quarantined_one_end_later() {
    let mut instance = Instance::new(1);
    let attempt = instance.answer_partly("own", &[ROOT, POISON]);
    instance.finish(attempt, AttemptOutcome::Answered);
    for _ in 0..3 {
        assert!(instance.sends("own", &[ROOT, POISON]));
        instance.end_server_under(&[("own", &[ROOT, POISON])]);
    }
    assert!(instance.sends("own", &[ROOT, POISON]));
    instance.end_server_under(&[("own", &[ROOT, POISON])]);
    assert!(!instance.sends("own", &[ROOT, POISON]));
}

/// Sends a request to each of several servers, which end one after the other, `gap_ms` apart. Then no request can be sent
/// after an end.
fn end_servers_that_run_together(instance: &mut Instance, count: u32, gap_ms: u64) {
    let first = instance.server;
    let mut attempts = Vec::new();
    for number in first..first + count {
        instance.dispatcher.set_servers(&[setup(number, false)]);
        let mut attempt = instance.send("own", &[ROOT, POISON]).unwrap();
        attempt.record_started(instance.now);
        attempts.push(attempt);
        instance.advance(gap_ms);
    }
    instance.advance(5_000);
    for attempt in attempts {
        instance.finish(attempt, AttemptOutcome::Broken);
        instance.advance(gap_ms);
    }
    instance.server = first + count;
    instance.replace_server(false);
}

#[test]
fn a_segment_that_was_never_answered_is_quarantined_when_five_servers_end_that_ran_it_together() {
    let mut instance = Instance::new(1);
    end_servers_that_run_together(&mut instance, 5, 200);
    assert!(
        instance.sends("own", &[ROOT, POISON]),
        "answers may still clear it"
    );
    instance.advance(1_500);
    assert!(!instance.sends("own", &[ROOT, POISON]));
}

#[test]
fn five_servers_that_end_soon_after_the_start_put_no_segment_in_quarantine() {
    let mut instance = Instance::new(1);
    instance.now = TimeMs::PROCESS_START;
    end_servers_that_run_together(&mut instance, 5, 200);
    instance.advance(1_500);
    assert!(instance.sends("own", &[ROOT, POISON]));
}

#[test]
fn a_workspace_with_many_segments_leaves_room_for_the_answered_ones_of_others() {
    let mut instance = Instance::new(1);
    let attempt = instance.answer_partly("own", &[ROOT, POISON]);
    instance.finish(attempt, AttemptOutcome::Answered);
    for number in 0..300 {
        let many: Vec<u64> = (0..60).map(|segment| 10_000 + 60 * number + segment).collect();
        let attempt = instance.send("other", &many).unwrap();
        instance.finish(attempt, AttemptOutcome::Answered);
    }
    end_servers_that_run_together(&mut instance, 5, 200);
    instance.advance(1_500);
    assert!(instance.sends("own", &[ROOT, POISON]));
}

#[test]
fn five_servers_that_end_at_one_moment_put_no_segment_in_quarantine() {
    let mut instance = Instance::new(1);
    end_servers_that_run_together(&mut instance, 5, 0);
    instance.advance(1_500);
    assert!(instance.sends("own", &[ROOT, POISON]));
}

#[test]
fn a_server_that_ends_together_with_one_without_the_segment_is_no_evidence() {
    let mut instance = Instance::new(1);
    for round in 0..4 {
        let names = [2 * round + 1, 2 * round + 2];
        instance.dispatcher.set_servers(&[setup(names[0], false)]);
        let suspected = instance.send("own", &[NEIGHBOUR]).unwrap();
        instance.dispatcher.set_servers(&[setup(names[1], false)]);
        let other = instance.send("own", &[ROOT]).unwrap();
        instance.advance(BEGIN_MS);
        instance.finish(suspected, AttemptOutcome::Broken);
        instance.finish(other, AttemptOutcome::Broken);
        instance.server = names[1];
        instance.replace_server(false);
        let answered = instance.answer_partly("own", &[ROOT]);
        instance.finish(answered, AttemptOutcome::Answered);
    }
    assert!(instance.sends("own", &[NEIGHBOUR]));
}

/// Guards against a quarantine of segments that are present by chance where servers crash one after the other.
#[test]
fn a_segment_is_sent_while_more_servers_end_without_it() {
    let mut instance = Instance::new(1);
    instance.end_server_under(&[("own", &[NEIGHBOUR])]);
    for other in 10..12 {
        instance.end_server_under(&[("own", &[other])]);
        instance.end_server_under(&[("own", &[other + 10])]);
        instance.end_server_under(&[("own", &[NEIGHBOUR])]);
    }
    assert!(instance.sends("own", &[NEIGHBOUR]));
    for _ in 0..2 {
        instance.end_server_under(&[("own", &[NEIGHBOUR])]);
    }
    assert!(!instance.sends("own", &[NEIGHBOUR]));
}

#[test]
fn a_segment_stays_in_quarantine_when_servers_end_without_it() {
    let mut instance = instance_with_quarantined_segment();
    for other in 10..20 {
        instance.end_server_under(&[("own", &[other])]);
    }
    assert!(!instance.sends("own", &[ROOT, POISON]));
}
