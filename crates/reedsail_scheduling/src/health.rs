//! Tracks the health of a backend server by the outcomes of requests sent to it, as a circuit breaker with
//! slow start.

use reedsail_core::TimeMs;

/// This many consecutive failures make a server rest.
const REST_AFTER_FAILURES: u32 = 3;
/// How long a server rests after its first series of failures.
const REST_FIRST_MS: u64 = 500;
/// The longest rest; each further series of failures doubles the rest up to this limit.
const REST_MAX_MS: u64 = 10_000;

/// Counts consecutive failures. A failing server rests: it receives no requests. It then returns in a slow
/// start.
#[derive(Clone, Debug, Default)]
pub struct ServerHealth {
    consecutive_failures: u32,
    consecutive_rests: u32,
    rest_until: TimeMs,
    /// The concurrency limit during the slow start; `None` once all slots are usable.
    slow_start_limit: Option<u32>,
}

impl ServerHealth {
    /// Records an answered request.
    pub fn record_success(&mut self) {
        self.consecutive_failures = 0;
        self.consecutive_rests = 0;
        if let Some(limit) = &mut self.slow_start_limit {
            *limit += 1;
        }
    }

    /// Records a failed request; returns `true` if the server's rest begins.
    pub fn record_failure(&mut self, now: TimeMs) -> bool {
        self.consecutive_failures += 1;
        if self.consecutive_failures < REST_AFTER_FAILURES || self.is_resting(now) {
            return false;
        }
        let rest_ms = (REST_FIRST_MS << self.consecutive_rests.min(10)).min(REST_MAX_MS);
        self.consecutive_rests += 1;
        self.rest_until = now.plus_ms(rest_ms);
        self.slow_start_limit = Some(1);
        true
    }

    /// Returns whether the server must receive no requests for now.
    pub fn is_resting(&self, now: TimeMs) -> bool {
        now < self.rest_until
    }

    /// Returns how many of `slots` are usable at once; during the slow start, each answer adds one.
    pub fn usable_slots(&mut self, slots: u32, now: TimeMs) -> u32 {
        if self.is_resting(now) {
            return 0;
        }
        match self.slow_start_limit {
            Some(limit) if limit < slots => limit,
            Some(_) => {
                self.slow_start_limit = None;
                slots
            }
            None => slots,
        }
    }
}
