//! Version history: which software versions a service runs, or ran while streams that may be continued can have begun.
//!
//! **Rule.** A stream that no instance knows may continue only if all streams of its service that may be continued began
//! at one version. That holds if the list has been known to be current for no more than [`LIST_CURRENT_MS`], and has
//! named no other version for [`STREAM_LIFE_MAX_MS`]. An instance that has just started doesn't know the past; a peer
//! that does vouches for it. A server whose version is unknown counts as another version.
//!
//! A new version of a service gets the first events of resumable streams only [`NEW_VERSION_DELAY_MS`] after it was
//! listed here. By then each instance whose list is current knows it. It gets them before if no server of a version that
//! is not new was ready for [`LIST_CURRENT_MS`]: no instance whose list is current continues a stream at one.
//!
//! A version is scarce while it runs on few of its service's servers and has lost one of them recently: the streams
//! of the lost servers may return to those that are left.
//!
//! **Inputs.** The server list and the time as of which it is current, servers found not listening.
//!
//! **Why.** "Only one version is listed now" does not rule out that a stream began at another one a second ago, or that
//! a peer with a newer list has just begun one.
//!
//! **Tested by** `tests/version_history.rs`.

use std::collections::HashMap;

use reedsail_core::NameHash;
use reedsail_core::TimeMs;

use crate::SoftwareVersion;

/// Time for which a stream may be continued after its first event, in milliseconds. It is the time-out of a request
/// whose caller names no deadline.
pub const STREAM_LIFE_MAX_MS: u64 = 60_000;
/// Age up to which a server list counts as current, in milliseconds. Instances in touch with the store or with a peer
/// that is stay well below it.
pub(crate) const LIST_CURRENT_MS: u64 = 3_000;
/// How long a new version of a service gets no first events of resumable streams, in milliseconds. It is not shorter than
/// [`LIST_CURRENT_MS`].
const NEW_VERSION_DELAY_MS: u64 = LIST_CURRENT_MS;
/// A version is scarce if at most one in this many of its service's servers runs it.
const SCARCE_DIVISOR: u32 = 4;

/// The servers of one version of a service.
#[derive(Clone, Copy, Debug, Default)]
struct VersionServers {
    listed: u32,
    /// Listed servers that are not draining.
    ready: u32,
    /// When the version was first listed; `None` until the next refresh.
    listed_since: Option<TimeMs>,
    /// When the version was last listed.
    listed_at: TimeMs,
    /// Since when none of its servers is ready; `None` if one is, or until the next refresh.
    unready_since: Option<TimeMs>,
    /// When one of its servers was last found not listening.
    lost_at: Option<TimeMs>,
}

/// The versions of one service.
#[derive(Clone, Debug, Default)]
struct ServiceVersions {
    versions: HashMap<Option<SoftwareVersion>, VersionServers>,
    /// From when on this instance has known the service for [`STREAM_LIFE_MAX_MS`], or a peer has vouched for it.
    known_from: Option<TimeMs>,
}

impl ServiceVersions {
    /// Returns the version of all streams that may be continued, if there is only one.
    fn only(&self) -> Option<SoftwareVersion> {
        let mut versions = self.versions.keys();
        let only = versions.next()?;
        versions.next().is_none().then_some(*only)?
    }

    fn ready(&self) -> u32 {
        self.versions.values().map(|servers| servers.ready).sum()
    }
}

/// The versions of every service.
#[derive(Clone, Debug, Default)]
pub(crate) struct VersionHistory {
    services: HashMap<NameHash, ServiceVersions>,
    /// The time as of which this instance's list is current.
    list_current_at: TimeMs,
}

impl VersionHistory {
    /// Adds a listed server.
    pub(crate) fn add(&mut self, service: NameHash, version: Option<SoftwareVersion>, is_ready: bool) {
        let versions = &mut self.services.entry(service).or_default().versions;
        let servers = versions.entry(version).or_default();
        servers.listed += 1;
        servers.ready += u32::from(is_ready);
    }

    /// Removes a listed server that was added with the same arguments.
    pub(crate) fn remove(&mut self, service: NameHash, version: Option<SoftwareVersion>, is_ready: bool) {
        let versions = self
            .services
            .get_mut(&service)
            .map(|service| &mut service.versions);
        if let Some(servers) = versions.and_then(|versions| versions.get_mut(&version)) {
            servers.listed -= 1;
            servers.ready -= u32::from(is_ready);
        }
    }

    /// Records that a server of a version was found not listening.
    pub(crate) fn record_lost(&mut self, service: NameHash, version: Option<SoftwareVersion>, now: TimeMs) {
        let versions = self
            .services
            .get_mut(&service)
            .map(|service| &mut service.versions);
        if let Some(servers) = versions.and_then(|versions| versions.get_mut(&version)) {
            servers.lost_at = Some(now);
        }
    }

    /// Sets the time as of which the list is current.
    pub(crate) fn set_list_current_at(&mut self, current_at: TimeMs) {
        self.list_current_at = current_at;
    }

