//! The configuration in force, and the time at which it was last known to be the newest.
//!
//! Versions only grow: a configuration that is older than the one in force is ignored.

use std::sync::Arc;

use reedsail_core::NameHash;
use reedsail_core::TimeMs;
use reedsail_dispatch::SlowStartLimit;
use reedsail_events::EventKind;
use reedsail_wire::LoadMessage;

use super::messages::Origin;
use crate::Configuration;
use crate::configuration_copy::AmbiguousCopy;
use crate::route_table::RouteTable;
use crate::shared::Shared;

/// Age of a configuration that was never confirmed as the newest, in milliseconds.
const NEVER_CONFIRMED_AGE_MS: u64 = u32::MAX as u64;

/// The version and age of a peer's configuration, from its load message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PeerConfiguration {
    version: u64,
    age_ms: u64,
}

impl PeerConfiguration {
    pub(crate) fn of(message: &LoadMessage) -> Self {
        Self {
            version: message.configuration_version,
            age_ms: u64::from(message.configuration_age_ms),
        }
    }
}

/// When the configuration in force was last confirmed as the newest, and which copies of peers cannot be used.
#[derive(Debug, Default)]
pub(crate) struct ConfigurationState {
    confirmed_at: Option<TimeMs>,
    /// The newest version of which a peer had only an ambiguous copy, or zero if there is none.
    ambiguous_version: u64,
    /// When that copy arrived, until the store has been read since.
    ambiguous_since: Option<TimeMs>,
}

impl ConfigurationState {
    /// Puts a configuration in force if it is newer than the current one.
    pub(crate) fn put_in_force<H>(shared: &Shared<H>, configuration: Configuration, origin: Origin) {
        let before = shared.routes.load().version();
        if configuration.version <= before {
            return;
        }
        let version = configuration.version;
        let routes = configuration.routes.len().to_string();
        let workspaces = configuration.access.workspaces().len().to_string();
        let requires_keys = configuration.access.requires_keys().to_string();
        let limits = configuration.services.iter().map(|service| {
            let limit = SlowStartLimit {
                cold_ms: service.cold_ms,
                requests_per_s: service.cold_requests_per_s,
            };
            (NameHash::of(&service.name), limit)
        });
        shared.dispatcher().set_slow_starts(limits.collect());
        shared.routes.store(Arc::new(RouteTable::new(configuration)));
        shared.metrics.configuration_version.set(version as i64);
        let fields = [
            ("version", version.to_string()),
            ("before", before.to_string()),
            ("origin", origin.name().to_owned()),
            ("routes", routes),
            ("workspaces", workspaces),
            ("requires_keys", requires_keys),
        ];
        shared.emit(EventKind::ConfigurationInForce, &fields);
    }

    /// Records that a peer's copy cannot be put in force.
    pub(crate) fn record_ambiguous_copy(&mut self, copy: AmbiguousCopy, now: TimeMs) {
        if copy.version > self.ambiguous_version {
            self.ambiguous_version = copy.version;
            self.ambiguous_since = Some(now);
            log::warn!(
                "reading the configuration from the store, because a peer's copy cannot be used: {copy}"
            );
        }
    }

    /// Returns whether the newest version that peers have must be read from the store at once.
    pub(crate) fn needs_store(&self, own_version: u64) -> bool {
        self.ambiguous_since.is_some() && self.ambiguous_version > own_version
    }

    /// Records that the newest configuration of the store at `known_at` was read. If it is older than that of an ambiguous
    /// copy, the store has lost the version, so that reading it again does not help.
    pub(crate) fn record_store_read(&mut self, known_at: TimeMs) {
        self.record_confirmed(known_at);
        self.ambiguous_since = self.ambiguous_since.filter(|since| *since > known_at);
    }

    /// Records that the configuration in force was the newest at `confirmed_at`.
    fn record_confirmed(&mut self, confirmed_at: TimeMs) {
        self.confirmed_at = self.confirmed_at.max(Some(confirmed_at));
    }

    /// Merges the age of a peer's configuration, unless the peer has a newer version.
    pub(crate) fn merge_peer_age(&mut self, peer: PeerConfiguration, own_version: u64, now: TimeMs) {
        if own_version == 0 || peer.version > own_version {
            return;
        }
        self.record_confirmed(TimeMs(now.0.saturating_sub(peer.age_ms)));
    }

    /// Returns how long ago the configuration was confirmed as the newest, in milliseconds.
    pub(crate) fn age_ms(&self, now: TimeMs) -> u64 {
        self.confirmed_at
            .map_or(NEVER_CONFIRMED_AGE_MS, |confirmed_at| now.since_ms(confirmed_at))
    }
}
