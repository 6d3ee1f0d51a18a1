//! Decaying sum: a sum whose contributions decay exponentially over time.
//!
//! `fair_share` uses it for the recent prefill tokens and sent cost of workspaces. A flood shows in such a
//! sum within a few tenths of a second, while the window of the shares is ten times as long. Pure: the caller
//! passes the time.

use reedsail_core::TimeMs;

/// A sum in which a contribution decays to 1/e of its amount within `TIME_CONSTANT_MS` milliseconds.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecayingSum<const TIME_CONSTANT_MS: u64> {
    amount: f64,
    updated_at: TimeMs,
}

impl<const TIME_CONSTANT_MS: u64> DecayingSum<TIME_CONSTANT_MS> {
    pub(crate) fn add(&mut self, amount: f64, now: TimeMs) {
        self.amount = self.value_at(now) + amount;
        self.updated_at = now;
    }

    /// Subtracts the remainder of an amount that was added at an earlier time.
    pub(crate) fn subtract(&mut self, amount: f64, added_at: TimeMs) {
        let remaining = amount * decay(self.updated_at.since_ms(added_at), TIME_CONSTANT_MS);
        self.amount = (self.amount - remaining).max(0.0);
    }

    /// Returns the decayed sum at a given time.
    pub(crate) fn value_at(self, now: TimeMs) -> f64 {
        self.amount * decay(now.since_ms(self.updated_at), TIME_CONSTANT_MS)
    }
}

/// Returns the remaining fraction of an amount of the given age.
pub(crate) fn decay(age_ms: u64, time_constant_ms: u64) -> f64 {
    (-(age_ms as f64) / time_constant_ms as f64).exp()
}
