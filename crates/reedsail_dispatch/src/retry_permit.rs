//! The permission to send one retry.

use reedsail_core::NameHash;
use reedsail_core::TimeMs;

/// The permission to send one retry, which the retry budget has paid for.
///
/// An attempt that was not sent leaves it valid for the next one. A permit that is not used is returned to the budget.
#[derive(Debug, PartialEq)]
#[must_use]
pub struct RetryPermit {
    pub(crate) service: NameHash,
    /// What this instance's own ledger has paid; peers have paid the rest.
    pub(crate) own_retries: f64,
    pub(crate) taken_at: TimeMs,
    pub(crate) valid_until: TimeMs,
}

impl RetryPermit {
    /// Returns whether the retry may still be sent.
    pub fn is_valid(&self, now: TimeMs) -> bool {
        now <= self.valid_until
    }
}
