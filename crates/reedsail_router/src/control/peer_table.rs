//! The peers that this instance knows, and when each last sent a message.
//!
//! Owns addresses and freshness of peers; their load is the dispatcher's. Peers become known by their
//! own messages, by those of others, or as seeds of the settings.

use std::collections::HashMap;
use std::net::SocketAddrV4;

use reedsail_core::NameHash;
use reedsail_core::TimeMs;
use reedsail_dispatch::GossipTiming;
use reedsail_dispatch::ReaderCandidate;
use reedsail_wire::LoadMessage;
use reedsail_wire::MemberRow;

/// Interval at which a peer that is silent, or a seed, is sent a message all the same, in milliseconds.
/// Chosen, not measured.
const SILENT_EVERY_MS: u64 = 1_000;
/// Silence after which a peer is forgotten, in milliseconds. Chosen, not measured.
const FORGET_MS: u64 = 30_000;
/// Peers that one message names. Chosen, not measured.
const ROWS_PER_MESSAGE: usize = 8;

/// What a peer last said of itself.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub(crate) address: SocketAddrV4,
    /// When its last message came; for one that only others named, when they did.
    pub(crate) received_at: TimeMs,
    pub(crate) is_alive: bool,
    pub(crate) incarnation: u32,
    pub(crate) sequence: u32,
    pub(crate) failure_domain: NameHash,
    pub(crate) configuration_version: u64,
    pub(crate) servers_revision: u64,
    pub(crate) is_stopping: bool,
    sent_at: TimeMs,
}

/// What a message means for what is known of its sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Arrival {
    /// The message is older than one that came before.
    Stale,
    /// The peer was silent or unknown before.
    FromNew,
    /// The peer was alive before.
    FromAlive,
}

/// The peers that are known.
#[derive(Debug, Default)]
pub(crate) struct PeerTable {
    peers: HashMap<NameHash, Peer>,
    seeds: Vec<SocketAddrV4>,
    seeds_sent_at: TimeMs,
    first_row: usize,
    timing: GossipTiming,
}

impl PeerTable {
    pub(crate) fn set_seeds(&mut self, seeds: Vec<SocketAddrV4>) {
        self.seeds = seeds;
        self.seeds_sent_at = TimeMs(0);
    }

    /// Takes in a message; one that overtook a newer one is stale.
    pub(crate) fn receive(&mut self, message: &LoadMessage, from: SocketAddrV4, now: TimeMs) -> Arrival {
        for row in &message.members {
            self.learn(*row, now);
        }
        let peer_silent_ms = self.timing.peer_silent_ms;
        let known = self.peers.get(&message.instance);
        let is_alive =
            known.is_some_and(|peer| peer.is_alive && now.since_ms(peer.received_at) < peer_silent_ms);
        let is_stale = known.is_some_and(|peer| {
            peer.is_alive && peer.incarnation == message.incarnation && peer.sequence >= message.sequence
        });
        if is_stale {
            return Arrival::Stale;
        }
        let sent_at = known.map_or(TimeMs(0), |peer| peer.sent_at);
        let peer = Peer {
            address: from,
            received_at: now,
            is_alive: true,
            incarnation: message.incarnation,
            sequence: message.sequence,
            failure_domain: message.failure_domain,
            configuration_version: message.configuration_version,
            servers_revision: message.servers_revision,
            is_stopping: message.is_stopping,
            sent_at,
        };
        self.peers.insert(message.instance, peer);
        if is_alive {
            Arrival::FromAlive
        } else {
            Arrival::FromNew
        }
    }

    fn learn(&mut self, row: MemberRow, now: TimeMs) {
        self.peers.entry(row.instance).or_insert(Peer {
            address: row.address,
            received_at: now,
            is_alive: false,
            incarnation: 0,
            sequence: 0,
            failure_domain: NameHash::default(),
            configuration_version: 0,
            servers_revision: 0,
            is_stopping: false,
            sent_at: TimeMs(0),
        });
    }

    /// Returns the peers that went silent since the last call, and forgets those that were silent for long.
    pub(crate) fn drop_silent(&mut self, now: TimeMs) -> Vec<(NameHash, SocketAddrV4)> {
        self.peers
            .retain(|_, peer| now.since_ms(peer.received_at) < FORGET_MS);
        let peer_silent_ms = self.timing.peer_silent_ms;
        let mut silent = Vec::new();
        for (instance, peer) in &mut self.peers {
            if peer.is_alive && now.since_ms(peer.received_at) >= peer_silent_ms {
                peer.is_alive = false;
                silent.push((*instance, peer.address));
            }
        }
        self.timing = GossipTiming::of(self.alive().count());
        silent
    }

    /// Returns the addresses that the next message goes to.
    pub(crate) fn targets(&mut self, now: TimeMs) -> Vec<SocketAddrV4> {
        let mut targets = Vec::new();
        for peer in self.peers.values_mut() {
            if peer.is_alive || now.since_ms(peer.sent_at) >= SILENT_EVERY_MS {
                peer.sent_at = now;
                targets.push(peer.address);
            }
        }
        if now.since_ms(self.seeds_sent_at) >= SILENT_EVERY_MS {
            self.seeds_sent_at = now;
            let unknown = self.seeds.iter().filter(|seed| !targets.contains(seed));
            targets.extend(unknown.copied().collect::<Vec<_>>());
        }
        targets
    }

    /// Returns some peers for the next message to name, others each time.
    pub(crate) fn rows(&mut self) -> Vec<MemberRow> {
        let mut alive: Vec<MemberRow> = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.is_alive)
            .map(|(instance, peer)| MemberRow {
                instance: *instance,
                address: peer.address,
            })
            .collect();
        alive.sort_by_key(|row| row.instance);
        if alive.is_empty() {
            return alive;
        }
        self.first_row = (self.first_row + ROWS_PER_MESSAGE) % alive.len().max(ROWS_PER_MESSAGE);
        let from = self.first_row % alive.len();
        alive.rotate_left(from);
        alive.truncate(ROWS_PER_MESSAGE);
        alive
    }

    /// Returns the peers that are alive, as the store-reader rule sees them.
    pub(crate) fn reader_candidates(&self, now: TimeMs) -> impl Iterator<Item = ReaderCandidate> {
        let alive = self.peers.iter().filter(|(_, peer)| peer.is_alive);
        alive.map(move |(instance, peer)| ReaderCandidate {
            instance: *instance,
            failure_domain: peer.failure_domain,
            silent_ms: now.since_ms(peer.received_at),
            is_stopping: peer.is_stopping,
        })
    }

    /// Returns the peer with the newest configuration, if that is newer than a version.
    pub(crate) fn with_newer_configuration(&self, version: u64) -> Option<SocketAddrV4> {
        self.alive()
            .filter(|peer| peer.configuration_version > version)
            .max_by_key(|peer| peer.configuration_version)
            .map(|peer| peer.address)
    }

    /// Returns the peer with the newest server list, if that is newer than a revision; one of the same
    /// failure domain first, since the links between domains are poor.
    pub(crate) fn with_newer_servers(&self, revision: u64, domain: NameHash) -> Option<SocketAddrV4> {
        self.alive()
            .filter(|peer| peer.servers_revision > revision)
            .max_by_key(|peer| (peer.failure_domain == domain, peer.servers_revision))
            .map(|peer| peer.address)
    }

    /// Returns the times that follow from the number of peers alive at the last tick.
    pub(crate) fn timing(&self) -> GossipTiming {
        self.timing
    }

    /// Returns the peers that are alive.
    pub(crate) fn alive(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(|peer| peer.is_alive)
    }
}
