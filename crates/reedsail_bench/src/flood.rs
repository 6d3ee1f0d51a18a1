//! One workspace sends many times its part: what the others notice of it.

use reedsail_daemon::PolicyChoice;
use serde::Deserialize;
use serde::Serialize;

use crate::Expectation;
use crate::LatencyFigures;
use crate::ReplayReport;
use crate::Trace;
use crate::TraceLine;
use crate::make_trace;
use crate::replay_trace;
use crate::trace_maker::shuffled;

/// How long requests arrive.
const SPAN_MS: u64 = 20_000;
/// What the flood sends, in fair parts of a workspace.
const FLOOD_FACTOR: u64 = 50;
/// When the flood begins.
const FLOOD_FROM_MS: u64 = 4_000;
/// Requests a second of weight one's fair part: capacity over sixteen workspaces and 100 tokens.
const FAIR_PER_S: u64 = 5;
/// What part of its fair part each of the others sends, in hundredths.
const OTHERS_PART: u64 = 60;
/// The flooding workspace's queue at one daemon.
const FLOOD_QUEUED_MAX: u32 = 100;

/// What the others noticed.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FloodReport {
    /// The workspace that floods.
    pub flooder: String,
    /// For each other workspace: 99th percentile of the first token without and with the flood.
    pub p99_ms: Vec<(String, f64, f64)>,
    /// The largest ratio of the two.
    pub worst_ratio: f64,
    /// All others' first tokens without the flood.
    pub calm_ms: LatencyFigures,
    /// All others' first tokens with it.
    pub flooded_ms: LatencyFigures,
    /// Requests of the flood refused as not run.
    pub refused: u64,
    /// Resident memory of the whole process after the calm run, and after the flood.
    pub resident_bytes: (u64, u64),
}

/// Replays the same traffic without and with a flood.
///
/// # Errors
/// The fleet cannot be started.
pub async fn measure_flood(policy: PolicyChoice, progress: impl Fn(&str)) -> anyhow::Result<FloodReport> {
    let calm = flood_trace(false)?;
    let flooded = flood_trace(true)?;
    let culprit = calm.fleet.workspaces[0].name.clone();
    let (calm_report, _) = replay_trace(&calm, policy, None, &progress).await?;
    let calm_bytes = resident_bytes();
    let (flood_report, _) = replay_trace(&flooded, policy, None, &progress).await?;
    let flood_bytes = resident_bytes();
    let others = |report: &ReplayReport| -> Vec<(String, LatencyFigures)> {
        let figures = report.first_token_by_workspace_ms.iter();
        let others = figures.filter(|(name, _)| **name != culprit);
        others.map(|(name, figures)| (name.clone(), *figures)).collect()
    };
    let (before, after) = (others(&calm_report), others(&flood_report));
    let p99_ms: Vec<(String, f64, f64)> = before
        .iter()
        .zip(&after)
        .map(|((name, calm), (_, flooded))| (name.clone(), calm.p99, flooded.p99))
        .collect();
    let worst_ratio = p99_ms
        .iter()
        .map(|(_, calm, flooded)| flooded / calm)
        .fold(0.0, f64::max);
    Ok(FloodReport {
        worst_ratio,
        calm_ms: calm_report.first_token_ms["interactive"],
        flooded_ms: flood_report.first_token_ms["interactive"],
        refused: flood_report.refused_not_run_total,
        resident_bytes: (calm_bytes, flood_bytes),
        p99_ms,
        flooder: culprit,
    })
}

fn flood_trace(with_flood: bool) -> anyhow::Result<Trace> {
    let mut trace = make_trace("chatovna", 7)?;
    trace.fleet.workspaces[0].queued_max = Some(FLOOD_QUEUED_MAX);
    let names: Vec<String> = trace
        .fleet
        .workspaces
        .iter()
        .map(|plan| plan.name.clone())
        .collect();
    let daemons: Vec<String> = trace
        .fleet
        .daemons
        .iter()
        .map(|daemon| daemon.instance.clone())
        .collect();
    let mut lines = Vec::new();
    let mut chat = |at_ms: u64, number: u64, workspace: &str, class: &str, expect: Expectation| {
        let draw = shuffled(number);
        lines.push(TraceLine::Chat {
            at_ms,
            daemon: daemons[draw as usize % daemons.len()].clone(),
            workspace: workspace.to_owned(),
            model: "hut-writer".to_owned(),
            class: class.to_owned(),
            tokens: 50 + (draw >> 8) % 100,
            stream: true,
            group: format!("{workspace} {}", (draw >> 16) % 4),
            expect,
        });
    };
    let spacing_ms = 100_000 / (FAIR_PER_S * OTHERS_PART);
    for (index, workspace) in names.iter().enumerate().skip(1) {
        let mut number = index as u64 * 100_000;
        for at_ms in (500..SPAN_MS).step_by(spacing_ms as usize) {
            number += 1;
            let jitter_ms = shuffled(number) % spacing_ms;
            chat(
                at_ms + jitter_ms,
                number,
                workspace,
                "interactive",
                Expectation::Answered,
            );
        }
    }
    if with_flood {
        let flood_us = 1_000_000 / (FAIR_PER_S * FLOOD_FACTOR);
        for (number, at_us) in (FLOOD_FROM_MS * 1_000..SPAN_MS * 1_000)
            .step_by(flood_us as usize)
            .enumerate()
        {
            let expect = Expectation::AnsweredOr(vec!["queue_full".to_owned()]);
            chat(at_us / 1_000, number as u64, &names[0], "batch", expect);
        }
    }
    lines.sort_by_key(TraceLine::at_ms);
    trace.lines = lines;
    Ok(trace)
}

/// Returns the resident memory of the process, from the second field of `/proc/self/statm`.
fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4_096;
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}
