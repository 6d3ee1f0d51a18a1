//! The waiting requests of one service on one instance, ordered by workspace and within each workspace.

mod workspace_queue;

use std::sync::Arc;

use reedsail_core::ErrorKind;
use reedsail_core::TableKey;
use reedsail_core::TimeMs;
use reedsail_core::WorkspaceKey;

use crate::SharePolicy;
use crate::WorkspaceTable;

pub(crate) use workspace_queue::WorkspaceQueue;

/// The length of a window over which a workspace's service rate is measured.
const RATE_WINDOW_MS: u64 = 1_000;

/// The urgency of a request within its own workspace; never compared across workspaces.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Class {
    /// A caller waits for the answer.
    Interactive,
    /// The answer can wait.
    Batch,
}

impl Class {
    /// Every class, the most urgent first.
    pub const ALL: [Self; 2] = [Self::Interactive, Self::Batch];

    /// Returns the rank in the queue order; the lowest rank goes first.
    pub fn rank(self) -> u8 {
        match self {
            Self::Interactive => 0,
            Self::Batch => 1,
        }
    }

    /// Returns the name used in bundles, headers and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Interactive => "interactive",
            Self::Batch => "batch",
        }
    }
}

/// Identifies a waiting request, so that it can be withdrawn.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Ticket {
    pub(crate) workspace: WorkspaceKey,
    rank: (u8, u64, u64),
}

/// A request that waits for a slot. `W` wakes the task that owns it.
#[derive(Debug)]
pub struct Waiting<W> {
    /// The workspace charged for the request.
    pub workspace: WorkspaceKey,
    /// Its class.
    pub class: Class,
    /// The time by which its answer must begin.
    pub deadline: TimeMs,
    /// The size of its body, which stays in memory while the request waits.
    pub body_bytes: u64,
    /// A hash of the prompt's prefix, if the request has one.
    pub prefix: Option<u64>,
    /// Whether the request can be preempted while it runs and resumed on another server.
    pub preemptible: bool,
    /// Wakes the owner.
    pub waker: W,
}

/// Limits of one workspace's queue for one service on one instance.
#[derive(Clone, Copy, Debug)]
pub struct QueueLimits {
    /// The maximum number of waiting requests.
    pub queued_max: u32,
    /// The maximum total size of waiting bodies.
    pub queued_bytes_max: u64,
    /// The maximum number of requests that run at once on this instance.
    pub running_max: u32,
}

impl Default for QueueLimits {
    fn default() -> Self {
        Self {
            queued_max: 1_024,
            queued_bytes_max: 64 << 20,
            running_max: u32::MAX,
        }
    }
}

/// The queues of all workspaces for one service.
#[derive(Debug)]
pub struct FairQueue<W> {
    table: Arc<WorkspaceTable>,
    /// Workspaces that have used the service on this instance; each other workspace takes only a pointer's
    /// space.
    entries: Vec<Option<Box<WorkspaceQueue<W>>>>,
    /// Workspaces with waiting or running requests; the list is short and scanned in full.
    active: Vec<WorkspaceKey>,
    /// No workspace that becomes backlogged starts below this virtual time.
    floor: f64,
    /// The local time of the request dispatched last. A workspace that becomes backlogged starts here.
    local_time_floor: f64,
    /// Slots per weight, used for workspaces without a share from the allocator.
    slots_per_weight: f64,
    sequence: u64,
    queued: u32,
    window_started_at: TimeMs,
}

impl<W> Default for FairQueue<W> {
    fn default() -> Self {
        Self {
            table: Arc::default(),
            entries: Vec::new(),
            active: Vec::new(),
            floor: 0.0,
            local_time_floor: 0.0,
            slots_per_weight: 1.0,
            sequence: 0,
            queued: 0,
            window_started_at: TimeMs(0),
        }
    }
}

impl<W> FairQueue<W> {
    /// Applies the weights and limits of a new bundle; waiting requests stay queued.
    pub(crate) fn configure(&mut self, table: Arc<WorkspaceTable>) {
        for (index, entry) in self.entries.iter_mut().enumerate() {
            if let Some(entry) = entry {
                let workspace = WorkspaceKey::from_index(index);
                entry.weight = table.weight(workspace);
                entry.limits = table.limits(workspace);
            }
        }
        self.table = table;
    }

    /// Returns the total number of waiting requests.
    pub fn queued(&self) -> u32 {
        self.queued
    }

    /// Returns the number of waiting requests of the workspace.
    pub fn queued_of(&self, workspace: WorkspaceKey) -> u32 {
        self.entry(workspace).map_or(0, WorkspaceQueue::queued)
    }

    /// Returns the cost that the workspace has received on this instance since its start.
    pub fn lifetime_cost(&self, workspace: WorkspaceKey) -> f64 {
        self.entry(workspace).map_or(0.0, |entry| entry.lifetime_cost)
    }

