//! The scheduler of one service on one instance: its queues, its slots, and which request runs next on which
//! server.

mod leases;

use std::collections::HashMap;
use std::sync::Arc;

use reedsail_core::ErrorKind;
use reedsail_core::ServerKey;
use reedsail_core::TimeMs;
use reedsail_core::WorkspaceKey;

use crate::AffinityTable;
use crate::FairQueue;
use crate::PreemptFlag;
use crate::ServerHealth;
use crate::SharePolicy;
use crate::Ticket;
use crate::Waiting;
use crate::WorkspaceTable;
use crate::preemption::PreemptibleRun;
use crate::preemption::ShareBalance;
use crate::preemption::preempt;

/// This many returned slots justify an urgent report.
const RETURNED_SLOTS_MIN: u32 = 3;
/// How much higher the load of the server with the cached prefix may be, as a fraction of its slots.
const AFFINITY_LOAD_MARGIN: f64 = 0.5;

/// A backend server as the bundle in force describes it.
#[derive(Clone, Copy, Debug)]
pub struct ServerSetup {
    /// The backend server.
    pub server: ServerKey,
    /// The number of requests that it runs at once.
    pub capacity: u32,
}

/// A request with a slot; [`Scheduler::finish`] releases the slot.
#[derive(Debug)]
pub struct Running {
    /// The workspace charged for the request.
    pub workspace: WorkspaceKey,
    /// The backend server of the slot.
    pub server: ServerKey,
    /// Raised when the request must release its slot.
    pub preempt: PreemptFlag,
    run_number: u64,
    estimated_cost: f64,
    charged_cost: f64,
}

/// A request that can be sent now.
#[derive(Debug)]
pub struct Dispatch<W> {
    /// Its slot.
    pub running: Running,
    /// Wakes its owner.
    pub waker: W,
}

#[derive(Debug)]
struct Server {
    capacity: u32,
    leased: u32,
    lease_deadline: TimeMs,
    in_use: u32,
    is_leaving: bool,
    is_configured: bool,
    reported_busy_ratio: f64,
    health: ServerHealth,
}

impl Server {
    /// Returns the number of slots available for new requests. An expired lease yields none, even before a
    /// tick clears it: the control thread may be paused.
    fn free_slots(&mut self, leased: bool, now: TimeMs) -> u32 {
        if self.is_leaving || !self.is_configured || (leased && self.lease_deadline <= now) {
            return 0;
        }
        self.health
            .usable_slots(self.leased, now)
            .saturating_sub(self.in_use)
    }
}

/// The queues and slots of one service on one instance, shared under the policy `P`.
#[derive(Debug)]
pub struct Scheduler<P, W> {
    policy: P,
    queue: FairQueue<W>,
    servers: HashMap<ServerKey, Server>,
    affinity: AffinityTable,
    session: u32,
    runs_started: u64,
    /// Preemptible running requests by run number.
    preemptible: HashMap<u64, PreemptibleRun>,
    /// When the last grant expires.
    grant_deadline: TimeMs,
    /// Whether requests waited without a free slot since the last report.
    is_starved: bool,
    /// Whether the last report included waiting requests.
    was_backlog_reported: bool,
    /// The slots in use when the last grant shrank the lease below them; zero otherwise.
    in_use_at_shrink: u32,
}

impl<P: SharePolicy, W> Scheduler<P, W> {
    /// Creates a scheduler without servers or requests.
    pub fn new(policy: P, session: u32) -> Self {
        Self {
            policy,
            queue: FairQueue::default(),
            servers: HashMap::new(),
            affinity: AffinityTable::default(),
            session,
            runs_started: 0,
            preemptible: HashMap::new(),
            grant_deadline: TimeMs(0),
            is_starved: false,
            was_backlog_reported: false,
            in_use_at_shrink: 0,
        }
    }

