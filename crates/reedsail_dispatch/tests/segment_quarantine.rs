//! When requests with a segment are no longer sent beca

mod segment_instance;

use reedsail_core::TimeMs;
use reedsail_dispatch::Attempt;
use reedsail_dispatch::AttemptOutcome;
use reedsail_dispatch::QuarantineChange;
use reedsail_dispatch::SuspectKey;
use reedsail_dispatch::SuspectRow;

use segment_instance::BEGIN_MS;
use segment_instance::Instance;
use segment_instance::NEIGHBOUR;
use segment_instance::POISON;
use segment_instance::ROOT;
use segment_instance::instance_with_quarantined_segment;
use segment_instance::setup;

#[test]
fn requests_with_a_segment_are_refused_after_three_servers_ended_under_it() {
    let mut instance = Instance::new(1);
    for _ in 0..3 {
        instance.end_server_under(&[("own", &[ROOT, POISON])]);
    }
    assert!(!instance.sends("own", &[ROOT, POISON]));
    // Without the other segment of all three, the next request tells which of them it is.
    instance.end_server_under(&[("own", &[POISON])]);
    assert!(!instance.sends("own", &[POISON]));
    assert_eq!(instance.dispatcher.quarantined_requests(), 0);
}

#[test]
fn sound_requests_that_share_a_segment_with_the_quarantined_one_are_sent() {
    let mut instance = instance_with_quarantined_segment();
    let attempt = instance.answer_partly("own", &[ROOT, NEIGHBOUR]);
    instance.finish(attempt, AttemptOutcome::Answered);
    assert!(instance.sends("own", &[ROOT, NEIGHBOUR]));
    assert!(!instance.sends("own", &[ROOT, POISON]));
}

#[test]
fn a_segment_that_was_present_beside_the_cause_is_sent_without_it() {
    let mut instance = Instance::new(1);
    for _ in 0..3 {
        instance.end_server_under(&[("own", &[ROOT, POISON]), ("own", &[ROOT, NEIGHBOUR])]);
    }
    assert!(instance.sends("own", &[ROOT, NEIGHBOUR]));
    instance.end_server_under(&[("own", &[ROOT, POISON])]);
    assert!(!instance.sends("own", &[ROOT, POISON]));
    assert!(instance.sends("own", &[ROOT, NEIGHBOUR]));
}

#[test]
fn the_first_segment_is_quarantined_once_servers_end_under_different_ones_below_it() {
    let mut instance = Instance::new(1);
    for below in [10, 11, 12] {
        instance.end_server_under(&[("own", &[POISON, below])]);
    }
    assert!(!instance.sends("own", &[POISON, 13]));
    assert!(instance.sends("own", &[ROOT, 10]));
}

#[test]
fn an_answer_that_goes_on_clears_its_segments() {
    let mut instance = Instance::new(1);
    for _ in 0..2 {
        instance.end_server_under(&[("own", &[ROOT, POISON])]);
    }
    let attempt = instance.answer_partly("own", &[ROOT, POISON]);
    instance.end_server_under(&[("own", &[ROOT, POISON])]);
    assert!(instance.sends("own", &[ROOT, POISON]));
    instance.finish(attempt, AttemptOutcome::Answered);
}

#[test]
fn servers_that_end_together_count_once() {
    let mut instance = Instance::new(1);
    let servers = [1, 2, 3, 4].map(|number| setup(number, false));
    instance.dispatcher.set_servers(&servers);
    let mut attempts: Vec<Attempt> = (0..12)
        .filter_map(|_| instance.send("own", &[ROOT, NEIGHBOUR]))
        .collect();
    instance.advance(BEGIN_MS);
    for attempt in &mut attempts {
        attempt.record_started(instance.now);
    }
    for attempt in attempts {
        instance.finish(attempt, AttemptOutcome::Broken);
    }
    instance.server = 5;
    instance.replace_server(false);
    assert!(instance.sends("own", &[ROOT, NEIGHBOUR]));
}

