//! Groups of a service's servers: a placement decision looks at one group, so that its cost does not grow with the
//! fleet.
//!
//! **Rule.** The number of groups of a service is the smallest power of two that keeps the average group at
//! [`GROUP_SERVERS_MAX`] servers or fewer. A hash of the server's name selects its group. A hash of a key (of a
//! prompt segment, of an instance) selects the group to search first; the other groups follow in order if that group
//! has no usable server. Equal lists give equal groups on every instance. Adding or removing a server changes only
//! its own group, except at the sizes where the number of groups doubles or halves.
//!
//! **Tested by** `tests/server_groups.rs`.

use reedsail_core::NameHash;
use reedsail_core::ServerKey;
use twox_hash::XxHash64;

/// Maximum number of servers in a group, on average over the groups.
const GROUP_SERVERS_MAX: usize = 256;
/// Seed of the hash that assigns servers and keys to groups, which must differ from the hash that ranks servers in a
/// group.
const GROUP_SEED: u64 = 0x67;

/// A server of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct GroupedServer {
    pub(crate) key: ServerKey,
    pub(crate) name: NameHash,
}

/// The listed servers of one service.
#[derive(Clone, Debug)]
pub(crate) struct ServerGroups {
    /// Each group is sorted by key.
    groups: Vec<Vec<GroupedServer>>,
    servers: usize,
}

impl Default for ServerGroups {
    fn default() -> Self {
        Self {
            groups: vec![Vec::new()],
            servers: 0,
        }
    }
}

impl ServerGroups {
    /// Returns the number of servers.
    pub(crate) fn len(&self) -> usize {
        self.servers
    }

    /// Adds a server that is not in a group yet.
    pub(crate) fn insert(&mut self, server: GroupedServer) {
        self.servers += 1;
        self.regroup();
        let group = self.group_of(server.name);
        let index = group.partition_point(|other| *other < server);
        group.insert(index, server);
    }

    /// Removes a server if it is present.
    pub(crate) fn remove(&mut self, server: GroupedServer) {
        let group = self.group_of(server.name);
        if let Ok(index) = group.binary_search(&server) {
            group.remove(index);
            self.servers -= 1;
            self.regroup();
        }
    }

    /// Returns the groups, starting with the group of a key.
    pub(crate) fn beginning_with(&self, key: u64) -> impl Iterator<Item = &[GroupedServer]> {
        let first = hash(key) & (self.groups.len() - 1);
        let (after, before) = (&self.groups[first..], &self.groups[..first]);
        after.iter().chain(before).map(Vec::as_slice)
    }

    fn group_of(&mut self, name: NameHash) -> &mut Vec<GroupedServer> {
        let index = hash(u64::from(name.0)) & (self.groups.len() - 1);
        &mut self.groups[index]
    }

    fn regroup(&mut self) {
        let groups = self
            .servers
            .div_ceil(GROUP_SERVERS_MAX)
            .max(1)
            .next_power_of_two();
        if groups == self.groups.len() {
            return;
        }
        let before = std::mem::replace(&mut self.groups, vec![Vec::new(); groups]);
        let mut servers: Vec<GroupedServer> = before.into_iter().flatten().collect();
        servers.sort_unstable();
        for server in servers {
            self.group_of(server.name).push(server);
        }
    }
}

fn hash(key: u64) -> usize {
    XxHash64::oneshot(GROUP_SEED, &key.to_le_bytes()) as usize
}
