//! Which running requests give their slot up so that others get their part sooner.
//!
//! Without this, whoever fills every slot just before the others come keeps them until its
//! requests end; at the size to design for a request runs up to 23 s. A stream that is given up
//! goes on later, on any backend server, from the last token delivered.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use reedsail_core::ServerKey;
use reedsail_core::TimeMs;
use reedsail_core::WorkspaceKey;

/// A request is left alone for so long after it got its slot.
const RUN_MIN_MS: u64 = 100;
/// The most requests given up in one tick of one service on one daemon.
const PREEMPTED_PER_TICK_MAX: usize = 16;
/// Targets wander from report to report: so many slots over the lease are left alone, and so large
/// a part of the lease besides.
const OVER_LEASE_SLOTS: u32 = 1;
/// See `OVER_LEASE_SLOTS`.
const OVER_LEASE_DIVISOR: u32 = 8;

/// Tells a running request that it is to give its slot up. Clones share their state.
#[derive(Clone, Debug, Default)]
pub struct PreemptFlag(Arc<AtomicBool>);

impl PreemptFlag {
    /// Tells whether the request is to give its slot up.
    pub fn is_raised(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }

    fn raise(&self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// One running request that can be given up.
#[derive(Clone, Debug)]
pub(crate) struct RunEntry {
    pub(crate) workspace: WorkspaceKey,
    pub(crate) server: ServerKey,
    pub(crate) started_at: TimeMs,
    pub(crate) flag: PreemptFlag,
}

/// How one workspace stands against its share.
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
    fn lacking(&self) -> f64 {
        let lacking = (self.share - f64::from(self.running)).floor();
        lacking.clamp(0.0, f64::from(self.queued))
    }
}

/// Raises the flags of requests to be given up: as many as the lease no longer covers, or as the
/// workspaces that are short of their share lack here. Returns how many.
///
/// They are taken from whichever workspace is furthest above its share, its youngest request first:
/// the least has to be read again where it goes on.
pub(crate) fn preempt(
    runs: &HashMap<u64, RunEntry>,
    balances: &HashMap<WorkspaceKey, ShareBalance>,
    (leased, in_use): (u32, u32),
    now: TimeMs,
) -> usize {
    let lacking: f64 = balances.values().map(ShareBalance::lacking).sum();
    let left_alone = OVER_LEASE_SLOTS + leased / OVER_LEASE_DIVISOR;
    let over_lease = in_use.saturating_sub(leased + left_alone);
    let pending = runs.values().filter(|run| run.flag.is_raised()).count();
    let wanted = (over_lease as usize).max(lacking as usize);
    let wanted = wanted.saturating_sub(pending).min(PREEMPTED_PER_TICK_MAX);
    if wanted == 0 {
        return 0;
    }
    let mut excess: HashMap<WorkspaceKey, f64> = balances
        .iter()
        .map(|(workspace, balance)| (*workspace, balance.excess()))
        .collect();
    let mut candidates: HashMap<WorkspaceKey, Vec<&RunEntry>> = HashMap::new();
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
    let mut raised = 0;
    while raised < wanted {
        let most = candidates
            .iter_mut()
            .filter(|(_, runs)| !runs.is_empty())
            .map(|(workspace, runs)| (excess.get(workspace).copied().unwrap_or(0.0), *workspace, runs))
            .max_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        let Some((above, workspace, runs)) = most else {
            break;
        };
        if above < 1.0 {
            break;
        }
        if let Some(run) = runs.pop() {
            run.flag.raise();
        }
        *excess.entry(workspace).or_default() -= 1.0;
        raised += 1;
    }
    raised
}
