//! Publishes what the load exchange knows of the fleet to the dispatcher and to the metrics.

use reedsail_core::NameHash;
use reedsail_core::TimeMs;
use reedsail_gossip::LoadExchange;

use crate::shared::Shared;

/// Interval at which the list of instances is published to the dispatcher, in milliseconds.
const MEMBERS_PUBLISH_INTERVAL_MS: u64 = 1_000;
/// Time from its start after which an instance assumes that it knows the whole fleet, in milliseconds. A message names
/// eight instances, and one message arrives every 25 ms in a large fleet.
const MEMBERS_WARMUP_MS: u64 = 1_000;

/// When the fleet is published.
#[derive(Debug)]
pub(super) struct FleetPublication {
    started_at: TimeMs,
    next_members_at: TimeMs,
}

impl FleetPublication {
    pub(super) fn new(started_at: TimeMs) -> Self {
        Self {
            started_at,
            next_members_at: TimeMs(0),
        }
    }

    /// Publishes the fleet as the instance `own` knows it.
    pub(super) fn tick<H>(
        &mut self,
        shared: &Shared<H>,
        exchange: &LoadExchange,
        own: NameHash,
        now: TimeMs,
    ) {
        Self::publish_size(shared, exchange, now);
        self.publish_members(shared, exchange, own, now);
    }

    /// Publishes the size of the fleet and the age of its known load to the dispatcher and to the metrics.
    fn publish_size<H>(shared: &Shared<H>, exchange: &LoadExchange, now: TimeMs) {
        let instances = exchange.instances(now);
        shared.dispatcher().set_instances(instances);
        shared.metrics.peers_alive.set(instances as i64 - 1);
        let load_age_ms = exchange.load_age_ms(now);
        let load_known_at = load_age_ms.map(|age_ms| now.0.saturating_sub(age_ms));
        shared.set_load_known_at(load_known_at.map(TimeMs));
    }

    /// Publishes the list of instances to the dispatcher once the list is known. An instance that assumes that it is
    /// the whole fleet would send to every cold server.
    fn publish_members<H>(
        &mut self,
        shared: &Shared<H>,
        exchange: &LoadExchange,
        own: NameHash,
        now: TimeMs,
    ) {
        let peers = exchange.peers();
        let is_alone = peers.has_seeds() && peers.alive().next().is_none();
        let is_new = peers.has_seeds() && now.since_ms(self.started_at) < MEMBERS_WARMUP_MS;
        if now < self.next_members_at || is_alone || is_new {
            return;
        }
        self.next_members_at = now.plus_ms(MEMBERS_PUBLISH_INTERVAL_MS);
        let members = exchange.members();
        shared.dispatcher().set_members(own, &members);
    }
}
