//! What a soak found.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use serde::Serialize;

use crate::History;
use crate::Outcome;
use crate::Violation;

/// How many violations the terminal shows.
const VIOLATIONS_SHOWN: usize = 10;

/// What a soak found.
#[derive(Clone, Debug, Serialize)]
pub struct SoakReport {
    /// The seed of the schedule.
    pub seed: u64,
    /// How long callers asked.
    pub for_ms: u64,
    /// How many processes ran beside the soak's own.
    pub processes: usize,
    /// The most memory that they held at once.
    pub peak_memory_mb: u64,
    /// How many faults were injected, by kind.
    pub faults: BTreeMap<String, u64>,
    /// How many attempts ended how.
    pub outcomes: BTreeMap<String, u64>,
    /// How many requests reached backend servers.
    pub runs: usize,
    /// The promises that were broken.
    pub violations: Vec<Violation>,
}

impl SoakReport {
    /// Tells whether every promise was kept.
    pub fn is_clean(&self) -> bool {
        self.violations.is_empty()
    }

    /// Returns the report for the terminal.
    pub fn render(&self) -> String {
        let mut text = format!(
            "seed {}, {} ms: {} processes, {} MB at most, {} requests reached servers\n",
            self.seed, self.for_ms, self.processes, self.peak_memory_mb, self.runs
        );
        let joined = |counts: &BTreeMap<String, u64>| {
            let parts: Vec<String> = counts
                .iter()
                .map(|(name, count)| format!("{name} {count}"))
                .collect();
            parts.join(", ")
        };
        // Writing to a string does not fail.
        let _ = writeln!(text, "attempts: {}", joined(&self.outcomes));
        let _ = writeln!(text, "faults: {}", joined(&self.faults));
        let _ = writeln!(text, "promises broken: {}", self.violations.len());
        for violation in self.violations.iter().take(VIOLATIONS_SHOWN) {
            let _ = writeln!(text, "  {}: {}", violation.promise, violation.what);
        }
        text
    }
}

/// Counts attempts by how they ended.
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
        };
        *counts.entry(name).or_default() += 1;
    }
    counts
}
