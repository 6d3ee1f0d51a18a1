//! The allocator of one service in one failure domain: leases slots by weighted, fleet-wide need.
//!
//! It keeps only state that its members can report again. A new allocator learns virtual times, held slots
//! and demand from their next reports. It leases no new slots until all of them have reported or every lease
//! unknown to it has expired.

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

/// Targets of at least this age are recomputed; younger ones are reused.
const TARGETS_AGE_MAX_MS: u64 = 100;
/// The weight of the newest report in the moving average of a slot's yield.
const YIELD_SAMPLE_WEIGHT: f64 = 0.05;
/// A control thread that was inactive for the lease divided by this was paused. Members report twice per
/// lease. With four, no member can switch allocators and have its lease expire here within a shorter pause;
/// with one, 9 of 8 slots were leased on seed 27 of `tests/lease_handover.rs`.
const PAUSE_LEASE_DIVISOR: u64 = 4;
/// The assumed yield of a slot before the first measurement, in cost units per millisecond.
const YIELD_INITIAL_PER_MS: f64 = 0.02;

/// Settings of an allocator.
#[derive(Clone, Copy, Debug)]
pub struct AllocatorConfig {
    /// How long a lease lasts, counted from the report that it answers.
    pub lease_ms: u64,
    /// The time over which a workspace that is behind catches up.
    pub horizon_ms: u64,
    /// The maximum lead of a workspace after a partition heals, as a time at its fair share.
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
    /// The number of requests that it runs at once; zero while it is leaving.
    pub slots: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct WorkspaceEntry {
    virtual_time: f64,
    /// Whether it wanted any slot at the last division.
    is_active: bool,
    /// Whether it wanted more slots than it got at the last division.
    is_constrained: bool,
}

/// Leases the slots of one service in one failure domain; see the module documentation.
#[derive(Debug)]
pub struct Allocator {
    config: AllocatorConfig,
    settle_deadline: TimeMs,
    /// When the control thread last checked for a pause.
    last_tick_at: TimeMs,
    instances_expected: usize,
    table: Arc<WorkspaceTable>,
    own_servers: Vec<ServerCapacity>,
    members: HashMap<NameHash, Member>,
    links: HashMap<NameHash, DomainLink>,
    workspaces: HashMap<WorkspaceKey, WorkspaceEntry>,
    /// The cost charged to this domain's instances since this allocator started.
    domain_costs: HashMap<WorkspaceKey, f64>,
    floor: f64,
    yield_per_ms: f64,
    targets_at: Option<TimeMs>,
    /// The fraction of each workspace's demand that may run now.
    granted_fractions: HashMap<WorkspaceKey, f64>,
}

impl Allocator {
    /// Creates an allocator without any state from members.
    pub fn new(config: AllocatorConfig, now: TimeMs) -> Self {
        Self {
            config,
            settle_deadline: now.plus_ms(config.lease_ms),
            last_tick_at: now,
            instances_expected: usize::MAX,
            table: Arc::default(),
            own_servers: Vec::new(),
            members: HashMap::new(),
            links: HashMap::new(),
            workspaces: HashMap::new(),
            domain_costs: HashMap::new(),
            floor: 0.0,
            yield_per_ms: YIELD_INITIAL_PER_MS,
            targets_at: None,
            granted_fractions: HashMap::new(),
        }
    }

    /// Sets the backend servers of the domain and the number of instances that may hold leases in it,
    /// including this one.
    pub fn set_servers(&mut self, servers: Vec<ServerCapacity>, instances_expected: usize) {
        self.own_servers = servers;
        self.instances_expected = instances_expected;
    }

    /// Sets the workspaces' weights.
    pub fn set_workspaces(&mut self, table: Arc<WorkspaceTable>) {
        self.table = table;
    }

    /// Sets how long leases last; leases are longer when reports are less frequent.
    pub fn set_lease_ms(&mut self, lease_ms: u64) {
        self.config.lease_ms = lease_ms;
    }

    /// Answers a member's report.
    pub fn on_report(&mut self, from: NameHash, report: &ServiceReport, now: TimeMs) -> ServiceGrant {
        self.expire(now);
        self.record_report(from, report, now);
        self.refresh_targets(now);
        let leases = self.lease_slots(from, now);
        ServiceGrant {
            base: self.floor,
            leases,
            virtual_times: self.virtual_times_of(from, report),
        }
    }

