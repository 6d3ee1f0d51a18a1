//! Keeps the exchange of streams' versions up to date: the peers, the rows that they need, and how current the list is.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;

use reedsail_core::NameHash;
use reedsail_core::TimeMs;
use reedsail_dispatch::ServerList;
use reedsail_dispatch::SoftwareVersion;
use reedsail_gossip::LoadExchange;

use crate::shared::Shared;

/// Interval at which the peers are compared in a fleet with aggregators, in milliseconds.
const PEERS_INTERVAL_MS: u64 = 1_000;
/// Interval at which expired streams are dropped, rows are sent to new peers and metrics are set, in milliseconds.
const UPKEEP_INTERVAL_MS: u64 = 250;

/// The state of the watch.
#[derive(Debug, Default)]
pub(crate) struct StreamWatch {
    next_peers_at: TimeMs,
    next_upkeep_at: TimeMs,
    /// The peers that were alive when the store last confirmed the list.
    confirming_peers: HashSet<NameHash>,
    confirmed_at: TimeMs,
    /// The versions of the last metrics, to remove those that are gone.
    shown_versions: HashMap<(NameHash, Option<SoftwareVersion>), [String; 2]>,
    shown_streams: HashSet<String>,
}

impl StreamWatch {
    /// Does what is due.
    pub(crate) fn tick<H>(
        &mut self,
        shared: &Shared<H>,
        exchange: &LoadExchange,
        servers: &ServerList,
        now: TimeMs,
    ) {
        self.publish_list_times(shared, exchange, servers, now);
        if !exchange.is_aggregated(now) || now >= self.next_peers_at {
            self.next_peers_at = now.plus_ms(PEERS_INTERVAL_MS);
            shared.streams.set_peers(exchange.stream_peers(now));
        }
        if now < self.next_upkeep_at {
            return;
        }
        self.next_upkeep_at = now.plus_ms(UPKEEP_INTERVAL_MS);
        shared.streams.table().tick(now);
        let is_needed = |service| shared.dispatcher().only_version(service, now).is_none();
        shared.streams.send_rows(is_needed, now);
        self.show_versions(shared);
        self.show_streams(shared);
    }

    /// Publishes the time as of which the list is current. While the store is unavailable to the whole fleet, no instance
    /// can learn of a server, so the list stays current as long as all peers of its last confirmation are alive and none
    /// has a newer list. Beyond the fleets in which every instance hears every other, only the store confirms.
    fn publish_list_times<H>(
        &mut self,
        shared: &Shared<H>,
        exchange: &LoadExchange,
        servers: &ServerList,
        now: TimeMs,
    ) {
        if !servers.is_known() {
            return;
        }
        let known_at = TimeMs(now.0.saturating_sub(servers.age_ms(now)));
        let current_at =
            if !exchange.is_aggregated(now) && self.is_confirmed_by_peers(exchange, servers, known_at, now) {
                now
            } else {
                known_at
            };
        shared.dispatcher().set_list_current_at(current_at);
    }

    /// Returns whether all peers of the last confirmation by the store are alive, and no peer has a newer list.
    fn is_confirmed_by_peers(
        &mut self,
        exchange: &LoadExchange,
        servers: &ServerList,
        known_at: TimeMs,
        now: TimeMs,
    ) -> bool {
        let peers = exchange.stream_peers(now).into_iter();
        let alive: HashSet<NameHash> = peers.map(|peer| peer.instance).collect();
        if known_at > self.confirmed_at {
            self.confirmed_at = known_at;
            self.confirming_peers.clone_from(&alive);
        }
        self.confirming_peers.is_subset(&alive) && exchange.peers().confirm_list(servers.revision())
    }

    /// Shows which versions each service runs.
    fn show_versions<H>(&mut self, shared: &Shared<H>) {
        let listed = shared.dispatcher().listed_versions();
        let gauge = &shared.metrics.versions.servers;
        let mut gone = std::mem::take(&mut self.shown_versions);
        for (service, version, servers) in listed {
            let key = (service, version);
            let labels = gone.remove(&key).unwrap_or_else(|| {
                let service = shared.servers.service_name(service);
                [service.to_string(), version_name(shared, version)]
            });
            gauge
                .with_label_values(&[&labels[0], &labels[1]])
                .set(i64::from(servers));
            self.shown_versions.insert(key, labels);
        }
        for labels in gone.into_values() {
            // Fails only if the label was never set.
            let _ = gauge.remove_label_values(&[&labels[0], &labels[1]]);
        }
    }

    /// Shows how many streams are bound to each version.
    fn show_streams<H>(&mut self, shared: &Shared<H>) {
        let counts = shared.streams.table().counts();
        let gauge = &shared.metrics.versions.bound_streams;
        let mut gone = std::mem::take(&mut self.shown_streams);
        for (version, streams) in counts {
            let name = version_name(shared, version);
            gauge.with_label_values(&[&name]).set(streams as i64);
            gone.remove(&name);
            self.shown_streams.insert(name);
        }
        for name in gone {
            // Fails only if the label was never set.
            let _ = gauge.remove_label_values(&[&name]);
        }
    }
}

fn version_name<H>(shared: &Shared<H>, version: Option<SoftwareVersion>) -> String {
    let name: Option<Arc<str>> = version.and_then(|version| shared.servers.version_name(version));
    name.map_or_else(|| "unknown".to_owned(), |name| name.to_string())
}
