//! Which messages to send, to whom, and when.

use std::net::SocketAddrV4;

use reedsail_core::TimeMs;
use reedsail_dispatch::DutyRank;
use reedsail_dispatch::LoadReport;
use reedsail_wire::IncludedRow;
use reedsail_wire::LoadMessage;
use reedsail_wire::LoadScope;
use reedsail_wire::MemberRow;

use super::LoadExchange;
use super::PACED_PROTOCOL;
use super::PROTOCOL;
use crate::ExchangePace;
use crate::MessageHeader;
use crate::Outgoing;
use crate::Peer;
use crate::aggregator_choice::aggregators_of;
use crate::exchange_timing::HEARTBEAT_MS;
use crate::head_mark::HeadMark;
use crate::known_aggregators::KnownAggregators;
use crate::member_reports::SummedLoad;

/// Servers, and workspaces, that a sum for other aggregators names at most: with the other rows it fits a datagram.
const AGGREGATE_ROWS_MAX: usize = 1_024;
/// Servers, and workspaces, that a sum for members names at most. The least loaded ones are left out and count as
/// idle there.
const FLEET_ROWS_MAX: usize = 512;

impl LoadExchange {
    /// Tells whether the next load report is due: by the tick that is nearest to its moment, or an early tick
    /// would double the interval; or at once, where peers must learn something new.
    pub fn is_due(&self, head: &MessageHeader, now: TimeMs) -> bool {
        self.is_nearest_tick(self.next_message_at, now) || self.is_urgent(head, now)
    }

    /// Tells whether peers must learn at once what this instance knows. In small fleets the next message is soon enough.
    pub fn is_urgent(&self, head: &MessageHeader, now: TimeMs) -> bool {
        self.is_aggregated(now) && HeadMark::of(head) != self.announced
    }

    fn is_nearest_tick(&self, moment: TimeMs, now: TimeMs) -> bool {
        now.plus_ms(self.tick_ms(now) / 2) >= moment
    }

    /// Returns the messages to send now; `load` is this instance's report if it is due.
    pub fn outgoing(&mut self, head: &MessageHeader, load: Option<LoadReport>, now: TimeMs) -> Vec<Outgoing> {
        let mut outgoing = self.welcome_new_peers(head, now);
        let Some(load) = load else {
            return outgoing;
        };
        let is_urgent = self.is_urgent(head, now);
        self.announced = HeadMark::of(head);
        if self.is_aggregated(now) {
            self.own_pace = self.pace_for(head.load_pressure_milli);
            self.next_message_at = now.plus_ms(self.pace(now).message_interval_ms());
            self.send_aggregated(head, load, is_urgent, &mut outgoing, now);
        } else {
            self.next_message_at = now.plus_ms(self.peers.timing().interval_ms);
            self.send_direct(head, load, false, &mut outgoing, now);
        }
        outgoing
    }

    /// Returns the pace at a pressure: the shortest while a peer of the release before is there, which keeps no other.
    fn pace_for(&self, pressure_milli: u32) -> ExchangePace {
        let keeps_shortest_pace = |peer: &Peer| peer.protocol > 0 && peer.protocol < PACED_PROTOCOL;
        if self.peers.alive().any(keeps_shortest_pace) {
            return ExchangePace::default();
        }
        ExchangePace::of_pressure(pressure_milli)
    }

    /// Tells new peers who is there, so that each finds its aggregator at once.
    fn welcome_new_peers(&mut self, head: &MessageHeader, now: TimeMs) -> Vec<Outgoing> {
        let new_peers = std::mem::take(&mut self.new_peers);
        let mut outgoing = Vec::new();
        for peer in new_peers {
            let mut message = self.message(head, LoadScope::Instance, LoadReport::default());
            message.instances = self.instances_seen(now) as u32;
            message.members = self.peers.rows_for_new(peer.failure_domain, now);
            outgoing.push(Outgoing {
                message,
                targets: vec![peer.address],
            });
        }
        outgoing
    }

