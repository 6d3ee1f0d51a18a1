//! The retry ledger: what the requests of one service on one instance earn, and what its retries spend.
//!
//! **Rule.** The fleet's bound compares the retries of each window with the requests of the same window, of the one
//! before, or of the one half a window before. A ledger allows a retry only if, in each window that may contain its
//! arrival, the retries stay within the slack share plus *half* the ratio times the requests of that window and half the
//! ratio times those of the window before.
//!
//! **Why.** The mean of two windows is at most the greater one, so a single ledger keeps the bound. And it is a sum over
//! requests: what several ledgers allow together is what one ledger would allow for all their requests. So the ledgers
//! of all instances, and of all processes that one instance was, keep the bound together and know nothing of each other.
//!
//! Events are counted in buckets of time. Each doubt is decided against the retry: a retry may arrive up to
//! [`ARRIVAL_DELAY_MAX_MS`] after it was decided, and a request may have been sent up to [`READ_DELAY_MAX_MS`] before it
//! was counted.

use reedsail_core::TimeMs;

/// Number of buckets in a window.
const BUCKETS_PER_WINDOW: u64 = 40;
/// Longest time from the decision to retry until the request arrives at a server, in milliseconds.
pub(crate) const ARRIVAL_DELAY_MAX_MS: u64 = 500;
/// Longest time from a caller's request until this instance counts it, in milliseconds.
const READ_DELAY_MAX_MS: u64 = 500;
/// Weight of the requests of a window, and of those of the window before it.
const WINDOW_WEIGHT: f64 = 0.5;

/// The counts of one span of time.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    number: u64,
    requests: f64,
    retries: f64,
}

/// The requests and retries of one service on one instance.
#[derive(Clone, Debug)]
pub(crate) struct RetryLedger {
    ratio: f64,
    bucket_ms: u64,
    /// Buckets by which the arrival of a retry may be later than its decision.
    arrival_buckets: u64,
    /// Buckets by which a request may have been sent earlier than it was counted.
    read_buckets: u64,
    /// The newest buckets, by their number modulo the length.
    buckets: Vec<Bucket>,
}

impl RetryLedger {
    /// Makes an empty ledger. Retries may be spent up to `lead_max_ms` ahead of time.
    pub(crate) fn new(ratio: f64, window_ms: u64, lead_max_ms: u64) -> Self {
        let bucket_ms = (window_ms / BUCKETS_PER_WINDOW).max(1);
        let kept = 2 * BUCKETS_PER_WINDOW + lead_max_ms.div_ceil(bucket_ms) + 2;
        Self {
            ratio,
            bucket_ms,
            arrival_buckets: ARRIVAL_DELAY_MAX_MS.div_ceil(bucket_ms),
            read_buckets: READ_DELAY_MAX_MS.div_ceil(bucket_ms),
            buckets: vec![Bucket::default(); kept as usize],
        }
    }

    /// Counts a request that a caller sent.
    pub(crate) fn count_request(&mut self, now: TimeMs) {
        let number = self.number(now);
        self.bucket_mut(number).requests += 1.0;
    }

    /// Spends retries that are decided at some time from `now` until `lead_ms` later.
    pub(crate) fn spend(&mut self, retries: f64, lead_ms: u64, now: TimeMs) {
        let number = self.number(now.plus_ms(lead_ms));
        self.bucket_mut(number).retries += retries;
    }

    /// Takes back retries that were spent at `spent_at` without a lead and are not made.
    pub(crate) fn refund(&mut self, retries: f64, spent_at: TimeMs) {
        let number = self.number(spent_at);
        let bucket = self.bucket_mut(number);
        if bucket.number == number {
            bucket.retries = (bucket.retries - retries).max(0.0);
        }
    }

