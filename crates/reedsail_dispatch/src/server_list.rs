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
//! **Inputs.** The store's records with their position in its log (the revision) and the time of asking; peers'
//! revision, digest, age (milliseconds) and departures; failed reads.
//!
//! **Why.** Records expire while the store is unavailable although the servers are alive, and live servers announce
//! themselves again within about two seconds of its return. A server that has really departed must get no requests a
//! few seconds later, even while the store is unavailable.
//!
//! **Tested by** `tests/server_list.rs`, `tests/store_eras.rs`, `tests/store_era_fleets.rs`,
//! `tests/decision_trace.rs`.

use std::collections::HashSet;
use std::sync::Arc;

use reedsail_core::NameHash;
use reedsail_core::StorePosition;
use reedsail_core::TimeMs;

use crate::ListComparison;
use crate::ListDelta;
use crate::PeerListState;
use crate::ServerChange;
use crate::ServerListing;
use crate::ServerRecord;
use crate::ServerUpdate;
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
    /// Whether the last read of the store failed.
    is_store_unavailable: bool,
    /// Until when a dropped record may be due to a past outage.
    outage_grace_until: TimeMs,
}

impl ServerList {
    /// Applies an update from the store, which was requested at `asked_at`.
    pub fn apply(&mut self, update: ServerUpdate, asked_at: TimeMs, now: TimeMs) -> ListDelta {
        if update.revision.era < self.revision.era {
            return ListDelta::default();
        }
        let begins_era = self.begins_era(update.revision);
        let is_from_backup = update.is_whole && begins_era;
        self.known_at = self.known_at.max(Some(asked_at));
        self.revision = self.revision.max(update.revision);
        // A backup of the store lacks the latest writes. Like an outage, it does not prove a departure.
        if std::mem::take(&mut self.is_store_unavailable) || begins_era {
            self.outage_grace_until = now.plus_ms(OUTAGE_GRACE_MS);
        }
        let mut delta = ListDelta::default();
        if update.is_whole {
            self.drop_missing(&update.changes, now, &mut delta);
        }
        for change in update.changes {
            match change {
                ServerChange::Announced(record) => self.announce(record, is_from_backup, now, &mut delta),
                ServerChange::Dropped { id } => self.drop_record(&id, now, &mut delta),
                ServerChange::Unreadable { id, fault } => {
                    // The unreadable record has replaced the server's own record, no matter who wrote it. The server
                    // writes its record again.
                    self.remove(&id, now, &mut delta);
                    delta.unreadable.push((id, fault));
                }
            }
        }
        delta
    }

    /// Applies a peer's list, or its difference from this list, unless it is older. A difference from another list
    /// than the current one changes nothing, and the next one is requested.
    pub fn apply_listing(&mut self, listing: ServerListing, now: TimeMs) -> ListDelta {
        let mut delta = ListDelta::default();
        let begins_era = self.begins_era(listing.revision);
        let is_usable = match listing.differs_from {
            None => !listing.records.is_empty(),
            Some(digest) => digest == self.digest() && !begins_era,
        };
        if listing.revision < self.revision || !is_usable {
            return delta;
        }
        // The peer has already decided which records may have expired because of the outage.
        self.is_store_unavailable = false;
        self.revision = listing.revision;
        self.known_at = self.known_at.max(Some(time_before(now, listing.age_ms)));
        let gone = match listing.differs_from {
            None => self.missing_from(listing.records.iter().map(|record| record.id.as_str())),
            Some(_) => listing.removed.iter().map(|id| Arc::from(id.as_str())).collect(),
        };
        let suspects: HashSet<String> = listing.suspects.into_iter().collect();
        for record in listing.records {
            if suspects.contains(&record.id) {
                self.merge_suspect(record, now, &mut delta);
            } else {
                self.announce(record, begins_era, now, &mut delta);
            }
        }
        for id in gone {
            if begins_era {
                // The peer may have started since and know only the backup.
                self.suspect(&id, now);
            } else {
                self.remove(&id, now, &mut delta);
            }
        }
        delta
    }

    /// Returns whether a list at this position in the store's log is the first one of a new era, for an instance that
    /// already had a list.
    fn begins_era(&self, revision: StorePosition) -> bool {
        revision.era > self.revision.era && self.known_at.is_some()
    }

    /// Adds a server that is a suspect in a peer's list. A server that this instance knows to have departed stays
    /// departed: the peer was partitioned while the server departed, and would bring it back into use everywhere.
    fn merge_suspect(&mut self, record: ServerRecord, now: TimeMs, delta: &mut ListDelta) {
        let id = record.id.clone();
        let is_departed = self.departures.is_known(record.name());
        if self.entries.get(&id).is_none() {
            if is_departed {
                return;
            }
            self.announce(record, false, now, delta);
        }
        self.suspect(&id, now);
    }

