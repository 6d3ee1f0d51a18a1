//! Choice of the messages to send, with their targets and times.

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
use crate::aggregator_choice::aggregator_count;
use crate::exchange_timing::HEARTBEAT_MS;
use crate::known_aggregators::KnownAggregators;
use crate::member_reports::SummedLoad;
use crate::urgent_fields::UrgentFields;

/// Maximum number of servers, and of workspaces, in a sum for other aggregators. With its other rows, the sum still
/// fits a datagram.
const AGGREGATE_ROWS_MAX: usize = 1_024;
/// Maximum number of servers, and of workspaces, in a sum for members. The least loaded are left out, and members treat
/// them as idle.
const FLEET_ROWS_MAX: usize = 512;

impl LoadExchange {
    /// Returns whether the next load report is due.
    ///
    /// A report is due at the tick that is nearest to its time, since a tick slightly before that time would otherwise
    /// double the interval. An urgent change makes the report due at once.
    pub fn is_due(&self, header: &MessageHeader, now: TimeMs) -> bool {
        self.is_due_at_tick(self.next_message_at, now) || self.is_urgent(header, now)
    }

    /// Returns whether an urgent header field has changed since the last message. In small fleets no change is urgent,
    /// since the next message is sent soon enough.
    pub fn is_urgent(&self, header: &MessageHeader, now: TimeMs) -> bool {
        self.is_aggregated(now) && UrgentFields::of(header) != self.sent_urgent_fields
    }

    fn is_due_at_tick(&self, due_at: TimeMs, now: TimeMs) -> bool {
        now.plus_ms(self.tick_ms(now) / 2) >= due_at
    }

    /// Returns the messages to send now; `load` is this instance's report, if it is due.
    pub fn outgoing(
        &mut self,
        header: &MessageHeader,
        load: Option<LoadReport>,
        now: TimeMs,
    ) -> Vec<Outgoing> {
        let mut outgoing = self.introduce_new_peers(header, now);
        let Some(load) = load else {
            return outgoing;
        };
        let is_urgent = self.is_urgent(header, now);
        self.sent_urgent_fields = UrgentFields::of(header);
        if self.is_aggregated(now) {
            self.own_pace = self.pace_for(header.load_pressure_milli);
            self.next_message_at = now.plus_ms(self.pace(now).message_interval_ms());
            self.send_aggregated(header, load, is_urgent, &mut outgoing, now);
        } else {
            self.next_message_at = now.plus_ms(self.peers.timing().interval_ms);
            self.send_direct(header, load, false, &mut outgoing, now);
        }
        outgoing
    }

    /// Returns the pace for a pressure. It is the shortest while a peer of the previous release is alive, which does
    /// not support another.
    fn pace_for(&self, pressure_milli: u32) -> ExchangePace {
        let requires_shortest_pace = |peer: &Peer| peer.protocol > 0 && peer.protocol < PACED_PROTOCOL;
        if self.peers.alive().any(requires_shortest_pace) {
            return ExchangePace::default();
        }
        ExchangePace::from_pressure(pressure_milli)
    }

    /// Returns messages that name other instances to the new peers, so that each new peer finds its aggregator at once.
    fn introduce_new_peers(&mut self, header: &MessageHeader, now: TimeMs) -> Vec<Outgoing> {
        let new_peers = std::mem::take(&mut self.new_peers);
        let mut outgoing = Vec::new();
        for peer in new_peers {
            let mut message = self.message(header, LoadScope::Instance, LoadReport::default());
            message.instances = self.known_instances(now) as u32;
            message.members = self.peers.rows_for_new(peer.failure_domain, now);
            outgoing.push(Outgoing {
                message,
                targets: vec![peer.address],
            });
        }
        outgoing
    }