/// After a restart of all instances no segment is known to have been answered, also not those that all requests share.
#[test]
fn the_end_of_a_draining_server_is_no_evidence() {
    let mut instance = Instance::new(1);
    for _ in 0..5 {
        let mut attempt = instance.send("own", &[ROOT, NEIGHBOUR]).unwrap();
        attempt.record_started(instance.now);
        instance.finish(attempt, AttemptOutcome::Broken);
        instance.replace_server(true);
    }
    assert!(instance.sends("own", &[ROOT, NEIGHBOUR]));
}

#[test]
fn one_workspace_can_not_have_the_prompts_of_another_refused() {
    let mut instance = instance_with_quarantined_segment();
    assert!(instance.sends("other", &[ROOT, POISON]));
    instance.end_server_under(&[("other", &[ROOT, POISON])]);
    assert!(!instance.sends("other", &[ROOT, POISON]));
    assert!(!instance.sends("third", &[ROOT, POISON]));
}

#[test]
fn a_workspace_that_was_present_at_each_end_counts_alone() {
    let mut instance = Instance::new(1);
    instance.end_server_under(&[("own", &[ROOT, POISON]), ("other", &[ROOT, POISON])]);
    for _ in 0..2 {
        instance.end_server_under(&[("own", &[ROOT, POISON])]);
    }
    assert!(!instance.sends("own", &[ROOT, POISON]));
    assert!(instance.sends("other", &[ROOT, POISON]));
    assert!(instance.sends("third", &[ROOT, POISON]));
}

#[test]
fn ends_under_several_workspaces_add_up() {
    let mut instance = Instance::new(1);
    for workspace in ["one", "two", "three"] {
        instance.end_server_under(&[(workspace, &[ROOT, POISON])]);
    }
    assert!(!instance.sends("fourth", &[ROOT, POISON]));
}

#[test]
fn ends_observed_by_different_instances_add_up() {
    let mut instances = [Instance::new(1), Instance::new(101), Instance::new(201)];
    for (index, instance) in instances.iter_mut().enumerate() {
        instance.advance(1_000 * index as u64);
        instance.end_server_under(&[("own", &[ROOT, POISON])]);
        instance.advance(2_000 - 1_000 * index as u64);
    }
    let [first, second, third] = &mut instances;
    for peer in [first, second] {
        peer.dispatcher.announce_suspects(peer.now);
        third.receive_rows(peer.rows());
    }
    assert!(!third.sends("own", &[ROOT, POISON]));
}

/// Guards against times of answers that grow by each transmission until they clear later ends.
#[test]
fn the_time_of_an_answer_is_told_by_its_observer_only() {
    let mut observer = Instance::new(1);
    observer.end_server_under(&[("own", &[ROOT, NEIGHBOUR])]);
    let attempt = observer.answer_partly("own", &[ROOT, NEIGHBOUR]);
    observer.finish(attempt, AttemptOutcome::Answered);
    observer.end_server_under(&[("own", &[ROOT, NEIGHBOUR])]);
    let is_segment = |row: &SuspectRow| matches!(row.key, SuspectKey::Segment(_));
    let rows = observer.rows();
    let told = |row: &&SuspectRow| is_segment(row) && row.answered_ms_ago.is_some();
    assert_eq!(rows.iter().filter(told).count(), 2);
    let mut peer = Instance::new(101);
    peer.now = observer.now;
    peer.receive_rows(rows);
    peer.end_server_under(&[("own", &[ROOT, NEIGHBOUR])]);
    let rows = peer.rows();
    assert_eq!(rows.iter().filter(|row| is_segment(row)).count(), 2);
    assert_eq!(rows.iter().filter(told).count(), 0);
}

