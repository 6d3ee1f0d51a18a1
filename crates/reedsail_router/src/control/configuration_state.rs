//! The configuration in force, and when it was known to be the newest.
//!
//! Versions only grow: what is older than the version in force changes nothing.

use std::sync::Arc;

use reedsail_core::NameHash;
use reedsail_core::TimeMs;
use reedsail_dispatch::SlowStartLimit;
use reedsail_events::EventKind;
use reedsail_wire::LoadMessage;

use super::messages::Origin;
use crate::Configuration;
use crate::route_table::RouteTable;
use crate::shared::Shared;

/// Age of a configuration that was never known to be the newest, in milliseconds.
const NEVER_KNOWN_MS: u64 = u32::MAX as u64;

/// What a peer's message says of its configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct KnownConfiguration {
    version: u64,
    age_ms: u64,
}

impl KnownConfiguration {
    pub(crate) fn of(message: &LoadMessage) -> Self {
        Self {
            version: message.configuration_version,
            age_ms: u64::from(message.configuration_age_ms),
        }
    }
}

/// How fresh the configuration in force is.
#[derive(Debug, Default)]
pub(crate) struct ConfigurationState {
    known_at: Option<TimeMs>,
}

impl ConfigurationState {
    /// Puts a configuration in force, unless it is not newer than the one that is.
    pub(crate) fn put_in_force<H>(shared: &Shared<H>, configuration: Configuration, origin: Origin) {
        let before = shared.routes.load().version();
        if configuration.version <= before {
            return;
        }
        let version = configuration.version;
        let routes = configuration.routes.len().to_string();
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
        ];
        shared.emit(EventKind::ConfigurationInForce, &fields);
    }

    /// Records that the configuration in force was the newest at a moment.
    pub(crate) fn record_known(&mut self, known_at: TimeMs) {
        self.known_at = self.known_at.max(Some(known_at));
    }

    /// Takes over how fresh a peer's configuration is, if the peer has no newer one.
    pub(crate) fn receive_age(&mut self, known: KnownConfiguration, own_version: u64, now: TimeMs) {
        if own_version == 0 || known.version > own_version {
            return;
        }
        self.record_known(TimeMs(now.0.saturating_sub(known.age_ms)));
    }

    /// Returns how long ago the configuration was known to be the newest, in milliseconds.
    pub(crate) fn age_ms(&self, now: TimeMs) -> u64 {
        self.known_at
            .map_or(NEVER_KNOWN_MS, |known_at| now.since_ms(known_at))
    }
}