    pub(crate) fn floor(&self) -> f64 {
        self.floor
    }

    pub(crate) fn raise_floor(&mut self, floor: f64) {
        self.floor = self.floor.max(floor);
    }

    pub(crate) fn active_entries(&self) -> impl Iterator<Item = (WorkspaceKey, &WorkspaceQueue<W>)> {
        self.active
            .iter()
            .filter_map(|key| self.entry(*key).map(|entry| (*key, entry)))
    }

    pub(crate) fn entry(&self, workspace: WorkspaceKey) -> Option<&WorkspaceQueue<W>> {
        self.entries.get(workspace.index())?.as_deref()
    }

    pub(crate) fn entry_mut(&mut self, workspace: WorkspaceKey) -> &mut WorkspaceQueue<W> {
        let index = workspace.index();
        if self.entries.len() <= index {
            self.entries.resize_with(index + 1, || None);
        }
        let floor = self.floor;
        let table = &self.table;
        self.entries[index].get_or_insert_with(|| {
            let (weight, limits) = (table.weight(workspace), table.limits(workspace));
            let mut entry = Box::new(WorkspaceQueue::new(weight, limits));
            entry.virtual_time = floor;
            entry
        })
    }

    /// Returns a workspace's share of this instance's slots: the allocator's, or one derived from its weight.
    pub(crate) fn share_of(&self, entry: &WorkspaceQueue<W>) -> f64 {
        entry.share_or(self.slots_per_weight)
    }

    pub(crate) fn idle_entries(&self) -> impl Iterator<Item = (WorkspaceKey, &WorkspaceQueue<W>)> {
        self.entries
            .iter()
            .enumerate()
            .filter_map(|(index, entry)| Some((WorkspaceKey::from_index(index), entry.as_deref()?)))
            .filter(|(_, entry)| !entry.is_active())
    }

    pub(crate) fn all_entries_mut(&mut self) -> impl Iterator<Item = &mut WorkspaceQueue<W>> {
        self.entries.iter_mut().flatten().map(Box::as_mut)
    }

    /// Queues a request.
    ///
    /// # Errors
    /// `QueueFull`, `QueueBytesFull` or `WouldMissDeadline`; a refused request has not run.
    pub(crate) fn push<P: SharePolicy>(
        &mut self,
        policy: &P,
        waiting: Waiting<W>,
        now: TimeMs,
    ) -> Result<Ticket, (ErrorKind, W)> {
        let (floor, local_time_floor) = (self.floor, self.local_time_floor);
        self.sequence += 1;
        let sequence = self.sequence;
        let workspace = waiting.workspace;
        let entry = self.entry_mut(workspace);
        if let Some(kind) = rejection_kind(entry, &waiting, now) {
            return Err((kind, waiting.waker));
        }
        if entry.waiting.is_empty() {
            entry.backlogged_windows = 0;
            entry.cost_at_window_start = entry.lifetime_cost;
            entry.virtual_time = entry.virtual_time.max(floor);
            entry.local_time = entry.local_time.max(local_time_floor);
        }
        let rank = policy.rank(waiting.class, waiting.deadline, sequence);
        entry.queued_bytes += waiting.body_bytes;
        let was_active = entry.is_active();
        entry.waiting.insert(rank, waiting);
        if !was_active {
            self.active.push(workspace);
        }
        self.queued += 1;
        Ok(Ticket { workspace, rank })
    }

    /// Withdraws a waiting request; returns `None` if it is no longer queued.
    pub(crate) fn withdraw(&mut self, ticket: Ticket) -> Option<Waiting<W>> {
        let entry = self.entries.get_mut(ticket.workspace.index())?.as_deref_mut()?;
        let waiting = entry.waiting.remove(&ticket.rank)?;
        entry.queued_bytes -= waiting.body_bytes;
        self.queued -= 1;
        self.deactivate_if_idle(ticket.workspace);
        Some(waiting)
    }

    /// Removes and returns the next request: the first one of the workspace that is furthest behind.
    pub(crate) fn pop<P: SharePolicy>(&mut self, policy: &P) -> Option<Waiting<W>> {
        let mut best: Option<((bool, f64), WorkspaceKey)> = None;
        for (key, entry) in self.active_entries() {
            let Some((rank, _)) = entry.waiting.first_key_value() else {
                continue;
            };
            if entry.running >= entry.limits.running_max {
                continue;
            }
            let local_time = entry.projected_local_time(self.slots_per_weight);
            // Workspaces below the whole slots of their share go first; fractions of slots are ordered by
            // local time.
            let order = (
                !entry.is_below_share(),
                policy.workspace_order(local_time, rank.2),
            );
            if best.is_none_or(|(lowest, _)| order < lowest) {
                best = Some((order, key));
            }
        }
        let (_, workspace) = best?;
        let slots_per_weight = self.slots_per_weight;
        let entry = self.entry_mut(workspace);
        let local_time = entry.projected_local_time(slots_per_weight);
        let (_, waiting) = entry.waiting.pop_first()?;
        entry.queued_bytes -= waiting.body_bytes;
        self.queued -= 1;
        self.local_time_floor = self.local_time_floor.max(local_time);
        self.update_floor();
        Some(waiting)
    }

