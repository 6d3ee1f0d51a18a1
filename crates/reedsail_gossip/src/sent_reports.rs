//! The last reports that this instance sent, by the sequence number of their message.
//!
//! An aggregator's sum names the report of this instance that it includes. The receiver subtracts that report, so that
//! the sum counts only the load of other instances.

use std::collections::VecDeque;

use reedsail_dispatch::LoadReport;

use crate::load_sum::subtract;

/// Maximum number of reports kept. With a report every 50 ms they cover the last 1.6 s, which is longer than a
/// member's report is valid.
const REPORTS_MAX: usize = 32;

/// The last reports that were sent, oldest first.
#[derive(Clone, Debug, Default)]
pub struct SentReports {
    reports: VecDeque<(u32, LoadReport)>,
}

impl SentReports {
    /// Records a report that is sent in the message `sequence`.
    pub fn record(&mut self, sequence: u32, report: &LoadReport) {
        if self.reports.len() >= REPORTS_MAX {
            self.reports.pop_front();
        }
        self.reports.push_back((sequence, report.without_prefixes()));
    }

    /// Subtracts the report of the message `sequence` from a sum that includes it. If that report is no longer kept,
    /// the sum is unchanged, and the load counts twice until the next sum arrives.
    pub fn subtract_from(&self, sum: &mut LoadReport, sequence: u32) {
        let sent = self.reports.iter().find(|(number, _)| *number == sequence);
        if let Some((_, report)) = sent {
            subtract(sum, report);
        }
    }
}
