//! Processing of received messages: which sources of load count afterwards.

use std::net::SocketAddrV4;

use reedsail_core::NameHash;
use reedsail_core::TimeMs;
use reedsail_wire::LoadMessage;
use reedsail_wire::LoadScope;

use super::LoadExchange;
use super::NewPeer;
use super::Source;
use crate::Arrival;
use crate::ExchangePace;
use crate::ReceiveOutcome;

impl LoadExchange {
    /// Processes a message.
    pub fn receive(&mut self, message: LoadMessage, from: SocketAddrV4, now: TimeMs) -> ReceiveOutcome {
        let mut outcome = ReceiveOutcome {
            arrival: Arrival::Stale,
            counted: None,
            dropped: Vec::new(),
        };
        if message.instance == self.identity.instance {
            return outcome;
        }
        outcome.arrival = self.peers.receive(&message, from, now);
        if outcome.arrival == Arrival::Stale {
            return outcome;
        }
        self.fleet.record_reported_size(message.instances, now);
        if self.needs_introduction(&message, outcome.arrival, now) {
            self.new_peers.push(NewPeer {
                address: from,
                failure_domain: message.failure_domain,
            });
        }
        match message.scope {
            LoadScope::Instance => self.receive_direct(message, &mut outcome, now),
            LoadScope::Member => self.receive_member(message, from, &mut outcome, now),
            LoadScope::Aggregate => self.receive_aggregate(message, from, &mut outcome, now),
            LoadScope::Fleet => self.receive_fleet(message, &mut outcome, now),
            LoadScope::Heartbeat => self
                .choice
                .record_message(message.instance, pace_of(&message), now),
        }
        outcome
    }

    /// Returns whether the sender needs a message that names other instances.
    ///
    /// A new sender does. In a fleet with aggregators, so does a sender of a direct message, which knows no aggregator
    /// or searches for further ones. The introduction itself names the fleet size, so it gets no introduction in
    /// return.
    fn needs_introduction(&self, message: &LoadMessage, arrival: Arrival, now: TimeMs) -> bool {
        let is_searching = message.protocol > 0 && message.instances == 0 && self.is_aggregated(now);
        message.scope == LoadScope::Instance && (arrival == Arrival::FromNew || is_searching)
    }

    /// Counts the load of a direct message, unless a sum includes that load.
    fn receive_direct(&mut self, message: LoadMessage, outcome: &mut ReceiveOutcome, now: TimeMs) {
        let is_summed = message.protocol > 0 && self.is_aggregated(now);
        if !is_summed {
            self.count(message, outcome);
        }
    }

    fn receive_member(
        &mut self,
        message: LoadMessage,
        from: SocketAddrV4,
        outcome: &mut ReceiveOutcome,
        now: TimeMs,
    ) {
        self.reports.receive_member(&message, from, now);
        self.relay_to_aggregators.add(&message.load.prefixes, now);
        self.relay_to_members.add(&message.load.prefixes, now);
        self.drop_sources(outcome, |_, source| source.scope == LoadScope::Fleet);
        self.count(message, outcome);
    }

    fn receive_aggregate(
        &mut self,
        message: LoadMessage,
        from: SocketAddrV4,
        outcome: &mut ReceiveOutcome,
        now: TimeMs,
    ) {
        self.reports.receive_aggregate(&message, from, now);
        self.relay_to_members.add(&message.load.prefixes, now);
        if !self.is_aggregator(now) {
            return;
        }
        let members = self.reports.included();
        let is_member = |instance| members.iter().any(|row| row.instance == instance);
        let is_included = |instance| message.included.iter().any(|row| row.instance == instance);
        self.drop_sources(outcome, |instance, source| {
            let has_moved = instance != message.instance && is_included(instance) && !is_member(instance);
            source.scope == LoadScope::Fleet || has_moved
        });
        self.count(message, outcome);
    }

    /// Counts the sum over the fleet, without this instance's own load, in place of all other load that sums include.
    fn receive_fleet(&mut self, mut message: LoadMessage, outcome: &mut ReceiveOutcome, now: TimeMs) {
        self.choice
            .record_message(message.instance, pace_of(&message), now);
        let own = self.identity.instance;
        let position = message.included.iter().position(|row| row.instance == own);
        self.fleet.receive(&message, position.unwrap_or(0), now);
        if self.is_aggregator(now) {
            return;
        }
        if let Some(row) = position.and_then(|index| message.included.get(index)) {
            self.sent.subtract_from(&mut message.load, row.sequence);
        }
        self.drop_sources(outcome, |_, source| source.protocol > 0);
        self.count(message, outcome);
    }

    /// Counts the message's load in place of the sender's previous load.
    fn count(&mut self, message: LoadMessage, outcome: &mut ReceiveOutcome) {
        let source = Source {
            scope: message.scope,
            protocol: message.protocol,
        };
        self.sources.insert(message.instance, source);
        outcome.dropped.retain(|instance| *instance != message.instance);
        outcome.counted = Some((message.instance, message.load));
    }

    /// Drops the sources for which `is_dropped` returns `true`.
    fn drop_sources(&mut self, outcome: &mut ReceiveOutcome, is_dropped: impl Fn(NameHash, Source) -> bool) {
        self.sources.retain(|instance, source| {
            let is_dropped = is_dropped(*instance, *source);
            if is_dropped {
                outcome.dropped.push(*instance);
            }
            !is_dropped
        });
    }
}

fn pace_of(message: &LoadMessage) -> ExchangePace {
    ExchangePace::from_interval_ms(message.load_interval_ms)
}
