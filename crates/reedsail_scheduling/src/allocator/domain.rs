//! How allocators of one service in different failure domains tell each other what was served,
//! and lend each other spare slots.

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

/// What this allocator told, and borrowed from, the allocator of another domain.
#[derive(Debug, Default)]
pub(super) struct DomainLink {
    session: u32,
    /// Domain costs as they stood when the session began; only what came after is reported.
    costs_before: HashMap<WorkspaceKey, f64>,
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
        let costs_before = self.domain_costs.clone();
        let link = self.links.entry(to).or_default();
        link.session = session;
        link.costs_reported.clone_from(&costs_before);
        link.costs_before = costs_before;
    }

    /// Gives up a link whose other end does not answer: what it lent is no longer passed on.
    pub fn forget_borrowed(&mut self, from: NameHash) {
        if let Some(link) = self.links.get_mut(&from) {
            link.borrowed.clear();
            self.targets_at = None;
        }
    }

    /// Writes the report to another domain's allocator.
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

    /// Takes over the slots that another domain's allocator lends.
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

    /// Returns what the domain's daemons hold of the other domain's servers, beside what is
    /// borrowed and not passed on.
    fn borrowed_slot_rows(&self, from: NameHash) -> Vec<SlotRow> {
        let Some(link) = self.links.get(&from) else {
            return Vec::new();
        };
        let mut rows: Vec<SlotRow> = link
            .borrowed
            .iter()
            .map(|(server, slots)| {
                let in_use = self.daemons_in_use(*server);
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

    fn daemons_in_use(&self, server: ServerKey) -> u32 {
        self.members
            .values()
            .filter(|member| member.is_daemon())
            .filter_map(|member| member.slots.get(&server))
            .map(|slots| slots.in_use)
            .sum()
    }

    fn domain_demands(&self, to: NameHash) -> Vec<DemandRow> {
        let mut rows: HashMap<WorkspaceKey, (u32, u32)> = HashMap::new();
        for member in self.members.values().filter(|member| member.is_daemon()) {
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
                let before = link.and_then(|link| link.costs_before.get(&workspace)).copied();
                DemandRow {
                    workspace,
                    queued,
                    running,
                    cost_total: (cost - before.unwrap_or(0.0)) as u64 as u32,
                    lead: self.lead_of(workspace),
                }
            })
            .collect();
        demands.sort_by_key(|demand| demand.workspace);
        demands
    }

    /// Bounds every lead as a domain is met, or met again after a cut.
    ///
    /// What was served on the other side of a cut was not charged here, and the reverse; without
    /// the bound, whoever was served during the cut would starve until the others are level.
    pub(super) fn clamp_leads(&mut self, report: &ServiceReport) {
        let most = self.config.rejoin_clamp_ms as f64 * self.fair_lead_per_ms(report);
        let floor = self.floor;
        for entry in self.workspaces.values_mut() {
            entry.virtual_time = entry.virtual_time.min(floor + most);
        }
    }

    /// Returns how much virtual time a backlogged workspace gains a millisecond in a fair fleet.
    fn fair_lead_per_ms(&self, report: &ServiceReport) -> f64 {
        let weights: f64 = self
            .workspaces
            .iter()
            .filter(|(_, entry)| entry.is_constrained)
            .map(|(workspace, _)| self.weight(*workspace))
            .sum();
        let own: u32 = self.own_servers.iter().map(|server| server.slots).sum();
        let slots = f64::from(own + report.own_slots);
        self.yield_per_ms * slots / weights.max(1.0)
    }
}
