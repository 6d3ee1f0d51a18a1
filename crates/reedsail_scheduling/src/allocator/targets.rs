//! Computes each member's target number of slots from the fleet-wide need.

use std::collections::HashMap;

use reedsail_core::NameHash;
use reedsail_core::TimeMs;
use reedsail_core::WorkspaceKey;

use super::Allocator;
use super::TARGETS_AGE_MAX_MS;
use super::member::Member;
use super::member::MemberDemand;
use crate::ShareDemand;
use crate::share_slots;

/// A workspace whose share is within this many slots of its demand is not constrained.
const CONSTRAINED_SLOTS_MIN: f64 = 0.5;

impl Allocator {
    /// Recomputes every member's target unless the targets are recent.
    pub(super) fn refresh_targets(&mut self, now: TimeMs) {
        if self
            .targets_at
            .is_some_and(|at| now.since_ms(at) < TARGETS_AGE_MAX_MS)
        {
            return;
        }
        self.targets_at = Some(now);
        self.refresh_shares();
        let needs = self.needs_of_members();
        self.set_domain_targets(&needs);
        self.set_instance_targets(&needs);
    }

    /// Divides the fleet's slots among workspaces, by their demand and virtual time.
    fn refresh_shares(&mut self) {
        let mut wanted: HashMap<WorkspaceKey, f64> = HashMap::new();
        for member in self.members.values() {
            for (workspace, demand) in member.demands() {
                *wanted.entry(workspace).or_default() += f64::from(demand.wanted());
            }
        }
        let mut workspaces: Vec<WorkspaceKey> = wanted.keys().copied().collect();
        workspaces.sort();
        self.raise_newly_active(&workspaces);
        let demands: Vec<ShareDemand> = workspaces
            .iter()
            .map(|workspace| ShareDemand {
                weight: self.weight(*workspace),
                virtual_time: self.virtual_time(*workspace),
                slots_wanted: with_headroom(wanted[workspace]),
            })
            .collect();
        let horizon_cost = self.yield_per_ms * self.config.horizon_ms as f64;
        let shares = share_slots(&demands, f64::from(self.fleet_slots()), horizon_cost);
        let constrained: Vec<WorkspaceKey> = workspaces
            .iter()
            .zip(&shares)
            .filter(|(workspace, share)| **share < wanted[*workspace] - CONSTRAINED_SLOTS_MIN)
            .map(|(workspace, _)| *workspace)
            .collect();
        self.granted_fractions = workspaces
            .iter()
            .zip(shares)
            .map(|(workspace, share)| (*workspace, share / wanted[workspace].max(1.0)))
            .collect();
        self.update_floor(&workspaces, &constrained);
    }

    /// Raises newly active workspaces to the floor: time spent idle, or unseen behind a partition, earns no
    /// credit.
    fn raise_newly_active(&mut self, active: &[WorkspaceKey]) {
        let floor = self.floor;
        for (workspace, entry) in &mut self.workspaces {
            entry.is_active &= active.binary_search(workspace).is_ok();
        }
        for workspace in active {
            let entry = self.entry_mut(*workspace);
            if !entry.is_active {
                entry.is_active = true;
                entry.virtual_time = entry.virtual_time.max(floor);
            }
        }
    }

    /// Raises the floor, and raises every unconstrained workspace to it.
    ///
    /// While the slots meet every demand, no workspace accumulates credit or debt: all workspaces are level
    /// when the slots become scarce. Once some workspaces are constrained, the unconstrained ones stay level
    /// with the constrained one that is furthest behind. Otherwise a lightly used workspace would save up
    /// credit for a burst.
    fn update_floor(&mut self, active: &[WorkspaceKey], constrained: &[WorkspaceKey]) {
        let virtual_times = |keys: &[WorkspaceKey]| -> Vec<f64> {
            keys.iter()
                .map(|workspace| self.virtual_time(*workspace))
                .collect()
        };
        let level = if constrained.is_empty() {
            virtual_times(active)
                .into_iter()
                .fold(f64::NEG_INFINITY, f64::max)
        } else {
            virtual_times(constrained)
                .into_iter()
                .fold(f64::INFINITY, f64::min)
        };
        if level.is_finite() {
            self.floor = self.floor.max(level);
        }
        let floor = self.floor;
        for entry in self.workspaces.values_mut() {
            entry.is_constrained = false;
        }
        for workspace in active {
            let is_constrained = constrained.binary_search(workspace).is_ok();
            let entry = self.entry_mut(*workspace);
            entry.is_constrained = is_constrained;
            if !is_constrained {
                entry.virtual_time = entry.virtual_time.max(floor);
            }
        }
    }

    /// Returns a workspace's target number of slots at a member: its share of the fleet's slots, divided
    /// among the members in proportion to its demand there.
    pub(super) fn share_at(&self, member: NameHash, workspace: WorkspaceKey) -> f64 {
        let demand = self
            .members
            .get(&member)
            .map(|member| member.demand_of(workspace));
        self.share_of_demand(workspace, demand.unwrap_or_default())
    }

    /// Returns the slots that correspond to a workspace's demand at one member.
    fn share_of_demand(&self, workspace: WorkspaceKey, demand: MemberDemand) -> f64 {
        self.granted_fractions.get(&workspace).copied().unwrap_or(0.0) * f64::from(demand.wanted())
    }

    fn need_of(&self, member: &Member) -> f64 {
        let shares = member
            .demands()
            .map(|(workspace, demand)| self.share_of_demand(workspace, demand));
        shares.sum()
    }

    fn needs_of_members(&self) -> HashMap<NameHash, f64> {
        self.members
            .iter()
            .map(|(name, member)| (*name, self.need_of(member)))
            .collect()
    }

