//! Applies what was read from the store.

use reedsail_core::StorePosition;
use reedsail_core::TimeMs;

use super::OUTAGE_GRACE_MS;
use super::ServerList;
use crate::ListDelta;
use crate::PositionedChange;
use crate::ServerChange;
use crate::ServerUpdate;

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
            self.drop_missing(&update, now, &mut delta);
        }
        for PositionedChange { after, change } in update.changes {
            match change {
                ServerChange::Announced(record) => {
                    self.announce(record, after, is_from_backup, now, &mut delta);
                }
                ServerChange::Dropped { id } => self.drop_record(&id, after, now, &mut delta),
                ServerChange::Unreadable { id, fault } => {
                    // The unreadable record has replaced the server's own record, no matter who wrote it. The server
                    // writes its record again.
                    self.remove(&id, after, now, &mut delta);
                    delta.unreadable.push((id, fault));
                }
            }
        }
        delta
    }

    fn drop_missing(&mut self, whole: &ServerUpdate, now: TimeMs, delta: &mut ListDelta) {
        let known = whole.changes.iter().filter_map(|change| match &change.change {
            ServerChange::Announced(record) => Some(record.id.as_str()),
            ServerChange::Unreadable { id, .. } => Some(id.as_str()),
            ServerChange::Dropped { .. } => None,
        });
        for id in self.missing_from(known) {
            self.drop_record(&id, whole.revision, now, delta);
        }
    }

    /// Removes a record. If it may have expired only because the store did not accept announcements, the server
    /// becomes a suspect.
    fn drop_record(&mut self, id: &str, after: StorePosition, now: TimeMs, delta: &mut ListDelta) {
        if now >= self.outage_grace_until {
            self.remove(id, after, now, delta);
            return;
        }
        self.suspect(id, now);
    }
}
