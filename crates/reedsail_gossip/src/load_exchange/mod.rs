//! The exchange of load: what each message that came means (`receive`), and which messages to send (`send`).
//!
//! Owns membership, the role of this instance (member or aggregator), and which sources of load count, so
//! that no instance's load counts twice for longer than a message takes. Relies on the caller for the time,
//! for sending, and for this instance's own load.

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
use crate::aggregator_choice::AggregatorChoice;
use crate::exchange_timing::DIRECT_INSTANCES_MAX;
use crate::exchange_timing::DIRECT_TICK_MS;
use crate::fleet_view::FleetView;
use crate::head_mark::HeadMark;
use crate::member_reports::MemberReports;

/// The protocol of this release.
const PROTOCOL: u8 = 2;
/// The first protocol that knows heartbeats and sums at another interval than the shortest. The one before knows
/// aggregators.
const PACED_PROTOCOL: u8 = 2;

/// Whose load a source that counts stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Source {
    scope: LoadScope,
    /// Zero for an instance that knows no aggregators, whose load no sum includes.
    protocol: u8,
}

/// A peer that is to be told who is there.
#[derive(Clone, Copy, Debug)]
struct NewPeer {
    address: SocketAddrV4,
    failure_domain: NameHash,
}

/// The exchange of one instance.
#[derive(Debug)]
pub struct LoadExchange {
    identity: InstanceIdentity,
    sequence: u32,
    peers: PeerTable,
    choice: AggregatorChoice,
    reports: MemberReports,
    sent: SentReports,
    /// Rows of members, for other aggregators.
    relay_to_aggregators: PrefixRelay,
    /// Rows of members and of other aggregators.
    relay_to_members: PrefixRelay,
    sources: HashMap<NameHash, Source>,
    fleet: FleetView,
    new_peers: Vec<NewPeer>,
    /// The pace of this instance's messages as an aggregator, by what it last knew.
    own_pace: ExchangePace,
    /// What was last sent to peers of the part of the head whose changes are urgent.
    announced: HeadMark,
    /// How often other aggregators were looked for.
    searches: usize,
    next_message_at: TimeMs,
    next_direct_at: TimeMs,
    next_sum_at: TimeMs,
    next_aggregate_at: TimeMs,
    /// When other aggregators are sent a heartbeat, unless they are sent something else before.
    next_heartbeat_at: TimeMs,
    is_aggregator_changed: bool,
}

impl LoadExchange {
    /// Makes the exchange of an instance that knows nobody.
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
            announced: HeadMark::default(),
            searches: 0,
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

    /// Returns the sources that count no more: silent peers, and members and aggregators whose last sum has
    /// expired.
    pub fn drop_silent(&mut self, now: TimeMs) -> Vec<LostSource> {
        let mut lost = Vec::new();
        for instance in self.reports.drop_expired(now) {
            if self.sources.remove(&instance).is_some() {
                let silent_address = None;
                lost.push(LostSource { instance, silent_address });
            }
        }
        for (instance, address) in self.peers.drop_silent(now) {
            if self.sources.remove(&instance).is_some() {
                let silent_address = Some(address);
                lost.push(LostSource { instance, silent_address });
            }
        }
        self.count_direct_peers(now);
        lost
    }

    /// Works the times of direct messages out anew.
    fn count_direct_peers(&mut self, now: TimeMs) {
        let is_aggregated = self.is_aggregated(now);
        let alive = self.peers.alive();
        let direct = alive.filter(|peer| !is_aggregated || peer.protocol == 0).count();
        self.peers.set_direct_peers(direct);
    }

    /// Returns how many instances the fleet has, this one included, as far as is known.
    pub fn instances(&self, now: TimeMs) -> usize {
        self.fleet.summed_instances(now).unwrap_or_else(|| {
            let known = self.peers.known_count(now) + 1;
            known.max(self.fleet.instances_heard(now))
        })
    }

    /// Returns the mean age of the load that counts, in milliseconds; `None` while it comes directly.
    pub fn load_age_ms(&self, now: TimeMs) -> Option<u64> {
        let age_ms = self.fleet.load_age_ms(now)?;
        self.is_aggregated(now).then_some(age_ms)
    }

    /// Returns all instances that are known, this one included, each with its failure domain. Silent ones count
    /// until they are forgotten.
    pub fn members(&self) -> Vec<(NameHash, NameHash)> {
        let own = (self.identity.instance, self.identity.failure_domain);
        let mut members: Vec<(NameHash, NameHash)> = self.peers.members().chain([own]).collect();
        members.sort_unstable();
        members
    }

    /// Returns this instance's place among those of its failure domain.
    pub fn domain_position(&self, now: TimeMs) -> DomainPosition {
        self.fleet.place(now).unwrap_or_else(|| {
            let own = self.identity.instance;
            let alive: Vec<NameHash> = self.peers.alive_in(self.identity.failure_domain).collect();
            DomainPosition {
                position: alive.iter().filter(|peer| **peer < own).count(),
                instances: alive.len() + 1,
            }
        })
    }

    /// Returns after what time to look again for what is to be sent, in milliseconds.
    pub fn tick_ms(&self, now: TimeMs) -> u64 {
        if self.is_aggregated(now) {
            self.pace(now).tick_ms()
        } else {
            DIRECT_TICK_MS
        }
    }

    /// Returns the times by which silence and age are judged.
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

    /// Returns the pace of this instance: that of its aggregator, if it has one.
    fn pace(&self, now: TimeMs) -> ExchangePace {
        if self.aggregates(now) {
            self.own_pace
        } else {
            self.fleet.pace(now)
        }
    }

    fn own_rank(&self) -> DutyRank {
        DutyRank::of(self.identity.instance, self.identity.processor_milli)
    }

    /// Returns the address of the aggregator to report to; `None` if this instance is to aggregate.
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

    /// Returns whom this instance reports to, if that has changed since the last call.
    pub fn take_aggregator_change(&mut self) -> Option<ReportTarget> {
        if !std::mem::take(&mut self.is_aggregator_changed) {
            return None;
        }
        let aggregator = self.choice.chosen().and_then(|name| self.peers.get(name));
        Some(aggregator.map_or(ReportTarget::Itself, |peer| ReportTarget::Aggregator(peer.address)))
    }

    /// Tells whether this instance sends sums: it has members, or nobody to report to.
    fn aggregates(&self, now: TimeMs) -> bool {
        self.is_aggregated(now) && (self.reports.has_members() || self.choice.chosen().is_none())
    }

    /// Tells whether the fleet is too large for everyone to send to everyone. Asked for each message, so the
    /// peers are counted only where no sum says it.
    pub fn is_aggregated(&self, now: TimeMs) -> bool {
        let is_large = |instances: usize| instances > DIRECT_INSTANCES_MAX;
        self.fleet.summed_instances(now).is_some_and(is_large)
            || is_large(self.instances(now))
            || is_large(self.peers.known_count(now) + 1)
    }

    /// Returns how many instances this one knows of by itself: what direct messages say of the size may come
    /// from this instance and is not said again.
    fn instances_seen(&self, now: TimeMs) -> usize {
        let summed = self.fleet.summed_instances(now).unwrap_or(0);
        summed.max(self.peers.known_count(now) + 1)
    }
}
