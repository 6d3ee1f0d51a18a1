//! Selects which slots of which backend servers to lease to a member, given its target.

use std::collections::BTreeMap;
use std::collections::HashMap;

use reedsail_core::NameHash;
use reedsail_core::ServerKey;
use reedsail_core::TimeMs;

use super::Allocator;
use crate::LeaseRow;

impl Allocator {
    /// Leases the target number of slots to the member. Reclaims slots on over-committed servers first, then
    /// adds slots on the servers with the most free ones. Never leases a slot that another member may hold.
    pub(super) fn lease_slots(&mut self, to: NameHash, now: TimeMs) -> Vec<LeaseRow> {
        let capacity = self.capacity_for(to);
        let committed_by_others = self.committed_by_others(to);
        let is_settled = self.is_settled(now);
        let Some(member) = self.members.get_mut(&to) else {
            return Vec::new();
        };
        let resting = member.resting.clone();
        let available = |server: ServerKey| -> u32 {
            if resting.contains(&server) {
                return 0;
            }
            let slots = capacity.get(&server).copied().unwrap_or(0);
            slots.saturating_sub(committed_by_others.get(&server).copied().unwrap_or(0))
        };
        let mut leases: BTreeMap<ServerKey, u32> = BTreeMap::new();
        let held: Vec<ServerKey> = member.slots.keys().copied().collect();
        for server in held {
            let kept = member.committed(server).min(available(server));
            leases.insert(server, kept);
        }
        let target = member.target_slots;
        shrink_to(&mut leases, target);
        if is_settled {
            let servers: Vec<ServerKey> = capacity.keys().copied().collect();
            grow_to(&mut leases, target, &servers, available);
        }
        for slots in member.slots.values_mut() {
            slots.granted = 0;
        }
        let mut rows = Vec::new();
        for (server, slots) in leases {
            member.set_granted(server, slots);
            if slots > 0 {
                rows.push(LeaseRow { server, slots });
            }
        }
        rows
    }

    /// Returns the leasable slots: own servers for another domain, own and borrowed ones for an instance.
    fn capacity_for(&self, to: NameHash) -> HashMap<ServerKey, u32> {
        let mut capacity: HashMap<ServerKey, u32> = self
            .own_servers
            .iter()
            .map(|server| (server.server, server.slots))
            .collect();
        if self.members.get(&to).is_some_and(super::Member::is_instance) {
            for (server, slots) in self.borrowed_rows() {
                *capacity.entry(server).or_default() += slots;
            }
        }
        capacity
    }

    fn committed_by_others(&self, to: NameHash) -> HashMap<ServerKey, u32> {
        let mut committed: HashMap<ServerKey, u32> = HashMap::new();
        for (_, member) in self.members.iter().filter(|(name, _)| **name != to) {
            for server in member.slots.keys() {
                *committed.entry(*server).or_default() += member.committed(*server);
            }
        }
        committed
    }
}

fn shrink_to(leases: &mut BTreeMap<ServerKey, u32>, target: u32) {
    let mut total: u32 = leases.values().sum();
    while total > target {
        let Some(fullest) = leases.values_mut().max() else {
            return;
        };
        *fullest -= 1;
        total -= 1;
    }
}

fn grow_to(
    leases: &mut BTreeMap<ServerKey, u32>,
    target: u32,
    servers: &[ServerKey],
    available: impl Fn(ServerKey) -> u32,
) {
    let mut total: u32 = leases.values().sum();
    while total < target {
        let free_on =
            |server: ServerKey| available(server).saturating_sub(leases.get(&server).copied().unwrap_or(0));
        let Some(emptiest) = servers
            .iter()
            .copied()
            .max_by_key(|server| (free_on(*server), std::cmp::Reverse(*server)))
        else {
            return;
        };
        if free_on(emptiest) == 0 {
            return;
        }
        *leases.entry(emptiest).or_default() += 1;
        total += 1;
    }
}
