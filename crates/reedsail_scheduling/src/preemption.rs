//! Selects running requests to preempt, so that other workspaces get their share sooner.
//!
//! Without preemption, a workspace that fills every slot just before the others become active keeps the slots
//! until its requests end. At the design load, a request runs for up to 23 s. A preempted stream resumes
//! later, on any backend server, after the last token delivered.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use reedsail_core::ServerKey;
use reedsail_core::TimeMs;
use reedsail_core::WorkspaceKey;

/// A request is not preempted within this time after its dispatch.
const RUN_MIN_MS: u64 = 100;
/// The maximum number of requests preempted per tick of one service on one instance.
const PREEMPTED_PER_TICK_MAX: usize = 16;
/// Targets fluctuate from report to report, so this many slots above the lease are tolerated, plus the lease
/// divided by `OVER_LEASE_TOLERANCE_DIVISOR`.
const OVER_LEASE_TOLERANCE_SLOTS: u32 = 1;
/// See `OVER_LEASE_TOLERANCE_SLOTS`.
const OVER_LEASE_TOLERANCE_DIVISOR: u32 = 8;

/// Signals a running request to release its slot. Clones share their state.
#[derive(Clone, Debug, Default)]
pub struct PreemptFlag(Arc<AtomicBool>);

impl PreemptFlag {
    /// Returns whether the request must release its slot.
    pub fn is_raised(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }

    fn raise(&self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// A running request that can be preempted.
#[derive(Clone, Debug)]
pub(crate) struct PreemptibleRun {
    pub(crate) workspace: WorkspaceKey,
    pub(crate) server: ServerKey,
    pub(crate) started_at: TimeMs,
    pub(crate) flag: PreemptFlag,
}

/// A workspace's running and queued requests against its share.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ShareBalance {
    pub(crate) running: u32,
    pub(crate) queued: u32,
    pub(crate) share: f64,
}

impl ShareBalance {
    fn excess(&self) -> f64 {
        f64::from(self.running) - self.share
    }

    /// Returns the slots that the workspace lacks and would use at once.
    fn deficit(&self) -> f64 {
        let deficit = (self.share - f64::from(self.running)).floor();
        deficit.clamp(0.0, f64::from(self.queued))
    }
}

/// Raises the flags of requests to preempt and returns their number: as many as exceed the lease, or as the
/// workspaces below their share lack on this instance.
///
/// The requests come from the workspace that is furthest above its share, its youngest request first: it has
/// the fewest tokens to prefill again when it resumes.
pub(crate) fn preempt(
    runs: &HashMap<u64, PreemptibleRun>,
    balances: &HashMap<WorkspaceKey, ShareBalance>,
    (leased, in_use): (u32, u32),
    now: TimeMs,
) -> usize {
    let deficit: f64 = balances.values().map(ShareBalance::deficit).sum();
    let tolerance_slots = OVER_LEASE_TOLERANCE_SLOTS + leased / OVER_LEASE_TOLERANCE_DIVISOR;
    let over_lease = in_use.saturating_sub(leased + tolerance_slots);
    let already_flagged = runs.values().filter(|run| run.flag.is_raised()).count();
    let wanted = (over_lease as usize).max(deficit as usize);
    let wanted = wanted.saturating_sub(already_flagged).min(PREEMPTED_PER_TICK_MAX);
    if wanted == 0 {
        return 0;
    }
    let mut excess: HashMap<WorkspaceKey, f64> = balances
        .iter()
        .map(|(workspace, balance)| (*workspace, balance.excess()))
        .collect();
    let mut candidates: HashMap<WorkspaceKey, Vec<&PreemptibleRun>> = HashMap::new();
    for run in runs.values() {
        if run.flag.is_raised() {
            *excess.entry(run.workspace).or_default() -= 1.0;
        } else if now.since_ms(run.started_at) >= RUN_MIN_MS {
            candidates.entry(run.workspace).or_default().push(run);
        }
    }
    for runs in candidates.values_mut() {
        runs.sort_by_key(|run| (run.started_at, run.server));
    }
    let mut preempted = 0;
    while preempted < wanted {
        let furthest_above_share = candidates
            .iter_mut()
            .filter(|(_, runs)| !runs.is_empty())
            .map(|(workspace, runs)| (excess.get(workspace).copied().unwrap_or(0.0), *workspace, runs))
            .max_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        let Some((excess_slots, workspace, runs)) = furthest_above_share else {
            break;
        };
        if excess_slots < 1.0 {
            break;
        }
        if let Some(run) = runs.pop() {
            run.flag.raise();
        }
        *excess.entry(workspace).or_default() -= 1.0;
        preempted += 1;
    }
    preempted
}