    /// Returns the changes in how servers are used since the last call.
    pub fn take_use_changes(&mut self, now: TimeMs) -> UseChanges {
        let changed = std::mem::take(&mut self.changed);
        UseChanges {
            used: changed.iter().filter_map(|id| self.record(id, now)).collect(),
            gone: std::mem::take(&mut self.gone),
        }
    }

    /// Compares a peer's list with this one. If both lists or their revisions are equal, this list is as fresh as the
    /// peer's. If the peer's list is newer, its departures apply before it is fetched.
    pub fn compare_with_peer(&mut self, peer: &PeerListState<'_>, now: TimeMs) -> ListComparison {
        if peer.revision.era < self.revision.era {
            // A past era does not show how fresh this list is, nor which servers have departed since.
            return ListComparison::NothingNew;
        }
        if peer.revision <= self.revision || peer.digest == self.digest() {
            let has_changed = peer.revision > self.revision && self.end_advertised_departures();
            self.revision = self.revision.max(peer.revision);
            self.known_at = self.known_at.max(Some(time_before(now, peer.age_ms)));
            if peer.age_ms < FRESH_AGE_MS {
                self.is_store_unavailable = false;
            }
            return if has_changed {
                ListComparison::DeparturesChanged
            } else {
                ListComparison::NothingNew
            };
        }
        let unknown = self.departures.receive(peer.departures, now);
        if unknown.is_empty() {
            return ListComparison::Newer;
        }
        self.mark_use_changed(&unknown);
        ListComparison::NewerWithDepartures
    }

    /// Removes advertised departures of servers that accept work according to this list, since a newer list is equal
    /// to it: the servers have come back. Otherwise a peer that fetched this list would treat them as draining
    /// forever.
    fn end_advertised_departures(&mut self) -> bool {
        if !self.departures.has_advertised() {
            return false;
        }
        let mut ended = Vec::new();
        for entry in self.entries.values().filter(|entry| !entry.record.is_draining) {
            if self.departures.forget_advertised(entry.name) {
                ended.push(entry.name);
            }
        }
        self.mark_use_changed(&ended);
        !ended.is_empty()
    }

