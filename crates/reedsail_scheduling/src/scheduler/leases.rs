//! The scheduler's reports to the allocator, and how it applies grants.

use reedsail_core::ServerKey;
use reedsail_core::TimeMs;
use reedsail_core::WorkspaceKey;

use crate::DemandRow;
use crate::MemberKind;
use crate::Scheduler;
use crate::ServiceGrant;
use crate::ServiceReport;
use crate::SharePolicy;
use crate::SlotRow;

use super::wrapping_cost;

impl<P: SharePolicy, W> Scheduler<P, W> {
    /// Restarts the cost counters, for an allocator that does not know them.
    pub fn begin_session(&mut self, session: u32) {
        self.session = session;
        for entry in self.queue.all_entries_mut() {
            entry.cost_total = 0.0;
            entry.cost_reported = 0.0;
        }
    }

    /// Creates the report to the allocator.
    pub fn report(&mut self, now: TimeMs) -> ServiceReport {
        self.expire_leases(now);
        self.is_starved = false;
        self.was_backlog_reported = self.queue.queued() > 0;
        self.in_use_at_shrink = 0;
        let base = self.queue.floor();
        let mut demands = Vec::new();
        let session = self.session;
        for (workspace, entry) in self.queue.active_entries() {
            demands.push(DemandRow {
                workspace,
                queued: entry.queued(),
                running: entry.running,
                cost_total: wrapping_cost(entry.cost_total),
                lead: entry.virtual_time - base,
            });
        }
        self.add_idle_demands(&mut demands, base);
        for demand in &demands {
            let entry = self.queue.entry_mut(demand.workspace);
            entry.cost_reported = entry.cost_total;
        }
        ServiceReport {
            kind: MemberKind::Instance,
            session,
            own_slots: 0,
            base,
            slots: self.slot_rows(),
            resting: self.resting(now),
            demands,
        }
    }

    /// Adds idle workspaces with cost received since the last report.
    fn add_idle_demands(&mut self, demands: &mut Vec<DemandRow>, base: f64) {
        for (workspace, entry) in self.queue.idle_entries() {
            if entry.cost_total > entry.cost_reported {
                demands.push(DemandRow {
                    workspace,
                    queued: 0,
                    running: 0,
                    cost_total: wrapping_cost(entry.cost_total),
                    lead: entry.virtual_time - base,
                });
            }
        }
    }

    fn slot_rows(&self) -> Vec<SlotRow> {
        let mut rows: Vec<SlotRow> = self
            .servers
            .iter()
            .filter(|(_, server)| server.leased > 0 || server.in_use > 0)
            .map(|(key, server)| SlotRow {
                server: *key,
                held: server.leased.max(server.in_use),
                in_use: server.in_use,
            })
            .collect();
        rows.sort_by_key(|row| row.server);
        rows
    }

    fn resting(&self, now: TimeMs) -> Vec<ServerKey> {
        let mut resting: Vec<ServerKey> = self
            .servers
            .iter()
            .filter(|(_, server)| server.health.is_resting(now))
            .map(|(key, _)| *key)
            .collect();
        resting.sort();
        resting
    }

    /// Applies the allocator's leases and virtual times.
    ///
    /// `lease_deadline` is relative to the time the report was sent. An instance that was paused in between
    /// thus finds its lease expired instead of renewed.
    pub fn apply_grant(&mut self, grant: &ServiceGrant, lease_deadline: TimeMs) {
        self.grant_deadline = lease_deadline;
        for server in self.servers.values_mut() {
            server.leased = 0;
        }
        for lease in &grant.leases {
            if let Some(server) = self.servers.get_mut(&lease.server) {
                server.leased = lease.slots.min(server.capacity);
                server.lease_deadline = lease_deadline;
            }
        }
        let (leased, in_use) = self.slot_counts();
        self.in_use_at_shrink = if in_use > leased { in_use } else { 0 };
        self.queue.raise_floor(grant.base);
        for row in &grant.virtual_times {
            let entry = self.queue.entry_mut(row.workspace);
            let charged_since = entry.cost_total - entry.cost_reported;
            entry.virtual_time = grant.base + row.lead + charged_since / entry.weight;
        }
        let shares: Vec<(WorkspaceKey, f64)> = grant.shares().collect();
        self.queue.set_shares(&shares);
    }

    /// Returns every lease, for a planned stop; running requests keep their slots until they end.
    pub fn release_leases(&mut self) {
        for server in self.servers.values_mut() {
            server.leased = server.in_use.min(server.leased);
        }
    }
}
