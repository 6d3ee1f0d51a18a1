//! Candidate ranking: which servers a prompt may go to, in which order.
//!
//! **Rule.** The servers of a group are ranked for a prompt's last shared segment by weighted rendezvous hashing. The
//! first [`HOMES`] of them are the homes of the segment.
//!
//! **Inputs.** Names of servers, the segment's id, the slowness of each engine (a ratio; see `engine_speed`).
//!
//! **Why.** Every instance computes the same ranks without a message.
//!
//! **Tested by** `tests/placement.rs`, `tests/engine_speed.rs`.

use reedsail_core::ServerKey;

use crate::server_groups::GroupedServer;

/// Number of servers over which the prompts with the same shared segment are spread.
pub(crate) const HOMES: usize = 2;

/// The `N` servers that rank highest for a segment, in descending order.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RankedServers<const N: usize> {
    servers: [Option<(f64, ServerKey)>; N],
}

impl<const N: usize> RankedServers<N> {
    /// Ranks those of the servers that may be tried; `None` if there is none. `is_usable` is called only for a server
    /// that would rank among the first `N`.
    pub(crate) fn rank(
        group: &[GroupedServer],
        score: impl Fn(GroupedServer) -> f64,
        is_usable: impl Fn(GroupedServer) -> bool,
    ) -> Option<Self> {
        let mut servers = [None; N];
        for server in group {
            let own = score(*server);
            let outranks = |other: &Option<(f64, ServerKey)>| other.is_none_or(|(other, _)| own > other);
            let Some(position) = servers.iter().position(outranks) else {
                continue;
            };
            if is_usable(*server) {
                servers[position..].rotate_right(1);
                servers[position] = Some((own, server.key));
            }
        }
        servers[0]?;
        Some(Self { servers })
    }

    /// Returns the servers, each with its rank from zero.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (usize, ServerKey)> {
        let servers = self.servers.iter().flatten();
        servers.enumerate().map(|(rank, (_, key))| (rank, *key))
    }
}

/// Returns the score of a server for a segment. Servers that differ in speed own segments in proportion to their speed,
/// by weighted rendezvous hashing; a server of unknown slowness counts as one of mean speed.
pub(crate) fn rendezvous_score(server: GroupedServer, segment: u64, slowness: Option<f64>) -> f64 {
    let weight = server.name.rendezvous_weight(segment) as f64;
    let uniform = (weight + 1.0) / 2.0_f64.powi(64);
    uniform.min(1.0).ln() * slowness.unwrap_or(1.0)
}
