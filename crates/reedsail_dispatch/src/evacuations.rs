//! Evacuations: which failure domains get nothing new, by the operators' records.
//!
//! **Rule.** Of each failure domain the row with the highest revision counts, whoever tells it. Rows that say
//! that an evacuation has ended are kept, so that older news cannot bring it back. A read of all records ends
//! the evacuations that it does not name, if they were told before its revision.
//!
//! **Inputs.** The operators' records with their place in the store's log, and rows of peers' load messages.
//!
//! **Why.** Evacuations travel in every load message, a few bytes each, so that an instance which cannot reach
//! the store, or has just started, knows them as soon as it hears any peer.
//!
//! **Measured.** Nothing here has a figure of its own.
//!
//! **Tested by** `tests/evacuations.rs`.

use std::collections::BTreeMap;

use reedsail_core::NameHash;

/// What is known of one failure domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EvacuationRow {
    /// The failure domain.
    pub failure_domain: NameHash,
    /// The place in the store's log after the record that says it.
    pub revision: u64,
    /// It is evacuated; `false` once it was taken back.
    pub is_active: bool,
}

/// The operators' records of evacuations, as a read gave them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuationUpdate {
    /// The records.
    pub rows: Vec<EvacuationRow>,
    /// Set if the records are all that there are: the place in the log up to which that holds.
    pub whole_until: Option<u64>,
}

/// What is known of all failure domains that were ever evacuated.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    rows: BTreeMap<NameHash, EvacuationRow>,
}

impl Evacuations {
    /// Takes in a read of the store; `true` if other failure domains are evacuated than before.
    pub fn apply(&mut self, update: &EvacuationUpdate) -> bool {
        let mut has_changed = self.merge(&update.rows);
        let Some(revision) = update.whole_until else {
            return has_changed;
        };
        let named: Vec<NameHash> = update.rows.iter().map(|row| row.failure_domain).collect();
        for row in self.rows.values_mut() {
            if row.is_active && row.revision < revision && !named.contains(&row.failure_domain) {
                row.is_active = false;
                row.revision = revision;
                has_changed = true;
            }
        }
        has_changed
    }

    /// Takes in rows of a peer; `true` if other failure domains are evacuated than before.
    pub fn merge(&mut self, rows: &[EvacuationRow]) -> bool {
        let mut has_changed = false;
        for row in rows {
            let known = self.rows.get(&row.failure_domain);
            if known.is_some_and(|known| known.revision >= row.revision) {
                continue;
            }
            has_changed |= known.is_some_and(|known| known.is_active) != row.is_active;
            self.rows.insert(row.failure_domain, *row);
        }
        has_changed
    }

    /// Returns the failure domains that are evacuated.
    pub fn active(&self) -> Vec<NameHash> {
        let active = self.rows.values().filter(|row| row.is_active);
        active.map(|row| row.failure_domain).collect()
    }

    /// Returns all rows, for peers.
    pub fn rows(&self) -> Vec<EvacuationRow> {
        self.rows.values().copied().collect()
    }
}
