//! The report of a soak.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use serde::Serialize;

use crate::History;
use crate::Outcome;
use crate::StreamPart;
use crate::Violation;

/// Maximum number of violations shown on the terminal.
const VIOLATIONS_SHOWN_MAX: usize = 10;

/// The result of a soak.
#[derive(Clone, Debug, Serialize)]
pub struct SoakReport {
    /// What the router says that it was built from.
    pub router_build: String,
    /// The seed of the schedule.
    pub seed: u64,
    /// How long callers sent requests, in milliseconds.
    pub for_ms: u64,
    /// Number of processes besides the soak's own.
    pub processes: usize,
    /// Peak of the memory of all these processes together.
    pub peak_memory_mb: u64,
    /// Number of injected faults by kind.
    pub faults: BTreeMap<String, u64>,
    /// Number of attempts by outcome.
    pub outcomes: BTreeMap<String, u64>,
    /// Number of attempts that continue a stream, and of those that brought an event.
    pub continued: (usize, usize),
    /// Number of requests that backend servers ran.
    pub runs: usize,
    /// The violations of the guarantees.
    pub violations: Vec<Violation>,
}

impl SoakReport {
    /// Returns whether there is no violation.
    pub fn is_clean(&self) -> bool {
        self.violations.is_empty()
    }

    /// Returns the report for the terminal.
    pub fn render(&self) -> String {
        let mut text = format!(
            "{}\nseed {}, {} ms: {} processes, {} MB at most, {} requests reached servers\n",
            self.router_build, self.seed, self.for_ms, self.processes, self.peak_memory_mb, self.runs
        );
        let joined = |counts: &BTreeMap<String, u64>| {
            let parts: Vec<String> = counts
                .iter()
                .map(|(name, count)| format!("{name} {count}"))
                .collect();
            parts.join(", ")
        };
        // Writing to a string cannot fail.
        let _ = writeln!(text, "attempts: {}", joined(&self.outcomes));
        let (asked, went_on) = self.continued;
        let _ = writeln!(text, "streams taken up again: {asked}, went on: {went_on}");
        let _ = writeln!(text, "faults: {}", joined(&self.faults));
        let _ = writeln!(text, "promises broken: {}", self.violations.len());
        for violation in self.violations.iter().take(VIOLATIONS_SHOWN_MAX) {
            let _ = writeln!(text, "  {}: {}", violation.promise, violation.what);
        }
        text
    }
}

/// Counts the attempts that continue a stream, and those that brought an event.
pub(crate) fn count_continued(history: &History) -> (usize, usize) {
    let parts = history
        .attempts
        .iter()
        .filter_map(|attempt| attempt.stream.as_ref());
    let continued: Vec<&StreamPart> = parts.filter(|part| part.after_event > 0).collect();
    let went_on = continued.iter().filter(|part| !part.versions.is_empty()).count();
    (continued.len(), went_on)
}

/// Counts attempts by outcome.
pub(crate) fn count_outcomes(history: &History) -> BTreeMap<String, u64> {
    let mut counts = BTreeMap::new();
    for attempt in &history.attempts {
        let name = match &attempt.outcome {
            Outcome::Answered => "answered".to_owned(),
            Outcome::NotRun { status } => format!("not run ({status})"),
            Outcome::Failed {
                status,
                by_server: true,
            } => format!("server's {status}"),
            Outcome::Failed {
                status,
                by_server: false,
            } => format!("failed ({status})"),
            Outcome::Wrong(_) => "wrong".to_owned(),
            Outcome::Cut { had_begun: true } => "cut in the answer".to_owned(),
            Outcome::Cut { had_begun: false } => "cut without an answer".to_owned(),
            Outcome::Silent => "silent".to_owned(),
            Outcome::HungUp => "hung up".to_owned(),
        };
        *counts.entry(name).or_default() += 1;
    }
    counts
}
