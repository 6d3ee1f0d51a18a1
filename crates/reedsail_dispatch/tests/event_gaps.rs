//! Which time between two events of a stream counts as a pause.

use reedsail_core::TimeMs;
use reedsail_dispatch::EventGaps;

/// Records events at the given times; the caller has room again after `busy_ms`.
fn gaps(events_ms: &[u64], busy_ms: u64) -> EventGaps {
    let mut gaps = EventGaps::default();
    for event_ms in events_ms {
        gaps.record_writable(TimeMs(*event_ms));
        gaps.record_event(TimeMs(*event_ms));
        gaps.record_writable(TimeMs(event_ms + busy_ms));
    }
    gaps
}

#[test]
fn the_longest_pause_counts_and_the_wait_for_the_first_event_does_not() {
    assert_eq!(gaps(&[900], 0).longest_ms(), None);
    assert_eq!(gaps(&[900, 940, 1_340, 1_400], 0).longest_ms(), Some(400));
}

#[test]
fn time_in_which_the_caller_does_not_read_is_no_pause() {
    assert_eq!(gaps(&[900, 2_000, 3_000], 990).longest_ms(), Some(110));
}
