//! Applies one record of a server: its start, its slow start and its departure.

use reedsail_core::StorePosition;
use reedsail_core::TimeMs;

use super::ServerList;
use crate::ListDelta;
use crate::ServerRecord;
use crate::ServerReturn;
use crate::departures::DepartureEvidence;
use crate::server_entries::Entry;

/// How a record was read, which says whether it may be older than a departure that the store has lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RecordSource {
    /// From the log, in the current era: it was written since the era began.
    Log,
    /// From a whole list or a peer's list: it may have been written before the era began.
    List,
    /// From the first list of a new era: it comes from the backup that the store was restored from.
    Backup,
}

impl ServerList {
    /// Applies a record, which was the server's newest one as of a position in the store's log. A record from a backup of
    /// the store does not bring back a server whose record had announced a departure.
    pub(super) fn announce(
        &mut self,
        mut record: ServerRecord,
        as_of: StorePosition,
        source: RecordSource,
        now: TimeMs,
        delta: &mut ListDelta,
    ) {
        if self.is_outdated(&record, as_of) {
            delta.outdated += 1;
            return;
        }
        let is_from_backup = self.is_from_backup(&record, source);
        record.software_version = self.entries.software_version_of(&record);
        if self.is_repeated(&record, is_from_backup) {
            self.entries.confirm(&record.id, as_of);
            return;
        }
        let entry = Entry::of(record, as_of, is_from_backup, now);
        let id = entry.record.id.clone();
        let before = self.entries.get(&id);
        let was_held_back = before.is_some_and(|before| self.is_held_back(before, now));
        let is_same = before.is_some_and(|before| before.is_used_like(&entry));
        self.record_start(&entry, as_of, now, delta);
        self.record_departure(&entry, as_of, now, delta);
        let is_held_back = self.is_held_back(&entry, now);
        if was_held_back && !is_held_back && !delta.listed.contains(&id) {
            delta.listed.push(id.clone());
        }
        if !is_same || was_held_back != is_held_back {
            self.changed.insert(id);
        }
        self.entries.insert(entry);
    }

    /// Returns whether the entry of a record's server, or its departure, is newer than the record.
    fn is_outdated(&self, record: &ServerRecord, as_of: StorePosition) -> bool {
        self.has_newer_entry(&record.id, as_of) || self.departures.is_known_since(record.name(), as_of)
    }

    /// Returns whether a record comes from a backup of the store, as far as is known. A list that has the same incarnation
    /// as the backup does not show that the server has written its record since.
    fn is_from_backup(&self, record: &ServerRecord, source: RecordSource) -> bool {
        match source {
            RecordSource::Log => false,
            RecordSource::Backup => true,
            RecordSource::List => {
                let known = self.entries.get(&record.id);
                known.is_some_and(|known| known.is_from_backup && known.name == record.name())
            }
        }
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
    fn record_start(&mut self, entry: &Entry, as_of: StorePosition, now: TimeMs, delta: &mut ListDelta) {
        let id = &entry.record.id;
        let Some(before) = self.entries.get(id) else {
            delta.listed.push(id.clone());
            return;
        };
        let earlier_name = before.name;
        if earlier_name != entry.name {
            self.departures
                .record(earlier_name, DepartureEvidence::Recorded, as_of, now);
            self.gone.push(earlier_name);
            delta.restarted.push(id.clone());
        } else if before.cold_until != entry.cold_until {
            delta.cold.push(id.clone());
        }
    }

    /// Records the departure that a server's record announces, or ends an earlier one.
    fn record_departure(&mut self, entry: &Entry, as_of: StorePosition, now: TimeMs, delta: &mut ListDelta) {
        let id = &entry.record.id;
        let known = self.entries.get(id).filter(|known| known.name == entry.name);
        let was_draining = known.is_some_and(|known| known.record.is_draining);
        if entry.record.is_draining {
            if !was_draining {
                self.departures
                    .record(entry.name, DepartureEvidence::Recorded, as_of, now);
                delta.draining.push(id.clone());
            }
            return;
        }
        let departed_at = if entry.is_from_backup {
            self.departures.forget_inferred(entry.name, as_of)
        } else {
            self.departures.forget(entry.name, as_of)
        };
        delta.returned.extend(departed_at.map(|departed_at| ServerReturn {
            id: id.clone(),
            departed_at,
            announced_at: as_of,
        }));
    }
}
