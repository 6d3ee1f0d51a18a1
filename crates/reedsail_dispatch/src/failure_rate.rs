//! A moving average of failures that decays over time. It is the state behind `server_health`.

use reedsail_core::TimeMs;

/// Weight of the newest outcome in the average.
const NEWEST_WEIGHT: f64 = 0.25;
/// Time in which a rate decays by half, in milliseconds.
const HALF_LIFE_MS: f64 = 4_000.0;

/// A moving average of failures. It decays while nothing is sent, so that a server is tried again.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FailureRate {
    rate: f64,
    updated_at: TimeMs,
}

impl FailureRate {
    /// Records an outcome: 0 for a success, 1 for a failure, or another weight that `server_health` defines.
    pub(crate) fn record(&mut self, failure: f64, now: TimeMs) {
        let rate = self.rate_at(now);
        self.rate = rate + NEWEST_WEIGHT * (failure - rate);
        self.updated_at = now;
    }

    /// Returns the rate at a given time, from 0 to 1.
    pub(crate) fn rate_at(&self, now: TimeMs) -> f64 {
        let age_ms = now.since_ms(self.updated_at) as f64;
        self.rate * 0.5_f64.powf(age_ms / HALF_LIFE_MS)
    }
}
