//! Which running requests give their slot up so that others get their part sooner.
//!
//! Without this, whoever fills every slot just before the others come keeps them until its
//! requests end; at the size to design for a request runs up to 23 s. A stream that is given up
//! goes on later, on any backend server, from the last token delivered.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use crate::ServerKey;
use crate::TimeMs;
use crate::WorkspaceKey;

/// A request is left alone for so long after it got its slot.
const RUN_MIN_MS: u64 = 200;
/// The most requests given up in one tick of one service on one daemon.
const PREEMPTED_PER_TICK_MAX: usize = 8;
/// A workspace keeps so many slots beyond its share, and so large a part of the share besides;
/// within that, shares wander from report to report.
const EXCESS_SLOTS: f64 = 1.0;
/// See `EXCESS_SLOTS`.
const EXCESS_PART: f64 = 0.25;

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
pub(crate) struct ShareStanding {
    pub(crate) running: u32,
    pub(crate) queued: u32,
    pub(crate) share: f64,
}

impl ShareStanding {
    fn excess(&self) -> f64 {
        f64::from(self.running) - self.share * (1.0 + EXCESS_PART) - EXCESS_SLOTS
    }

    /// Returns the slots that the workspace lacks and would use at once.
    fn lacking(&self) -> f64 {
        let lacking = self.share - f64::from(self.running) - EXCESS_SLOTS;
        lacking.clamp(0.0, f64::from(self.queued))
    }
}

/// Raises the flags of requests to be given up: as many as the lease no longer covers, or as the
/// workspaces that are short of their share lack here. Returns how many.
pub(crate) fn preempt(
    runs: &HashMap<u64, RunEntry>,
    standings: &HashMap<WorkspaceKey, ShareStanding>,
    slots_over_lease: u32,
    now: TimeMs,
) -> usize {
    let lacking: f64 = standings.values().map(ShareStanding::lacking).sum();
    let wanted = f64::from(slots_over_lease).max(lacking) as usize;
    let pending = runs.values().filter(|run| run.flag.is_raised()).count();
    let wanted = wanted.saturating_sub(pending).min(PREEMPTED_PER_TICK_MAX);
    if wanted == 0 {
        return 0;
    }
    let mut excess: HashMap<WorkspaceKey, f64> = standings
        .iter()
        .map(|(workspace, standing)| (*workspace, standing.excess()))
        .collect();
    for run in runs.values().filter(|run| run.flag.is_raised()) {
        *excess.entry(run.workspace).or_default() -= 1.0;
    }
    // The youngest first: the least has to be read again where it goes on.
    let mut candidates: Vec<&RunEntry> = runs
        .values()
        .filter(|run| !run.flag.is_raised() && now.since_ms(run.started_at) >= RUN_MIN_MS)
        .collect();
    candidates.sort_by_key(|run| (std::cmp::Reverse(run.started_at), run.workspace, run.server));
    let mut raised = 0;
    for run in candidates {
        if raised == wanted {
            break;
        }
        let left = excess.entry(run.workspace).or_default();
        if *left >= 1.0 {
            *left -= 1.0;
            run.flag.raise();
            raised += 1;
        }
    }
    raised
}
