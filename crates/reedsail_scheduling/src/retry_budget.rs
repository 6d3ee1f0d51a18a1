//! A budget that keeps retries a small fraction of the traffic on each instance, and so across the fleet.
//!
//! This is a token bucket with the product's own limits. The router's retry budget (`retry_budget` of
//! `reedsail_dispatch`) is separate: its operators configure it, and it bounds the retries of each window.

/// Retries that each first attempt adds to the budget.
const RETRIES_PER_REQUEST: f64 = 0.1;
/// The maximum number of retries in the budget, so that a long idle period does not allow a retry storm.
const RETRIES_MAX: f64 = 20.0;

/// Counts the retries still allowed: each first attempt earns a tenth of a retry.
///
/// Every instance limits retries to a tenth of its own traffic. The retries of the whole fleet thus stay
/// within a tenth of its traffic plus `RETRIES_MAX` per instance, without coordination messages.
///
/// A budget starts empty: a process doesn't know what an earlier process of its instance has spent.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    retries: f64,
}

impl RetryBudget {
    /// Adds the retry fraction earned by a first attempt.
    pub fn earn(&mut self) {
        self.retries = (self.retries + RETRIES_PER_REQUEST).min(RETRIES_MAX);
    }

    /// Spends one retry; returns `false` if the budget is exhausted.
    pub fn spend(&mut self) -> bool {
        if self.retries < 1.0 {
            return false;
        }
        self.retries -= 1.0;
        true
    }
}
