//! Server health: how recent answers of a backend server affect placement.
//!
//! **Rule.** A server is judged by the outcomes of requests alone, never by what it reports about itself. Each failed
//! attempt raises its failure rate, and placement adds a penalty that grows with the square of that rate. A server
//! that could not be connected to is skipped for some time. An overdue attempt counts as failed before it ends.
//!
//! **Inputs.** Outcomes of attempts, times to the first event (milliseconds), peers' failure rates (0 to 1) and their
//! expiry.
//!
//! **Why.** Backend servers may fail part of their requests while their health check passes, and may hang without an
//! error. The square barely affects a server with a few failures, and moves nearly all work away from a server that
//! fails half of its requests.
//!
//! **Tested by** `tests/placement.rs` and `tests/decision_trace.rs`.

use reedsail_core::TimeMs;

use crate::AttemptOutcome;
use crate::failure_rate::FailureRate;

/// Penalty of a server with a failure rate of one, in multiples of the latency target.
const FAILURE_PENALTY_TARGETS: f64 = 6.0;
/// Multiple of the expected time after which an attempt without a first event is overdue.
const OVERDUE_FACTOR: u64 = 3;
/// Minimum time after which an attempt is overdue, in milliseconds.
const OVERDUE_MIN_MS: u64 = 700;
/// Weight of a rejection, where a failure has one: a full server is not a broken server.
const REJECTION_WEIGHT: f64 = 0.3;
/// Weight of a failed connect, where a failure has one.
const UNREACHABLE_WEIGHT: f64 = 2.0;
/// How long a server that could not be connected to is skipped, in milliseconds.
const UNREACHABLE_MS: u64 = 1_500;
/// Weight of a peer's failure rate, where this instance's own rate has one.
const PEER_FAILURE_WEIGHT: f64 = 0.7;
/// Weight of the newest answer in the moving averages of latency.
const NEWEST_WEIGHT: f64 = 0.1;
/// Range of the ratio of actual to expected time, so that one outlier has little effect on the average.
const SLOWNESS_RANGE: (f64, f64) = (0.7, 4.0);

/// The health and speed of one server.
#[derive(Clone, Debug)]
pub(crate) struct ServerHealth {
    failures: FailureRate,
    /// The highest failure rate reported by a peer, and its expiry time.
    peer_failures: (f64, TimeMs),
    unreachable_until: TimeMs,
    /// Moving average of the ratio of actual to expected time to the first event; 1 means as expected.
    slowness: f64,
    /// Moving average of the time of a request without a prompt, in milliseconds; `None` before the first answer.
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

    /// Records an overdue attempt.
    pub(crate) fn record_overdue(&mut self, now: TimeMs) {
        self.failures.record(1.0, now);
    }

    /// Stores a peer's failure rate. A lower rate replaces a higher one only after the higher one has expired.
    pub(crate) fn receive_failures(&mut self, rate: f64, now: TimeMs, until: TimeMs) {
        let (known, known_until) = self.peer_failures;
        if now >= known_until || rate >= known {
            self.peer_failures = (rate, until);
        }
    }

    /// Updates the server's slowness with a prompt's time to the first event.
    pub(crate) fn learn_slowness(&mut self, took_ms: f64, expected_ms: u64) {
        let ratio = took_ms / expected_ms as f64 * self.slowness;
        let ratio = ratio.clamp(SLOWNESS_RANGE.0, SLOWNESS_RANGE.1);
        self.slowness += NEWEST_WEIGHT * (ratio - self.slowness);
    }

    /// Updates the mean time of requests without a prompt.
    pub(crate) fn learn_plain_time(&mut self, took_ms: f64) {
        self.plain_mean_ms = Some(match self.plain_mean_ms {
            Some(mean_ms) => mean_ms + NEWEST_WEIGHT * (took_ms - mean_ms),
            None => took_ms.max(1.0),
        });
    }

    /// Returns the server's failure rate, from 0 to 1, by this instance's outcomes alone.
    pub(crate) fn own_failure_rate(&self, now: TimeMs) -> f64 {
        self.failures.rate_at(now)
    }

    /// Returns the delay that placement adds for the server's failures, in milliseconds.
    pub(crate) fn penalty_ms(&self, latency_target_ms: u64, now: TimeMs) -> f64 {
        let rate = self.failure_rate(now);
        FAILURE_PENALTY_TARGETS * latency_target_ms as f64 * rate * rate
    }

    /// Returns whether no recent connect to the server failed.
    pub(crate) fn is_reachable(&self, now: TimeMs) -> bool {
        self.unreachable_until <= now
    }

    /// Returns the ratio of actual to expected time to the first event.
    pub(crate) fn slowness(&self) -> f64 {
        self.slowness
    }

    /// Returns the mean time of a request without a prompt, in milliseconds; `None` before the first answer.
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

/// Returns the time from which an attempt without a first event is overdue.
pub(crate) fn overdue_at(expected_ms: u64, now: TimeMs) -> TimeMs {
    now.plus_ms((OVERDUE_FACTOR * expected_ms).max(OVERDUE_MIN_MS))
}
