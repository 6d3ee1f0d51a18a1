//! Fair share: whether a workspace has had more than its share while others want more.
//!
//! **Rule.** Over a sliding window, what the fleet sent to servers is divided max-min among the
//! workspaces by what each requested. A workspace whose sent cost is above that level is over its
//! share; where there is enough for all, nobody is.
//!
//! **Inputs.** The cost of requests as they arrive and as they are sent (tokens, see [`Demand::cost`]),
//! here and from peers' reports; the setting `dispatch.share_window_ms`.
//!
//! **Why.** The users judge fairness by the tokens that each workspace got within such a window, over
//! the whole fleet. Peers' reports stand in for coordination: a report that is late costs fairness for
//! a moment and nothing else.
//!
//! **Measured.** With and without peers' reports: `tests/flood.rs` (the smallest workspace served 0.943
//! against 0.771 of its requests, seed 7). The window comes from the users' bounds; the margin and the
//! age of the level: see each constant.
//!
//! **Tested by** `tests/shares.rs`, `tests/flood.rs`, `tests/decision_trace.rs`.
//!
//! [`Demand::cost`]: crate::Demand::cost

use std::collections::HashMap;

use reedsail_core::NameHash;
use reedsail_core::TimeMs;

use crate::WorkspaceUseRow;
use crate::max_min_level;

/// Buckets of a window. Chosen, not measured.
const BUCKETS: usize = 16;
/// How long a computed level is used, in milliseconds, so that a burst of requests sorts the workspaces
/// once. Chosen, not measured.
const LEVEL_VALID_MS: u64 = 40;

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    number: u64,
    requested: f32,
    sent: f32,
}

#[derive(Clone, Debug, Default)]
struct WorkspaceUse {
    buckets: [Bucket; BUCKETS],
    peers_requested: f64,
    peers_sent: f64,
}

impl WorkspaceUse {
    fn bucket(&mut self, number: u64) -> &mut Bucket {
        let bucket = &mut self.buckets[(number % BUCKETS as u64) as usize];
        if bucket.number != number {
            *bucket = Bucket {
                number,
                ..Bucket::default()
            };
        }
        bucket
    }

    /// Returns the cost requested and sent on this instance within the window.
    fn own(&self, number: u64) -> (f32, f32) {
        let oldest = (number + 1).saturating_sub(BUCKETS as u64);
        self.buckets
            .iter()
            .filter(|bucket| bucket.number >= oldest)
            .fold((0.0, 0.0), |(requested, sent), bucket| {
                (requested + bucket.requested, sent + bucket.sent)
            })
    }

    /// Returns the cost requested and sent on all instances within the window.
    fn total(&self, number: u64) -> (f64, f64) {
        let (own_requested, own_sent) = self.own(number);
        (
            f64::from(own_requested) + self.peers_requested,
            f64::from(own_sent) + self.peers_sent,
        )
    }
}

/// What one workspace requested and was sent within the window over the whole fleet, as one instance knows
/// it, and the level that its share is judged by. In tokens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkspaceShare {
    /// Cost of its requests.
    pub requested_cost: f64,
    /// Cost of those that were sent.
    pub sent_cost: f64,
    /// What no workspace gets more of while others want more; infinite where there is enough for all.
    pub level_cost: f64,
}

impl WorkspaceShare {
    /// Tells whether the workspace was sent more than its share.
    pub fn is_over(&self) -> bool {
        self.sent_cost > self.level_cost
    }
}

/// The use of every workspace within the window.
#[derive(Clone, Debug)]
pub(crate) struct UsageTable {
    workspaces: HashMap<NameHash, WorkspaceUse>,
    bucket_ms: u64,
    level: f64,
    level_until: TimeMs,
}

impl UsageTable {
    /// Makes an empty table with a window of `window_ms` milliseconds.
    pub(crate) fn new(window_ms: u64) -> Self {
        Self {
            workspaces: HashMap::new(),
            bucket_ms: (window_ms / BUCKETS as u64).max(1),
            level: f64::INFINITY,
            level_until: TimeMs(0),
        }
    }

