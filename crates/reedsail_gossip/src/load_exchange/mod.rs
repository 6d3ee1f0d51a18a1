//! The load exchange: processing of received messages (`receive`), and choice of the messages to send (`send`).
//!
//! Owns membership, the role of this instance (member or aggregator), and the set of load sources that count, so that
//! no instance's load counts twice for longer than a message takes. Relies on the caller for the time, for sending, and
//! for this instance's own load.

mod receive;
mod send;

use std::collections::HashMap;
use std::net::SocketAddrV4;

use reedsail_core::NameHash;
use reedsail_core::TimeMs;
use reedsail_dispatch::DutyRank;
use reedsail_dispatch::GossipTiming;
use reedsail_wire::LoadScope;

use crate::DomainPosition;
use crate::ExchangePace;
use crate::InstanceIdentity;
use crate::LostSource;
use crate::PeerTable;
use crate::PrefixRelay;
use crate::ReportTarget;
use crate::SentReports;
use crate::StreamPeer;
use crate::aggregator_choice::AggregatorChoice;
use crate::exchange_timing::DIRECT_INSTANCES_MAX;
use crate::exchange_timing::DIRECT_TICK_MS;
use crate::fleet_view::FleetView;
use crate::member_reports::MemberReports;
use crate::urgent_fields::UrgentFields;

/// The protocol number of this release.
const PROTOCOL: u8 = 2;
/// The first protocol that supports heartbeats, and sums at other intervals than the shortest. The previous protocol
/// supports aggregators.
const PACED_PROTOCOL: u8 = 2;

/// A load source that counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Source {
    scope: LoadScope,
    /// The source's protocol number; zero if the source does not support aggregators, so that no sum includes its load.
    protocol: u8,
}

/// A peer to introduce to the members of the fleet.
#[derive(Clone, Copy, Debug)]
struct NewPeer {
    address: SocketAddrV4,
    failure_domain: NameHash,
}

/// The load exchange of one instance.
#[derive(Debug)]
pub struct LoadExchange {
    identity: InstanceIdentity,
    sequence: u32,
    peers: PeerTable,
    choice: AggregatorChoice,
    reports: MemberReports,
    sent: SentReports,
    /// Prefix rows from members, for other aggregators.
    relay_to_aggregators: PrefixRelay,
    /// Prefix rows from members and from other aggregators, for members.
    relay_to_members: PrefixRelay,
    sources: HashMap<NameHash, Source>,
    fleet: FleetView,
    new_peers: Vec<NewPeer>,
    /// The pace of this instance's messages as an aggregator, from the last known pressure.
    own_pace: ExchangePace,
    /// The urgent header fields that were last sent to peers.
    sent_urgent_fields: UrgentFields,
    /// The number of searches for other aggregators.
    search_rounds: usize,
    next_message_at: TimeMs,
    next_direct_at: TimeMs,
    next_sum_at: TimeMs,
    next_aggregate_at: TimeMs,
    /// When the next heartbeat to other aggregators is due; a sum to them postpones it.
    next_heartbeat_at: TimeMs,
    is_aggregator_changed: bool,
}

impl LoadExchange {
    /// Creates the exchange of an instance that knows no peers.
    pub fn new(identity: InstanceIdentity, seeds: Vec<SocketAddrV4>) -> Self {
        let mut peers = PeerTable::new(identity.instance);
        peers.set_seeds(seeds);
        Self {
            identity,
            sequence: 0,
            peers,
            choice: AggregatorChoice::default(),
            reports: MemberReports::default(),
            sent: SentReports::default(),
            relay_to_aggregators: PrefixRelay::default(),
            relay_to_members: PrefixRelay::default(),
            sources: HashMap::new(),
            fleet: FleetView::default(),
            new_peers: Vec::new(),
            own_pace: ExchangePace::default(),
            sent_urgent_fields: UrgentFields::default(),
            search_rounds: 0,
            next_message_at: TimeMs(0),
            next_direct_at: TimeMs(0),
            next_sum_at: TimeMs(0),
            next_aggregate_at: TimeMs(0),
            next_heartbeat_at: TimeMs(0),
            is_aggregator_changed: false,
        }
    }

    /// Returns the peers.
    pub fn peers(&self) -> &PeerTable {
        &self.peers
    }

