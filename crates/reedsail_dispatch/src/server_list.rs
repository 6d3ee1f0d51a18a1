//! Server list: the backend servers that this instance knows to exist.
//!
//! **Rule.** The list follows the store's records and its peers' lists, whichever is newer. A dropped record takes
//! effect at once, unless it may have expired only because the store was unavailable: then the server stays usable as
//! a suspect for [`SUSPECT_GRACE_MS`]. A server that a peer with a newer list advertises as departed gets no new
//! work, even before the list is fetched. A suspect in a peer's list becomes a suspect here too, unless this instance
//! knows that the server has departed. A restart under the same id is a new incarnation: the earlier one has
//! departed. A record that cannot be read removes its server.
//!
//! A list of a newer era of the store (the store was restored from an older backup of itself) is newer whatever its
//! offset. As after an outage, it does not prove a departure. If a server's record had announced a departure, the
//! newer era does not bring the server back until the server writes its record again.
//!
//! Records, lists and departures may arrive late, repeatedly and in any order. Each has a position in the store's log, and
//! applies only to what is known as of an earlier one: a record to its server, a list to the whole list, a departure
//! until a newer record or list has the server.
//!
//! **Inputs.** The store's records with their position in its log (the revision) and the time of asking; peers'
//! revision, digest, age (milliseconds) and departures; failed reads.
//!
//! **Why.** Records expire while the store is unavailable although the servers are alive, and live servers announce
//! themselves again within about two seconds of its return. A server that has really departed must get no requests a
//! few seconds later, even while the store is unavailable.
//!
//! **Tested by** `tests/server_list.rs`, `tests/list_order.rs`, `tests/list_order_fleet.rs`, `tests/store_eras.rs`,
//! `tests/store_era_fleets.rs`, `tests/decision_trace.rs`.

mod announcements;
mod peer_lists;
mod store_updates;

use std::collections::HashSet;
use std::sync::Arc;

use reedsail_core::NameHash;
use reedsail_core::StorePosition;
use reedsail_core::TimeMs;

use crate::ListDelta;
use crate::ServerRecord;
use crate::UseChanges;
use crate::departures::DepartureEvidence;
use crate::departures::Departures;
use crate::server_entries::Entry;
use crate::server_entries::ServerEntries;

/// How long a suspect stays usable, in milliseconds: a live server has announced itself again by then.
const SUSPECT_GRACE_MS: u64 = 2_000;
/// How long after the first read that follows an outage a dropped record may be due to the outage, in milliseconds:
/// about the time a server takes to announce itself again.
const OUTAGE_GRACE_MS: u64 = 1_300;
/// A peer's list that is younger than this shows that the store outage is over, in milliseconds.
const FRESH_AGE_MS: u64 = 1_000;

/// The list of backend servers.
#[derive(Clone, Debug, Default)]
pub struct ServerList {
    entries: ServerEntries,
    departures: Departures,
    /// Servers whose use has changed since changes were last taken.
    changed: HashSet<String>,
    /// Incarnations that are no longer listed, since changes were last taken.
    gone: Vec<NameHash>,
    /// When this list, at its revision, was known to be current.
    known_at: Option<TimeMs>,
    revision: StorePosition,
    /// The position up to which some servers are known: beyond the list's own position if later pages of a whole list
    /// were read after the first one.
    known_until: StorePosition,
    /// Whether the last read of the store failed.
    is_store_unavailable: bool,
    /// Until when a dropped record may be due to a past outage.
    outage_grace_until: TimeMs,
}

impl ServerList {
    /// Returns whether a list at this position in the store's log is the first one of a new era, for an instance that
    /// already had a list.
    fn begins_era(&self, revision: StorePosition) -> bool {
        revision.era > self.revision.era && self.known_at.is_some()
    }

    /// Returns the changes in how servers are used since the last call.
    pub fn take_use_changes(&mut self, now: TimeMs) -> UseChanges {
        let changed = std::mem::take(&mut self.changed);
        UseChanges {
            used: changed.iter().filter_map(|id| self.record(id, now)).collect(),
            gone: std::mem::take(&mut self.gone),
        }
    }

    /// Marks the use of servers as changed, after a change of their departures. Returns the ids of those that are listed.
    fn mark_use_changed(&mut self, names: &[NameHash]) -> Vec<String> {
        let entries = self.entries.values();
        let affected = entries.filter(|entry| names.contains(&entry.name));
        let ids: Vec<String> = affected.map(|entry| entry.record.id.clone()).collect();
        self.changed.extend(ids.iter().cloned());
        ids
    }

    /// Records that a read of the store failed.
    pub fn record_store_failure(&mut self) {
        self.is_store_unavailable = true;
    }

    /// Removes suspects whose grace period is over, and expired departures.
    pub fn tick(&mut self, now: TimeMs) -> ListDelta {
        let mut delta = ListDelta::default();
        let expired = self.departures.tick(now);
        // Servers whose departure expired must be published again. Otherwise this instance would never use them
        // again, since nothing else in its list changes.
        if !expired.is_empty() {
            self.mark_use_changed(&expired);
            let usable = self.entries.values().filter(|entry| {
                !entry.record.is_draining && expired.contains(&entry.name) && !self.is_held_back(entry, now)
            });
            delta.listed.extend(usable.map(|entry| entry.record.id.clone()));
        }
        for id in self.entries.expired_suspects(now) {
            self.remove(&id, self.revision, now, &mut delta);
        }
        self.mark_warm(now);
        delta
    }