    /// Sends this instance's load to all peers. With `is_aggregated`, only to peers that do not support aggregators,
    /// and to the seeds while no sum arrives or if this instance is an aggregator.
    fn send_direct(
        &mut self,
        header: &MessageHeader,
        load: LoadReport,
        is_aggregated: bool,
        outgoing: &mut Vec<Outgoing>,
        now: TimeMs,
    ) {
        self.next_direct_at = now.plus_ms(self.peers.timing().interval_ms);
        let mut targets = self.peers.direct_targets(is_aggregated, now);
        let has_no_sum = self.load_age_ms(now).is_none();
        if !is_aggregated || has_no_sum || self.is_aggregator(now) {
            let seeds = self.peers.due_seeds(now);
            let new_targets: Vec<SocketAddrV4> =
                seeds.into_iter().filter(|seed| !targets.contains(seed)).collect();
            targets.extend(new_targets);
        }
        if targets.is_empty() {
            return;
        }
        let mut message = self.message(header, LoadScope::Instance, load);
        message.members = self.peers.rows();
        outgoing.push(Outgoing { message, targets });
    }

    /// Sends this instance's load to the aggregator, or sums to members and other aggregators.
    fn send_aggregated(
        &mut self,
        header: &MessageHeader,
        load: LoadReport,
        is_urgent: bool,
        outgoing: &mut Vec<Outgoing>,
        now: TimeMs,
    ) {
        let aggregator = self.choose_aggregator(now);
        if now >= self.next_direct_at {
            self.send_direct(header, load.clone(), true, outgoing, now);
        }
        match aggregator {
            Some(aggregator) if !self.reports.has_members() => {
                let mut message = self.message(header, LoadScope::Member, load);
                message.load_interval_ms = self.pace(now).message_interval_ms() as u32;
                self.sent.record(message.sequence, &message.load);
                let targets = vec![aggregator];
                outgoing.push(Outgoing { message, targets });
            }
            Some(_) | None => self.send_sums(header, &load, is_urgent, outgoing, now),
        }
    }

    /// Sends the sums that are due, and heartbeats in place of sums that are not. Only the best ranked aggregator of a
    /// failure domain sends heartbeats to other aggregators, unless there is an urgent change.
    fn send_sums(
        &mut self,
        header: &MessageHeader,
        own_load: &LoadReport,
        is_urgent: bool,
        outgoing: &mut Vec<Outgoing>,
        now: TimeMs,
    ) {
        self.relay_to_aggregators.add(&own_load.prefixes, now);
        self.relay_to_members.add(&own_load.prefixes, now);
        let is_aggregate_due = self.is_due_at_tick(self.next_aggregate_at, now);
        let is_sum_due = self.is_due_at_tick(self.next_sum_at, now);
        if is_aggregate_due || is_sum_due {
            let summed = self.reports.member_sum(own_load, now);
            if is_aggregate_due {
                outgoing.push(self.aggregate_for_others(header, &summed, now));
            }
            if is_sum_due {
                outgoing.push(self.sum_for_members(header, summed, now));
            }
        }
        let is_heartbeat_due =
            self.is_due_at_tick(self.next_heartbeat_at, now) && self.is_best_ranked_in_domain(now);
        if !is_aggregate_due && (is_urgent || is_heartbeat_due) {
            self.next_heartbeat_at = now.plus_ms(HEARTBEAT_MS);
            let targets = self.other_aggregators(now);
            let message = self.message(header, LoadScope::Heartbeat, LoadReport::default());
            outgoing.push(Outgoing { message, targets });
        }
        if !is_sum_due {
            let targets = self.reports.member_addresses();
            let mut message = self.message(header, LoadScope::Heartbeat, LoadReport::default());
            message.members = self.rows_for_members();
            outgoing.push(Outgoing { message, targets });
        }
    }

    fn is_best_ranked_in_domain(&self, now: TimeMs) -> bool {
        let mut ranks = self.peers.ranks_in(self.identity.failure_domain, now);
        ranks.all(|rank| rank > self.own_rank())
    }

