//! Where the daemon stands between its start and its end.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use reedsail_core::TimeMs;

/// What an answer needs at most to reach the caller.
const LAST_ANSWER_MS: u64 = 200;

/// What a request that arrives now is met with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// It is served.
    Serving,
    /// A planned stop has begun; it is served, and its connection closes after it.
    Stopping,
    /// It is served only if its own deadline comes before the end, since it might else be cut off.
    Closing {
        /// When the process ends.
        end_at: TimeMs,
    },
}

/// The moments of a planned stop, readable from every thread; zero before it begins.
#[derive(Debug, Default)]
pub(crate) struct Lifecycle {
    stop_began_at: AtomicU64,
    accept_until: AtomicU64,
    end_at: AtomicU64,
}

impl Lifecycle {
    /// Begins a planned stop; `false` if one has begun already.
    pub(crate) fn begin_stop(&self, now: TimeMs, accept_until: TimeMs, end_at: TimeMs) -> bool {
        self.accept_until.store(accept_until.0, Ordering::Release);
        self.end_at.store(end_at.0, Ordering::Release);
        let before =
            self.stop_began_at
                .compare_exchange(0, now.0.max(1), Ordering::AcqRel, Ordering::Acquire);
        before.is_ok()
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stop_began_at.load(Ordering::Acquire) > 0
    }

    /// Tells whether a request that ends by its own deadline at the latest may still be served.
    pub(crate) fn takes_request(&self, deadline: TimeMs, now: TimeMs) -> bool {
        match self.phase(now) {
            Phase::Serving | Phase::Stopping => true,
            Phase::Closing { end_at } => deadline.plus_ms(LAST_ANSWER_MS) <= end_at,
        }
    }

    fn phase(&self, now: TimeMs) -> Phase {
        if !self.is_stopping() {
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