    /// Returns the queues, for reports and metrics.
    pub fn queue(&self) -> &FairQueue<W> {
        &self.queue
    }

    /// Applies the weights and limits of a new bundle; waiting and running requests stay.
    pub fn configure(&mut self, servers: &[ServerSetup], workspaces: Arc<WorkspaceTable>) {
        for server in self.servers.values_mut() {
            server.is_configured = false;
        }
        for setup in servers {
            let fixed = self.policy.fixed_slots(setup.capacity);
            let server = self.servers.entry(setup.server).or_insert_with(|| Server {
                capacity: setup.capacity,
                leased: 0,
                lease_deadline: TimeMs(0),
                in_use: 0,
                is_leaving: false,
                is_configured: true,
                reported_busy_ratio: 0.0,
                health: ServerHealth::default(),
            });
            server.capacity = setup.capacity;
            server.is_configured = true;
            if !P::LEASED {
                server.leased = fixed;
            }
        }
        self.servers
            .retain(|_, server| server.is_configured || server.in_use > 0);
        self.queue.configure(workspaces);
    }

    /// Queues a request.
    ///
    /// # Errors
    /// The kind of refusal and the waker; a refused request has not run.
    pub fn submit(&mut self, waiting: Waiting<W>, now: TimeMs) -> Result<Ticket, (ErrorKind, W)> {
        self.queue.push(&self.policy, waiting, now)
    }

    /// Withdraws a waiting request; returns `None` if it was already dispatched.
    pub fn withdraw(&mut self, ticket: Ticket) -> Option<Waiting<W>> {
        self.queue.withdraw(ticket)
    }

    /// Dispatches as many waiting requests as there are free slots.
    pub fn dispatch(&mut self, now: TimeMs) -> Vec<Dispatch<W>> {
        let mut dispatches = Vec::new();
        while self.queue.queued() > 0 {
            if !self
                .servers
                .values_mut()
                .any(|server| server.free_slots(P::LEASED, now) > 0)
            {
                self.is_starved = true;
                break;
            }
            let Some(waiting) = self.queue.pop(&self.policy) else {
                break;
            };
            let Some(server) = self.choose_server(waiting.prefix, now) else {
                break;
            };
            let running = self.start(&waiting, server, now);
            let waker = waiting.waker;
            dispatches.push(Dispatch { running, waker });
        }
        dispatches
    }

    /// Takes a slot for a retry, on a server that is not in `tried`.
    ///
    /// A retry is not queued again: its workspace was already charged for its place in the order.
    ///
    /// # Errors
    /// Returns the original slot if no other server has a free one.
    pub fn move_to_untried_server(
        &mut self,
        running: Running,
        tried: &[ServerKey],
        now: TimeMs,
    ) -> Result<Running, Running> {
        let choice = self
            .servers
            .iter_mut()
            .filter(|(key, _)| !tried.contains(key))
            .filter_map(|(key, server)| {
                (server.free_slots(P::LEASED, now) > 0).then_some((*key, server.in_use))
            })
            .min_by_key(|(key, in_use)| (*in_use, *key));
        let Some((server, _)) = choice else {
            return Err(running);
        };
        self.release_slot(running.server);
        if let Some(entry) = self.servers.get_mut(&server) {
            entry.in_use += 1;
        }
        Ok(Running { server, ..running })
    }

    /// Charges a running request's cost as it accrues, so that the order does not depend on its end.
    pub fn progress(&mut self, running: &mut Running, cost: f64) {
        let new_cost = (cost - running.charged_cost).max(0.0);
        let entry = self.queue.entry_mut(running.workspace);
        let remaining_cost = (running.estimated_cost - running.charged_cost).max(0.0);
        let remaining_after = (running.estimated_cost - cost).max(0.0);
        entry.outstanding_cost = (entry.outstanding_cost - (remaining_cost - remaining_after)).max(0.0);
        self.queue.charge(running.workspace, new_cost);
        running.charged_cost += new_cost;
    }

