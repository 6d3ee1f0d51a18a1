//! Which newer configuration or list of servers is fetched from peers, and when.

use reedsail_core::NameHash;
use reedsail_core::TimeMs;
use reedsail_dispatch::ServerList;
use reedsail_gossip::LoadExchange;
use reedsail_gossip::PeerTable;

use super::messages::PeerFetch;
use super::peer_fetch::WHOLE_LIST_TIMEOUT_MS;

/// Shortest interval between two rounds of fetches, in milliseconds.
const FETCH_INTERVAL_MS: u64 = 500;

/// What this instance has, to compare with what its peers have.
pub(super) struct OwnState<'a> {
    pub(super) configuration_version: u64,
    pub(super) servers: &'a ServerList,
    pub(super) failure_domain: NameHash,
}

/// The state of the fetches from peers.
#[derive(Debug, Default)]
pub(super) struct FetchPlan {
    next_fetch_at: TimeMs,
    /// Number of copies of a configuration that could not be used since one could.
    ambiguous_copies: usize,
    /// Whether the peer of the last fetch could not compute the difference to this instance's list.
    needs_whole_list: bool,
    /// The time until which a fetch of the whole list of servers may be in progress.
    whole_list_fetch_until: TimeMs,
}

impl FetchPlan {
    /// Records that a peer's copy of the configuration cannot be used, so that another peer is asked next.
    pub(super) fn record_ambiguous_copy(&mut self) {
        self.ambiguous_copies = self.ambiguous_copies.wrapping_add(1);
    }

    /// Records that a configuration has arrived, so that a peer with the newest one is asked next.
    pub(super) fn record_configuration(&mut self) {
        self.ambiguous_copies = 0;
    }

    /// Records that a list, or the difference to one, has arrived.
    pub(super) fn record_listing(&mut self) {
        self.needs_whole_list = false;
    }

    /// Records that a peer could not compute the difference to this instance's list.
    pub(super) fn record_difference_unknown(&mut self) {
        self.needs_whole_list = true;
    }

    /// Records that the fetch of a whole list has ended.
    pub(super) fn record_whole_list_ended(&mut self, now: TimeMs) {
        self.whole_list_fetch_until = now;
    }

    /// Plans fetches from peers that have a newer configuration or server list, at most once an interval.
    pub(super) fn due(&mut self, exchange: &LoadExchange, own: &OwnState<'_>, now: TimeMs) -> Vec<PeerFetch> {
        if now < self.next_fetch_at {
            return Vec::new();
        }
        let peers = exchange.peers();
        let newer = peers.with_newer_configuration(own.configuration_version, self.ambiguous_copies);
        let newer = newer.map(PeerFetch::Configuration);
        let server_fetch = self.plan_server_fetch(peers, own, now);
        let fetches: Vec<PeerFetch> = newer.into_iter().chain(server_fetch).collect();
        if !fetches.is_empty() {
            self.next_fetch_at = now.plus_ms(FETCH_INTERVAL_MS);
        }
        fetches
    }

    /// Plans the fetch of a newer list of servers: the difference if the peer may know it, and else the whole list. At
    /// most one fetch of the whole list is in progress at a time.
    fn plan_server_fetch(&mut self, peers: &PeerTable, own: &OwnState<'_>, now: TimeMs) -> Option<PeerFetch> {
        let revision = own.servers.revision();
        let (peer, newest) = peers.with_newer_servers(revision, own.failure_domain)?;
        let has_list = own.servers.is_known();
        if has_list && newest.era == revision.era && !self.needs_whole_list {
            return Some(PeerFetch::ServersSince(peer, own.servers.digest()));
        }
        if now < self.whole_list_fetch_until {
            return None;
        }
        self.whole_list_fetch_until = now.plus_ms(WHOLE_LIST_TIMEOUT_MS);
        Some(PeerFetch::Servers(peer))
    }
}
