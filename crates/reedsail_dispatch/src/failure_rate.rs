//! How often a backend server failed lately, judged by outcomes alone.

use reedsail_core::TimeMs;

/// The part that the newest outcome has in the rate.
const NEWEST_PART: f64 = 0.25;
/// The time after which half of a rate is forgotten.
const HALF_LIFE_MS: f64 = 4_000.0;

/// A moving average of failures that fades while nothing is sent.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FailureRate {
    rate: f64,
    updated_at: TimeMs,
}

impl FailureRate {
    /// Records an outcome: 0 for a success, 1 for a failure, between them for a doubt.
    pub(crate) fn record(&mut self, failure: f64, now: TimeMs) {
        let rate = self.at(now);
        self.rate = rate + NEWEST_PART * (failure - rate);
        self.updated_at = now;
    }

    /// Returns the rate at a moment, from 0 to 1.
    pub(crate) fn at(&self, now: TimeMs) -> f64 {
        let age_ms = now.since_ms(self.updated_at) as f64;
        self.rate * 0.5_f64.powf(age_ms / HALF_LIFE_MS)
    }
}