    fn aggregate_for_others(&mut self, header: &MessageHeader, summed: &SummedLoad, now: TimeMs) -> Outgoing {
        let targets = self.other_aggregators(now);
        let interval_ms = self.own_pace.inter_aggregator_interval_ms(targets.len());
        self.next_aggregate_at = now.plus_ms(interval_ms);
        self.next_heartbeat_at = now.plus_ms(HEARTBEAT_MS);
        let load = summed.sum.report(AGGREGATE_ROWS_MAX);
        let mut message = self.sum_message(header, LoadScope::Aggregate, summed, load);
        message.load.prefixes = self.relay_to_aggregators.next_rows();
        message.members = self.peers.rows();
        message.load_interval_ms = interval_ms as u32;
        Outgoing { message, targets }
    }

    fn sum_for_members(&mut self, header: &MessageHeader, mut summed: SummedLoad, now: TimeMs) -> Outgoing {
        self.next_sum_at = now.plus_ms(self.own_pace.load_interval_ms());
        self.reports.add_aggregates(&mut summed, now);
        let load = summed.sum.report(FLEET_ROWS_MAX);
        let mut message = self.sum_message(header, LoadScope::Fleet, &summed, load);
        message.load.prefixes = self.relay_to_members.next_rows();
        message.members = self.rows_for_members();
        self.fleet.receive(&message, 0, now);
        Outgoing {
            message,
            targets: self.reports.member_addresses(),
        }
    }

    fn sum_message(
        &mut self,
        header: &MessageHeader,
        scope: LoadScope,
        summed: &SummedLoad,
        load: LoadReport,
    ) -> LoadMessage {
        let mut message = self.message(header, scope, load);
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

    /// Returns rows for the other aggregators and some members. They let a member find another aggregator, and let a
    /// member that becomes an aggregator find the aggregators of the other failure domains.
    fn rows_for_members(&mut self) -> Vec<MemberRow> {
        let mut rows = self.peers.rows();
        let aggregators = self.reports.aggregator_names();
        rows.retain(|row| !aggregators.contains(&row.instance));
        rows.extend(aggregators.into_iter().filter_map(|name| self.peers.row(name)));
        rows
    }

    /// Returns the addresses of the other aggregators that a message is sent to.
    fn other_aggregators(&mut self, now: TimeMs) -> Vec<SocketAddrV4> {
        self.search_rounds += 1;
        let known = KnownAggregators {
            active: self.reports.aggregators().collect(),
            ranked: self
                .peers
                .ranked_by_domain(self.identity.failure_domain, self.own_rank(), now),
            own_domain: self.identity.failure_domain,
            aggregators_per_domain: self.domain_aggregator_count(now),
        };
        known.targets(self.search_rounds)
    }

    /// Returns the number of aggregators of this instance's failure domain, which is used as an estimate for the
    /// others.
    fn domain_aggregator_count(&self, now: TimeMs) -> usize {
        let ranks = self.peers.ranks_in(self.identity.failure_domain, now);
        let best = ranks.chain([self.own_rank()]).min();
        let best_milli = best.map_or(0, DutyRank::processor_milli);
        aggregator_count(self.fleet.domain_instances(now), best_milli)
    }

    fn message(&mut self, header: &MessageHeader, scope: LoadScope, load: LoadReport) -> LoadMessage {
        self.sequence = self.sequence.wrapping_add(1);
        LoadMessage {
            instance: self.identity.instance,
            incarnation: self.identity.incarnation,
            sequence: self.sequence,
            failure_domain: self.identity.failure_domain,
            configuration_version: header.configuration_version,
            configuration_age_ms: header.configuration_age_ms,
            servers_revision: header.servers_revision,
            servers_digest: header.servers_digest,
            servers_age_ms: header.servers_age_ms,
            is_stopping: header.is_stopping,
            scope,
            protocol: PROTOCOL,
            processor_milli: self.identity.processor_milli.max(1),
            load,
            included: Vec::new(),
            instances: 0,
            domain_instances: 0,
            load_age_ms: 0,
            load_interval_ms: self.own_pace.load_interval_ms() as u32,
            departures: header.departures.clone(),
            evacuations: header.evacuations.clone(),
            members: Vec::new(),
        }
    }
}