    /// Detects whether the control thread was paused. Must be called first at each of its ticks and reports.
    ///
    /// After a pause, the members' leases have expired here, so their slots would go to the first member that
    /// reports. Meanwhile, another allocator, to which the members now report, may have renewed those leases.
    /// After a pause, the allocator therefore settles like a new one.
    pub fn detect_pause(&mut self, now: TimeMs) {
        if now.since_ms(self.last_tick_at) >= self.config.lease_ms / PAUSE_LEASE_DIVISOR {
            self.begin_settling(now);
        }
        self.last_tick_at = now;
    }

    /// Leases no new slots for a lease and a half, unless every instance that may hold leases has reported.
    /// Must also be called while another instance has the role. That instance's leases bind this allocator
    /// when the role returns, and it keeps renewing them until this instance contacts it, which takes less
    /// than half a lease.
    pub fn begin_settling(&mut self, now: TimeMs) {
        let lease_ms = self.config.lease_ms;
        self.settle_deadline = now.plus_ms(lease_ms + lease_ms / 2);
    }

    /// Removes members whose lease has expired, and borrowed slots past their deadline.
    pub fn expire(&mut self, now: TimeMs) {
        let members_before = self.members.len();
        self.members.retain(|_, member| member.lease_deadline > now);
        for link in self.links.values_mut() {
            link.expire(now);
        }
        if self.members.len() != members_before {
            self.targets_at = None;
        }
    }

    /// Removes a member that announced that it is leaving or that was detected as dead.
    pub fn remove_member(&mut self, member: NameHash) {
        self.members.remove(&member);
        self.targets_at = None;
    }

    /// Returns a workspace's virtual time above the floor, in cost units per weight.
    pub fn lead_of(&self, workspace: WorkspaceKey) -> f64 {
        self.virtual_time(workspace) - self.floor
    }

    /// Returns the virtual-time floor: no workspace that becomes backlogged starts below it.
    pub fn floor(&self) -> f64 {
        self.floor
    }

    /// Returns the number of members that hold or may hold leases.
    pub fn member_count(&self) -> usize {
        self.members.len()
    }

    /// Returns whether no member, in this domain or another, has any demand.
    pub fn is_idle(&self) -> bool {
        self.members
            .values()
            .all(|member| member.demands().next().is_none())
    }

    /// Drops idle workspaces that would start at the floor anyway; called periodically.
    pub fn compact(&mut self) {
        let floor = self.floor;
        self.workspaces
            .retain(|_, entry| entry.is_constrained || entry.virtual_time > floor);
    }

    fn is_settled(&self, now: TimeMs) -> bool {
        let instances = self
            .members
            .values()
            .filter(|member| member.is_instance())
            .count();
        now >= self.settle_deadline || instances >= self.instances_expected
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

    fn record_report(&mut self, from: NameHash, report: &ServiceReport, now: TimeMs) {
        let is_known_session = self
            .members
            .get(&from)
            .is_some_and(|member| member.session == report.session);
        if !is_known_session {
            self.add_member(from, report, now);
        }
        self.charge_costs(from, report, now);
        let lease_deadline = now.plus_ms(self.config.lease_ms);
        if let Some(member) = self.members.get_mut(&from) {
            member.update(report, now, lease_deadline);
        }
    }

    /// Adds a member, or a new session of one. Its counters and virtual times become the starting point.
    fn add_member(&mut self, from: NameHash, report: &ServiceReport, now: TimeMs) {
        self.targets_at = None;
        self.members.insert(from, Member::new(report, now));
        if report.kind == MemberKind::Domain {
            self.clamp_leads(report);
            return;
        }
        self.floor = self.floor.max(report.base);
        for demand in &report.demands {
            let reported_time = report.base + demand.lead;
            let entry = self.entry_mut(demand.workspace);
            entry.virtual_time = entry.virtual_time.max(reported_time);
        }
    }

    fn charge_costs(&mut self, from: NameHash, report: &ServiceReport, now: TimeMs) {
        let Some(member) = self.members.get_mut(&from) else {
            return;
        };
        let slot_ms = member.slot_ms_since_report(now);
        let charges = member.take_charges(report);
        let is_instance = member.is_instance();
        let total: f64 = charges.iter().map(|(_, cost)| cost).sum();
        if is_instance && slot_ms > 0.0 {
            self.yield_per_ms += YIELD_SAMPLE_WEIGHT * (total / slot_ms - self.yield_per_ms);
            self.yield_per_ms = self.yield_per_ms.max(1e-6);
        }
        for (workspace, cost) in charges {
            let weight = self.weight(workspace);
            self.entry_mut(workspace).virtual_time += cost / weight;
            if is_instance {
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
