//! Server health: how much a backend server's recent answers count against it.
//!
//! **Rule.** A server is judged by outcomes alone, never by its own word: each attempt that fails
//! raises its failure rate, and placement adds a penalty that grows with the square of that rate. A
//! server that could not be connected to is passed over for a while. An attempt that is overdue counts
//! as failed before it ends.
//!
//! **Inputs.** Outcomes of attempts, times to the first event (milliseconds), peers' failure rates (0
//! to 1) and their expiry.
//!
//! **Why.** Backend servers may fail part of their requests while their health check is good, and may
//! hang without an error. The square leaves a server with a few failures almost untouched and moves
//! nearly all work off one that fails half of the time.
//!
//! **Tested by** `tests/placement.rs` and `tests/decision_trace.rs`.

use reedsail_core::TimeMs;

use crate::AttemptOutcome;
use crate::failure_rate::FailureRate;

/// Latency targets that a server with a failure rate of one is delayed by.
const FAILURE_PENALTY_TARGETS: f64 = 6.0;
/// Multiple of the expected time after which an attempt without a first event is overdue.
const OVERDUE_FACTOR: u64 = 3;
/// Least time after which an attempt is overdue, in milliseconds.
const OVERDUE_MIN_MS: u64 = 700;
/// Weight of a rejection beside a failure of one: a full server is no broken one.
const REJECTION_WEIGHT: f64 = 0.3;
/// Weight of a failed connect beside a failure of one.
const UNREACHABLE_WEIGHT: f64 = 2.0;
/// How long a server that could not be connected to is passed over, in milliseconds.
const UNREACHABLE_MS: u64 = 1_500;
/// Weight of a peer's failure rate beside this instance's own.
const PEER_FAILURE_WEIGHT: f64 = 0.7;
/// Weight of the newest answer in the moving averages of latency.
const NEWEST_WEIGHT: f64 = 0.1;
/// Range of the ratio of actual to expected time, so that one odd answer moves the average little.
const SLOWNESS_RANGE: (f64, f64) = (0.7, 4.0);

/// What is known of one server's health and speed.
#[derive(Clone, Debug)]
pub(crate) struct ServerHealth {
    failures: FailureRate,
    /// The highest failure rate that a peer reported, and until when it counts.
    peer_failures: (f64, TimeMs),
    unreachable_until: TimeMs,
    /// Moving average of actual by expected time to the first event; 1 for as expected.
    slowness: f64,
    /// Moving average of the time that a request without a prompt takes, in milliseconds; `None`
    /// before the first answer.
    plain_mean_ms: Option<f64>,
}

impl Default for ServerHealth {
    fn default() -> Self {
        Self {
            failures: FailureRate::default(),
            peer_failures: (0.0, TimeMs(0)),
            unreachable_until: TimeMs(0),
            slowness: 1.0,
            plain_mean_ms: None,
        }
    }
}

impl ServerHealth {
    /// Records the outcome of an attempt.
    pub(crate) fn record_outcome(&mut self, outcome: AttemptOutcome, now: TimeMs) {
        match outcome {
            AttemptOutcome::Answered => self.failures.record(0.0, now),
            AttemptOutcome::Failed | AttemptOutcome::Broken => self.failures.record(1.0, now),
            AttemptOutcome::Rejected => self.failures.record(REJECTION_WEIGHT, now),
            AttemptOutcome::Unreachable | AttemptOutcome::Down => {
                self.failures.record(UNREACHABLE_WEIGHT, now);
                self.unreachable_until = now.plus_ms(UNREACHABLE_MS);
            }
            AttemptOutcome::Abandoned => {}
        }
    }

    /// Records that an attempt is overdue.
    pub(crate) fn record_overdue(&mut self, now: TimeMs) {
        self.failures.record(1.0, now);
    }

    /// Takes in a peer's failure rate; a lower one replaces a higher one only once that has expired.
    pub(crate) fn receive_failures(&mut self, rate: f64, now: TimeMs, until: TimeMs) {
        let (known, known_until) = self.peer_failures;
        if now >= known_until || rate >= known {
            self.peer_failures = (rate, until);
        }
    }

    /// Learns how slow the server is from a prompt's time to the first event.
    pub(crate) fn learn_slowness(&mut self, took_ms: f64, expected_ms: u64) {
        let ratio = took_ms / expected_ms as f64 * self.slowness;
        let ratio = ratio.clamp(SLOWNESS_RANGE.0, SLOWNESS_RANGE.1);
        self.slowness += NEWEST_WEIGHT * (ratio - self.slowness);
    }

    /// Learns how long a request without a prompt takes.
    pub(crate) fn learn_plain_time(&mut self, took_ms: f64) {
        self.plain_mean_ms = Some(match self.plain_mean_ms {
            Some(mean_ms) => mean_ms + NEWEST_WEIGHT * (took_ms - mean_ms),
            None => took_ms.max(1.0),
        });
    }

    /// Returns how often the server failed, from 0 to 1, by this instance's outcomes alone.
    pub(crate) fn own_failure_rate(&self, now: TimeMs) -> f64 {
        self.failures.rate_at(now)
    }

    /// Returns the delay in milliseconds that placement adds for the server's failures.
    pub(crate) fn penalty_ms(&self, latency_target_ms: u64, now: TimeMs) -> f64 {
        let rate = self.failure_rate(now);
        FAILURE_PENALTY_TARGETS * latency_target_ms as f64 * rate * rate
    }

    /// Tells whether the server may be connected to, as far as is known.
    pub(crate) fn is_reachable(&self, now: TimeMs) -> bool {
        self.unreachable_until <= now
    }

    /// Returns the ratio of actual to expected time to the first event.
    pub(crate) fn slowness(&self) -> f64 {
        self.slowness
    }

    /// Returns the mean time of a request without a prompt, in milliseconds, once one was answered.
    pub(crate) fn plain_mean_ms(&self) -> Option<f64> {
        self.plain_mean_ms
    }

    fn failure_rate(&self, now: TimeMs) -> f64 {
        let (reported, until) = self.peer_failures;
        let received = if now < until {
            PEER_FAILURE_WEIGHT * reported
        } else {
            0.0
        };
        self.failures.rate_at(now).max(received)
    }
}

/// Returns when an attempt without a first event is overdue.
pub(crate) fn overdue_at(expected_ms: u64, now: TimeMs) -> TimeMs {
    now.plus_ms((OVERDUE_FACTOR * expected_ms).max(OVERDUE_MIN_MS))
}
