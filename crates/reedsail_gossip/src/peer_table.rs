//! The peers that this instance knows, and when each was last seen.
//!
//! Owns the addresses and liveness of peers; the dispatcher owns their load. A peer becomes known by its own messages,
//! by the messages of other instances, or as a seed in the settings.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::net::SocketAddrV4;

use reedsail_core::NameHash;
use reedsail_core::StorePosition;
use reedsail_core::TimeMs;
use reedsail_dispatch::DutyRank;
use reedsail_dispatch::GossipTiming;
use reedsail_dispatch::ReaderCandidate;
use reedsail_wire::LoadMessage;
use reedsail_wire::MemberRow;

use crate::Arrival;
use crate::Peer;
use crate::StreamPeer;
use crate::exchange_timing::SILENT_PEER_RETRY_MS;

/// Silence after which a peer is removed, in milliseconds.
const FORGET_MS: u64 = 30_000;
/// How long after its last message a removed peer still counts as a member, in milliseconds. Both sides of a network
/// partition choose the same instances for a duty only while they remember each other.
const MEMBER_MEMORY_MS: u64 = 600_000;
/// Maximum number of removed peers that are remembered as members.
const REMEMBERED_MAX: usize = 1_024;
/// How long a mention by other instances counts a peer as part of the fleet, in milliseconds. An aggregator names each
/// of its members about every half second.
const MENTIONED_VALID_MS: u64 = 6_000;
/// Maximum number of peers that one message names.
const ROWS_PER_MESSAGE_MAX: usize = 8;
/// Maximum number of instances of its own failure domain that are named to a new peer, best rank first.
const OWN_DOMAIN_ROWS_MAX: usize = 4;

/// The known peers.
#[derive(Debug, Default)]
pub struct PeerTable {
    /// This instance, which other instances name as well.
    own: NameHash,
    peers: HashMap<NameHash, Peer>,
    /// Removed peers that never said that they stop.
    remembered: HashMap<NameHash, RememberedPeer>,
    seeds: Vec<SocketAddrV4>,
    /// When the seeds were last sent a message; `None` makes them due at once.
    seeds_sent_at: Option<TimeMs>,
    /// Where the rows of the last message began among the peers that are alive.
    first_row: usize,
    timing: GossipTiming,
}

/// A peer that was removed for its silence.
#[derive(Clone, Copy, Debug)]
struct RememberedPeer {
    failure_domain: NameHash,
    until: TimeMs,
}

impl PeerTable {
    /// Creates an empty table.
    pub fn new(own: NameHash) -> Self {
        Self {
            own,
            ..Self::default()
        }
    }

