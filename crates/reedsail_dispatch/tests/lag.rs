//! When a daemon sends callers elsewhere, and when it takes them again.

use reedsail_core::TimeMs;
use reedsail_dispatch::Lag;

/// Notes the same measure every 100 ms, and returns when the last one was noted.
fn note_for(lag: &Lag, late_ms: u64, from: TimeMs, times: u64) -> TimeMs {
    let mut now = from;
    for _ in 0..times {
        now = now.plus_ms(100);
        lag.note(late_ms, now);
    }
    now
}

#[test]
fn a_processor_shared_out_in_tenths_of_a_second_crowds_nobody() {
    let lag = Lag::default();
    let now = note_for(&lag, 100, TimeMs(0), 100);
    assert!(!lag.is_crowded());
    assert!(!lag.was_crowded(now));
}

#[test]
fn one_late_measure_crowds_nobody() {
    let lag = Lag::default();
    let now = note_for(&lag, 400, TimeMs(0), 1);
    assert!(!lag.was_crowded(now));
}

#[test]
fn a_late_thread_is_crowded_before_it_is_overloaded() {
    let lag = Lag::default();
    let now = note_for(&lag, 300, TimeMs(0), 20);
    assert!(lag.is_crowded());
    assert!(lag.was_crowded(now));
    assert!(!lag.is_overloaded());
}

#[test]
fn new_callers_stay_away_for_longer_than_the_balancer_takes_to_notice() {
    let lag = Lag::default();
    let late_at = note_for(&lag, 600, TimeMs(0), 10);
    assert!(lag.is_overloaded());
    let calm_at = note_for(&lag, 0, late_at, 10);
    assert!(!lag.is_crowded());
    assert!(lag.was_crowded(calm_at));
    assert!(lag.was_crowded(late_at.plus_ms(2_000)));
    assert!(!lag.was_crowded(calm_at.plus_ms(4_000)));
}

#[test]
fn only_the_first_late_measure_begins_a_crowded_time() {
    let lag = Lag::default();
    let begun: Vec<bool> = (1..=5).map(|at| lag.note(500, TimeMs(at * 100))).collect();
    assert_eq!(begun, [true, false, false, false, false]);
}