    /// Returns how many retries may be decided from `now` until `lead_ms` later, with a share of the slack.
    pub(crate) fn room(&self, slack: f64, lead_ms: u64, now: TimeMs) -> f64 {
        let sums = self.running_sums(now, lead_ms);
        let last_start = sums.last_spent + self.arrival_buckets;
        let first_start = sums.now.saturating_sub(BUCKETS_PER_WINDOW);
        let rooms = (first_start..=last_start).map(|start| self.room_of_window(&sums, start) + slack);
        rooms.fold(f64::INFINITY, f64::min)
    }

    /// Returns how many retries the window that begins now would allow if there had been none, with a share of the slack.
    pub(crate) fn capacity(&self, slack: f64, now: TimeMs) -> f64 {
        let sums = self.running_sums(now, 0);
        let first_request = (sums.now + 1 + self.read_buckets).saturating_sub(BUCKETS_PER_WINDOW);
        self.ratio * WINDOW_WEIGHT * sums.requests(first_request, sums.now) + slack
    }

    /// Returns the room for retries in the windows that begin within a bucket, without slack.
    fn room_of_window(&self, sums: &RunningSums, start: u64) -> f64 {
        // Requests that were sent within both windows for each offset within the bucket. A window that contains a retry
        // of the present does not end before a request of the past.
        let first_request = (start + 1 + self.read_buckets).saturating_sub(BUCKETS_PER_WINDOW);
        let requests = sums.requests(first_request, sums.now);
        let retries = sums.retries_since(start.saturating_sub(self.arrival_buckets));
        self.ratio * WINDOW_WEIGHT * requests - retries
    }

    fn running_sums(&self, now: TimeMs, lead_ms: u64) -> RunningSums {
        let now_number = self.number(now);
        let first = now_number.saturating_sub(2 * BUCKETS_PER_WINDOW);
        let last = first + self.buckets.len() as u64 - 1;
        let mut sums = RunningSums {
            now: now_number,
            last_spent: self.number(now.plus_ms(lead_ms)),
            first,
            requests_before: Vec::with_capacity(self.buckets.len() + 1),
            retries_before: Vec::with_capacity(self.buckets.len() + 1),
        };
        let (mut requests, mut retries) = (0.0, 0.0);
        sums.push(requests, retries);
        for number in first..=last {
            let bucket = &self.buckets[self.index(number)];
            if bucket.number == number {
                requests += bucket.requests;
                retries += bucket.retries;
            }
            sums.push(requests, retries);
        }
        sums
    }

    fn number(&self, at: TimeMs) -> u64 {
        at.0 / self.bucket_ms
    }

    fn index(&self, number: u64) -> usize {
        (number % self.buckets.len() as u64) as usize
    }

    /// Returns the bucket with a number, or the newer one that has replaced it.
    fn bucket_mut(&mut self, number: u64) -> &mut Bucket {
        let index = self.index(number);
        let bucket = &mut self.buckets[index];
        if bucket.number < number {
            *bucket = Bucket {
                number,
                ..Bucket::default()
            };
        }
        bucket
    }
}

/// The counts of all buckets before each bucket.
struct RunningSums {
    /// The bucket of the present.
    now: u64,
    /// The last bucket in which the retries in question may be decided.
    last_spent: u64,
    /// The first bucket that is counted.
    first: u64,
    requests_before: Vec<f64>,
    retries_before: Vec<f64>,
}

impl RunningSums {
    fn push(&mut self, requests: f64, retries: f64) {
        self.requests_before.push(requests);
        self.retries_before.push(retries);
    }

    /// Returns the requests of the buckets from `first` to `last`.
    fn requests(&self, first: u64, last: u64) -> f64 {
        if first > last {
            return 0.0;
        }
        self.requests_before[self.index(last + 1)] - self.requests_before[self.index(first)]
    }

    /// Returns the retries of a bucket and of all later ones.
    fn retries_since(&self, first: u64) -> f64 {
        let total = self.retries_before.last().copied().unwrap_or(0.0);
        total - self.retries_before[self.index(first)]
    }

    fn index(&self, number: u64) -> usize {
        (number.saturating_sub(self.first) as usize).min(self.requests_before.len() - 1)
    }
}
