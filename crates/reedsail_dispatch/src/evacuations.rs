//! Evacuations: which failure domains get no new requests, according to the operators' records.
//!
//! **Rule.** For each failure domain the row with the highest revision counts, no matter which peer sent it. Rows of
//! ended evacuations are kept, so that an older row cannot restart the evacuation. A full read of the store ends the
//! evacuations that it does not name, if their rows are older than the revision of the read.
//!
//! Positions are ordered by era and offset. Where a row of a newer era contradicts the row in force, the row in force
//! stays until the operators write a record for the failure domain in that era, for [`WITHHOLD_MAX_MS`] at most.
//!
//! **Inputs.** The operators' records with their positions in the store's log, and rows from peers' load messages.
//!
//! **Why.** Every load message carries the evacuations, a few bytes each. An instance that cannot reach the store, or
//! has just started, learns them from the first load message of any peer. A store that was restored from a backup
//! names evacuations that have ended since the backup, and lacks ones that began since, until the operators write
//! them again.
//!
//! **Tested by** `tests/evacuations.rs`.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

use reedsail_core::NameHash;
use reedsail_core::StorePosition;
use reedsail_core::TimeMs;

/// How long a row from before an era stays in force against the restored store, in milliseconds. Together with the
/// second in which the store is read, this is less than the 5,000 ms within which an evacuation must take effect.
const WITHHOLD_MAX_MS: u64 = 4_000;

/// The latest known evacuation record of one failure domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EvacuationRow {
    /// The failure domain.
    pub failure_domain: NameHash,
    /// The position in the store's log after the record.
    pub revision: StorePosition,
    /// Whether the failure domain is evacuated; `false` once the evacuation has ended.
    pub is_active: bool,
}

/// The operators' evacuation records, as read from the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuationUpdate {
    /// The records.
    pub rows: Vec<EvacuationRow>,
    /// Set if `rows` has every record: the position in the log up to which that is true.
    pub whole_until: Option<StorePosition>,
}

/// The row in force for one failure domain, and a contradicting row from a restored store.
#[derive(Clone, Copy, Debug)]
struct DomainEvacuation {
    row: EvacuationRow,
    withheld: Option<Withheld>,
}

/// A row of a newer era that contradicts the row in force. It may only be as old as the backup.
#[derive(Clone, Copy, Debug)]
struct Withheld {
    row: EvacuationRow,
    /// When the withheld row replaces the row in force; set by the next tick.
    until: Option<TimeMs>,
}

impl DomainEvacuation {
    /// Applies a row. Returns whether the evacuation of the failure domain began or ended.
    fn apply(&mut self, row: EvacuationRow) -> bool {
        let was_active = self.row.is_active;
        let newest = self
            .withheld
            .map_or(self.row.revision, |withheld| withheld.row.revision);
        let is_of_own_era = row.revision.era == self.row.revision.era;
        // Every era may begin with a backup of the store, including one that follows while a row of another era is
        // withheld.
        let is_first_of_era = row.revision.era > newest.era;
        if row.revision <= newest && !(is_of_own_era && row.revision > self.row.revision) {
            return false;
        }
        if is_first_of_era && row.is_active != was_active {
            let until = self.withheld.and_then(|withheld| withheld.until);
            self.withheld = Some(Withheld { row, until });
            return false;
        }
        self.row = row;
        // The last row of the older era may agree with the row of the newer era.
        let agreeing = self
            .withheld
            .filter(|withheld| withheld.row.is_active == row.is_active);
        if row.revision > newest {
            self.withheld = None;
        } else if let Some(withheld) = agreeing {
            self.row = withheld.row;
            self.withheld = None;
        }
        self.row.is_active != was_active
    }

    /// Puts the withheld row in force once its time is over. Returns whether the evacuation began or ended.
    fn tick(&mut self, now: TimeMs) -> bool {
        let Some(withheld) = &mut self.withheld else {
            return false;
        };
        if now < *withheld.until.get_or_insert(now.plus_ms(WITHHOLD_MAX_MS)) {
            return false;
        }
        self.row = withheld.row;
        self.withheld = None;
        true
    }
}

/// The evacuation state of all failure domains that were ever evacuated.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    known: BTreeMap<NameHash, DomainEvacuation>,
}

impl Evacuations {
    /// Applies a read of the store. Returns whether the set of evacuated failure domains changed.
    pub fn apply(&mut self, update: &EvacuationUpdate) -> bool {
        let mut has_changed = self.merge(&update.rows);
        let Some(revision) = update.whole_until else {
            return has_changed;
        };
        let named: Vec<NameHash> = update.rows.iter().map(|row| row.failure_domain).collect();
        for (failure_domain, known) in &mut self.known {
            if known.row.is_active && known.row.revision < revision && !named.contains(failure_domain) {
                has_changed |= known.apply(EvacuationRow {
                    failure_domain: *failure_domain,
                    revision,
                    is_active: false,
                });
            }
        }
        has_changed
    }

    /// Applies rows from a peer. Returns whether the set of evacuated failure domains changed.
    pub fn merge(&mut self, rows: &[EvacuationRow]) -> bool {
        let mut has_changed = false;
        for row in rows {
            match self.known.entry(row.failure_domain) {
                Entry::Occupied(mut known) => has_changed |= known.get_mut().apply(*row),
                Entry::Vacant(place) => {
                    let (row, withheld) = (*row, None);
                    place.insert(DomainEvacuation { row, withheld });
                    has_changed |= row.is_active;
                }
            }
        }
        has_changed
    }

    /// Puts rows in force that were withheld for long enough. Returns whether the set of evacuated failure domains
    /// changed.
    pub fn tick(&mut self, now: TimeMs) -> bool {
        let mut has_changed = false;
        for known in self.known.values_mut() {
            has_changed |= known.tick(now);
        }
        has_changed
    }

    /// Returns the evacuated failure domains.
    pub fn active(&self) -> Vec<NameHash> {
        let active = self.known.values().filter(|known| known.row.is_active);
        active.map(|known| known.row.failure_domain).collect()
    }

    /// Returns the number of failure domains with a withheld row: the store contradicts, in a newer era, the row in
    /// force.
    pub fn withheld(&self) -> usize {
        let known = self.known.values();
        known.filter(|known| known.withheld.is_some()).count()
    }

    /// Returns all rows, for peers.
    pub fn rows(&self) -> Vec<EvacuationRow> {
        self.known.values().map(|known| known.row).collect()
    }
}
