//! Applies what was read from the store.

use std::collections::BTreeMap;
use std::ops::Bound;

use reedsail_core::StorePosition;
use reedsail_core::TimeMs;

use super::OUTAGE_GRACE_MS;
use super::ServerList;
use super::announcements::RecordSource;
use crate::ListDelta;
use crate::PositionedChange;
use crate::ServerChange;
use crate::ServerUpdate;

impl ServerList {
    /// Applies what an update from the store adds to this list. The update was requested at `asked_at`; the list may have
    /// moved on since.
    pub fn apply(&mut self, update: ServerUpdate, asked_at: TimeMs, now: TimeMs) -> ListDelta {
        if update.revision.era < self.revision.era {
            return ListDelta::default();
        }
        let begins_era = self.begins_era(update.revision);
        let source = match (update.is_whole, begins_era) {
            (true, true) => RecordSource::Backup,
            (true, false) => RecordSource::List,
            (false, _) => RecordSource::Log,
        };
        let known_until = self.revision;
        self.known_at = self.known_at.max(Some(asked_at));
        self.revision = self.revision.max(update.revision);
        self.known_until = update
            .changes
            .iter()
            .map(|change| change.as_of)
            .fold(self.known_until, StorePosition::max);
        // A backup of the store lacks the latest writes. Like an outage, it does not prove a departure.
        if std::mem::take(&mut self.is_store_unavailable) || begins_era {
            self.outage_grace_until = now.plus_ms(OUTAGE_GRACE_MS);
        }
        let mut delta = ListDelta::default();
        if update.is_whole {
            self.drop_missing(&update, known_until, now, &mut delta);
        }
        for PositionedChange { as_of, change } in update.changes {
            if as_of <= known_until {
                delta.outdated += 1;
                continue;
            }
            match change {
                ServerChange::Announced(record) => {
                    self.announce(record, as_of, source, now, &mut delta);
                }
                change if self.has_newer_entry(change.id(), as_of) => delta.outdated += 1,
                ServerChange::Dropped { id } => self.drop_record(&id, as_of, now, &mut delta),
                ServerChange::Unreadable { id, fault } => {
                    // The unreadable record has replaced the server's own record, no matter who wrote it. The server
                    // writes its record again.
                    self.remove(&id, as_of, now, &mut delta);
                    delta.unreadable.push((id, fault));
                }
            }
        }
        delta
    }

    /// Drops the servers that a whole list lacks, unless this list is newer than the page that would have named them.
    fn drop_missing(
        &mut self,
        whole: &ServerUpdate,
        known_until: StorePosition,
        now: TimeMs,
        delta: &mut ListDelta,
    ) {
        let read: BTreeMap<&str, StorePosition> = whole
            .changes
            .iter()
            .map(|change| (change.change.id(), change.as_of))
            .collect();
        for id in self.missing_from(read.keys().copied()) {
            let missing_at = page_end(&read, &id).unwrap_or(whole.revision);
            if missing_at > known_until && !self.has_newer_entry(&id, missing_at) {
                self.drop_record(&id, missing_at, now, delta);
            }
        }
    }

    /// Removes a record. If it may have expired only because the store did not accept announcements, the server
    /// becomes a suspect.
    fn drop_record(&mut self, id: &str, as_of: StorePosition, now: TimeMs, delta: &mut ListDelta) {
        if now >= self.outage_grace_until {
            self.remove(id, as_of, now, delta);
            return;
        }
        self.suspect(id, as_of, now);
    }
}

/// Returns the position as of which a whole list, which is ordered by id, lacks a server: the end of the page that would
/// have named it.
fn page_end(read: &BTreeMap<&str, StorePosition>, missing: &str) -> Option<StorePosition> {
    let mut following = read.range::<str, _>((Bound::Excluded(missing), Bound::Unbounded));
    let page = following.next().or_else(|| read.last_key_value());
    page.map(|(_, end)| *end)
}