    /// Charges a workspace for received cost.
    pub(crate) fn charge(&mut self, workspace: WorkspaceKey, cost: f64) {
        let slots_per_weight = self.slots_per_weight;
        let entry = self.entry_mut(workspace);
        entry.cost_total += cost;
        entry.lifetime_cost += cost;
        entry.virtual_time += cost / entry.weight;
        entry.local_time += cost / entry.share_or(slots_per_weight);
    }

    /// Charges the unreceived cost of a preempted request to the local time only. Otherwise the released slot
    /// would go back to the same workspace.
    pub(crate) fn charge_local_time(&mut self, workspace: WorkspaceKey, cost: f64) {
        let slots_per_weight = self.slots_per_weight;
        let entry = self.entry_mut(workspace);
        entry.local_time += cost / entry.share_or(slots_per_weight);
    }

    /// Applies the allocator's shares. A workspace keeps the cost by which it is ahead of its share, up to
    /// the cost of a few requests. Without this limit, a workspace whose share was tiny for a while would
    /// wait for hours.
    pub(crate) fn set_shares(&mut self, shares: &[(WorkspaceKey, f64)]) {
        let (slots, weight) = shares
            .iter()
            .fold((0.0, 0.0), |(slots, weight), (workspace, share)| {
                let workspace_weight = self.entry(*workspace).map_or(1.0, |entry| entry.weight);
                (slots + share, weight + workspace_weight)
            });
        let slots_per_weight_before = self.slots_per_weight;
        if slots > 0.0 {
            self.slots_per_weight = slots / weight;
        }
        let (floor, slots_per_weight_after) = (self.local_time_floor, self.slots_per_weight);
        for entry in self.all_entries_mut() {
            entry.change_share(floor, slots_per_weight_before, None, slots_per_weight_after);
        }
        for (workspace, share) in shares {
            self.entry_mut(*workspace).change_share(
                floor,
                slots_per_weight_after,
                Some(*share),
                slots_per_weight_after,
            );
        }
    }

    /// Removes the workspace from the active list once it has no waiting or running requests.
    pub(crate) fn deactivate_if_idle(&mut self, workspace: WorkspaceKey) {
        if self.entry(workspace).is_some_and(|entry| !entry.is_active()) {
            self.active.retain(|key| *key != workspace);
        }
    }

    /// Removes and returns all requests whose deadline has passed.
    pub(crate) fn take_expired(&mut self, now: TimeMs) -> Vec<Waiting<W>> {
        let mut expired = Vec::new();
        for key in self.active.clone() {
            let entry = self.entry_mut(key);
            let expired_ranks: Vec<_> = entry
                .waiting
                .iter()
                .filter(|(_, waiting)| waiting.deadline <= now)
                .map(|(rank, _)| *rank)
                .collect();
            for rank in expired_ranks {
                let ticket = Ticket { workspace: key, rank };
                expired.extend(self.withdraw(ticket));
            }
        }
        expired
    }

    /// Updates the service rates at the end of the current window.
    pub(crate) fn measure_rates(&mut self, now: TimeMs) {
        let window_ms = now.since_ms(self.window_started_at);
        if window_ms < RATE_WINDOW_MS {
            return;
        }
        self.window_started_at = now;
        for key in self.active.clone() {
            self.entry_mut(key).measure_rate(window_ms);
        }
    }

    fn update_floor(&mut self) {
        let lowest = self
            .active_entries()
            .filter(|(_, entry)| !entry.waiting.is_empty())
            .map(|(_, entry)| entry.virtual_time)
            .fold(f64::INFINITY, f64::min);
        if lowest.is_finite() {
            self.raise_floor(lowest);
        }
    }
}

fn rejection_kind<W>(entry: &WorkspaceQueue<W>, waiting: &Waiting<W>, now: TimeMs) -> Option<ErrorKind> {
    if entry.queued() >= entry.limits.queued_max {
        return Some(ErrorKind::QueueFull);
    }
    if entry.queued_bytes + waiting.body_bytes > entry.limits.queued_bytes_max {
        return Some(ErrorKind::QueueBytesFull);
    }
    let wait_ms = entry.predicted_wait_ms(waiting.class)?;
    (now.plus_ms(wait_ms) > waiting.deadline).then_some(ErrorKind::WouldMissDeadline)
}
