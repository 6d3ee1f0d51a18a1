//! What a message that came means for the sources of load that count.

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
    /// Takes in a message.
    pub fn receive(&mut self, message: LoadMessage, from: SocketAddrV4, now: TimeMs) -> ReceiveOutcome {
        let mut receipt = ReceiveOutcome {
            arrival: Arrival::Stale,
            counted: None,
            dropped: Vec::new(),
        };
        if message.instance == self.identity.instance {
            return receipt;
        }
        receipt.arrival = self.peers.receive(&message, from, now);
        if receipt.arrival == Arrival::Stale {
            return receipt;
        }
        self.fleet.hear_size(message.instances, now);
        if self.is_to_be_welcomed(&message, receipt.arrival, now) {
            self.new_peers.push(NewPeer {
                address: from,
                failure_domain: message.failure_domain,
            });
        }
        match message.scope {
            LoadScope::Instance => self.receive_direct(message, &mut receipt, now),
            LoadScope::Member => self.receive_member(message, from, &mut receipt, now),
            LoadScope::Aggregate => self.receive_aggregate(message, from, &mut receipt, now),
            LoadScope::Fleet => self.receive_fleet(message, &mut receipt, now),
            LoadScope::Heartbeat => self
                .choice
                .record_message(message.instance, pace_of(&message), now),
        }
        receipt
    }

    /// Tells whether a sender is to be told who is there: one that has just come, and in a fleet with
    /// aggregators one that sends directly, which found none or asks for those that it does not know. What it
    /// is told names the size of the fleet, and is not answered.
    fn is_to_be_welcomed(&self, message: &LoadMessage, arrival: Arrival, now: TimeMs) -> bool {
        let asks = message.protocol > 0 && message.instances == 0 && self.is_aggregated(now);
        message.scope == LoadScope::Instance && (arrival == Arrival::FromNew || asks)
    }

    /// Counts a direct message, unless its load comes in a sum as well.
    fn receive_direct(&mut self, message: LoadMessage, receipt: &mut ReceiveOutcome, now: TimeMs) {
        let is_summed = message.protocol > 0 && self.is_aggregated(now);
        if !is_summed {
            self.count(message, receipt);
        }
    }

    fn receive_member(
        &mut self,
        message: LoadMessage,
        from: SocketAddrV4,
        receipt: &mut ReceiveOutcome,
        now: TimeMs,
    ) {
        self.reports.receive_member(&message, from, now);
        self.relay_to_aggregators.take(&message.load.prefixes, now);
        self.relay_to_members.take(&message.load.prefixes, now);
        self.drop_sources(receipt, |_, source| source.scope == LoadScope::Fleet);
        self.count(message, receipt);
    }

    fn receive_aggregate(
        &mut self,
        message: LoadMessage,
        from: SocketAddrV4,
        receipt: &mut ReceiveOutcome,
        now: TimeMs,
    ) {
        self.reports.receive_aggregate(&message, from, now);
        self.relay_to_members.take(&message.load.prefixes, now);
        if !self.aggregates(now) {
            return;
        }
        let members = self.reports.included();
        let is_member = |instance| members.iter().any(|row| row.instance == instance);
        let is_included = |instance| message.included.iter().any(|row| row.instance == instance);
        self.drop_sources(receipt, |instance, source| {
            let has_moved = instance != message.instance && is_included(instance) && !is_member(instance);
            source.scope == LoadScope::Fleet || has_moved
        });
        self.count(message, receipt);
    }

    /// Counts the sum over the fleet without this instance's own part, in place of everything else.
    fn receive_fleet(&mut self, mut message: LoadMessage, receipt: &mut ReceiveOutcome, now: TimeMs) {
        self.choice
            .record_message(message.instance, pace_of(&message), now);
        let own = self.identity.instance;
        let position = message.included.iter().position(|row| row.instance == own);
        self.fleet.receive(&message, position.unwrap_or(0), now);
        if self.aggregates(now) {
            return;
        }
        if let Some(row) = position.and_then(|index| message.included.get(index)) {
            self.sent.subtract_from(&mut message.load, row.sequence);
        }
        self.drop_sources(receipt, |_, source| source.protocol > 0);
        self.count(message, receipt);
    }

    fn count(&mut self, message: LoadMessage, receipt: &mut ReceiveOutcome) {
        let source = Source {
            scope: message.scope,
            protocol: message.protocol,
        };
        self.sources.insert(message.instance, source);
        receipt.dropped.retain(|instance| *instance != message.instance);
        receipt.counted = Some((message.instance, message.load));
    }

    fn drop_sources(&mut self, receipt: &mut ReceiveOutcome, is_dropped: impl Fn(NameHash, Source) -> bool) {
        self.sources.retain(|instance, source| {
            let is_dropped = is_dropped(*instance, *source);
            if is_dropped {
                receipt.dropped.push(*instance);
            }
            !is_dropped
        });
    }
}

fn pace_of(message: &LoadMessage) -> ExchangePace {
    ExchangePace::named(message.load_interval_ms)
}
