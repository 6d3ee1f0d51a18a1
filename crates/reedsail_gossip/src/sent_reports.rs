//! The reports that this instance sent last, by the sequence of their message: an aggregator's sum names
//! the one that it includes, and that one is taken off before the sum counts as other instances' load.

use std::collections::VecDeque;

use reedsail_dispatch::LoadReport;

use crate::load_sum::subtract;

/// Reports that are kept: with one in 50 ms those of the last 1.6 s, longer than a member's report counts.
const REPORTS_MAX: usize = 32;

/// The reports sent last.
#[derive(Clone, Debug, Default)]
pub struct SentReports {
    reports: VecDeque<(u32, LoadReport)>,
}

impl SentReports {
    /// Keeps a report that is being sent.
    pub fn record(&mut self, sequence: u32, report: &LoadReport) {
        if self.reports.len() >= REPORTS_MAX {
            self.reports.pop_front();
        }
        self.reports.push_back((sequence, report.without_prefixes()));
    }

    /// Takes the report of a message off a sum that includes it. One that is not kept any more leaves the
    /// sum as it is: the load counts twice until the next sum comes.
    pub fn subtract_from(&self, sum: &mut LoadReport, sequence: u32) {
        let sent = self.reports.iter().find(|(number, _)| *number == sequence);
        if let Some((_, report)) = sent {
            subtract(sum, report);
        }
    }
}
