//! Compares this list with those of peers, applies theirs, and renders this one for them.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;

use reedsail_core::NameHash;
use reedsail_core::StorePosition;
use reedsail_core::TimeMs;

use super::FRESH_AGE_MS;
use super::ServerList;
use super::announcements::RecordSource;
use super::time_before;
use crate::AheadOfList;
use crate::ListComparison;
use crate::ListDelta;
use crate::PeerListState;
use crate::ServerListing;
use crate::ServerRecord;
use crate::ServerReturn;
use crate::server_entries::Entry;

impl ServerList {
    /// Compares a peer's list with this one. If both lists or their revisions are equal, this list is as fresh as the
    /// peer's. If the peer's list is newer, its departures apply before it is fetched.
    pub fn compare_with_peer(&mut self, peer: &PeerListState<'_>, now: TimeMs) -> ListComparison {
        if peer.revision.era < self.revision.era {
            // A past era does not show how fresh this list is, nor which servers have departed since.
            return ListComparison::NothingNew;
        }
        if peer.revision <= self.revision || peer.digest == self.digest() {
            let mut delta = ListDelta::default();
            if peer.revision > self.revision {
                self.end_advertised_departures(peer.revision, &mut delta);
            }
            self.revision = self.revision.max(peer.revision);
            self.known_at = self.known_at.max(Some(time_before(now, peer.age_ms)));
            if peer.age_ms < FRESH_AGE_MS {
                self.is_store_unavailable = false;
            }
            return if delta.is_empty() {
                ListComparison::NothingNew
            } else {
                ListComparison::DeparturesChanged(delta)
            };
        }
        let unknown = self.departures.receive(peer.departures, peer.revision, now);
        if unknown.is_empty() {
            return ListComparison::Newer;
        }
        let draining = self.mark_use_changed(&unknown);
        ListComparison::NewerWithDepartures(ListDelta {
            draining,
            ..ListDelta::default()
        })
    }

    /// Removes advertised departures of servers that accept work according to this list, unless they are newer than the
    /// position at which the list was confirmed: the servers have come back. A difference does not name a server that has
    /// left and come back in between.
    fn end_advertised_departures(&mut self, confirmed_at: StorePosition, delta: &mut ListDelta) {
        if !self.departures.has_advertised() {
            return;
        }
        for entry in self.entries.values().filter(|entry| !entry.record.is_draining) {
            let Some(departed_at) = self.departures.forget_advertised(entry.name, confirmed_at) else {
                continue;
            };
            let id = &entry.record.id;
            delta.returned.push(ServerReturn {
                id: id.clone(),
                departed_at,
                announced_at: confirmed_at,
            });
            delta.listed.push(id.clone());
            self.changed.insert(id.clone());
        }
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
        let source = if begins_era {
            RecordSource::Backup
        } else {
            RecordSource::List
        };
        let ahead = self.receive_ahead(&listing);
        let as_of = |server: NameHash| ahead.get(&server).copied().unwrap_or(listing.revision);
        let suspects: HashSet<String> = listing.suspects.into_iter().collect();
        for record in listing.records {
            let as_of = as_of(record.name());
            if suspects.contains(&record.id) {
                self.merge_suspect(record, as_of, now, &mut delta);
            } else {
                self.announce(record, as_of, source, now, &mut delta);
            }
        }
        for id in gone {
            let Some(as_of) = self.entries.get(&id).map(|entry| as_of(entry.name)) else {
                continue;
            };
            if self.has_newer_entry(&id, as_of) {
                delta.outdated += 1;
            } else if begins_era {
                // The peer may have started since and know only the backup.
                self.suspect(&id, as_of, now);
            } else {
                self.remove(&id, as_of, now, &mut delta);
            }
        }
        for ahead in listing.ahead.iter().filter(|ahead| ahead.is_departed) {
            self.departures
                .record_newer(ahead.server, as_of(ahead.server), now);
        }
        self.end_advertised_departures(listing.revision, &mut delta);
        delta
    }

    /// Returns the positions of the servers that a peer's list knows beyond its own position.
    fn receive_ahead(&mut self, listing: &ServerListing) -> HashMap<NameHash, StorePosition> {
        let position = |ahead: &AheadOfList| StorePosition::new(listing.revision.era, ahead.offset);
        let positions = listing.ahead.iter().map(|ahead| (ahead.server, position(ahead)));
        let positions: HashMap<NameHash, StorePosition> = positions.collect();
        self.known_until = positions
            .values()
            .copied()
            .fold(self.known_until, StorePosition::max);
        positions
    }

    /// Adds a server that is a suspect in a peer's list. A server that this instance knows to have departed stays
    /// departed: the peer was partitioned while the server departed, and would bring it back into use everywhere.
    fn merge_suspect(
        &mut self,
        record: ServerRecord,
        as_of: StorePosition,
        now: TimeMs,
        delta: &mut ListDelta,
    ) {
        let id = record.id.clone();
        let is_departed = self.departures.is_known(record.name());
        if self.has_newer_entry(&id, as_of) {
            delta.outdated += 1;
            return;
        }
        if self.entries.get(&id).is_none() {
            if is_departed {
                return;
            }
            self.announce(record, as_of, RecordSource::List, now, delta);
        }
        self.suspect(&id, as_of, now);
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
            ahead: self.ahead(),
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
            ahead: self.ahead(),
        })
    }

    /// Returns the servers that are known beyond the position of this list.
    fn ahead(&self) -> Vec<AheadOfList> {
        if self.known_until <= self.revision {
            return Vec::new();
        }
        let entries = self
            .entries
            .values()
            .map(|entry| (entry.name, entry.as_of, false));
        let departures = self
            .departures
            .positions()
            .map(|(server, as_of)| (server, as_of, true));
        let is_ahead = |(_, as_of, _): &(NameHash, StorePosition, bool)| *as_of > self.revision;
        let ahead = departures.chain(entries).filter(is_ahead);
        ahead
            .map(|(server, as_of, is_departed)| AheadOfList {
                server,
                offset: as_of.offset,
                is_departed,
            })
            .collect()
    }

    /// Returns the departures to advertise: those that this list has at its position.
    pub fn departures(&self) -> Vec<NameHash> {
        self.departures.to_advertise(self.revision)
    }
}
