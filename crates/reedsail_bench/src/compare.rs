//! Replays one trace under every policy, one after the other.

use reedsail_daemon::PolicyChoice;

use crate::ReplayReport;
use crate::Sample;
use crate::Trace;
use crate::replay_trace;

/// Replays a trace under `fifo`, `split` and `fleet`.
///
/// # Errors
/// A fleet cannot be started, or a line of the trace names an unknown instance or workspace.
pub async fn compare_policies(
    trace: &Trace,
    progress: impl Fn(&str),
) -> anyhow::Result<Vec<(ReplayReport, Vec<Sample>)>> {
    let daemons = trace.fleet.daemons.len() as u32;
    let policies = [
        PolicyChoice::Fifo,
        PolicyChoice::Split { daemons },
        PolicyChoice::Fleet,
    ];
    let mut runs = Vec::new();
    for policy in policies {
        progress(&format!("policy {policy:?}"));
        runs.push(replay_trace(trace, policy, None, &progress).await?);
    }
    Ok(runs)
}