    /// Sends the own load to every peer; with `is_aggregated` to those that know no aggregators, and to the
    /// seeds while no sum comes.
    fn send_direct(
        &mut self,
        head: &MessageHeader,
        load: LoadReport,
        is_aggregated: bool,
        outgoing: &mut Vec<Outgoing>,
        now: TimeMs,
    ) {
        self.next_direct_at = now.plus_ms(self.peers.timing().interval_ms);
        let mut targets = self.peers.direct_targets(is_aggregated, now);
        let is_alone = self.load_age_ms(now).is_none();
        if !is_aggregated || is_alone || self.aggregates(now) {
            let seeds = self.peers.due_seeds(now);
            let unknown: Vec<SocketAddrV4> =
                seeds.into_iter().filter(|seed| !targets.contains(seed)).collect();
            targets.extend(unknown);
        }
        if targets.is_empty() {
            return;
        }
        let mut message = self.message(head, LoadScope::Instance, load);
        message.members = self.peers.rows();
        outgoing.push(Outgoing { message, targets });
    }

    /// Sends the own load to the aggregator, or the sums to members and other aggregators.
    fn send_aggregated(
        &mut self,
        head: &MessageHeader,
        load: LoadReport,
        is_urgent: bool,
        outgoing: &mut Vec<Outgoing>,
        now: TimeMs,
    ) {
        let aggregator = self.choose_aggregator(now);
        if now >= self.next_direct_at {
            self.send_direct(head, load.clone(), true, outgoing, now);
        }
        match aggregator {
            Some(aggregator) if !self.reports.has_members() => {
                let mut message = self.message(head, LoadScope::Member, load);
                message.load_interval_ms = self.pace(now).message_interval_ms() as u32;
                self.sent.record(message.sequence, &message.load);
                let targets = vec![aggregator];
                outgoing.push(Outgoing { message, targets });
            }
            Some(_) | None => self.send_sums(head, &load, is_urgent, outgoing, now),
        }
    }

    /// Sends the sums that are due, and heartbeats in place of the others. Of a failure domain's aggregators the first
    /// one alone sends heartbeats to other aggregators, unless there is something urgent.
    fn send_sums(
        &mut self,
        head: &MessageHeader,
        own: &LoadReport,
        is_urgent: bool,
        outgoing: &mut Vec<Outgoing>,
        now: TimeMs,
    ) {
        self.relay_to_aggregators.take(&own.prefixes, now);
        self.relay_to_members.take(&own.prefixes, now);
        let is_aggregate_due = self.is_nearest_tick(self.next_aggregate_at, now);
        let is_sum_due = self.is_nearest_tick(self.next_sum_at, now);
        if is_aggregate_due || is_sum_due {
            let summed = self.reports.member_sum(own, now);
            if is_aggregate_due {
                outgoing.push(self.aggregate_for_others(head, &summed, now));
            }
            if is_sum_due {
                outgoing.push(self.sum_for_members(head, summed, now));
            }
        }
        let is_heartbeat_due =
            self.is_nearest_tick(self.next_heartbeat_at, now) && self.is_first_of_domain(now);
        if !is_aggregate_due && (is_urgent || is_heartbeat_due) {
            self.next_heartbeat_at = now.plus_ms(HEARTBEAT_MS);
            let targets = self.other_aggregators(now);
            let message = self.message(head, LoadScope::Heartbeat, LoadReport::default());
            outgoing.push(Outgoing { message, targets });
        }
        if !is_sum_due {
            let targets = self.reports.member_addresses();
            let mut message = self.message(head, LoadScope::Heartbeat, LoadReport::default());
            message.members = self.rows_for_members();
            outgoing.push(Outgoing { message, targets });
        }
    }

    fn is_first_of_domain(&self, now: TimeMs) -> bool {
        let mut ranks = self.peers.ranks_in(self.identity.failure_domain, now);
        ranks.all(|rank| rank > self.own_rank())
    }

