//! What a replay reports.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::Deserialize;
use serde::Serialize;

use crate::FairnessFigures;
use crate::PromiseCheck;

/// Percentiles in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LatencyFigures {
    /// How many were measured.
    pub count: u64,
    /// The median.
    pub p50: f64,
    /// 95 in 100 are at most this.
    pub p95: f64,
    /// 99 in 100 are at most this.
    pub p99: f64,
}

impl LatencyFigures {
    /// Summarises times in milliseconds.
    pub fn of(times_ms: &[f64]) -> Self {
        let mut histogram: Histogram<u64> = Histogram::new(3).expect("three digits are a valid precision");
        histogram.auto(true);
        for time_ms in times_ms {
            // With automatic growth every value fits.
            let _ = histogram.record((time_ms * 1_000.0) as u64);
        }
        let at = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
        Self {
            count: histogram.len(),
            p50: at(0.50),
            p95: at(0.95),
            p99: at(0.99),
        }
    }
}

/// Everything that a replay reports.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ReplayReport {
    /// The deployment.
    pub trace: String,
    /// The policy.
    pub policy: String,
    /// The trace's seed.
    pub seed: u64,
    /// The fault script, if any.
    pub faults: Option<String>,
    /// Requests sent.
    pub requests_total: u64,
    /// Answered whole.
    pub answered_total: u64,
    /// Refused as not run.
    pub refused_not_run_total: u64,
    /// Ended without anybody knowing whether they ran.
    pub unknown_total: u64,
    /// Left without a whole answer or a final error.
    pub lost_total: u64,
    /// Given another request's answer.
    pub crossed_total: u64,
    /// Run more than once though they may not be.
    pub doubled_total: u64,
    /// Refused as "not run" though a backend server's record shows them.
    pub false_not_run_total: u64,
    /// Ended otherwise than their line states.
    pub unexpected_outcomes_total: u64,
    /// The first few of those, in words.
    pub unexpected_outcomes: Vec<String>,
    /// The fairness gap in seconds.
    pub fairness_gap_s: f64,
    /// Utilisation while work waited.
    pub utilisation_ratio: f64,
    /// More on both.
    pub fairness: FairnessFigures,
    /// Control bytes a second and daemon, mean over the daemons.
    pub control_bytes_per_s_per_daemon: f64,
    /// The same for the daemon that spends most.
    pub control_bytes_per_s_max: f64,
    /// How long a published bundle took to be in force everywhere, at most.
    pub bundle_in_force_ms: Option<u64>,
    /// Time to the whole answer, by class.
    pub latency_ms: BTreeMap<String, LatencyFigures>,
    /// Time to the first token of streams, by class.
    pub first_token_ms: BTreeMap<String, LatencyFigures>,
    /// Whether a planned stop of all daemons at the end cut nothing.
    pub stop_cut_nothing: bool,
    /// Time to the first token of streams, by workspace.
    pub first_token_by_workspace_ms: BTreeMap<String, LatencyFigures>,
    /// Events of all daemons, by name.
    pub events: BTreeMap<String, u64>,
    /// The promises of the brief, each with its evidence.
    pub promises: Vec<PromiseCheck>,
    /// How long the replay took.
    pub elapsed_s: f64,
}

impl ReplayReport {
    /// Tells whether nothing was lost, doubled, crossed or unexpected, and every promise held.
    pub fn is_clean(&self) -> bool {
        let wrong = self.lost_total
            + self.crossed_total
            + self.doubled_total
            + self.false_not_run_total
            + self.unexpected_outcomes_total;
        wrong == 0 && self.promises.iter().all(|promise| promise.holds)
    }

    /// Writes the report for people.
    pub fn render(&self) -> String {
        let mut lines = self.render_totals();
        lines.extend(self.render_details());
        lines.push(format!("took {:.1} s", self.elapsed_s));
        lines.join("\n")
    }

    fn render_totals(&self) -> Vec<String> {
        vec![
            format!("trace {} policy {} seed {}", self.trace, self.policy, self.seed),
            format!(
                "requests {}: answered {}, refused as not run {}, unknown {}",
                self.requests_total, self.answered_total, self.refused_not_run_total, self.unknown_total
            ),
            format!(
                "lost {}, crossed {}, doubled {}, false not-run {}, unexpected {}",
                self.lost_total,
                self.crossed_total,
                self.doubled_total,
                self.false_not_run_total,
                self.unexpected_outcomes_total
            ),
            format!(
                "fairness gap {:.2} s (halves {:.2} and {:.2}, largest request {:.2}), over {:.1} s of backlog",
                self.fairness_gap_s,
                self.fairness.gap_first_half_s,
                self.fairness.gap_second_half_s,
                self.fairness.largest_request_s,
                self.fairness.backlog_s
            ),
            format!("utilisation {:.4}", self.utilisation_ratio),
            format!(
                "control {:.0} B/s a daemon (most {:.0})",
                self.control_bytes_per_s_per_daemon, self.control_bytes_per_s_max
            ),
        ]
    }

    fn render_details(&self) -> Vec<String> {
        let mut lines = Vec::new();
        if let Some(in_force_ms) = self.bundle_in_force_ms {
            lines.push(format!("bundle in force everywhere after {in_force_ms} ms"));
        }
        let events: Vec<String> = self
            .events
            .iter()
            .map(|(name, count)| format!("{name} {count}"))
            .collect();
        lines.push(format!("events: {}", events.join(", ")));
        for (class, figures) in &self.latency_ms {
            lines.push(render_latency("latency", class, figures));
        }
        for (class, figures) in &self.first_token_ms {
            lines.push(render_latency("first token", class, figures));
        }
        for outcome in &self.unexpected_outcomes {
            lines.push(format!("unexpected: {outcome}"));
        }
        for promise in &self.promises {
            let verdict = if promise.holds { "holds" } else { "BROKEN" };
            lines.push(format!("{verdict}: {} ({})", promise.promise, promise.evidence));
        }
        lines
    }
}

fn render_latency(what: &str, class: &str, figures: &LatencyFigures) -> String {
    format!(
        "{what} {class}: p50 {:.1} p95 {:.1} p99 {:.1} ms over {}",
        figures.p50, figures.p95, figures.p99, figures.count
    )
}