    fn own_slots(&self) -> u32 {
        self.own_servers.iter().map(|server| server.slots).sum()
    }

    fn fleet_slots(&self) -> u32 {
        let other_slots: u32 = self
            .members
            .values()
            .filter(|member| !member.is_instance())
            .map(|member| member.own_slots)
            .sum();
        self.own_slots() + other_slots
    }

    /// Returns how many slots the domain's instances need beyond its own and borrowed ones.
    pub fn missing_slots(&self) -> f64 {
        let instances = self.members.values().filter(|member| member.is_instance());
        let need: f64 = instances.map(|member| self.need_of(member)).sum();
        (need - f64::from(self.own_slots() + self.borrowed_slots())).max(0.0)
    }

    fn instances_need(&self, needs: &HashMap<NameHash, f64>) -> f64 {
        self.members
            .iter()
            .filter(|(_, member)| member.is_instance())
            .map(|(name, _)| needs[name])
            .sum()
    }

    /// Lends this domain's surplus slots to the domains that lack slots. Of each deficit, this domain lends
    /// its fraction of the fleet's surplus.
    ///
    /// Every allocator computes this from the same rows, so the lenders divide the lending without extra
    /// messages.
    fn set_domain_targets(&mut self, needs: &HashMap<NameHash, f64>) {
        let other_domains: Vec<(NameHash, f64)> = self
            .members
            .iter()
            .filter(|(_, member)| !member.is_instance())
            .map(|(name, member)| (*name, f64::from(member.own_slots)))
            .collect();
        let own_slots = f64::from(self.own_slots());
        let need_total: f64 = needs.values().sum();
        let spread = IdleSlotSpread::new(
            f64::from(self.fleet_slots()) - need_total,
            need_total,
            1 + other_domains.len(),
        );
        let own_surplus = (own_slots - spread.target_for(self.instances_need(needs))).max(0.0);
        let surplus_of = |(name, slots): &(NameHash, f64)| (slots - spread.target_for(needs[name])).max(0.0);
        let surplus_total = own_surplus + other_domains.iter().map(surplus_of).sum::<f64>();
        let own_fraction = own_surplus / surplus_total.max(1e-9);
        let mut spare = own_surplus;
        for (name, slots) in other_domains {
            let lacking = (spread.target_for(needs[&name]) - slots).max(0.0);
            let lent = (lacking * own_fraction).min(spare);
            spare -= lent;
            if let Some(member) = self.members.get_mut(&name) {
                member.target_slots = lent.round() as u32;
            }
        }
    }

    /// Divides the domain's own and borrowed slots among its instances. Surplus slots are leased as well, so
    /// that uncontended requests never wait for a lease.
    fn set_instance_targets(&mut self, needs: &HashMap<NameHash, f64>) {
        let lent: u32 = self
            .members
            .values()
            .filter(|member| !member.is_instance())
            .map(|member| member.target_slots)
            .sum();
        let leasable = (self.own_slots() + self.borrowed_slots()).saturating_sub(lent);
        let need = self.instances_need(needs);
        let mut names: Vec<NameHash> = self
            .members
            .iter()
            .filter(|(_, member)| member.is_instance())
            .map(|(name, _)| *name)
            .collect();
        names.sort();
        let scale = (f64::from(leasable) / need.max(1e-9)).min(1.0);
        let spread = IdleSlotSpread::new(f64::from(leasable) - need, need, names.len());
        let exact: Vec<f64> = names
            .iter()
            .map(|name| spread.target_for(needs[name] * scale))
            .collect();
        for (name, target) in names.iter().zip(round_to_total(&exact, leasable)) {
            if let Some(member) = self.members.get_mut(name) {
                member.target_slots = target;
            }
        }
    }
}

/// How surplus slots are spread over their holders. Most are spread equally, since new work may arrive at any
/// holder. Others follow need, since need mostly grows there: as many again as are needed, but no more than
/// half of the surplus.
#[derive(Clone, Copy, Debug)]
struct IdleSlotSpread {
    extra_per_holder: f64,
    extra_per_needed_slot: f64,
}

impl IdleSlotSpread {
    fn new(left_over: f64, need: f64, holders: usize) -> Self {
        let left_over = left_over.max(0.0);
        let extra_per_needed_slot = (left_over / 2.0 / need.max(1.0)).min(1.0);
        Self {
            extra_per_holder: (left_over - extra_per_needed_slot * need) / holders.max(1) as f64,
            extra_per_needed_slot,
        }
    }

    fn target_for(self, need: f64) -> f64 {
        need + self.extra_per_holder + self.extra_per_needed_slot * need
    }
}

/// Returns the slots that a workspace gets while slots suffice: its demand plus headroom for random growth
/// until the next report. Where the workspace has no spare slots, any workspace with further demand uses
/// them.
fn with_headroom(wanted: f64) -> f64 {
    wanted + wanted.sqrt()
}

/// Rounds shares to whole slots by largest remainder, with a sum of at most `total`.
fn round_to_total(exact: &[f64], total: u32) -> Vec<u32> {
    let mut rounded: Vec<u32> = exact.iter().map(|share| share.floor() as u32).collect();
    let rounded_total: u32 = rounded.iter().sum();
    let wanted = (exact.iter().sum::<f64>().round() as u32).min(total);
    let mut by_remainder: Vec<usize> = (0..exact.len()).collect();
    by_remainder.sort_by(|a, b| exact[*b].fract().total_cmp(&exact[*a].fract()));
    for index in by_remainder
        .into_iter()
        .take(wanted.saturating_sub(rounded_total) as usize)
    {
        rounded[index] += 1;
    }
    rounded
}