    /// Replaces the seeds, and makes them due for the next message.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddrV4>) {
        self.seeds = seeds;
        self.seeds_sent_at = None;
    }

    /// Returns whether there are seeds.
    pub fn has_seeds(&self) -> bool {
        !self.seeds.is_empty()
    }

    /// Processes a message. A message that arrives after a newer one of its sender is stale.
    pub fn receive(&mut self, message: &LoadMessage, from: SocketAddrV4, now: TimeMs) -> Arrival {
        for row in &message.members {
            self.add_mention(*row, now);
        }
        let peer_silent_ms = self.timing.peer_silent_ms;
        let known = self.peers.get(&message.instance);
        // A restarted peer has lost its state, even if it restarts before its silence is noticed.
        let is_alive = known.is_some_and(|peer| {
            peer.is_alive
                && peer.incarnation == message.incarnation
                && now.since_ms(peer.last_seen_at) < peer_silent_ms
        });
        let is_stale = known.is_some_and(|peer| {
            peer.is_alive && peer.incarnation == message.incarnation && peer.sequence >= message.sequence
        });
        if is_stale {
            return Arrival::Stale;
        }
        let sent_at = known.and_then(|peer| peer.sent_at);
        let peer = Peer {
            address: from,
            last_seen_at: now,
            is_alive: true,
            incarnation: message.incarnation,
            sequence: message.sequence,
            failure_domain: message.failure_domain,
            processor_milli: message.processor_milli,
            protocol: message.protocol,
            configuration_version: message.configuration_version,
            servers_revision: message.servers_revision,
            is_stopping: message.is_stopping,
            sent_at,
        };
        self.peers.insert(message.instance, peer);
        self.remembered.remove(&message.instance);
        if is_alive {
            Arrival::FromAlive
        } else {
            Arrival::FromNew
        }
    }

    fn add_mention(&mut self, row: MemberRow, now: TimeMs) {
        if row.instance == self.own {
            return;
        }
        let peer = self.peers.entry(row.instance).or_insert(Peer {
            address: row.address,
            last_seen_at: now,
            is_alive: false,
            incarnation: 0,
            sequence: 0,
            failure_domain: row.failure_domain,
            processor_milli: row.processor_milli,
            protocol: u8::from(row.processor_milli > 0),
            configuration_version: 0,
            servers_revision: StorePosition::default(),
            is_stopping: false,
            sent_at: None,
        });
        if !peer.is_alive {
            peer.address = row.address;
            peer.last_seen_at = now;
        }
    }

    /// Returns the peers that became silent since the last call, and removes those that were silent for `FORGET_MS`.
    pub fn drop_silent(&mut self, now: TimeMs) -> Vec<(NameHash, SocketAddrV4)> {
        self.remove_forgotten(now);
        let peer_silent_ms = self.timing.peer_silent_ms;
        let mut silent = Vec::new();
        for (instance, peer) in &mut self.peers {
            if peer.is_alive && now.since_ms(peer.last_seen_at) >= peer_silent_ms {
                peer.is_alive = false;
                silent.push((*instance, peer.address));
            }
        }
        silent
    }

    /// Removes the peers that were silent for `FORGET_MS`, and remembers those that may still run.
    fn remove_forgotten(&mut self, now: TimeMs) {
        self.remembered.retain(|_, peer| now < peer.until);
        let removed = self
            .peers
            .extract_if(|_, peer| now.since_ms(peer.last_seen_at) >= FORGET_MS);
        for (instance, peer) in removed {
            if peer.is_stopping || self.remembered.len() >= REMEMBERED_MAX {
                continue;
            }
            let remembered = RememberedPeer {
                failure_domain: peer.failure_domain,
                until: peer.last_seen_at.plus_ms(MEMBER_MEMORY_MS),
            };
            self.remembered.insert(instance, remembered);
        }
    }

    /// Sets the timing for a number of peers that are sent direct messages.
    pub(crate) fn set_direct_peers(&mut self, peers: usize) {
        self.timing = GossipTiming::of(peers);
    }

    /// Returns the target addresses of the next direct message: all peers, silent ones only every
    /// [`SILENT_PEER_RETRY_MS`]. With `is_aggregated`, only peers that do not support aggregators.
    pub(crate) fn direct_targets(&mut self, is_aggregated: bool, now: TimeMs) -> Vec<SocketAddrV4> {
        let mut targets = Vec::new();
        for peer in self.peers.values_mut() {
            let is_due = peer.is_alive || is_retry_due(peer.sent_at, now);
            let is_direct_target = !is_aggregated || (peer.is_alive && peer.protocol == 0);
            if is_due && is_direct_target {
                peer.sent_at = Some(now);
                targets.push(peer.address);
            }
        }
        targets
    }

    /// Returns the seeds if they are due: every [`SILENT_PEER_RETRY_MS`], and for every message while no peer is alive.
    /// When all instances start together, the seeds may start last.
    pub(crate) fn due_seeds(&mut self, now: TimeMs) -> Vec<SocketAddrV4> {
        let has_no_peer = self.alive().next().is_none();
        if !has_no_peer && !is_retry_due(self.seeds_sent_at, now) {
            return Vec::new();
        }
        self.seeds_sent_at = Some(now);
        self.seeds.clone()
    }

    /// Returns the peers that the next message names; successive calls rotate through the peers that are alive.
    pub(crate) fn rows(&mut self) -> Vec<MemberRow> {
        let mut alive: Vec<MemberRow> = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.is_alive)
            .map(|(instance, peer)| member_row(*instance, peer))
            .collect();
        alive.sort_by_key(|row| row.instance);
        if alive.is_empty() {
            return alive;
        }
        self.first_row = (self.first_row + ROWS_PER_MESSAGE_MAX) % alive.len().max(ROWS_PER_MESSAGE_MAX);
        let from = self.first_row % alive.len();
        alive.rotate_left(from);
        alive.truncate(ROWS_PER_MESSAGE_MAX);
        alive
    }

    /// Returns the peers to name to a new peer of a failure domain: the best ranked of its own domain, and the best
    /// ranked of each other domain.
    pub(crate) fn rows_for_new(&self, failure_domain: NameHash, now: TimeMs) -> Vec<MemberRow> {
        let mut ranked: Vec<(NameHash, DutyRank)> = self
            .candidates(now)
            .map(|(rank, peer)| (peer.failure_domain, rank))
            .collect();
        ranked.sort_unstable_by_key(|(domain, rank)| (*domain, *rank));
        let mut row_counts: HashMap<NameHash, usize> = HashMap::new();
        let mut rows = Vec::new();
        for (domain, rank) in ranked {
            let count = row_counts.entry(domain).or_default();
            let rows_max = if domain == failure_domain {
                OWN_DOMAIN_ROWS_MAX
            } else {
                1
            };
            if *count < rows_max {
                *count += 1;
                let instance = rank.instance();
                rows.push(member_row(instance, &self.peers[&instance]));
            }
        }
        rows
    }

    /// Returns the row by which messages name a peer.
    pub(crate) fn row(&self, instance: NameHash) -> Option<MemberRow> {
        self.peers.get(&instance).map(|peer| member_row(instance, peer))
    }

    /// Returns a peer.
    pub fn get(&self, instance: NameHash) -> Option<&Peer> {
        self.peers.get(&instance)
    }

    /// Returns the peers that may aggregate, with their ranks: those that support aggregators, are not stopping, and
    /// were seen recently.
    pub(crate) fn candidates(&self, now: TimeMs) -> impl Iterator<Item = (DutyRank, &Peer)> {
        let candidates = self.known_candidates();
        candidates.filter(move |(_, peer)| is_recently_seen(peer, now))
    }

    /// Returns the peers that may aggregate, including those not seen recently, since a partition may hide a whole
    /// failure domain.
    fn known_candidates(&self) -> impl Iterator<Item = (DutyRank, &Peer)> {
        self.peers.iter().filter_map(|(instance, peer)| {
            let has_aggregation_data = peer.failure_domain != NameHash::default() && peer.protocol > 0;
            let may_aggregate = has_aggregation_data && !peer.is_stopping;
            may_aggregate.then_some((DutyRank::of(*instance, peer.processor_milli), peer))
        })
    }

    /// Returns the ranks of the peers of a failure domain that may aggregate.
    pub(crate) fn ranks_in(&self, failure_domain: NameHash, now: TimeMs) -> impl Iterator<Item = DutyRank> {
        let candidates = self.candidates(now);
        let of_domain = candidates.filter(move |(_, peer)| peer.failure_domain == failure_domain);
        of_domain.map(|(rank, _)| rank)
    }

    /// Returns the addresses of the peers that may aggregate, by failure domain, in order of rank. Those not seen
    /// recently come last. Of `own_domain`, only peers that rank before `own_rank` are included.
    pub(crate) fn ranked_by_domain(
        &self,
        own_domain: NameHash,
        own_rank: DutyRank,
        now: TimeMs,
    ) -> HashMap<NameHash, Vec<SocketAddrV4>> {
        let mut ranks: HashMap<NameHash, Vec<(bool, DutyRank, SocketAddrV4)>> = HashMap::new();
        for (rank, peer) in self.known_candidates() {
            if peer.failure_domain != own_domain || rank < own_rank {
                let of_domain = ranks.entry(peer.failure_domain).or_default();
                of_domain.push((!is_recently_seen(peer, now), rank, peer.address));
            }
        }
        let sorted = ranks.into_iter().map(|(failure_domain, mut ranked)| {
            ranked.sort_unstable();
            let addresses = ranked.into_iter().map(|(_, _, address)| address);
            (failure_domain, addresses.collect())
        });
        sorted.collect()
    }

    /// Returns the number of peers that were seen recently.
    pub(crate) fn known_count(&self, now: TimeMs) -> usize {
        let recent = self.peers.values().filter(|peer| is_recently_seen(peer, now));
        recent.count()
    }

    /// Returns the peers that are alive, as input for the store-reader rule.
    pub fn reader_candidates(&self, now: TimeMs) -> impl Iterator<Item = ReaderCandidate> {
        let alive = self.peers.iter().filter(|(_, peer)| peer.is_alive);
        alive.map(move |(instance, peer)| ReaderCandidate {
            instance: *instance,
            failure_domain: peer.failure_domain,
            processor_milli: peer.processor_milli,
            silent_ms: now.since_ms(peer.last_seen_at),
            is_stopping: peer.is_stopping,
        })
    }

    /// Returns the address of a peer whose configuration is newer than `version`. Attempt 0 chooses a peer with the newest
    /// one; successive attempts choose the others, in descending order of their versions.
    pub fn with_newer_configuration(&self, version: u64, attempt: usize) -> Option<SocketAddrV4> {
        let newer = self.alive().filter(|peer| peer.configuration_version > version);
        let mut newer: Vec<&Peer> = newer.collect();
        newer.sort_by_key(|peer| Reverse(peer.configuration_version));
        let index = attempt.checked_rem(newer.len())?;
        newer.get(index).map(|peer| peer.address)
    }

    /// Returns a peer whose server list is newer than `revision`: the one with the newest list in the failure domain
    /// `domain`, or in another if that has none, since the links between domains are poor.
    pub fn with_newer_servers(
        &self,
        revision: StorePosition,
        domain: NameHash,
    ) -> Option<(SocketAddrV4, StorePosition)> {
        self.alive()
            .filter(|peer| peer.servers_revision > revision)
            .max_by_key(|peer| (peer.failure_domain == domain, peer.servers_revision))
            .map(|peer| (peer.address, peer.servers_revision))
    }

    /// Returns the known peers, including silent and remembered ones, each with its failure domain.
    pub(crate) fn members(&self) -> impl Iterator<Item = (NameHash, NameHash)> {
        let peers = self.peers.iter();
        let known = peers.map(|(instance, peer)| (*instance, peer.failure_domain));
        let remembered = self.remembered.iter();
        // A peer that another instance names again stands in both tables.
        let absent = remembered.filter(|(instance, _)| !self.peers.contains_key(instance));
        known.chain(absent.map(|(instance, peer)| (*instance, peer.failure_domain)))
    }

    /// Returns the peers that may keep rows of streams: those that are alive and not stopping and, with
    /// `includes_mentioned`, those that other instances named recently.
    pub(crate) fn stream_peers(
        &self,
        includes_mentioned: bool,
        now: TimeMs,
    ) -> impl Iterator<Item = StreamPeer> {
        let peers = self.peers.iter().filter(move |(_, peer)| {
            !peer.is_stopping && (peer.is_alive || (includes_mentioned && is_recently_seen(peer, now)))
        });
        peers.map(|(instance, peer)| StreamPeer {
            instance: *instance,
            failure_domain: peer.failure_domain,
            address: peer.address,
            incarnation: peer.incarnation,
        })
    }

    /// Returns whether every known peer is alive and none has a newer list of servers than `revision`.
    pub fn confirm_list(&self, revision: StorePosition) -> bool {
        let mut peers = self.peers.values();
        peers.all(|peer| peer.is_alive && peer.servers_revision <= revision)
    }

    /// Returns the timing of direct messages.
    pub fn timing(&self) -> GossipTiming {
        self.timing
    }

    /// Returns the peers that are alive.
    pub fn alive(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(|peer| peer.is_alive)
    }

    /// Returns the names of the peers of a failure domain that are alive.
    pub(crate) fn alive_in(&self, failure_domain: NameHash) -> impl Iterator<Item = NameHash> {
        let alive = self.peers.iter().filter(|(_, peer)| peer.is_alive);
        alive
            .filter(move |(_, peer)| peer.failure_domain == failure_domain)
            .map(|(instance, _)| *instance)
    }
}

/// Returns whether a silent peer or a seed is due for another message.
fn is_retry_due(sent_at: Option<TimeMs>, now: TimeMs) -> bool {
    sent_at.is_none_or(|sent_at| now.since_ms(sent_at) >= SILENT_PEER_RETRY_MS)
}

/// Returns whether a peer is alive, or another instance named it recently.
fn is_recently_seen(peer: &Peer, now: TimeMs) -> bool {
    peer.is_alive || now.since_ms(peer.last_seen_at) < MENTIONED_VALID_MS
}

fn member_row(instance: NameHash, peer: &Peer) -> MemberRow {
    MemberRow {
        instance,
        address: peer.address,
        failure_domain: peer.failure_domain,
        processor_milli: peer.processor_milli,
    }
}
