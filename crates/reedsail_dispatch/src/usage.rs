//! What each workspace asked for and got within the window of shares, here and at the peers.

use std::collections::HashMap;

use reedsail_core::NameHash;
use reedsail_core::TimeMs;

use crate::WorkspaceUseRow;
use crate::max_min_level;

/// The parts of a window.
const BUCKETS: usize = 16;
/// How long a computed level is used.
const LEVEL_VALID_MS: u64 = 40;

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    number: u64,
    asked: f32,
    begun: f32,
}

#[derive(Clone, Debug, Default)]
struct WorkspaceUse {
    buckets: [Bucket; BUCKETS],
    peers_asked: f64,
    peers_begun: f64,
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

    fn own(&self, number: u64) -> (f32, f32) {
        let oldest = (number + 1).saturating_sub(BUCKETS as u64);
        self.buckets
            .iter()
            .filter(|bucket| bucket.number >= oldest)
            .fold((0.0, 0.0), |(asked, begun), bucket| {
                (asked + bucket.asked, begun + bucket.begun)
            })
    }
}

/// The use of every workspace.
#[derive(Clone, Debug)]
pub(crate) struct UsageTable {
    workspaces: HashMap<NameHash, WorkspaceUse>,
    bucket_ms: u64,
    level: f64,
    level_until: TimeMs,
}

impl UsageTable {
    pub(crate) fn new(window_ms: u64) -> Self {
        Self {
            workspaces: HashMap::new(),
            bucket_ms: (window_ms / BUCKETS as u64).max(1),
            level: f64::INFINITY,
            level_until: TimeMs(0),
        }
    }

    /// Counts a request that arrived.
    pub(crate) fn ask(&mut self, workspace: NameHash, cost: f64, now: TimeMs) {
        let number = now.0 / self.bucket_ms;
        let entry = self.workspaces.entry(workspace).or_default();
        entry.bucket(number).asked += cost as f32;
    }

    /// Counts a request that was sent.
    pub(crate) fn begin(&mut self, workspace: NameHash, cost: f64, now: TimeMs) {
        let number = now.0 / self.bucket_ms;
        let entry = self.workspaces.entry(workspace).or_default();
        entry.bucket(number).begun += cost as f32;
    }

    /// Adds or, with a negative sign, takes away what a peer reported.
    pub(crate) fn add_peer(&mut self, rows: &[WorkspaceUseRow], sign: f64) {
        for row in rows {
            let entry = self.workspaces.entry(row.workspace).or_default();
            entry.peers_asked = (entry.peers_asked + sign * f64::from(row.requested_cost)).max(0.0);
            entry.peers_begun = (entry.peers_begun + sign * f64::from(row.sent_cost)).max(0.0);
        }
    }

    /// Tells whether a workspace has got its max-min share of what the fleet served lately while
    /// others asked for more than they got.
    pub(crate) fn is_over_share(&mut self, workspace: NameHash, now: TimeMs) -> bool {
        self.settle_level(now);
        let number = now.0 / self.bucket_ms;
        self.workspaces.get(&workspace).is_some_and(|entry| {
            let (_, own) = entry.own(number);
            f64::from(own) + entry.peers_begun > self.level
        })
    }

    /// Returns what this daemon has to report.
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

    fn settle_level(&mut self, now: TimeMs) {
        if now < self.level_until {
            return;
        }
        self.level_until = now.plus_ms(LEVEL_VALID_MS);
        let number = now.0 / self.bucket_ms;
        let mut asked = Vec::with_capacity(self.workspaces.len());
        let mut begun = 0.0;
        for entry in self.workspaces.values() {
            let (own_asked, own_begun) = entry.own(number);
            asked.push(f64::from(own_asked) + entry.peers_asked);
            begun += f64::from(own_begun) + entry.peers_begun;
        }
        self.level = max_min_level(&mut asked, begun);
    }
}
