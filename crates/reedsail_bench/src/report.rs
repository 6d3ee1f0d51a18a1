//! The report of a replay.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::Deserialize;
use serde::Serialize;

use crate::FairnessFigures;
use crate::PromiseCheck;

/// Percentiles in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LatencyFigures {
    /// The number of measurements.
    pub count: u64,
    /// The median.
    pub p50: f64,
    /// The 95th percentile.
    pub p95: f64,
    /// The 99th percentile.
    pub p99: f64,
}

impl LatencyFigures {
    /// Computes the percentiles of times in milliseconds.
    pub fn of(times_ms: &[f64]) -> Self {
        let mut histogram: Histogram<u64> = Histogram::new(3).expect("three digits are a valid precision");
        histogram.auto(true);
        for time_ms in times_ms {
            // An auto-resizing histogram accepts every value.
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

/// The results of a replay.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ReplayReport {
    /// The name of the deployment.
    pub trace: String,
    /// The name of the policy.
    pub policy: String,
    /// The trace's seed.
    pub seed: u64,
    /// The fault script, if any.
    pub faults: Option<String>,
    /// Requests sent.
    pub requests_total: u64,
    /// Requests with a complete answer.
    pub answered_total: u64,
    /// Requests rejected as not run.
    pub refused_not_run_total: u64,
    /// Requests that failed with an unknown run state.
    pub unknown_total: u64,
    /// Requests that ended without a complete answer or a final error, unless a fault excuses it.
    pub lost_total: u64,
    /// Requests that received the answer to another request.
    pub crossed_total: u64,
    /// Non-idempotent calls that ran more than once.
    pub doubled_total: u64,
    /// Requests rejected as "not run" although a backend server recorded them.
    pub false_not_run_total: u64,
    /// Requests whose outcome differs from the trace's expectation.
    pub unexpected_outcomes_total: u64,
    /// Descriptions of the first few unexpected outcomes.
    pub unexpected_outcomes: Vec<String>,
    /// The fairness gap in seconds.
    pub fairness_gap_s: f64,
    /// Utilisation while any request was queued.
    pub utilisation_ratio: f64,
    /// The fairness and utilisation figures in full.
    pub fairness: FairnessFigures,
    /// Control bytes per second of an instance, as the mean over all instances.
    pub control_bytes_per_s_per_daemon: f64,
    /// Control bytes per second of the instance with the most.
    pub control_bytes_per_s_max: f64,
    /// The longest time from the publication of a bundle until all instances had it in force.
    pub bundle_in_force_ms: Option<u64>,
    /// Time to the complete answer, by class.
    pub latency_ms: BTreeMap<String, LatencyFigures>,
    /// Time to the first token of streams, by class.
    pub first_token_ms: BTreeMap<String, LatencyFigures>,
    /// Whether the planned stop of all instances at the end cut off no request.
    pub stop_cut_nothing: bool,
    /// Time to the first token of streams, by workspace.
    pub first_token_by_workspace_ms: BTreeMap<String, LatencyFigures>,
    /// The number of events of all instances, by name.
    pub events: BTreeMap<String, u64>,
    /// The checked promises, each with its evidence.
    pub promises: Vec<PromiseCheck>,
    /// The duration of the replay.
    pub elapsed_s: f64,
}

impl ReplayReport {
    /// Returns whether no request was lost, crossed, run twice, falsely reported as not run or
    /// unexpected, and every promise held.
    pub fn is_clean(&self) -> bool {
        let violations_total = self.lost_total
            + self.crossed_total
            + self.doubled_total
            + self.false_not_run_total
            + self.unexpected_outcomes_total;
        violations_total == 0 && self.promises.iter().all(|promise| promise.holds)
    }

    /// Formats the report as text.
    pub fn render(&self) -> String {
        let mut lines = self.render_totals();
        lines.extend(self.render_details());
        lines.push(format!("duration {:.1} s", self.elapsed_s));
        lines.join("\n")
    }

    fn render_totals(&self) -> Vec<String> {
        vec![
            format!("trace {} policy {} seed {}", self.trace, self.policy, self.seed),
            format!(
                "requests {}: answered {}, rejected as not run {}, unknown {}",
                self.requests_total, self.answered_total, self.refused_not_run_total, self.unknown_total
            ),
            format!(
                "lost {}, crossed {}, run twice {}, falsely not run {}, unexpected {}",
                self.lost_total,
                self.crossed_total,
                self.doubled_total,
                self.false_not_run_total,
                self.unexpected_outcomes_total
            ),
            format!(
                "fairness gap {:.2} s (halves {:.2} and {:.2}, largest request {:.2}), during {:.1} s of backlog",
                self.fairness_gap_s,
                self.fairness.gap_first_half_s,
                self.fairness.gap_second_half_s,
                self.fairness.largest_request_s,
                self.fairness.backlog_s
            ),
            format!("utilisation {:.4}", self.utilisation_ratio),
            format!(
                "control {:.0} B/s per instance (maximum {:.0})",
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
