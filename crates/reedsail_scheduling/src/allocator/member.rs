//! An allocator's state for one member.

use std::collections::HashMap;

use reedsail_core::ServerKey;
use reedsail_core::TimeMs;
use reedsail_core::WorkspaceKey;

use crate::MemberKind;
use crate::ServiceReport;

/// A workspace's demand at one member.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct MemberDemand {
    pub(super) queued: u32,
    pub(super) running: u32,
}

impl MemberDemand {
    pub(super) fn wanted(self) -> u32 {
        self.queued + self.running
    }
}

#[derive(Clone, Copy, Debug, Default)]
pub(super) struct MemberSlots {
    held: u32,
    pub(super) in_use: u32,
    pub(super) granted: u32,
}

/// One member's last report, the slots granted since, and its cost counters.
#[derive(Debug)]
pub(super) struct Member {
    kind: MemberKind,
    pub(super) session: u32,
    pub(super) reported_at: TimeMs,
    pub(super) lease_deadline: TimeMs,
    pub(super) own_slots: u32,
    pub(super) slots: HashMap<ServerKey, MemberSlots>,
    pub(super) resting: Vec<ServerKey>,
    demands: HashMap<WorkspaceKey, MemberDemand>,
    counters: HashMap<WorkspaceKey, u32>,
    pub(super) target_slots: u32,
}

impl Member {
    /// Creates a member; the costs already in its counters are not charged.
    pub(super) fn new(report: &ServiceReport, now: TimeMs) -> Self {
        let counters = report
            .demands
            .iter()
            .map(|demand| (demand.workspace, demand.cost_total))
            .collect();
        Self {
            kind: report.kind,
            session: report.session,
            reported_at: now,
            lease_deadline: now,
            own_slots: report.own_slots,
            slots: HashMap::new(),
            resting: Vec::new(),
            demands: HashMap::new(),
            counters,
            target_slots: 0,
        }
    }

    pub(super) fn is_instance(&self) -> bool {
        self.kind == MemberKind::Instance
    }

    pub(super) fn demands(&self) -> impl Iterator<Item = (WorkspaceKey, MemberDemand)> {
        self.demands
            .iter()
            .map(|(workspace, demand)| (*workspace, *demand))
    }

    pub(super) fn demand_of(&self, workspace: WorkspaceKey) -> MemberDemand {
        self.demands.get(&workspace).copied().unwrap_or_default()
    }

    /// Returns the slots of a server that the member holds or may hold.
    pub(super) fn committed(&self, server: ServerKey) -> u32 {
        self.slots
            .get(&server)
            .map_or(0, |slots| slots.held.max(slots.granted))
    }

    pub(super) fn slot_ms_since_report(&self, now: TimeMs) -> f64 {
        let in_use: u32 = self.slots.values().map(|slots| slots.in_use).sum();
        f64::from(in_use) * now.since_ms(self.reported_at) as f64
    }

    /// Advances the counters and returns the cost to charge to each workspace.
    pub(super) fn take_charges(&mut self, report: &ServiceReport) -> Vec<(WorkspaceKey, f64)> {
        let mut charges = Vec::new();
        for demand in &report.demands {
            let counter = self.counters.entry(demand.workspace).or_insert(0);
            let cost = demand.cost_total.wrapping_sub(*counter);
            *counter = demand.cost_total;
            // A counter that went backwards comes from a stale report; it is not a cost of four billion
            // units.
            if cost > 0 && cost < u32::MAX / 2 {
                charges.push((demand.workspace, f64::from(cost)));
            }
        }
        charges
    }

    /// Applies everything in the report except the counters.
    pub(super) fn update(&mut self, report: &ServiceReport, now: TimeMs, lease_deadline: TimeMs) {
        self.reported_at = now;
        self.lease_deadline = lease_deadline;
        self.own_slots = report.own_slots;
        self.resting.clone_from(&report.resting);
        self.slots.clear();
        for row in &report.slots {
            let slots = MemberSlots {
                held: row.held,
                in_use: row.in_use,
                granted: 0,
            };
            self.slots.insert(row.server, slots);
        }
        self.demands.clear();
        for row in &report.demands {
            if row.queued > 0 || row.running > 0 {
                let demand = MemberDemand {
                    queued: row.queued,
                    running: row.running,
                };
                self.demands.insert(row.workspace, demand);
            }
        }
    }

    pub(super) fn set_granted(&mut self, server: ServerKey, granted: u32) {
        self.slots.entry(server).or_default().granted = granted;
    }
}
