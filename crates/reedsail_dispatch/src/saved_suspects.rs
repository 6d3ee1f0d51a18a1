//! Which records of quarantined suspects the platform's store should hold, and when this instance writes one.
//!
//! **Rule.** The store should hold a record of each quarantined request, and of each workspace's ends under a quarantined
//! segment, so that a fleet whose instances have all ended knows them again. An instance writes a record if no peer says that
//! it is written: the first instance of the fleet at once, each further one [`WRITE_SPREAD_MS`] later, and again after all
//! others had their turn. A record is withdrawn in the same way when its quarantine ends, and refreshed while requests come.
//! What was written counts in the store's era of that time only: a restored copy may lack the record, or have it still.
//!
//! **Inputs.** The suspects, the era of the store, the position of this instance among those that are alive.
//!
//! **Why.** The store is slow, limited in calls and may be away, so nothing waits for it, and its calls follow the changes. An
//! instance that is cut off from it leaves the writing to the next ones.
//!
//! **Tested by** `tests/saved_suspects.rs`, and `tests/poison_segment.rs` of `reedsail_simulation`.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use reedsail_core::TimeMs;

use crate::SuspectKey;
use crate::SuspectRow;
use crate::suspect::Suspect;

/// Time between the turns of two instances to write a record, in milliseconds: a write and its announcement to the peers
/// take less.
const WRITE_SPREAD_MS: u64 = 500;
/// Minimum time until an instance tries again to write a record, in milliseconds.
const WRITE_RETRY_MIN_MS: u64 = 2_000;
/// Time after which the record of a suspect that still comes is written again, in milliseconds: a part of the time for which
/// a suspect that does not come is kept.
const REFRESH_MS: u64 = 300_000;

/// Maximum number of records of one write, about 40 kB. The others follow.
const WRITE_RECORDS_MAX: usize = 32;
/// Time from reading an expired record until it is withdrawn, in milliseconds: peers that know its suspect tell of it
/// meanwhile.
const EXPIRED_WITHDRAWN_AFTER_MS: u64 = 10_000;
/// Maximum number of expired records that are withdrawn after a read. The next read finds the others.
const EXPIRED_MAX: usize = 1_024;

/// What the store is known to hold of a suspect.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoredState {
    /// Nothing is known to have been written.
    #[default]
    Unknown,
    /// A record, written in this era of the store.
    Stored(u32),
    /// No record: it was withdrawn in this era of the store.
    Withdrawn(u32),
}

impl StoredState {
    /// Returns the era of the store.
    pub fn era(self) -> Option<u32> {
        match self {
            Self::Unknown => None,
            Self::Stored(era) | Self::Withdrawn(era) => Some(era),
        }
    }
}

/// A record to write to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SuspectRecord {
    /// The request or segment.
    pub key: SuspectKey,
    /// What is known of it; `None` withdraws the record.
    pub row: Option<SuspectRow>,
}

/// The position of this instance among the instances that are alive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WriterPosition {
    /// The number of instances before it.
    pub position: usize,
    /// The number of all, this one included.
    pub instances: usize,
}

/// The records that the store does not hold as it should.
#[derive(Clone, Debug, Default)]
pub(crate) struct SavedSuspects {
    /// The newest known era of the store.
    era: u32,
    /// When this instance writes each record, if no peer does.
    due_at: BTreeMap<SuspectKey, TimeMs>,
    /// The records that were expired when they were read, and from when on they are withdrawn.
    expired: BTreeMap<SuspectKey, TimeMs>,
}

impl SavedSuspects {
    /// Records an era of the store. Older ones are ignored.
    pub(crate) fn observe_era(&mut self, era: u32) {
        self.era = self.era.max(era);
    }

    /// Returns whether the record of a suspect is to be written or withdrawn.
    pub(crate) fn is_due(&self, suspect: &Suspect, is_quarantined: bool, now: TimeMs) -> bool {
        let is_wanted = is_quarantined && !suspect.ends.is_empty();
        match suspect.stored {
            StoredState::Unknown => is_wanted,
            StoredState::Stored(era) if is_wanted => {
                let has_come_since = suspect.seen_at >= suspect.stored_at.plus_ms(REFRESH_MS);
                era < self.era || (has_come_since && now >= suspect.stored_at.plus_ms(REFRESH_MS))
            }
            StoredState::Stored(_) => true,
            StoredState::Withdrawn(era) => is_wanted || era < self.era,
        }
    }

    /// Returns which of the records to write this instance writes now, [`WRITE_RECORDS_MAX`] at most. They are returned again
    /// only after the other instances had their turn.
    pub(crate) fn take_turn(
        &mut self,
        mut unwritten: BTreeSet<SuspectKey>,
        writer: WriterPosition,
        now: TimeMs,
    ) -> Vec<SuspectKey> {
        let expired = self.expired.iter().filter(|(_, from)| **from <= now);
        unwritten.extend(expired.map(|(key, _)| *key));
        self.due_at.retain(|key, _| unwritten.contains(key));
        let first_turn_at = now.plus_ms(writer.position as u64 * WRITE_SPREAD_MS);
        let retry_ms = (writer.instances as u64 * WRITE_SPREAD_MS).max(WRITE_RETRY_MIN_MS);
        let mut turns = Vec::new();
        for key in unwritten {
            let due_at = self.due_at.entry(key).or_insert(first_turn_at);
            if *due_at <= now && turns.len() < WRITE_RECORDS_MAX {
                *due_at = now.plus_ms(retry_ms);
                turns.push(key);
            }
        }
        turns
    }

    /// Records that an expired record was read, whose suspect is not known.
    pub(crate) fn add_expired(&mut self, key: SuspectKey, now: TimeMs) {
        if self.expired.len() < EXPIRED_MAX {
            self.expired.insert(key, now.plus_ms(EXPIRED_WITHDRAWN_AFTER_MS));
        }
    }

    /// Forgets the expired records whose suspects have become known.
    pub(crate) fn drop_known(&mut self, is_known: impl Fn(SuspectKey) -> bool) {
        self.expired.retain(|key, _| !is_known(*key));
    }

    /// Records that the store has taken the record of a suspect, or its withdrawal.
    pub(crate) fn record_written(&mut self, key: SuspectKey) {
        self.due_at.remove(&key);
        self.expired.remove(&key);
    }
}