    /// Ends a request with its final cost and releases its slot.
    pub fn finish(&mut self, mut running: Running, cost: f64, answered: bool) {
        self.progress(&mut running, cost);
        let remaining_cost = (running.estimated_cost - running.charged_cost).max(0.0);
        let entry = self.queue.entry_mut(running.workspace);
        entry.outstanding_cost = (entry.outstanding_cost - remaining_cost).max(0.0);
        entry.running -= 1;
        if answered {
            entry.record_cost(cost);
        }
        if entry.running == 0 {
            entry.outstanding_cost = 0.0;
        }
        if !answered && running.preempt.is_raised() {
            self.queue.charge_local_time(running.workspace, remaining_cost);
        }
        self.preemptible.remove(&running.run_number);
        self.queue.deactivate_if_idle(running.workspace);
        if answered && let Some(entry) = self.servers.get_mut(&running.server) {
            entry.health.record_success();
        }
        self.release_slot(running.server);
    }

    /// Preempts running requests that exceed the lease or that hold slots which workspaces below their share
    /// lack; returns their number. Does nothing without a valid grant: then no other instance waits for the
    /// slots.
    pub fn preempt_excess(&mut self, now: TimeMs) -> usize {
        if !P::LEASED || self.grant_deadline <= now {
            return 0;
        }
        let balances = self
            .queue
            .active_entries()
            .map(|(workspace, entry)| {
                let balance = ShareBalance {
                    running: entry.running,
                    queued: entry.queued(),
                    share: self.queue.share_of(entry),
                };
                (workspace, balance)
            })
            .collect();
        preempt(&self.preemptible, &balances, self.slot_counts(), now)
    }

    /// Preempts at once, without waiting for the next tick, if the workspace of a newly queued request is
    /// below its share.
    pub fn preempt_for(&mut self, workspace: WorkspaceKey, now: TimeMs) {
        let is_short = self.queue.entry(workspace).is_some_and(|entry| {
            entry.queued() > 0 && f64::from(entry.running) + 1.0 <= self.queue.share_of(entry)
        });
        if is_short {
            self.preempt_excess(now);
        }
    }

    /// Records a failure of the server; returns `true` if its rest begins.
    pub fn record_failure(&mut self, server: ServerKey, now: TimeMs) -> bool {
        self.servers
            .get_mut(&server)
            .is_some_and(|entry| entry.health.record_failure(now))
    }

    /// Marks the backend servers that are leaving according to the platform or a peer.
    pub fn set_leaving(&mut self, is_leaving: impl Fn(ServerKey) -> bool) {
        for (key, server) in &mut self.servers {
            server.is_leaving = is_leaving(*key);
        }
    }

    /// Records the load that a server reports; the report lags behind, so it only breaks near ties.
    pub fn record_load(&mut self, server: ServerKey, busy_ratio: f64) {
        if let Some(entry) = self.servers.get_mut(&server) {
            entry.reported_busy_ratio = busy_ratio.clamp(0.0, 2.0);
        }
    }

    /// Records a server's delayed report that it cached or evicted a prefix.
    pub fn record_cache_event(&mut self, server: ServerKey, prefix: u64, cached: bool, now: TimeMs) {
        if cached {
            self.affinity.record(prefix, server, now);
        } else {
            self.affinity.forget(prefix, server);
        }
    }

    /// Clears expired leases, and removes and returns requests whose deadline has passed.
    pub fn tick(&mut self, now: TimeMs) -> Vec<Waiting<W>> {
        self.expire_leases(now);
        self.queue.measure_rates(now);
        self.queue.take_expired(now)
    }

    fn expire_leases(&mut self, now: TimeMs) {
        if !P::LEASED {
            return;
        }
        for server in self.servers.values_mut() {
            if server.lease_deadline <= now {
                server.leased = 0;
            }
        }
    }

