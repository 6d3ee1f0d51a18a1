//! Shutdown: which requests are accepted while the instance stops.
//!
//! **Rule.** Until `stop.accept_ms` after the signal, every request is accepted. Later requests are accepted
//! only if their own deadline, plus [`ANSWER_DELIVERY_MAX_MS`] for the answer, is before the end of the
//! process.
//!
//! **Inputs.** The times of the stop; the request's deadline (the caller's deadline, or the route's timeout
//! if that is sooner).
//!
//! **Why.** Callers notice a stop late: the load balancer keeps sending for a while, and continues to use a
//! failure domain in which all instances are stopping. Refusing all of these requests cost 412 answers in one
//! incident (docs/incidents/01-rolling-restart.md). A request that could outlive the process would be cut
//! off.
//!
//! **Tested by** `reedsail_router`'s `tests/control_state.rs` (`late_in_a_stop…`, `a_planned_stop…`).

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use reedsail_core::TimeMs;

/// Maximum time for an answer to reach its caller, in milliseconds.
const ANSWER_DELIVERY_MAX_MS: u64 = 200;

/// Phase of the shutdown in which a request arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// No stop has begun: the request is served.
    Serving,
    /// A planned stop has begun: the request is served, and its connection closes after it.
    Stopping,
    /// The request is served only if its own deadline is before the end of the process.
    Closing {
        /// When the process ends.
        end_at: TimeMs,
    },
}

/// The times of a planned stop, readable from every thread; zero before the stop begins.
#[derive(Debug, Default)]
pub struct Shutdown {
    began_at: AtomicU64,
    accept_until: AtomicU64,
    end_at: AtomicU64,
}

impl Shutdown {
    /// Begins a planned stop.
    pub fn begin(&self, now: TimeMs, accept_until: TimeMs, end_at: TimeMs) {
        self.accept_until.store(accept_until.0, Ordering::Release);
        self.end_at.store(end_at.0, Ordering::Release);
        self.began_at.store(now.0.max(1), Ordering::Release);
    }

    /// Returns whether a planned stop has begun.
    pub fn has_begun(&self) -> bool {
        self.began_at.load(Ordering::Acquire) > 0
    }

    /// Returns whether a request with the given deadline is accepted.
    pub fn takes_request(&self, deadline: TimeMs, now: TimeMs) -> bool {
        match self.phase(now) {
            Phase::Serving | Phase::Stopping => true,
            Phase::Closing { end_at } => deadline.plus_ms(ANSWER_DELIVERY_MAX_MS) <= end_at,
        }
    }

    fn phase(&self, now: TimeMs) -> Phase {
        if !self.has_begun() {
            Phase::Serving
        } else if now.0 < self.accept_until.load(Ordering::Acquire) {
            Phase::Stopping
        } else {
            Phase::Closing {
                end_at: TimeMs(self.end_at.load(Ordering::Acquire)),
            }
        }
    }
}