#[test]
fn an_instance_that_joins_learns_of_a_quarantined_segment_from_any_peer() {
    let mut observer = Instance::new(1);
    for workspace in ["one", "two", "three"] {
        observer.end_server_under(&[(workspace, &[ROOT, POISON])]);
    }
    observer.dispatcher.announce_suspects(observer.now);
    let mut other = Instance::new(101);
    other.now = observer.now;
    other.receive_rows(observer.rows());
    other.advance(3_000);
    other.dispatcher.announce_suspects(other.now);
    let mut newcomer = Instance::new(201);
    newcomer.now = other.now;
    newcomer.receive_rows(other.rows());
    assert!(!newcomer.sends("own", &[ROOT, POISON]));
}

/// Ages of ends that are cut off at the start of the process fall together, so that the ends count as one.
#[test]
fn an_instance_that_has_just_started_learns_of_ends_before_its_start() {
    let mut observer = instance_with_quarantined_segment();
    observer.advance(60_000);
    observer.dispatcher.announce_suspects(observer.now);
    let mut newcomer = Instance::new(201);
    newcomer.now = TimeMs::PROCESS_START;
    newcomer.receive_rows(observer.rows());
    assert!(!newcomer.sends("own", &[ROOT, POISON]));
}

#[test]
fn one_request_in_ten_minutes_probes_a_quarantined_segment() {
    let mut instance = instance_with_quarantined_segment();
    let mut sent = 0;
    for _ in 0..60 {
        instance.advance(10_000);
        sent += u32::from(instance.sends("own", &[ROOT, POISON]));
    }
    assert_eq!(sent, 0);
    // The probes of the instances are spread over ten more minutes.
    let attempt = (0..60).find_map(|_| {
        instance.advance(10_000);
        instance.send("own", &[ROOT, POISON])
    });
    assert!(!instance.sends("own", &[ROOT, POISON]));
    let mut attempt = attempt.unwrap();
    attempt.record_started(instance.now);
    instance.advance(1_000);
    instance.finish(attempt, AttemptOutcome::Answered);
    assert!(instance.sends("own", &[ROOT, POISON]));
    let changes = instance.dispatcher.take_quarantine_events();
    let last = changes
        .iter()
        .rfind(|event| event.change != QuarantineChange::EndsCleared);
    assert_eq!(last.unwrap().change, QuarantineChange::Cleared);
}

#[test]
fn a_request_probes_no_segment_while_another_of_its_own_may_not_be_probed() {
    let mut instance = instance_with_quarantined_segment();
    let has_probed = (0..200).any(|_| {
        instance.advance(10_000);
        instance.sends("own", &[ROOT, POISON])
    });
    assert!(has_probed);
    for _ in 0..3 {
        instance.end_server_under(&[("own", &[NEIGHBOUR])]);
    }
    instance.advance(60_000);
    assert!(!instance.sends("own", &[ROOT, POISON, NEIGHBOUR]));
    assert!(instance.sends("own", &[ROOT, POISON]));
}

#[test]
fn a_request_with_a_thousand_segments_leaves_room_for_other_suspects() {
    let mut instance = instance_with_quarantined_segment();
    let many: Vec<u64> = (1_000..2_000).collect();
    for _ in 0..2 {
        instance.end_server_under(&[("own", &many)]);
    }
    assert!(!instance.sends("own", &[ROOT, POISON]));
    assert!(instance.rows().len() <= 64);
}

#[test]
fn an_answer_is_reported_before_suspects_with_one_end() {
    let mut instance = Instance::new(1);
    instance.end_server_under(&[("own", &[ROOT, NEIGHBOUR])]);
    let many: Vec<Vec<u64>> = (0..10)
        .map(|number| (100 * number + 1_000..100 * number + 1_050).collect())
        .collect();
    let requests: Vec<(&str, &[u64])> = many.iter().map(|ids| ("other", ids.as_slice())).collect();
    instance.end_server_under(&requests);
    let attempt = instance.answer_partly("own", &[ROOT, NEIGHBOUR]);
    instance.finish(attempt, AttemptOutcome::Answered);
    let rows = instance.rows();
    assert_eq!(rows.len(), 64);
    let answered = rows.iter().filter(|row| row.ends.is_empty()).count();
    assert_eq!(answered, 2);
}