    /// Counts the cost of a request that arrived.
    pub(crate) fn record_request(&mut self, workspace: NameHash, cost: f64, now: TimeMs) {
        let number = now.0 / self.bucket_ms;
        let entry = self.workspaces.entry(workspace).or_default();
        entry.bucket(number).requested += cost as f32;
    }

    /// Counts the cost of a request that was sent.
    pub(crate) fn record_sent(&mut self, workspace: NameHash, cost: f64, now: TimeMs) {
        let number = now.0 / self.bucket_ms;
        let entry = self.workspaces.entry(workspace).or_default();
        entry.bucket(number).sent += cost as f32;
    }

    /// Takes back what was counted as sent at a moment, since no server had it: callers that enter at a late
    /// instance would put their workspace over its share by attempts that it never got.
    pub(crate) fn take_back(&mut self, workspace: NameHash, cost: f64, sent_at: TimeMs) {
        let number = sent_at.0 / self.bucket_ms;
        let Some(entry) = self.workspaces.get_mut(&workspace) else {
            return;
        };
        let bucket = &mut entry.buckets[(number % BUCKETS as u64) as usize];
        // Another number: the window has moved on, and the amount with it.
        if bucket.number == number {
            bucket.sent = (bucket.sent - cost as f32).max(0.0);
        }
    }

    /// Adds or, with a negative sign, takes away what a peer reported.
    pub(crate) fn add_peer(&mut self, rows: &[WorkspaceUseRow], sign: f64) {
        for row in rows {
            let entry = self.workspaces.entry(row.workspace).or_default();
            entry.peers_requested = (entry.peers_requested + sign * f64::from(row.requested_cost)).max(0.0);
            entry.peers_sent = (entry.peers_sent + sign * f64::from(row.sent_cost)).max(0.0);
        }
    }

    /// Returns the share of a workspace: it is over if it got more than its max-min share of what the fleet
    /// sent within the window while others requested more than they got.
    pub(crate) fn share(&mut self, workspace: NameHash, now: TimeMs) -> WorkspaceShare {
        self.refresh_level(now);
        let number = now.0 / self.bucket_ms;
        let entry = self.workspaces.get(&workspace);
        let (requested_cost, sent_cost) = entry.map_or((0.0, 0.0), |entry| entry.total(number));
        WorkspaceShare {
            requested_cost,
            sent_cost,
            level_cost: self.level,
        }
    }

    /// Returns the workspaces that asked on this instance within the window, each with its share.
    pub(crate) fn own_shares(&mut self, now: TimeMs) -> Vec<(NameHash, WorkspaceShare)> {
        let number = now.0 / self.bucket_ms;
        let own = self.workspaces.iter();
        let names: Vec<NameHash> = own
            .filter(|(_, entry)| entry.own(number).0 > 0.0)
            .map(|(workspace, _)| *workspace)
            .collect();
        names
            .into_iter()
            .map(|workspace| (workspace, self.share(workspace, now)))
            .collect()
    }

    /// Returns this instance's rows for its load report.
    pub(crate) fn report(&mut self, now: TimeMs) -> Vec<WorkspaceUseRow> {
        let number = now.0 / self.bucket_ms;
        let mut rows = Vec::new();
        for (workspace, entry) in &self.workspaces {
            let (requested_cost, sent_cost) = entry.own(number);
            if requested_cost > 0.0 {
                rows.push(WorkspaceUseRow {
                    workspace: *workspace,
                    requested_cost,
                    sent_cost,
                });
            }
        }
        rows
    }

    fn refresh_level(&mut self, now: TimeMs) {
        if now < self.level_until {
            return;
        }
        self.level_until = now.plus_ms(LEVEL_VALID_MS);
        let number = now.0 / self.bucket_ms;
        let mut requested = Vec::with_capacity(self.workspaces.len());
        let mut sent = 0.0;
        for entry in self.workspaces.values() {
            let (entry_requested, entry_sent) = entry.total(number);
            requested.push(entry_requested);
            sent += entry_sent;
        }
        self.level = max_min_level(&mut requested, sent);
    }
}
