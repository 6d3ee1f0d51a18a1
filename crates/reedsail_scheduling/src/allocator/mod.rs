//! The allocator of one service in one failure domain: leases slots by weighted, fleet-wide need.
//!
//! It keeps nothing that its members could not tell it again: a new allocator learns virtual
//! times, held slots and demand from their next reports, and leases nothing new until all of them
//! have reported or every lease that it cannot know of has lapsed.

mod domain;
mod member;
mod slots;
mod targets;

use std::collections::HashMap;
use std::sync::Arc;

use reedsail_core::NameHash;
use reedsail_core::ServerKey;
use reedsail_core::TimeMs;
use reedsail_core::WorkspaceKey;

use crate::MemberKind;
use crate::ServiceGrant;
use crate::ServiceReport;
use crate::VirtualTimeRow;
use crate::WorkspaceTable;
use domain::DomainLink;
use member::Member;

/// Targets are computed afresh at most this often.
const TARGETS_AGE_MAX_MS: u64 = 100;
/// The weight of the newest report in the running mean of what a slot yields.
const YIELD_SAMPLE_WEIGHT: f64 = 0.05;
/// A control thread that was not there for a lease divided by this stood still. Members report twice in a lease, so
/// with four none has moved away and lapsed here after a shorter pause; with one, 9 of 8 slots were leased on seed 27
/// of `tests/lease_handover.rs`.
const PAUSE_LEASE_DIVISOR: u64 = 4;
/// What a slot is taken to yield before anything was measured, in cost units a millisecond.
const YIELD_FIRST_GUESS: f64 = 0.02;

/// Settings of an allocator.
#[derive(Clone, Copy, Debug)]
pub struct AllocatorConfig {
    /// How long a lease lasts, counted from the report that it answers.
    pub lease_ms: u64,
    /// Over which time a workspace that is behind is brought level.
    pub horizon_ms: u64,
    /// By how many seconds of its fair part a workspace may lead after a cut is mended.
    pub rejoin_clamp_ms: u64,
}

impl Default for AllocatorConfig {
    fn default() -> Self {
        Self {
            lease_ms: 3_000,
            horizon_ms: 4_000,
            rejoin_clamp_ms: 2_000,
        }
    }
}

/// A backend server of the allocator's own failure domain.
#[derive(Clone, Copy, Debug)]
pub struct ServerCapacity {
    /// The backend server.
    pub server: ServerKey,
    /// How many requests it runs at once; zero once it is leaving.
    pub slots: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct WorkspaceEntry {
    virtual_time: f64,
    /// Whether it wanted any slot at the last division.
    is_active: bool,
    /// Whether it wanted more slots than the last division gave it.
    is_constrained: bool,
}

/// See the module's text.
#[derive(Debug)]
pub struct Allocator {
    config: AllocatorConfig,
    settle_deadline: TimeMs,
    /// When its control thread last noticed that it does not stand still.
    seen_at: TimeMs,
    daemons_expected: usize,
    table: Arc<WorkspaceTable>,
    own_servers: Vec<ServerCapacity>,
    members: HashMap<NameHash, Member>,
    links: HashMap<NameHash, DomainLink>,
    workspaces: HashMap<WorkspaceKey, WorkspaceEntry>,
    /// What this domain's daemons were charged, since this allocator began.
    domain_costs: HashMap<WorkspaceKey, f64>,
    floor: f64,
    yield_per_ms: f64,
    targets_at: Option<TimeMs>,
    /// Of each workspace's demand, the part that is to run now.
    shares: HashMap<WorkspaceKey, f64>,
}

impl Allocator {
    /// Makes an allocator that knows nothing yet.
    pub fn new(config: AllocatorConfig, now: TimeMs) -> Self {
        Self {
            config,
            settle_deadline: now.plus_ms(config.lease_ms),
            seen_at: now,
            daemons_expected: usize::MAX,
            table: Arc::default(),
            own_servers: Vec::new(),
            members: HashMap::new(),
            links: HashMap::new(),
            workspaces: HashMap::new(),
            domain_costs: HashMap::new(),
            floor: 0.0,
            yield_per_ms: YIELD_FIRST_GUESS,
            targets_at: None,
            shares: HashMap::new(),
        }
    }

    /// Takes over the backend servers of the domain, and how many daemons may hold leases in it, this one included.
    pub fn set_servers(&mut self, servers: Vec<ServerCapacity>, daemons_expected: usize) {
        self.own_servers = servers;
        self.daemons_expected = daemons_expected;
    }

    /// Takes over the workspaces' weights.
    pub fn set_workspaces(&mut self, table: Arc<WorkspaceTable>) {
        self.table = table;
    }

    /// Takes over how long leases last; longer where reports are spaced further apart.
    pub fn set_lease_ms(&mut self, lease_ms: u64) {
        self.config.lease_ms = lease_ms;
    }

    /// Answers a member's report.
    pub fn on_report(&mut self, from: NameHash, report: &ServiceReport, now: TimeMs) -> ServiceGrant {
        self.expire(now);
        self.take_in(from, report, now);
        self.refresh_targets(now);
        let leases = self.lease_slots(from, now);
        ServiceGrant {
            base: self.floor,
            leases,
            virtual_times: self.virtual_times_of(from, report),
        }
    }

