//! A limit of retries by the requests of the last 10 to 11 s, as the release before the ledgers has it.

use reedsail_core::TimeMs;

/// Number of buckets in a window.
const BUCKETS_PER_WINDOW: u64 = 10;

/// The requests and retries of one process. Retries of the last window, and of the part of a bucket before it, are at
/// most the ratio times the requests of the same time, plus an equal share of the slack.
#[derive(Clone, Debug, Default)]
pub(crate) struct SlidingWindow {
    requests: Vec<TimeMs>,
    retries: Vec<TimeMs>,
}

impl SlidingWindow {
    pub(crate) fn count_request(&mut self, now: TimeMs) {
        self.requests.push(now);
    }

    /// Takes a retry if the window has room.
    pub(crate) fn take(&mut self, ratio: f64, slack: f64, window_ms: u64, now: TimeMs) -> bool {
        let bucket_ms = window_ms / BUCKETS_PER_WINDOW;
        let oldest = (now.0 / bucket_ms).saturating_sub(BUCKETS_PER_WINDOW) * bucket_ms;
        let requests = count_since(&self.requests, oldest);
        let retries = count_since(&self.retries, oldest);
        let has_room = (retries + 1) as f64 <= ratio * requests as f64 + slack;
        if has_room {
            self.retries.push(now);
        }
        has_room
    }
}

fn count_since(times: &[TimeMs], from_ms: u64) -> usize {
    times.len() - times.partition_point(|at| at.0 < from_ms)
}