    fn aggregate_for_others(&mut self, head: &MessageHeader, summed: &SummedLoad, now: TimeMs) -> Outgoing {
        let targets = self.other_aggregators(now);
        let interval_ms = self.own_pace.between_aggregators_ms(targets.len());
        self.next_aggregate_at = now.plus_ms(interval_ms);
        self.next_heartbeat_at = now.plus_ms(HEARTBEAT_MS);
        let load = summed.sum.report(AGGREGATE_ROWS_MAX);
        let mut message = self.sum_message(head, LoadScope::Aggregate, summed, load);
        message.load.prefixes = self.relay_to_aggregators.rows();
        message.members = self.peers.rows();
        message.load_interval_ms = interval_ms as u32;
        Outgoing { message, targets }
    }

    fn sum_for_members(&mut self, head: &MessageHeader, mut summed: SummedLoad, now: TimeMs) -> Outgoing {
        self.next_sum_at = now.plus_ms(self.own_pace.load_interval_ms());
        self.reports.add_aggregates(&mut summed, now);
        let load = summed.sum.report(FLEET_ROWS_MAX);
        let mut message = self.sum_message(head, LoadScope::Fleet, &summed, load);
        message.load.prefixes = self.relay_to_members.rows();
        message.members = self.rows_for_members();
        self.fleet.receive(&message, 0, now);
        Outgoing {
            message,
            targets: self.reports.member_addresses(),
        }
    }

    fn sum_message(
        &mut self,
        head: &MessageHeader,
        scope: LoadScope,
        summed: &SummedLoad,
        load: LoadReport,
    ) -> LoadMessage {
        let mut message = self.message(head, scope, load);
        let own = IncludedRow {
            instance: self.identity.instance,
            sequence: message.sequence,
        };
        message.included = vec![own];
        message.included.extend(self.reports.included());
        message.instances = summed.instances;
        message.domain_instances = self.reports.instances_in(self.identity.failure_domain);
        message.load_age_ms = summed.load_age_ms();
        message
    }

    /// Returns the other aggregators, and some members, so that members find another aggregator and a
    /// member that takes over finds those of the other failure domains.
    fn rows_for_members(&mut self) -> Vec<MemberRow> {
        let mut rows = self.peers.rows();
        let aggregators = self.reports.aggregator_names();
        rows.retain(|row| !aggregators.contains(&row.instance));
        rows.extend(aggregators.into_iter().filter_map(|name| self.peers.row(name)));
        rows
    }

    /// Returns the aggregators that a sum goes to.
    fn other_aggregators(&mut self, now: TimeMs) -> Vec<SocketAddrV4> {
        self.searches += 1;
        let known = KnownAggregators {
            heard: self.reports.aggregators().collect(),
            ranked: self
                .peers
                .ranked_by_domain(self.identity.failure_domain, self.own_rank(), now),
            own_domain: self.identity.failure_domain,
            of_each_domain: self.aggregators_of_domain(now),
        };
        known.targets(self.searches)
    }

    /// Returns how many aggregators this failure domain has, by which the others are judged.
    fn aggregators_of_domain(&self, now: TimeMs) -> usize {
        let ranks = self.peers.ranks_in(self.identity.failure_domain, now);
        let best = ranks.chain([self.own_rank()]).min();
        let best_milli = best.map_or(0, DutyRank::processor_milli);
        aggregators_of(self.fleet.domain_instances(now), best_milli)
    }

    fn message(&mut self, head: &MessageHeader, scope: LoadScope, load: LoadReport) -> LoadMessage {
        self.sequence = self.sequence.wrapping_add(1);
        LoadMessage {
            instance: self.identity.instance,
            incarnation: self.identity.incarnation,
            sequence: self.sequence,
            failure_domain: self.identity.failure_domain,
            configuration_version: head.configuration_version,
            configuration_age_ms: head.configuration_age_ms,
            servers_revision: head.servers_revision,
            servers_digest: head.servers_digest,
            servers_age_ms: head.servers_age_ms,
            is_stopping: head.is_stopping,
            scope,
            protocol: PROTOCOL,
            processor_milli: self.identity.processor_milli.max(1),
            load,
            included: Vec::new(),
            instances: 0,
            domain_instances: 0,
            load_age_ms: 0,
            load_interval_ms: self.own_pace.load_interval_ms() as u32,
            departures: head.departures.clone(),
            evacuations: head.evacuations.clone(),
            members: Vec::new(),
        }
    }
}