    /// Notices whether the control thread stood still: to be called before anything else at each of its ticks and
    /// reports.
    ///
    /// Whoever stood still finds that members' leases have lapsed, and so would lease their slots to the first that
    /// asks, while another allocator, which the members report to by now, has renewed those leases. It settles as a
    /// new allocator does.
    pub fn detect_pause(&mut self, now: TimeMs) {
        if now.since_ms(self.seen_at) >= self.config.lease_ms / PAUSE_LEASE_DIVISOR {
            self.begin_settling(now);
        }
        self.seen_at = now;
    }

    /// Leases nothing new for a lease and a half, unless every daemon that may hold leases has reported. To be called
    /// as well for as long as another daemon has the role: its leases bind this one when the role comes back, and it
    /// goes on renewing them until it hears from this one, which takes less than half a lease.
    pub fn begin_settling(&mut self, now: TimeMs) {
        let lease_ms = self.config.lease_ms;
        self.settle_deadline = now.plus_ms(lease_ms + lease_ms / 2);
    }

    /// Forgets members whose lease has lapsed, and borrowed slots past their deadline.
    pub fn expire(&mut self, now: TimeMs) {
        let before = self.members.len();
        self.members.retain(|_, member| member.lease_deadline > now);
        for link in self.links.values_mut() {
            link.expire(now);
        }
        if self.members.len() != before {
            self.targets_at = None;
        }
    }

    /// Forgets a member that said it is leaving or was seen to die.
    pub fn remove_member(&mut self, member: NameHash) {
        self.members.remove(&member);
        self.targets_at = None;
    }

    /// Returns a workspace's virtual time above the floor, in cost units per weight.
    pub fn lead_of(&self, workspace: WorkspaceKey) -> f64 {
        self.virtual_time(workspace) - self.floor
    }

    /// Returns the floor: no workspace that becomes backlogged starts below it.
    pub fn floor(&self) -> f64 {
        self.floor
    }

    /// Returns how many members hold or may hold leases.
    pub fn member_count(&self) -> usize {
        self.members.len()
    }

    /// Tells whether no member, here or in another domain, wants any slot.
    pub fn is_idle(&self) -> bool {
        self.members
            .values()
            .all(|member| member.demands().next().is_none())
    }

    /// Drops idle workspaces that would start at the floor anyway; called now and then.
    pub fn compact(&mut self) {
        let floor = self.floor;
        self.workspaces
            .retain(|_, entry| entry.is_constrained || entry.virtual_time > floor);
    }

    fn is_settled(&self, now: TimeMs) -> bool {
        let daemons = self.members.values().filter(|member| member.is_daemon()).count();
        now >= self.settle_deadline || daemons >= self.daemons_expected
    }

    fn virtual_time(&self, workspace: WorkspaceKey) -> f64 {
        self.workspaces
            .get(&workspace)
            .map_or(self.floor, |entry| entry.virtual_time)
    }

    fn weight(&self, workspace: WorkspaceKey) -> f64 {
        self.table.weight(workspace)
    }

    fn entry_mut(&mut self, workspace: WorkspaceKey) -> &mut WorkspaceEntry {
        let floor = self.floor;
        self.workspaces.entry(workspace).or_insert(WorkspaceEntry {
            virtual_time: floor,
            is_active: false,
            is_constrained: false,
        })
    }

    fn take_in(&mut self, from: NameHash, report: &ServiceReport, now: TimeMs) {
        let known = self
            .members
            .get(&from)
            .is_some_and(|member| member.session == report.session);
        if !known {
            self.adopt(from, report, now);
        }
        self.charge_costs(from, report, now);
        let lease_deadline = now.plus_ms(self.config.lease_ms);
        if let Some(member) = self.members.get_mut(&from) {
            member.update(report, now, lease_deadline);
        }
    }

    /// Meets a member, or a new session of one: its counters and view become the starting point.
    fn adopt(&mut self, from: NameHash, report: &ServiceReport, now: TimeMs) {
        self.targets_at = None;
        self.members.insert(from, Member::new(report, now));
        if report.kind == MemberKind::Domain {
            self.clamp_leads(report);
            return;
        }
        self.floor = self.floor.max(report.base);
        for demand in &report.demands {
            let seen = report.base + demand.lead;
            let entry = self.entry_mut(demand.workspace);
            entry.virtual_time = entry.virtual_time.max(seen);
        }
    }

    fn charge_costs(&mut self, from: NameHash, report: &ServiceReport, now: TimeMs) {
        let Some(member) = self.members.get_mut(&from) else {
            return;
        };
        let slot_ms = member.slot_ms_since_report(now);
        let charges = member.take_charges(report);
        let is_daemon = member.is_daemon();
        let total: f64 = charges.iter().map(|(_, cost)| cost).sum();
        if is_daemon && slot_ms > 0.0 {
            self.yield_per_ms += YIELD_SAMPLE_WEIGHT * (total / slot_ms - self.yield_per_ms);
            self.yield_per_ms = self.yield_per_ms.max(1e-6);
        }
        for (workspace, cost) in charges {
            let weight = self.weight(workspace);
            self.entry_mut(workspace).virtual_time += cost / weight;
            if is_daemon {
                *self.domain_costs.entry(workspace).or_default() += cost;
            }
        }
    }

    fn virtual_times_of(&self, from: NameHash, report: &ServiceReport) -> Vec<VirtualTimeRow> {
        if report.kind == MemberKind::Domain {
            return Vec::new();
        }
        report
            .demands
            .iter()
            .filter(|demand| demand.queued > 0 || demand.running > 0)
            .map(|demand| VirtualTimeRow {
                workspace: demand.workspace,
                lead: self.lead_of(demand.workspace),
                share: self.share_at(from, demand.workspace),
            })
            .collect()
    }
}
