//! Paces control messages so that an instance stays within its budget of bytes per second.

use reedsail_core::TimeMs;

/// The shortest interval between two reports of a member.
const INTERVAL_MIN_MS: u64 = 500;
/// The longest interval between two reports of a member; leases last longer.
const INTERVAL_MAX_MS: u64 = 20_000;
/// The weight of the newest sample in the moving average of bytes per report.
const SAMPLE_WEIGHT: f64 = 0.2;

/// Derives the interval between reports from the bytes per report.
///
/// The allocator sends the interval to its members with each lease. An allocator with many members thus slows
/// all of them down instead of exceeding its budget.
#[derive(Clone, Debug)]
pub struct BytePacer {
    budget_bytes_per_s: f64,
    report_bytes_mean: f64,
    next_urgent_at: TimeMs,
}

impl BytePacer {
    /// Creates a pacer for a budget in bytes per second, both directions together.
    pub fn new(budget_bytes_per_s: f64) -> Self {
        Self {
            budget_bytes_per_s,
            report_bytes_mean: 600.0,
            next_urgent_at: TimeMs(0),
        }
    }

    /// Records the bytes of one report and its answer.
    pub fn record(&mut self, report_bytes: u64) {
        self.report_bytes_mean += SAMPLE_WEIGHT * (report_bytes as f64 - self.report_bytes_mean);
    }

    /// Returns the interval in milliseconds at which each of `peers` peers may exchange a report.
    pub fn interval_ms(&self, peers: usize) -> u64 {
        let total_bytes = self.report_bytes_mean * peers.max(1) as f64;
        let interval_ms = total_bytes / self.budget_bytes_per_s * 1_000.0;
        (interval_ms as u64).clamp(INTERVAL_MIN_MS, INTERVAL_MAX_MS)
    }

    /// Returns whether an urgent report may be sent now; urgent reports get at most a quarter of the budget.
    pub fn may_send_urgent(&mut self, now: TimeMs) -> bool {
        if now < self.next_urgent_at {
            return false;
        }
        let spacing_ms = self.report_bytes_mean / (self.budget_bytes_per_s * 0.25) * 1_000.0;
        self.next_urgent_at = now.plus_ms(spacing_ms as u64);
        true
    }
}
