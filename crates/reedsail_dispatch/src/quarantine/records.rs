//! The records of quarantined suspects that go to the platform's store, and come from it.

use std::collections::BTreeSet;

use reedsail_core::TimeMs;

use super::Quarantine;
use crate::StoredState;
use crate::SuspectKey;
use crate::SuspectRecord;
use crate::SuspectRow;
use crate::WriterPosition;
use crate::suspect::time_ago;

impl Quarantine {
    /// Records an era of the platform's store.
    pub(crate) fn observe_store_era(&mut self, era: u32) {
        self.saved.observe_era(era);
    }

    /// Returns the records that this instance writes to the store now.
    pub(crate) fn due_records(&mut self, writer: WriterPosition, now: TimeMs) -> Vec<SuspectRecord> {
        self.probes.set_position(writer.position);
        let unwritten = self.suspects.iter();
        let unwritten = unwritten.filter(|(key, suspect)| {
            self.saved
                .is_due(suspect, self.is_quarantined(*key, suspect), now)
        });
        let unwritten: BTreeSet<SuspectKey> = unwritten.map(|(key, _)| key).collect();
        self.saved.drop_known(|key| self.suspects.contains(key));
        let turns = self.saved.take_turn(unwritten, writer, now);
        turns.into_iter().map(|key| self.record(key, now)).collect()
    }

    fn record(&self, key: SuspectKey, now: TimeMs) -> SuspectRecord {
        let suspect = self.suspects.get(key);
        let wanted = suspect.filter(|suspect| self.is_quarantined(key, suspect) && !suspect.ends.is_empty());
        SuspectRecord {
            key,
            row: wanted.map(|suspect| SuspectRow {
                stored_ms_ago: 0,
                ..suspect.row(key, now)
            }),
        }
    }

    /// Records that the store has taken records, in an era of it.
    pub(crate) fn record_written(&mut self, records: &[SuspectRecord], era: u32, now: TimeMs) {
        self.saved.observe_era(era);
        for record in records {
            self.saved.record_written(record.key);
            let stored = if record.row.is_some() {
                StoredState::Stored(era)
            } else {
                StoredState::Withdrawn(era)
            };
            if let Some(suspect) = self.suspects.get_mut(record.key) {
                suspect.record_own_write(stored, now);
            }
        }
    }

    /// Merges the rows that the store holds in an era of it. Those of suspects that have not come for a long time are
    /// withdrawn.
    pub(crate) fn restore(&mut self, rows: &[SuspectRow], era: u32, now: TimeMs) {
        self.saved.observe_era(era);
        self.merge(rows, now);
        for row in rows {
            let written_at = time_ago(row.stored_ms_ago, now);
            match self.suspects.get_mut(row.key) {
                Some(suspect) => {
                    suspect.record_stored(StoredState::Stored(era), written_at, now);
                    suspect.announce(now);
                }
                None => self.saved.add_expired(row.key, now),
            }
        }
    }
}
