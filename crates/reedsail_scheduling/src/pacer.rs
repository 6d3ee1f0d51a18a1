//! Paces control messages so that a daemon keeps within its bytes a second.

use reedsail_core::TimeMs;

/// The shortest interval between two reports of one member.
const INTERVAL_MIN_MS: u64 = 500;
/// The longest interval; leases outlast it.
const INTERVAL_MAX_MS: u64 = 20_000;
/// The weight of the newest sample in the running mean of bytes per report.
const SAMPLE_WEIGHT: f64 = 0.2;

/// Derives the interval between reports from the bytes that one report costs.
///
/// The allocator gives the interval to its members with each lease, so that a daemon which serves
/// many members slows them all down instead of exceeding its budget.
#[derive(Clone, Debug)]
pub struct BytePacer {
    budget_bytes_per_s: f64,
    report_bytes_mean: f64,
    urgent_next_at: TimeMs,
}

impl BytePacer {
    /// Makes a pacer for a budget in bytes a second, both directions together.
    pub fn new(budget_bytes_per_s: f64) -> Self {
        Self {
            budget_bytes_per_s,
            report_bytes_mean: 600.0,
            urgent_next_at: TimeMs(0),
        }
    }

    /// Records what one report and its answer cost on the wire.
    pub fn record(&mut self, report_bytes: u64) {
        self.report_bytes_mean += SAMPLE_WEIGHT * (report_bytes as f64 - self.report_bytes_mean);
    }

    /// Returns the interval in milliseconds at which `pairs` peers may each exchange a report.
    pub fn interval_ms(&self, pairs: usize) -> u64 {
        let bytes = self.report_bytes_mean * pairs.max(1) as f64;
        let interval_ms = bytes / self.budget_bytes_per_s * 1_000.0;
        (interval_ms as u64).clamp(INTERVAL_MIN_MS, INTERVAL_MAX_MS)
    }

    /// Tells whether an urgent report may go now; urgent ones get at most a quarter of the budget.
    pub fn may_send_urgent(&mut self, now: TimeMs) -> bool {
        if now < self.urgent_next_at {
            return false;
        }
        let spacing_ms = self.report_bytes_mean / (self.budget_bytes_per_s * 0.25) * 1_000.0;
        self.urgent_next_at = now.plus_ms(spacing_ms as u64);
        true
    }
}
