//! How many slots each member is to have, from fleet-wide need.

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

/// A workspace that gets all but this much of a slot has what it wants.
const CONSTRAINED_SLOTS_MIN: f64 = 0.5;

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
        self.lift_newly_active(&order);
        let demands: Vec<ShareDemand> = order
            .iter()
            .map(|workspace| ShareDemand {
                weight: self.weight(*workspace),
                virtual_time: self.virtual_time(*workspace),
                slots_wanted: with_headroom(wanted[workspace]),
            })
            .collect();
        let horizon_cost = self.yield_per_ms * self.config.horizon_ms as f64;
        let parts = share_slots(&demands, f64::from(self.fleet_slots()), horizon_cost);
        let constrained: Vec<WorkspaceKey> = order
            .iter()
            .zip(&parts)
            .filter(|(workspace, part)| **part < wanted[*workspace] - CONSTRAINED_SLOTS_MIN)
            .map(|(workspace, _)| *workspace)
            .collect();
        self.shares = order
            .iter()
            .zip(parts)
            .map(|(workspace, part)| (*workspace, part / wanted[workspace].max(1.0)))
            .collect();
        self.settle_floor(&order, &constrained);
    }

    /// Lifts whoever has come back to the floor: time spent idle, or out of sight behind a cut,
    /// earns no claim.
    fn lift_newly_active(&mut self, active: &[WorkspaceKey]) {
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

    /// Raises the floor, and everybody to it who has all that it wants.
    ///
    /// While slots are enough for all, nobody earns a claim or a debt: everybody is level when
    /// they no longer are. Once some are constrained, whoever is content keeps level with the
    /// furthest behind of those; else a workspace of light use would save up for a flood.
    fn settle_floor(&mut self, active: &[WorkspaceKey], constrained: &[WorkspaceKey]) {
        let times = |these: &[WorkspaceKey]| -> Vec<f64> {
            these
                .iter()
                .map(|workspace| self.virtual_time(*workspace))
                .collect()
        };
        let level = if constrained.is_empty() {
            times(active).into_iter().fold(f64::NEG_INFINITY, f64::max)
        } else {
            times(constrained).into_iter().fold(f64::INFINITY, f64::min)
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

    /// Returns the slots that a workspace is to have at a member: its part of the fleet's, divided
    /// among the members in proportion to its demand there.
    pub(super) fn share_at(&self, member: NameHash, workspace: WorkspaceKey) -> f64 {
        let demand = self
            .members
            .get(&member)
            .map(|member| member.demand_of(workspace));
        self.part_of(workspace, demand.unwrap_or_default())
    }

    /// Returns the slots that a workspace's demand at one member stands for.
    fn part_of(&self, workspace: WorkspaceKey, demand: MemberDemand) -> f64 {
        self.shares.get(&workspace).copied().unwrap_or(0.0) * f64::from(demand.wanted())
    }

    fn need_of(&self, member: &Member) -> f64 {
        let parts = member
            .demands()
            .map(|(workspace, demand)| self.part_of(workspace, demand));
        parts.sum()
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
        let others: u32 = self
            .members
            .values()
            .filter(|member| !member.is_daemon())
            .map(|member| member.own_slots)
            .sum();
        self.own_slots() + others
    }

    /// Returns how many slots the domain's daemons are to have beyond its own and borrowed ones.
    pub fn missing_slots(&self) -> f64 {
        let daemons = self.members.values().filter(|member| member.is_daemon());
        let need: f64 = daemons.map(|member| self.need_of(member)).sum();
        (need - f64::from(self.own_slots() + self.borrowed_slots())).max(0.0)
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
        let others: Vec<(NameHash, f64)> = self
            .members
            .iter()
            .filter(|(_, member)| !member.is_daemon())
            .map(|(name, member)| (*name, f64::from(member.own_slots)))
            .collect();
        let own_slots = f64::from(self.own_slots());
        let needed: f64 = needs.values().sum();
        let spread = StandBy::new(f64::from(self.fleet_slots()) - needed, needed, 1 + others.len());
        let own_surplus = (own_slots - spread.with_need(self.own_need(needs))).max(0.0);
        let surplus_of = |(name, slots): &(NameHash, f64)| (slots - spread.with_need(needs[name])).max(0.0);
        let surplus_total = own_surplus + others.iter().map(surplus_of).sum::<f64>();
        let own_fraction = own_surplus / surplus_total.max(1e-9);
        let mut spare = own_surplus;
        for (name, slots) in others {
            let lacking = (spread.with_need(needs[&name]) - slots).max(0.0);
            let lent = (lacking * own_fraction).min(spare);
            spare -= lent;
            if let Some(member) = self.members.get_mut(&name) {
                member.target_slots = lent.round() as u32;
            }
        }
    }

    /// Divides the domain's own and borrowed slots among its daemons. What nobody needs stands by,
    /// so that uncontended work never waits for a lease.
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
        let scale = (f64::from(usable) / need.max(1e-9)).min(1.0);
        let spread = StandBy::new(f64::from(usable) - need, need, names.len());
        let exact: Vec<f64> = names
            .iter()
            .map(|name| spread.with_need(needs[name] * scale))
            .collect();
        for (name, target) in names.iter().zip(round_to_total(&exact, usable)) {
            if let Some(member) = self.members.get_mut(name) {
                member.target_slots = target;
            }
        }
    }
}

/// How slots that nobody needs stand by: mostly in equal parts, since work may begin anywhere; and
/// as many again as are needed where need is, since need mostly grows there, while that takes no
/// more than half of them.
#[derive(Clone, Copy, Debug)]
struct StandBy {
    equal_share: f64,
    by_need: f64,
}

impl StandBy {
    fn new(left_over: f64, need: f64, holders: usize) -> Self {
        let left_over = left_over.max(0.0);
        let by_need = (left_over / 2.0 / need.max(1.0)).min(1.0);
        Self {
            equal_share: (left_over - by_need * need) / holders.max(1) as f64,
            by_need,
        }
    }

    fn with_need(self, need: f64) -> f64 {
        need + self.equal_share + self.by_need * need
    }
}

/// Returns what a workspace is to have if slots are enough: what it wants now, and what chance may
/// add before the next report. Where it has none to spare, whoever wants more there uses the slots.
fn with_headroom(wanted: f64) -> f64 {
    wanted + wanted.sqrt()
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
