//! Decaying sum: an amount in which each contribution counts for ever less as time passes.
//!
//! Used by `fair_share` for what workspaces lately wanted and were sent: a flood shows in it within a few
//! tenths of a second, while the window of the shares is ten times as long. Pure, relies on the caller for
//! the time.

use reedsail_core::TimeMs;

/// A sum whose contributions have decayed to 1/e after `TIME_CONSTANT_MS` milliseconds.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecayingSum<const TIME_CONSTANT_MS: u64> {
    amount: f64,
    at: TimeMs,
}

impl<const TIME_CONSTANT_MS: u64> DecayingSum<TIME_CONSTANT_MS> {
    /// Adds an amount.
    pub(crate) fn add(&mut self, amount: f64, now: TimeMs) {
        self.amount = self.at(now) + amount;
        self.at = now;
    }

    /// Takes away what was added at an earlier moment, as far as it still counts.
    pub(crate) fn take_back(&mut self, amount: f64, added_at: TimeMs) {
        let counts_still = amount * decay(self.at.since_ms(added_at), TIME_CONSTANT_MS);
        self.amount = (self.amount - counts_still).max(0.0);
    }

    /// Returns what counts at a moment.
    pub(crate) fn at(self, now: TimeMs) -> f64 {
        self.amount * decay(now.since_ms(self.at), TIME_CONSTANT_MS)
    }
}

fn decay(age_ms: u64, time_constant_ms: u64) -> f64 {
    (-(age_ms as f64) / time_constant_ms as f64).exp()
}
