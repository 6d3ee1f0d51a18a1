//! When a daemon sends callers elsewhere, and when it takes them again.

use reedsail_core::TimeMs;
use reedsail_dispatch::OverloadMonitor;
use reedsail_dispatch::OverloadSample;

/// A measure of a daemon with few open requests.
fn late(late_ms: u64) -> OverloadSample {
    OverloadSample {
        late_ms,
        open_requests: 10,
        open_requests_max: 100,
    }
}

/// A measure of a daemon that is on time.
fn open(open_requests: u64) -> OverloadSample {
    OverloadSample {
        late_ms: 0,
        open_requests,
        open_requests_max: 100,
    }
}

/// Notes the same measure every 100 ms, and returns when the last one was noted.
fn note_for(overload: &OverloadMonitor, measure: OverloadSample, from: TimeMs, times: u64) -> TimeMs {
    let mut now = from;
    for _ in 0..times {
        now = now.plus_ms(100);
        overload.record(measure, now);
    }
    now
}

#[test]
fn a_processor_share_that_is_spent_in_every_third_tenth_of_a_second_crowds_nobody() {
    let overload = OverloadMonitor::default();
    let mut now = TimeMs(0);
    for _ in 0..100 {
        now = note_for(&overload, late(100), now, 1);
        assert!(!overload.sheds_callers());
        now = note_for(&overload, late(1), now, 2);
        assert!(overload.is_ready(now));
    }
}

#[test]
fn a_processor_share_that_is_spent_in_every_tenth_of_a_second_sheds_callers() {
    let overload = OverloadMonitor::default();
    let now = note_for(&overload, late(100), TimeMs(0), 3);
    assert!(overload.sheds_callers());
    assert!(!overload.is_ready(now));
    assert!(!overload.refuses_request(0, 1));
}

#[test]
fn timers_that_are_a_little_late_crowd_nobody() {
    let overload = OverloadMonitor::default();
    let now = note_for(&overload, late(4), TimeMs(0), 1_000);
    assert!(!overload.sheds_callers());
    assert!(overload.is_ready(now));
}

#[test]
fn one_late_measure_crowds_nobody() {
    let overload = OverloadMonitor::default();
    let now = note_for(&overload, late(400), TimeMs(0), 1);
    assert!(overload.is_ready(now));
    assert!(!overload.sheds_callers());
}

#[test]
fn a_late_thread_is_crowded_before_it_is_overloaded() {
    let overload = OverloadMonitor::default();
    let now = note_for(&overload, late(300), TimeMs(0), 20);
    assert!(overload.sheds_callers());
    assert!(!overload.is_ready(now));
    assert!(!overload.refuses_request(0, 1));
}

#[test]
fn a_daemon_is_crowded_before_its_open_requests_reach_their_bound() {
    let overload = OverloadMonitor::default();
    assert!(!overload.record(open(74), TimeMs(100)));
    assert!(overload.record(open(75), TimeMs(200)));
    assert!(overload.sheds_callers());
    assert!(!overload.refuses_request(0, 1));
    assert!(!overload.record(open(74), TimeMs(300)));
    assert!(!overload.sheds_callers());
    assert!(!overload.is_ready(TimeMs(300)));
}

#[test]
fn new_callers_stay_away_for_longer_than_the_balancer_takes_to_notice() {
    let overload = OverloadMonitor::default();
    let late_at = note_for(&overload, late(600), TimeMs(0), 10);
    assert!(overload.refuses_request(0, 1));
    let calm_at = note_for(&overload, late(0), late_at, 10);
    assert!(!overload.sheds_callers());
    assert!(!overload.is_ready(calm_at));
    assert!(!overload.is_ready(late_at.plus_ms(2_000)));
    assert!(overload.is_ready(calm_at.plus_ms(4_000)));
}

#[test]
fn only_the_first_measure_begins_a_crowded_time() {
    let overload = OverloadMonitor::default();
    let begun: Vec<bool> = (1..=5)
        .map(|at| overload.record(late(500), TimeMs(at * 100)))
        .collect();
    assert_eq!(begun, [true, false, false, false, false]);
}