    /// Records which versions are listed now, and forgets those whose streams have all ended.
    pub(crate) fn refresh(&mut self, now: TimeMs) {
        for service in self.services.values_mut() {
            service.known_from.get_or_insert(now.plus_ms(STREAM_LIFE_MAX_MS));
            for servers in service.versions.values_mut() {
                // A version that was listed only since the last refresh may have begun streams as well.
                if servers.listed > 0 || servers.listed_since.is_none() {
                    servers.listed_since.get_or_insert(now);
                    servers.listed_at = now;
                }
                if servers.ready > 0 {
                    servers.unready_since = None;
                } else {
                    servers.unready_since.get_or_insert(now);
                }
            }
            service.versions.retain(|_, servers| {
                servers.listed > 0 || now.since_ms(servers.listed_at) < STREAM_LIFE_MAX_MS
            });
        }
    }

    /// Returns the version at which every stream of a service that may be continued began; `None` if there may be two,
    /// or if this instance doesn't know.
    pub(crate) fn only_version(&self, service: NameHash, now: TimeMs) -> Option<SoftwareVersion> {
        let versions = self.services.get(&service)?;
        let is_past_known = versions.known_from.is_some_and(|known_from| known_from <= now);
        versions
            .only()
            .filter(|_| is_past_known && self.is_list_current(now))
    }

    /// Returns whether a service may run servers of two versions: it runs or ran them, or the list is too old to tell.
    pub(crate) fn may_run_two(&self, service: NameHash, now: TimeMs) -> bool {
        let versions = self.services.get(&service);
        versions.is_none_or(|versions| versions.only().is_none()) || !self.is_list_current(now)
    }

    fn is_list_current(&self, now: TimeMs) -> bool {
        now.since_ms(self.list_current_at) <= LIST_CURRENT_MS
    }

    /// Accepts a peer's word that all streams of a service began at a version, unless this instance knows of another
    /// version.
    pub(crate) fn accept_only_version(&mut self, service: NameHash, version: SoftwareVersion, now: TimeMs) {
        let versions = self.services.entry(service).or_default();
        if versions.only() == Some(version) {
            versions.known_from = Some(now);
        }
    }

    /// Returns whether a version is so new that instances with a current list may not know it, while its service runs
    /// another one.
    pub(crate) fn is_new(&self, service: NameHash, version: Option<SoftwareVersion>, now: TimeMs) -> bool {
        let Some(versions) = self.services.get(&service) else {
            return false;
        };
        let since = versions
            .versions
            .get(&version)
            .and_then(|servers| servers.listed_since);
        let is_known = since.is_some_and(|since| now.since_ms(since) >= NEW_VERSION_DELAY_MS);
        versions.versions.len() > 1 && !is_known
    }

    /// Returns whether an instance with a current list may continue streams of a service at a version that is not new.
    pub(crate) fn may_continue_at_established(&self, service: NameHash, now: TimeMs) -> bool {
        let versions = self.services.get(&service).map(|service| &service.versions);
        versions.is_some_and(|versions| {
            versions.iter().any(|(version, servers)| {
                let is_unready = servers
                    .unready_since
                    .is_some_and(|since| now.since_ms(since) >= LIST_CURRENT_MS);
                !is_unready && !self.is_new(service, *version, now)
            })
        })
    }

    /// Returns whether a service runs a version that is new.
    pub(crate) fn has_new(&self, service: NameHash, now: TimeMs) -> bool {
        let versions = self.services.get(&service).map(|service| &service.versions);
        versions.is_some_and(|versions| versions.keys().any(|version| self.is_new(service, *version, now)))
    }

    /// Returns whether a service runs a version that is scarce.
    pub(crate) fn has_scarce(&self, service: NameHash, now: TimeMs) -> bool {
        let versions = self.services.get(&service).map(|service| &service.versions);
        versions.is_some_and(|versions| {
            versions
                .keys()
                .any(|version| self.is_scarce(service, *version, now))
        })
    }

    /// Returns whether a version is scarce.
    pub(crate) fn is_scarce(&self, service: NameHash, version: Option<SoftwareVersion>, now: TimeMs) -> bool {
        let Some(versions) = self.services.get(&service) else {
            return false;
        };
        let Some(servers) = versions.versions.get(&version) else {
            return false;
        };
        let has_lost = servers
            .lost_at
            .is_some_and(|at| now.since_ms(at) < STREAM_LIFE_MAX_MS);
        has_lost && servers.ready * SCARCE_DIVISOR <= versions.ready()
    }

    /// Returns the versions that a service runs, each with the number of its listed servers.
    pub(crate) fn listed(&self) -> impl Iterator<Item = (NameHash, Option<SoftwareVersion>, u32)> {
        self.services.iter().flat_map(|(service, versions)| {
            let listed = versions.versions.iter().filter(|(_, servers)| servers.listed > 0);
            listed.map(|(version, servers)| (*service, *version, servers.listed))
        })
    }
}