    /// Marks the use of servers as changed, after a change of their departures.
    fn mark_use_changed(&mut self, names: &[NameHash]) {
        let entries = self.entries.values();
        let affected = entries.filter(|entry| names.contains(&entry.name));
        self.changed.extend(affected.map(|entry| entry.record.id.clone()));
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
            self.remove(&id, now, &mut delta);
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

    /// Returns all servers as the store lists them, for peers. Departures are advertised to peers separately: a peer
    /// could not distinguish an advertised departure from a record's, and would not use the server until its record
    /// changes.
    pub fn listing(&self, now: TimeMs) -> ServerListing {
        ServerListing {
            revision: self.revision,
            age_ms: self.age_ms(now),
            records: self.entries.values().map(|entry| entry.record_at(now)).collect(),
            suspects: self.entries.suspects().map(ToString::to_string).collect(),
            differs_from: None,
            removed: Vec::new(),
        }
    }

    /// Returns the difference from the list with the given digest; `None` if that digest is no longer known.
    pub fn difference(&self, digest: u64, now: TimeMs) -> Option<ServerListing> {
        let changed = self.entries.changed_since(digest)?;
        let (listed, removed): (Vec<_>, Vec<_>) =
            changed.iter().partition(|id| self.entries.get(id).is_some());
        let entries: Vec<&Entry> = listed.into_iter().filter_map(|id| self.entries.get(id)).collect();
        let suspects = entries.iter().filter(|entry| entry.suspect_until.is_some());
        Some(ServerListing {
            revision: self.revision,
            age_ms: self.age_ms(now),
            suspects: suspects.map(|entry| entry.record.id.clone()).collect(),
            records: entries.iter().map(|entry| entry.record_at(now)).collect(),
            differs_from: Some(digest),
            removed: removed.into_iter().map(ToString::to_string).collect(),
        })
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

    /// Returns the departures to advertise.
    pub fn departures(&self) -> Vec<NameHash> {
        self.departures.to_advertise()
    }

    /// Returns the time since the list was known to be current, in milliseconds; `u32::MAX` if it was never read.
    pub fn age_ms(&self, now: TimeMs) -> u64 {
        self.known_at
            .map_or(u64::from(u32::MAX), |known_at| now.since_ms(known_at))
    }

    /// Applies a record. A record from a backup of the store does not bring back a server whose record had announced
    /// a departure.
    fn announce(
        &mut self,
        mut record: ServerRecord,
        is_from_backup: bool,
        now: TimeMs,
        delta: &mut ListDelta,
    ) {
        record.software_version = self.entries.software_version_of(&record);
        if self.is_repeated(&record, is_from_backup) {
            return;
        }
        let entry = Entry::of(record, is_from_backup, now);
        let id = entry.record.id.clone();
        let before = self.entries.get(&id);
        let was_held_back = before.is_some_and(|before| self.is_held_back(before, now));
        let is_same = before.is_some_and(|before| before.is_used_like(&entry));
        self.record_start(&entry, now, delta);
        self.record_departure(&entry, now, delta);
        let is_held_back = self.is_held_back(&entry, now);
        if was_held_back && !is_held_back && !delta.listed.contains(&id) {
            delta.listed.push(id.clone());
        }
        if !is_same || was_held_back != is_held_back {
            self.changed.insert(id);
        }
        self.entries.insert(entry);
    }

    /// Returns whether a record only repeats what is known. Most do: a reader gets one from each server every few
    /// seconds.
    fn is_repeated(&self, record: &ServerRecord, is_from_backup: bool) -> bool {
        let known = self.entries.get(&record.id);
        known.is_some_and(|known| {
            known.is_reannounced_by(record, is_from_backup) && !self.departures.has_any(known.name)
        })
    }

    /// Records that a server is new, has started again, or is cold until another time than before.
    fn record_start(&mut self, entry: &Entry, now: TimeMs, delta: &mut ListDelta) {
        let id = &entry.record.id;
        let Some(before) = self.entries.get(id) else {
            delta.listed.push(id.clone());
            return;
        };
        let earlier_name = before.name;
        if earlier_name != entry.name {
            self.departures
                .record(earlier_name, DepartureEvidence::Recorded, now);
            self.gone.push(earlier_name);
            delta.restarted.push(id.clone());
        } else if before.cold_until != entry.cold_until {
            delta.cold.push(id.clone());
        }
    }

    /// Records the departure that a server's record announces, or ends an earlier one.
    fn record_departure(&mut self, entry: &Entry, now: TimeMs, delta: &mut ListDelta) {
        let id = &entry.record.id;
        let known = self.entries.get(id).filter(|known| known.name == entry.name);
        let was_draining = known.is_some_and(|known| known.record.is_draining);
        if entry.record.is_draining {
            if !was_draining {
                self.departures
                    .record(entry.name, DepartureEvidence::Recorded, now);
                delta.draining.push(id.clone());
            }
        } else if entry.is_from_backup {
            self.departures.forget_inferred(entry.name);
        } else {
            self.departures.forget(entry.name);
        }
    }

    /// Removes a record. If it may have expired only because the store did not accept announcements, the server
    /// becomes a suspect.
    fn drop_record(&mut self, id: &str, now: TimeMs, delta: &mut ListDelta) {
        if now >= self.outage_grace_until {
            self.remove(id, now, delta);
            return;
        }
        self.suspect(id, now);
    }

    /// Makes a server a suspect, for the grace period at most.
    fn suspect(&mut self, id: &str, now: TimeMs) {
        let until = now.plus_ms(SUSPECT_GRACE_MS);
        self.entries.update(id, |entry| {
            entry.suspect_until.get_or_insert(until);
        });
    }

    fn drop_missing(&mut self, changes: &[ServerChange], now: TimeMs, delta: &mut ListDelta) {
        let known = changes.iter().filter_map(|change| match change {
            ServerChange::Announced(record) => Some(record.id.as_str()),
            ServerChange::Unreadable { id, .. } => Some(id.as_str()),
            ServerChange::Dropped { .. } => None,
        });
        for id in self.missing_from(known) {
            self.drop_record(&id, now, delta);
        }
    }

    fn missing_from<'a>(&self, known: impl Iterator<Item = &'a str>) -> Vec<Arc<str>> {
        let known: HashSet<&str> = known.collect();
        let listed = self.entries.ids();
        listed.filter(|id| !known.contains(&***id)).cloned().collect()
    }

    fn remove(&mut self, id: &str, now: TimeMs, delta: &mut ListDelta) {
        if let Some(entry) = self.entries.remove(id) {
            let evidence = match entry.suspect_until {
                Some(_) => DepartureEvidence::Missing,
                None => DepartureEvidence::Recorded,
            };
            self.departures.record(entry.name, evidence, now);
            self.changed.remove(id);
            self.gone.push(entry.name);
            delta.unlisted.push(id.to_owned());
        }
    }
}

fn time_before(now: TimeMs, age_ms: u64) -> TimeMs {
    TimeMs(now.0.saturating_sub(age_ms))
}