    /// Returns the ids of the servers that get no new work although the restored store lists them as accepting work:
    /// their records had announced a departure. Such a departure is kept for as long as it is advertised. By then the
    /// store has dropped a server that has departed.
    pub fn kept_departures(&self) -> Vec<String> {
        let backup_entries = self.entries.backup_entries();
        let kept = backup_entries.filter(|entry| self.is_departure_kept(entry));
        kept.map(|entry| entry.record.id.clone()).collect()
    }

    fn is_departure_kept(&self, entry: &Entry) -> bool {
        entry.is_from_backup && !entry.record.is_draining && self.departures.is_recorded(entry.name)
    }

    /// Marks servers as warm whose cold time is over. All instances do so at about the same time, so that the digests
    /// of equal lists stay equal. Placement knows the time and needs no update.
    fn mark_warm(&mut self, now: TimeMs) {
        for id in self.entries.warmed_up(now) {
            self.entries.update(&id, |entry| entry.cold_until = None);
        }
    }

    /// Returns the servers as this instance uses them. Servers count as draining if a peer advertised their
    /// departure, or if their departure is kept against a backup of the store.
    pub fn records(&self, now: TimeMs) -> Vec<ServerRecord> {
        self.entries
            .values()
            .map(|entry| self.record_in_use(entry, now))
            .collect()
    }

    /// Returns a server as this instance uses it; `None` if it is not listed.
    pub fn record(&self, id: &str, now: TimeMs) -> Option<ServerRecord> {
        self.entries.get(id).map(|entry| self.record_in_use(entry, now))
    }

    fn record_in_use(&self, entry: &Entry, now: TimeMs) -> ServerRecord {
        let mut record = entry.record_at(now);
        record.is_draining |= self.is_held_back(entry, now);
        record
    }

    /// Returns whether a server gets no new work although its record says that it accepts work.
    fn is_held_back(&self, entry: &Entry, now: TimeMs) -> bool {
        self.is_departure_kept(entry) || self.departures.is_advertised(entry.name, now)
    }

    /// Returns the name of a failure domain that has a server.
    pub fn failure_domain_name(&self, failure_domain: NameHash) -> Option<String> {
        let mut names = self.entries.values().map(|entry| &entry.record.failure_domain);
        names.find(|name| NameHash::of(name) == failure_domain).cloned()
    }

    /// Returns the digest of the list. Equal lists have equal digests on all instances.
    pub fn digest(&self) -> u64 {
        self.entries.digest()
    }

    /// Returns whether the list has a server whose software version is missing, as in a list from a peer of a release
    /// that does not send versions.
    pub fn lacks_versions(&self) -> bool {
        self.entries.lack_versions()
    }

    /// Returns whether the list was ever read or fetched.
    pub fn is_known(&self) -> bool {
        self.known_at.is_some()
    }

    /// Returns the position in the store's log up to which the list is known.
    pub fn revision(&self) -> StorePosition {
        self.revision
    }

    /// Returns the time since the list was known to be current, in milliseconds; `u32::MAX` if it was never read.
    pub fn age_ms(&self, now: TimeMs) -> u64 {
        self.known_at
            .map_or(u64::from(u32::MAX), |known_at| now.since_ms(known_at))
    }

    /// Makes a server a suspect, for the grace period at most.
    fn suspect(&mut self, id: &str, as_of: StorePosition, now: TimeMs) {
        let until = now.plus_ms(SUSPECT_GRACE_MS);
        self.entries.update(id, |entry| {
            entry.as_of = entry.as_of.max(as_of);
            entry.suspect_until.get_or_insert(until);
        });
    }

    /// Returns whether the entry of a server is newer than a record or list that has it.
    fn has_newer_entry(&self, id: &str, as_of: StorePosition) -> bool {
        let entry = self.entries.get(id);
        entry.is_some_and(|entry| entry.as_of > as_of)
    }

    fn missing_from<'a>(&self, known: impl Iterator<Item = &'a str>) -> Vec<Arc<str>> {
        let known: HashSet<&str> = known.collect();
        let listed = self.entries.ids();
        listed.filter(|id| !known.contains(&***id)).cloned().collect()
    }

    fn remove(&mut self, id: &str, as_of: StorePosition, now: TimeMs, delta: &mut ListDelta) {
        if let Some(entry) = self.entries.remove(id) {
            let evidence = match entry.suspect_until {
                Some(_) => DepartureEvidence::Missing,
                None => DepartureEvidence::Recorded,
            };
            self.departures.record(entry.name, evidence, as_of, now);
            self.changed.remove(id);
            self.gone.push(entry.name);
            delta.unlisted.push(id.to_owned());
        }
    }
}

fn time_before(now: TimeMs, age_ms: u64) -> TimeMs {
    TimeMs(now.0.saturating_sub(age_ms))
}
