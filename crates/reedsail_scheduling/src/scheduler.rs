//! One service on one daemon: who waits, which slots are held, what runs next and where.

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
use crate::preemption::RunEntry;
use crate::preemption::ShareBalance;
use crate::preemption::preempt;

/// So many slots given back are worth a report of their own.
const SLOTS_BACK_MIN: u32 = 3;
/// How much fuller, as a part of its slots, the server with the cached prefix may be.
const AFFINITY_LOAD_MARGIN: f64 = 0.5;

/// A backend server as the bundle in force describes it.
#[derive(Clone, Copy, Debug)]
pub struct ServerSetup {
    /// The backend server.
    pub server: ServerKey,
    /// How many requests it runs at once.
    pub capacity: u32,
}

/// A request that was given a slot; handed back with [`Scheduler::finish`].
#[derive(Debug)]
pub struct Running {
    /// The workspace that it counts against.
    pub workspace: WorkspaceKey,
    /// The backend server whose slot it has.
    pub server: ServerKey,
    /// Raised when the request is to give its slot up.
    pub preempt: PreemptFlag,
    number: u64,
    estimate: f64,
    charged: f64,
}

/// A request that may be sent now.
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
    leaving: bool,
    configured: bool,
    reported_busy_ratio: f64,
    health: ServerHealth,
}

impl Server {
    /// Returns the slots that may be given out now. A lapsed lease counts for nothing, whether or
    /// not a tick has noticed: the control thread may be the one that was paused.
    fn free(&mut self, leased: bool, now: TimeMs) -> u32 {
        if self.leaving || !self.configured || (leased && self.lease_deadline <= now) {
            return 0;
        }
        self.health
            .usable_slots(self.leased, now)
            .saturating_sub(self.in_use)
    }
}

/// One service's queues and slots on one daemon, shared under the policy `P`.
#[derive(Debug)]
pub struct Scheduler<P, W> {
    policy: P,
    queue: FairQueue<W>,
    servers: HashMap<ServerKey, Server>,
    affinity: AffinityTable,
    session: u32,
    runs_started: u64,
    /// Running requests that can be given up, by their number.
    preemptible: HashMap<u64, RunEntry>,
    /// Until when the last grant holds.
    grant_deadline: TimeMs,
    /// Set when work waits and no slot is free, until the next report.
    starved: bool,
    /// Set when the last report said that work waits.
    starved_reported: bool,
    /// Slots in use as the last grant shrank the lease below them; else zero.
    slots_wanted_back: u32,
}