    /// Returns whether the allocator needs a report at once: requests wait without a free slot, or slots that
    /// it reclaimed are free.
    pub fn needs_urgent_report(&self) -> bool {
        let is_newly_starved = self.is_starved && self.queue.queued() > 0 && !self.was_backlog_reported;
        let (_, in_use) = self.slot_counts();
        is_newly_starved || in_use + RETURNED_SLOTS_MIN <= self.in_use_at_shrink
    }

    /// Returns whether any workspace has waiting or running requests.
    pub fn is_active(&self) -> bool {
        self.queue.active_entries().next().is_some()
    }

    /// Returns the numbers of leased slots and of slots in use.
    pub fn slot_counts(&self) -> (u32, u32) {
        let leased = self.servers.values().map(|server| server.leased).sum();
        let in_use = self.servers.values().map(|server| server.in_use).sum();
        (leased, in_use)
    }

    /// Returns a server's slots under a valid lease, including those in use.
    pub fn valid_slots(&self, server: ServerKey, now: TimeMs) -> u32 {
        let known = self.servers.get(&server);
        let is_valid = |server: &&Server| !P::LEASED || now < server.lease_deadline;
        known.filter(is_valid).map_or(0, |server| server.leased)
    }

    fn start(&mut self, waiting: &Waiting<W>, server: ServerKey, now: TimeMs) -> Running {
        let workspace = waiting.workspace;
        if let Some(entry) = self.servers.get_mut(&server) {
            entry.in_use += 1;
        }
        self.runs_started += 1;
        let run_number = self.runs_started;
        let preempt = PreemptFlag::default();
        if waiting.preemptible {
            let run = PreemptibleRun {
                workspace,
                server,
                started_at: now,
                flag: preempt.clone(),
            };
            self.preemptible.insert(run_number, run);
        }
        if let Some(prefix) = waiting.prefix {
            self.affinity.record(prefix, server, now);
        }
        let entry = self.queue.entry_mut(workspace);
        entry.running += 1;
        let estimated_cost = entry.mean_cost;
        entry.outstanding_cost += estimated_cost;
        Running {
            workspace,
            server,
            preempt,
            run_number,
            estimated_cost,
            charged_cost: 0.0,
        }
    }

    fn release_slot(&mut self, server: ServerKey) {
        let Some(entry) = self.servers.get_mut(&server) else {
            return;
        };
        entry.in_use -= 1;
        if entry.in_use == 0 && !entry.is_configured {
            self.servers.remove(&server);
        }
    }

    /// Chooses among servers with a free slot: the one with the cached prefix unless its load is much higher
    /// than the lowest, otherwise the least loaded.
    fn choose_server(&mut self, prefix: Option<u64>, now: TimeMs) -> Option<ServerKey> {
        let preferred = prefix.and_then(|prefix| self.affinity.find(prefix, now));
        let mut least_loaded: Option<(f64, ServerKey)> = None;
        let mut preferred_load = None;
        for (key, server) in &mut self.servers {
            if server.free_slots(P::LEASED, now) == 0 {
                continue;
            }
            let own_load = f64::from(server.in_use) / f64::from(server.capacity.max(1));
            let load = own_load + 0.1 * server.reported_busy_ratio;
            if preferred == Some(*key) {
                preferred_load = Some(load);
            }
            if least_loaded.is_none_or(|(least_load, least_key)| (load, *key) < (least_load, least_key)) {
                least_loaded = Some((load, *key));
            }
        }
        let (least_load, least_loaded) = least_loaded?;
        match (preferred, preferred_load) {
            (Some(server), Some(load)) if load <= least_load + AFFINITY_LOAD_MARGIN => Some(server),
            _ => Some(least_loaded),
        }
    }
}

/// Truncates a cost to the wrapping integer sent on the wire.
fn wrapping_cost(cost: f64) -> u32 {
    (cost as u64) as u32
}
