//! When a daemon sends callers elsewhere, and when it takes them again.

use reedsail_core::TimeMs;
use reedsail_dispatch::Crowding;
use reedsail_dispatch::CrowdingMeasure;

/// A measure of a daemon with few open requests.
fn late(late_ms: u64) -> CrowdingMeasure {
    CrowdingMeasure {
        late_ms,
        open_requests: 10,
        open_requests_max: 100,
    }
}

/// A measure of a daemon that is on time.
fn open(open_requests: u64) -> CrowdingMeasure {
    CrowdingMeasure {
        late_ms: 0,
        open_requests,
        open_requests_max: 100,
    }
}

/// Notes the same measure every 100 ms, and returns when the last one was noted.
fn note_for(crowding: &Crowding, measure: CrowdingMeasure, from: TimeMs, times: u64) -> TimeMs {
    let mut now = from;
    for _ in 0..times {
        now = now.plus_ms(100);
        crowding.note(measure, now);
    }
    now
}

#[test]
fn a_processor_shared_out_in_tenths_of_a_second_crowds_nobody() {
    let crowding = Crowding::default();
    let now = note_for(&crowding, late(100), TimeMs(0), 100);
    assert!(!crowding.is_crowded());
    assert!(!crowding.was_crowded(now));
}

#[test]
fn one_late_measure_crowds_nobody() {
    let crowding = Crowding::default();
    let now = note_for(&crowding, late(400), TimeMs(0), 1);
    assert!(!crowding.was_crowded(now));
}

#[test]
fn a_late_thread_is_crowded_before_it_is_overloaded() {
    let crowding = Crowding::default();
    let now = note_for(&crowding, late(300), TimeMs(0), 20);
    assert!(crowding.is_crowded());
    assert!(crowding.was_crowded(now));
    assert!(!crowding.is_overloaded());
}

#[test]
fn a_daemon_is_crowded_before_its_open_requests_reach_their_bound() {
    let crowding = Crowding::default();
    assert!(!crowding.note(open(74), TimeMs(100)));
    assert!(crowding.note(open(75), TimeMs(200)));
    assert!(crowding.is_crowded());
    assert!(!crowding.is_overloaded());
    assert!(!crowding.note(open(74), TimeMs(300)));
    assert!(!crowding.is_crowded());
    assert!(crowding.was_crowded(TimeMs(300)));
}

#[test]
fn new_callers_stay_away_for_longer_than_the_balancer_takes_to_notice() {
    let crowding = Crowding::default();
    let late_at = note_for(&crowding, late(600), TimeMs(0), 10);
    assert!(crowding.is_overloaded());
    let calm_at = note_for(&crowding, late(0), late_at, 10);
    assert!(!crowding.is_crowded());
    assert!(crowding.was_crowded(calm_at));
    assert!(crowding.was_crowded(late_at.plus_ms(2_000)));
    assert!(!crowding.was_crowded(calm_at.plus_ms(4_000)));
}

#[test]
fn only_the_first_measure_begins_a_crowded_time() {
    let crowding = Crowding::default();
    let begun: Vec<bool> = (1..=5)
        .map(|at| crowding.note(late(500), TimeMs(at * 100)))
        .collect();
    assert_eq!(begun, [true, false, false, false, false]);
}