impl<P: SharePolicy, W> Scheduler<P, W> {
    /// Makes a scheduler without servers or work.
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
            starved: false,
            starved_reported: false,
            slots_wanted_back: 0,
        }
    }

    /// Returns the queues, for reports and metrics.
    pub fn queue(&self) -> &FairQueue<W> {
        &self.queue
    }

    /// Replaces weights and limits by those of a new bundle; what waits and runs stays.
    pub fn configure(&mut self, servers: &[ServerSetup], workspaces: Arc<WorkspaceTable>) {
        for server in self.servers.values_mut() {
            server.configured = false;
        }
        for setup in servers {
            let fixed = self.policy.fixed_slots(setup.capacity);
            let server = self.servers.entry(setup.server).or_insert_with(|| Server {
                capacity: setup.capacity,
                leased: 0,
                lease_deadline: TimeMs(0),
                in_use: 0,
                leaving: false,
                configured: true,
                reported_busy_ratio: 0.0,
                health: ServerHealth::default(),
            });
            server.capacity = setup.capacity;
            server.configured = true;
            if !P::LEASED {
                server.leased = fixed;
            }
        }
        self.servers
            .retain(|_, server| server.configured || server.in_use > 0);
        self.queue.configure(workspaces);
    }

    /// Queues a request.
    ///
    /// # Errors
    /// The kind of refusal, none of which has run, and the waker handed back.
    pub fn submit(&mut self, waiting: Waiting<W>, now: TimeMs) -> Result<Ticket, (ErrorKind, W)> {
        self.queue.push(&self.policy, waiting, now)
    }

    /// Withdraws a request that still waits; `None` if it was dispatched before.
    pub fn withdraw(&mut self, ticket: Ticket) -> Option<Waiting<W>> {
        self.queue.withdraw(ticket)
    }

    /// Dispatches as many waiting requests as slots are free.
    pub fn dispatch(&mut self, now: TimeMs) -> Vec<Dispatch<W>> {
        let mut dispatches = Vec::new();
        while self.queue.queued() > 0 {
            if !self
                .servers
                .values_mut()
                .any(|server| server.free(P::LEASED, now) > 0)
            {
                self.starved = true;
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

    /// Takes another slot for a retry, on a server other than those already tried.
    ///
    /// A retry does not queue again: its workspace was charged for its turn.
    ///
    /// # Errors
    /// Hands the slot back if no other server has a free one.
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
            .filter_map(|(key, server)| (server.free(P::LEASED, now) > 0).then_some((*key, server.in_use)))
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

    /// Charges a running request's cost as it shows, so that order does not wait for its end.
    pub fn progress(&mut self, running: &mut Running, cost: f64) {
        let step = (cost - running.charged).max(0.0);
        let entry = self.queue.entry_mut(running.workspace);
        let still_expected = (running.estimate - running.charged).max(0.0);
        let expected_after = (running.estimate - cost).max(0.0);
        entry.outstanding_cost = (entry.outstanding_cost - (still_expected - expected_after)).max(0.0);
        self.queue.charge(running.workspace, step);
        running.charged += step;
    }

    /// Ends a request with its true cost and frees its slot.
    pub fn finish(&mut self, mut running: Running, cost: f64, answered: bool) {
        self.progress(&mut running, cost);
        let still_expected = (running.estimate - running.charged).max(0.0);
        let entry = self.queue.entry_mut(running.workspace);
        entry.outstanding_cost = (entry.outstanding_cost - still_expected).max(0.0);
        entry.running -= 1;
        if answered {
            entry.learn_cost(cost);
        }
        if entry.running == 0 {
            entry.outstanding_cost = 0.0;
        }
        if !answered && running.preempt.is_raised() {
            self.queue.hold_back(running.workspace, still_expected);
        }
        self.preemptible.remove(&running.number);
        self.queue.retire_if_idle(running.workspace);
        if answered && let Some(entry) = self.servers.get_mut(&running.server) {
            entry.health.succeed();
        }
        self.release_slot(running.server);
    }

    /// Has running requests give slots up that the lease no longer covers, or that workspaces short
    /// of their share lack; returns how many. Without a grant in force nobody else waits for them.
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

    /// Does the same at once for a request that was queued although its workspace has less than its
    /// share: it need not wait for the next tick.
    pub fn preempt_for(&mut self, workspace: WorkspaceKey, now: TimeMs) {
        let is_short = self.queue.entry(workspace).is_some_and(|entry| {
            entry.queued() > 0 && f64::from(entry.running) + 1.0 <= self.queue.share_of(entry)
        });
        if is_short {
            self.preempt_excess(now);
        }
    }

    /// Records a failure of the server; returns `true` when it is now left to rest.
    pub fn record_failure(&mut self, server: ServerKey, now: TimeMs) -> bool {
        self.servers
            .get_mut(&server)
            .is_some_and(|entry| entry.health.fail(now))
    }

    /// Marks the backend servers that the platform or a peer says are leaving.
    pub fn set_leaving(&mut self, is_leaving: impl Fn(ServerKey) -> bool) {
        for (key, server) in &mut self.servers {
            server.leaving = is_leaving(*key);
        }
    }

    /// Records how busy a server says it is; the report lags, so it only breaks near ties.
    pub fn record_load(&mut self, server: ServerKey, busy_ratio: f64) {
        if let Some(entry) = self.servers.get_mut(&server) {
            entry.reported_busy_ratio = busy_ratio.clamp(0.0, 2.0);
        }
    }

    /// Records a server's late word that it cached or dropped a prefix.
    pub fn record_cache_event(&mut self, server: ServerKey, prefix: u64, cached: bool, now: TimeMs) {
        if cached {
            self.affinity.record(prefix, server, now);
        } else {
            self.affinity.forget(prefix, server);
        }
    }

    /// Lets lapsed leases go and takes out requests whose deadline has passed.
    pub fn tick(&mut self, now: TimeMs) -> Vec<Waiting<W>> {
        self.drop_lapsed(now);
        self.queue.measure_rates(now);
        self.queue.take_expired(now)
    }

    fn drop_lapsed(&mut self, now: TimeMs) {
        if !P::LEASED {
            return;
        }
        for server in self.servers.values_mut() {
            if server.lease_deadline <= now {
                server.leased = 0;
            }
        }
    }

    /// Tells whether the allocator ought to know at once: work waits here without a free slot, or
    /// slots that it wants back have become free.
    pub fn needs_urgent_report(&self) -> bool {
        let starved_anew = self.starved && self.queue.queued() > 0 && !self.starved_reported;
        let (_, in_use) = self.slot_counts();
        starved_anew || in_use + SLOTS_BACK_MIN <= self.slots_wanted_back
    }

    /// Tells whether there is anything to report beyond that the daemon is alive.
    pub fn is_active(&self) -> bool {
        self.queue.active_entries().next().is_some()
    }

    /// Returns the slots that are leased, in use, and configured.
    pub fn slot_counts(&self) -> (u32, u32) {
        let leased = self.servers.values().map(|server| server.leased).sum();
        let in_use = self.servers.values().map(|server| server.in_use).sum();
        (leased, in_use)
    }

    /// Returns the slots of a server that requests may be started on now, those in use among them.
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
        let number = self.runs_started;
        let preempt = PreemptFlag::default();
        if waiting.preemptible {
            let run = RunEntry {
                workspace,
                server,
                started_at: now,
                flag: preempt.clone(),
            };
            self.preemptible.insert(number, run);
        }
        if let Some(prefix) = waiting.prefix {
            self.affinity.record(prefix, server, now);
        }
        let entry = self.queue.entry_mut(workspace);
        entry.running += 1;
        let estimate = entry.mean_cost;
        entry.outstanding_cost += estimate;
        Running {
            workspace,
            server,
            preempt,
            number,
            estimate,
            charged: 0.0,
        }
    }

    fn release_slot(&mut self, server: ServerKey) {
        let Some(entry) = self.servers.get_mut(&server) else {
            return;
        };
        entry.in_use -= 1;
        if entry.in_use == 0 && !entry.configured {
            self.servers.remove(&server);
        }
    }

    /// Chooses among servers with a free slot: the one with the cached prefix unless it is much
    /// fuller than the emptiest, else the emptiest.
    fn choose_server(&mut self, prefix: Option<u64>, now: TimeMs) -> Option<ServerKey> {
        let hinted = prefix.and_then(|prefix| self.affinity.find(prefix, now));
        let mut emptiest: Option<(f64, ServerKey)> = None;
        let mut hinted_fill = None;
        for (key, server) in &mut self.servers {
            if server.free(P::LEASED, now) == 0 {
                continue;
            }
            let own_fill = f64::from(server.in_use) / f64::from(server.capacity.max(1));
            let fill = own_fill + 0.1 * server.reported_busy_ratio;
            if hinted == Some(*key) {
                hinted_fill = Some(fill);
            }
            if emptiest.is_none_or(|(least, least_key)| (fill, *key) < (least, least_key)) {
                emptiest = Some((fill, *key));
            }
        }
        let (least, emptiest) = emptiest?;
        match (hinted, hinted_fill) {
            (Some(server), Some(fill)) if fill <= least + AFFINITY_LOAD_MARGIN => Some(server),
            _ => Some(emptiest),
        }
    }
}

/// Cuts a cost down to the wrapping whole number that travels.
fn wrapping_cost(cost: f64) -> u32 {
    (cost as u64) as u32
}
