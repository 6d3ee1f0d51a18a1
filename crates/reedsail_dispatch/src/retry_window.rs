//! Bounds the requests that are sent a second time, over a sliding window.

use reedsail_core::TimeMs;

/// The parts of a window.
const BUCKETS: usize = 10;

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    number: u64,
    requests: u32,
    repeats: u32,
}

/// Counts requests and repeats of one service on one daemon.
///
/// Each daemon holds to the ratio by its own requests, so the fleet does without a message. The
/// window here is a bucket longer than the one that is judged, so that no judged window holds more.
#[derive(Clone, Debug)]
pub struct RetryWindow {
    buckets: [Bucket; BUCKETS + 1],
    bucket_ms: u64,
}

impl RetryWindow {
    /// Makes an empty window of `window_ms` milliseconds.
    pub fn new(window_ms: u64) -> Self {
        Self {
            buckets: [Bucket::default(); BUCKETS + 1],
            bucket_ms: (window_ms / BUCKETS as u64).max(1),
        }
    }

    /// Counts a first send.
    pub fn count_request(&mut self, now: TimeMs) {
        self.bucket(now).requests += 1;
    }

    /// Counts a repeat if `ratio` of the requests and `slack` allow it; `false` if they do not.
    pub fn take(&mut self, ratio: f64, slack: f64, now: TimeMs) -> bool {
        let (requests, repeats) = self.totals(now);
        if f64::from(repeats) + 1.0 > ratio * f64::from(requests) + slack {
            return false;
        }
        self.bucket(now).repeats += 1;
        true
    }

    fn totals(&self, now: TimeMs) -> (u32, u32) {
        let oldest = (now.0 / self.bucket_ms).saturating_sub(BUCKETS as u64);
        self.buckets
            .iter()
            .filter(|bucket| bucket.number >= oldest)
            .fold((0, 0), |(requests, repeats), bucket| {
                (requests + bucket.requests, repeats + bucket.repeats)
            })
    }

    fn bucket(&mut self, now: TimeMs) -> &mut Bucket {
        let number = now.0 / self.bucket_ms;
        let bucket = &mut self.buckets[(number % (BUCKETS as u64 + 1)) as usize];
        if bucket.number != number {
            *bucket = Bucket {
                number,
                ..Bucket::default()
            };
        }
        bucket
    }
}
