//! How the allocators of one service in different failure domains exchange received costs and lend each other
//! spare slots.

use std::collections::HashMap;

use reedsail_core::NameHash;
use reedsail_core::ServerKey;
use reedsail_core::TimeMs;
use reedsail_core::WorkspaceKey;

use super::Allocator;
use crate::DemandRow;
use crate::MemberKind;
use crate::ServiceGrant;
use crate::ServiceReport;
use crate::SlotRow;

/// What this allocator reported to, and borrowed from, the allocator of another domain.
#[derive(Debug, Default)]
pub(super) struct DomainLink {
    session: u32,
    /// The domain's costs at the start of the session; only later costs are reported.
    costs_at_session_start: HashMap<WorkspaceKey, f64>,
    costs_reported: HashMap<WorkspaceKey, f64>,
    borrowed: HashMap<ServerKey, u32>,
    borrowed_deadline: TimeMs,
}

impl DomainLink {
    pub(super) fn expire(&mut self, now: TimeMs) {
        if self.borrowed_deadline <= now {
            self.borrowed.clear();
        }
    }
}

impl Allocator {
    /// Begins a session with another domain's allocator that does not know this one's counters.
    pub fn begin_domain_session(&mut self, to: NameHash, session: u32) {
        let costs_at_session_start = self.domain_costs.clone();
        let link = self.links.entry(to).or_default();
        link.session = session;
        link.costs_reported.clone_from(&costs_at_session_start);
        link.costs_at_session_start = costs_at_session_start;
    }

    /// Drops the slots borrowed from a domain whose allocator does not answer; they are no longer leased to
    /// members.
    pub fn forget_borrowed(&mut self, from: NameHash) {
        if let Some(link) = self.links.get_mut(&from) {
            link.borrowed.clear();
            self.targets_at = None;
        }
    }

    /// Creates the report to another domain's allocator.
    pub fn domain_report(&mut self, to: NameHash, now: TimeMs) -> ServiceReport {
        self.expire(now);
        let slots = self.borrowed_slot_rows(to);
        let own_slots = self.own_servers.iter().map(|server| server.slots).sum();
        let demands = self.domain_demands(to);
        let domain_costs = &self.domain_costs;
        let link = self.links.entry(to).or_default();
        for demand in &demands {
            let cost = domain_costs.get(&demand.workspace).copied().unwrap_or(0.0);
            link.costs_reported.insert(demand.workspace, cost);
        }
        ServiceReport {
            kind: MemberKind::Domain,
            session: link.session,
            own_slots,
            base: self.floor,
            slots,
            resting: Vec::new(),
            demands,
        }
    }

    /// Applies the slots that another domain's allocator lends.
    pub fn apply_domain_grant(&mut self, from: NameHash, grant: &ServiceGrant, lease_deadline: TimeMs) {
        let link = self.links.entry(from).or_default();
        link.borrowed = grant
            .leases
            .iter()
            .map(|lease| (lease.server, lease.slots))
            .collect();
        link.borrowed_deadline = lease_deadline;
        self.targets_at = None;
    }

    pub(super) fn borrowed_rows(&self) -> impl Iterator<Item = (ServerKey, u32)> {
        self.links
            .values()
            .flat_map(|link| link.borrowed.iter().map(|(server, slots)| (*server, *slots)))
    }

    pub(super) fn borrowed_slots(&self) -> u32 {
        self.borrowed_rows().map(|(_, slots)| slots).sum()
    }

    /// Returns the slots of the other domain's servers that this domain's instances hold, and those borrowed
    /// but not leased to them.
    fn borrowed_slot_rows(&self, from: NameHash) -> Vec<SlotRow> {
        let Some(link) = self.links.get(&from) else {
            return Vec::new();
        };
        let mut rows: Vec<SlotRow> = link
            .borrowed
            .iter()
            .map(|(server, slots)| {
                let in_use = self.in_use_by_instances(*server);
                SlotRow {
                    server: *server,
                    held: (*slots).max(in_use),
                    in_use,
                }
            })
            .collect();
        rows.sort_by_key(|row| row.server);
        rows
    }

    fn in_use_by_instances(&self, server: ServerKey) -> u32 {
        self.members
            .values()
            .filter(|member| member.is_instance())
            .filter_map(|member| member.slots.get(&server))
            .map(|slots| slots.in_use)
            .sum()
    }

    fn domain_demands(&self, to: NameHash) -> Vec<DemandRow> {
        let mut rows: HashMap<WorkspaceKey, (u32, u32)> = HashMap::new();
        for member in self.members.values().filter(|member| member.is_instance()) {
            for (workspace, demand) in member.demands() {
                let row = rows.entry(workspace).or_default();
                row.0 += demand.queued;
                row.1 += demand.running;
            }
        }
        let link = self.links.get(&to);
        for (workspace, cost) in &self.domain_costs {
            let reported = link.and_then(|link| link.costs_reported.get(workspace)).copied();
            if reported.unwrap_or(0.0) < *cost {
                rows.entry(*workspace).or_default();
            }
        }
        let mut demands: Vec<DemandRow> = rows
            .into_iter()
            .map(|(workspace, (queued, running))| {
                let cost = self.domain_costs.get(&workspace).copied().unwrap_or(0.0);
                let cost_before = link
                    .and_then(|link| link.costs_at_session_start.get(&workspace))
                    .copied();
                DemandRow {
                    workspace,
                    queued,
                    running,
                    cost_total: (cost - cost_before.unwrap_or(0.0)) as u64 as u32,
                    lead: self.lead_of(workspace),
                }
            })
            .collect();
        demands.sort_by_key(|demand| demand.workspace);
        demands
    }

    /// Clamps every lead when a domain connects or reconnects.
    ///
    /// During a partition, neither side charges the cost served on the other. Without the clamp, a workspace
    /// served during the partition would starve until the others catch up.
    pub(super) fn clamp_leads(&mut self, report: &ServiceReport) {
        let lead_max = self.config.rejoin_clamp_ms as f64 * self.fair_lead_per_ms(report);
        let floor = self.floor;
        for entry in self.workspaces.values_mut() {
            entry.virtual_time = entry.virtual_time.min(floor + lead_max);
        }
    }

    /// Returns the virtual time that a backlogged workspace gains per millisecond in a fair fleet.
    fn fair_lead_per_ms(&self, report: &ServiceReport) -> f64 {
        let weights: f64 = self
            .workspaces
            .iter()
            .filter(|(_, entry)| entry.is_constrained)
            .map(|(workspace, _)| self.weight(*workspace))
            .sum();
        let own_slots: u32 = self.own_servers.iter().map(|server| server.slots).sum();
        let slots = f64::from(own_slots + report.own_slots);
        self.yield_per_ms * slots / weights.max(1.0)
    }
}
