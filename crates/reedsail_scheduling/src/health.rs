//! A backend server's health, judged by the outcome of the requests sent to it.

use reedsail_core::TimeMs;

/// So many failures in a row take a server out of use.
const FAILURES_TO_REST: u32 = 3;
/// How long a server rests after its first series of failures.
const REST_FIRST_MS: u64 = 500;
/// The longest rest; each further series doubles it up to here.
const REST_MAX_MS: u64 = 10_000;

/// Follows consecutive failures, rests a failing server, and lets it return slowly.
#[derive(Clone, Debug, Default)]
pub struct ServerHealth {
    failures_in_row: u32,
    rests_in_row: u32,
    rest_until: TimeMs,
    /// Requests at once while the server returns; `None` when it is back in full.
    return_limit: Option<u32>,
}

impl ServerHealth {
    /// Records a request that a server answered.
    pub fn succeed(&mut self) {
        self.failures_in_row = 0;
        self.rests_in_row = 0;
        if let Some(limit) = &mut self.return_limit {
            *limit += 1;
        }
    }

    /// Records a request on which a server failed; returns `true` when its rest begins.
    pub fn fail(&mut self, now: TimeMs) -> bool {
        self.failures_in_row += 1;
        if self.failures_in_row < FAILURES_TO_REST || self.is_resting(now) {
            return false;
        }
        let rest_ms = (REST_FIRST_MS << self.rests_in_row.min(10)).min(REST_MAX_MS);
        self.rests_in_row += 1;
        self.rest_until = now.plus_ms(rest_ms);
        self.return_limit = Some(1);
        true
    }

    /// Tells whether the server is to be left alone for now.
    pub fn is_resting(&self, now: TimeMs) -> bool {
        now < self.rest_until
    }

    /// Returns how many of `slots` may be used at once; grows by one with each answer.
    pub fn usable_slots(&mut self, slots: u32, now: TimeMs) -> u32 {
        if self.is_resting(now) {
            return 0;
        }
        match self.return_limit {
            Some(limit) if limit < slots => limit,
            Some(_) => {
                self.return_limit = None;
                slots
            }
            None => slots,
        }
    }
}