    /// Replaces the seeds.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddrV4>) {
        self.peers.set_seeds(seeds);
    }

    /// Drops and returns the sources that no longer count: silent peers, and members and aggregators whose last report
    /// or sum has expired.
    pub fn drop_silent(&mut self, now: TimeMs) -> Vec<LostSource> {
        let mut lost = Vec::new();
        for instance in self.reports.drop_expired(now) {
            if self.sources.remove(&instance).is_some() {
                let silent_address = None;
                lost.push(LostSource {
                    instance,
                    silent_address,
                });
            }
        }
        for (instance, address) in self.peers.drop_silent(now) {
            if self.sources.remove(&instance).is_some() {
                let silent_address = Some(address);
                lost.push(LostSource {
                    instance,
                    silent_address,
                });
            }
        }
        self.update_direct_timing(now);
        lost
    }

    /// Updates the timing of direct messages from the number of peers that are sent them.
    fn update_direct_timing(&mut self, now: TimeMs) {
        let is_aggregated = self.is_aggregated(now);
        let alive = self.peers.alive();
        let direct = alive.filter(|peer| !is_aggregated || peer.protocol == 0).count();
        self.peers.set_direct_peers(direct);
    }

    /// Returns the known number of instances in the fleet, including this one.
    pub fn instances(&self, now: TimeMs) -> usize {
        self.fleet.summed_instances(now).unwrap_or_else(|| {
            let known = self.peers.known_count(now) + 1;
            known.max(self.fleet.reported_instances(now))
        })
    }

    /// Returns the mean age of the load that counts, in milliseconds; `None` while load is exchanged directly.
    pub fn load_age_ms(&self, now: TimeMs) -> Option<u64> {
        let age_ms = self.fleet.load_age_ms(now)?;
        self.is_aggregated(now).then_some(age_ms)
    }

    /// Returns all known instances, including this one, each with its failure domain. Silent instances are included
    /// while the peer table remembers them.
    pub fn members(&self) -> Vec<(NameHash, NameHash)> {
        let own = (self.identity.instance, self.identity.failure_domain);
        let mut members: Vec<(NameHash, NameHash)> = self.peers.members().chain([own]).collect();
        members.sort_unstable();
        members
    }

    /// Returns the peers that may keep rows of streams, in the order of their names.
    pub fn stream_peers(&self, now: TimeMs) -> Vec<StreamPeer> {
        let mut peers: Vec<StreamPeer> = self.peers.stream_peers(self.is_aggregated(now), now).collect();
        peers.sort_unstable_by_key(|peer| peer.instance);
        peers
    }

    /// Returns this instance's position among the instances of its failure domain.
    pub fn domain_position(&self, now: TimeMs) -> DomainPosition {
        self.fleet.domain_position(now).unwrap_or_else(|| {
            let own = self.identity.instance;
            let alive: Vec<NameHash> = self.peers.alive_in(self.identity.failure_domain).collect();
            DomainPosition {
                position: alive.iter().filter(|peer| **peer < own).count(),
                instances: alive.len() + 1,
            }
        })
    }

    /// Returns the time until the next check for messages to send, in milliseconds.
    pub fn tick_ms(&self, now: TimeMs) -> u64 {
        if self.is_aggregated(now) {
            self.pace(now).tick_ms()
        } else {
            DIRECT_TICK_MS
        }
    }

    /// Returns the timing by which silence and age are judged.
    pub fn timing(&self, now: TimeMs) -> GossipTiming {
        let direct = self.peers.timing();
        if !self.is_aggregated(now) {
            return direct;
        }
        GossipTiming {
            update_delay_ms: self.pace(now).relay_delay_ms(),
            ..direct
        }
    }

    /// Returns the pace of this instance, which is its aggregator's pace if it has one.
    fn pace(&self, now: TimeMs) -> ExchangePace {
        if self.is_aggregator(now) {
            self.own_pace
        } else {
            self.fleet.pace(now)
        }
    }

    fn own_rank(&self) -> DutyRank {
        DutyRank::of(self.identity.instance, self.identity.processor_milli)
    }

    /// Returns the address of the aggregator to report to; `None` if this instance aggregates.
    fn choose_aggregator(&mut self, now: TimeMs) -> Option<SocketAddrV4> {
        let domain_instances = self.fleet.domain_instances(now);
        let own_rank = self.own_rank();
        let before = self.choice.chosen();
        let ranks = self.peers.ranks_in(self.identity.failure_domain, now);
        let chosen = self
            .choice
            .choose(own_rank, ranks, domain_instances, self.fleet.pace(now), now);
        self.is_aggregator_changed |= chosen != before;
        let peer = chosen.and_then(|name| self.peers.get(name))?;
        Some(peer.address)
    }

    /// Returns the target of this instance's reports, if it has changed since the last call.
    pub fn take_aggregator_change(&mut self) -> Option<ReportTarget> {
        if !std::mem::take(&mut self.is_aggregator_changed) {
            return None;
        }
        let aggregator = self.choice.chosen().and_then(|name| self.peers.get(name));
        Some(aggregator.map_or(ReportTarget::Itself, |peer| {
            ReportTarget::Aggregator(peer.address)
        }))
    }

    /// Returns whether this instance sends sums: it has members, or no aggregator to report to.
    fn is_aggregator(&self, now: TimeMs) -> bool {
        self.is_aggregated(now) && (self.reports.has_members() || self.choice.chosen().is_none())
    }

    /// Returns whether the fleet is too large for each instance to send to all others.
    ///
    /// This runs for every message, so the peers are counted only if no sum decides.
    pub fn is_aggregated(&self, now: TimeMs) -> bool {
        let is_large = |instances: usize| instances > DIRECT_INSTANCES_MAX;
        self.fleet.summed_instances(now).is_some_and(is_large)
            || is_large(self.instances(now))
            || is_large(self.peers.known_count(now) + 1)
    }

    /// Returns the number of instances from sums and from the peer table. The fleet size from direct messages may
    /// originate from this instance, so it is not repeated.
    fn known_instances(&self, now: TimeMs) -> usize {
        let summed = self.fleet.summed_instances(now).unwrap_or(0);
        summed.max(self.peers.known_count(now) + 1)
    }
}
