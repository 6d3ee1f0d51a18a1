//! How many slots each member is to have, from fleet-wide need.

use std::collections::HashMap;

use super::Allocator;
use super::TARGETS_AGE_MAX_MS;
use crate::NameHash;
use crate::ShareDemand;
use crate::TimeMs;
use crate::WorkspaceKey;
use crate::share_slots;

impl Allocator {
    /// Computes every member's target afresh unless that was done a moment ago.
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
        self.set_daemon_targets(&needs);
    }

    /// Divides the fleet's slots among workspaces, by what each wants and how far it is behind.
    fn refresh_shares(&mut self) {
        let mut wanted: HashMap<WorkspaceKey, f64> = HashMap::new();
        for member in self.members.values() {
            for (workspace, demand) in member.demands() {
                *wanted.entry(workspace).or_default() += f64::from(demand.wanted());
            }
        }
        let mut order: Vec<WorkspaceKey> = wanted.keys().copied().collect();
        order.sort();
        let demands: Vec<ShareDemand> = order
            .iter()
            .map(|workspace| ShareDemand {
                weight: self.weight(*workspace),
                virtual_time: self.virtual_time(*workspace),
                slots_wanted: wanted[workspace],
            })
            .collect();
        let horizon_cost = self.yield_per_ms * self.config.horizon_ms as f64;
        let parts = share_slots(&demands, f64::from(self.fleet_slots()), horizon_cost);
        self.shares = order
            .iter()
            .zip(parts)
            .map(|(workspace, part)| (*workspace, part / wanted[workspace].max(1.0)))
            .collect();
    }

    /// Returns the slots that a workspace is to have at a member: its part of the fleet's, divided
    /// among the members in proportion to its demand there.
    pub(super) fn share_at(&self, member: NameHash, workspace: WorkspaceKey) -> f64 {
        let wanted = self
            .members
            .get(&member)
            .map_or(0, |member| member.demand_of(workspace).wanted());
        self.shares.get(&workspace).copied().unwrap_or(0.0) * f64::from(wanted)
    }

    fn needs_of_members(&self) -> HashMap<NameHash, f64> {
        let need = |member: &super::Member| -> f64 {
            let parts = member.demands().map(|(workspace, demand)| {
                self.shares.get(&workspace).copied().unwrap_or(0.0) * f64::from(demand.wanted())
            });
            parts.sum()
        };
        self.members
            .iter()
            .map(|(name, member)| (*name, need(member)))
            .collect()
    }

    fn own_slots(&self) -> u32 {
        self.own_servers.iter().map(|server| server.slots).sum()
    }

    fn fleet_slots(&self) -> u32 {
        let others: u32 = self
            .members
            .values()
            .filter(|member| !member.is_daemon())
            .map(|member| member.own_slots)
            .sum();
        self.own_slots() + others
    }

    fn own_need(&self, needs: &HashMap<NameHash, f64>) -> f64 {
        self.members
            .iter()
            .filter(|(_, member)| member.is_daemon())
            .map(|(name, _)| needs[name])
            .sum()
    }

    /// Lends what this domain does not need to the domains that lack, each in its proportion.
    ///
    /// Every allocator computes this from the same rows, so the lenders share the burden without
    /// a message about it.
    fn set_domain_targets(&mut self, needs: &HashMap<NameHash, f64>) {
        let domains = 1 + self.members.values().filter(|member| !member.is_daemon()).count();
        let needed: f64 = needs.values().sum();
        // What nobody needs stands by in every domain alike, also in one without servers.
        let standing_by = (f64::from(self.fleet_slots()) - needed).max(0.0) / domains as f64;
        let own_surplus = (f64::from(self.own_slots()) - self.own_need(needs) - standing_by).max(0.0);
        let mut surplus_total = own_surplus;
        for (name, member) in self.members.iter().filter(|(_, member)| !member.is_daemon()) {
            surplus_total += (f64::from(member.own_slots) - needs[name] - standing_by).max(0.0);
        }
        let own_part = own_surplus / surplus_total.max(1e-9);
        let mut spare = own_surplus;
        for (name, member) in self.members.iter_mut().filter(|(_, member)| !member.is_daemon()) {
            let lacking = (needs[name] + standing_by - f64::from(member.own_slots)).max(0.0);
            let lent = (lacking * own_part).min(spare);
            spare -= lent;
            member.target_slots = lent.round() as u32;
        }
    }

    /// Divides the domain's own and borrowed slots among its daemons; what nobody needs stands by
    /// in equal parts, so that uncontended work never waits for a lease.
    fn set_daemon_targets(&mut self, needs: &HashMap<NameHash, f64>) {
        let lent: u32 = self
            .members
            .values()
            .filter(|member| !member.is_daemon())
            .map(|member| member.target_slots)
            .sum();
        let usable = (self.own_slots() + self.borrowed_slots()).saturating_sub(lent);
        let need = self.own_need(needs);
        let mut names: Vec<NameHash> = self
            .members
            .iter()
            .filter(|(_, member)| member.is_daemon())
            .map(|(name, _)| *name)
            .collect();
        names.sort();
        let scale = if need > f64::from(usable) {
            f64::from(usable) / need
        } else {
            1.0
        };
        let standing_by = (f64::from(usable) - need).max(0.0) / names.len().max(1) as f64;
        let exact: Vec<f64> = names
            .iter()
            .map(|name| needs[name] * scale + standing_by)
            .collect();
        for (name, target) in names.iter().zip(round_to_total(&exact, usable)) {
            if let Some(member) = self.members.get_mut(name) {
                member.target_slots = target;
            }
        }
    }
}

/// Rounds parts to whole slots by largest remainder, keeping their sum within `total`.
fn round_to_total(exact: &[f64], total: u32) -> Vec<u32> {
    let mut whole: Vec<u32> = exact.iter().map(|part| part.floor() as u32).collect();
    let given: u32 = whole.iter().sum();
    let wanted = (exact.iter().sum::<f64>().round() as u32).min(total);
    let mut by_remainder: Vec<usize> = (0..exact.len()).collect();
    by_remainder.sort_by(|a, b| exact[*b].fract().total_cmp(&exact[*a].fract()));
    for index in by_remainder
        .into_iter()
        .take(wanted.saturating_sub(given) as usize)
    {
        whole[index] += 1;
    }
    whole
}
