//! The entries of the server list, with derived state that would be expensive to recompute from all entries.
//!
//! Owns the digest of the list, the latest changes, and the sets of suspect and cold servers and of servers from a backup. Every change is
//! made here, so that these stay consistent with the entries.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;

use reedsail_core::NameHash;
use reedsail_core::StorePosition;
use reedsail_core::TimeMs;
use twox_hash::XxHash64;

use crate::ServerRecord;
use crate::list_history::ListHistory;

/// A server of the list.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) record: ServerRecord,
    /// The name of the server's incarnation.
    pub(crate) name: NameHash,
    /// Set while the record is missing and may have expired only because the store was unavailable.
    pub(crate) suspect_until: Option<TimeMs>,
    /// Until when the server is cold according to its record; `None` for a warm server.
    pub(crate) cold_until: Option<TimeMs>,
    /// The position in the store's log as of which the entry is known. It may be newer than the list, of which the pages are
    /// read one after the other.
    pub(crate) as_of: StorePosition,
    /// Whether the record comes from a backup that the store was restored from, and was not written since.
    pub(crate) is_from_backup: bool,
}

impl Entry {
    /// Creates the entry of a record that was read at `now` and is the server's newest one as of a position in the store's
    /// log.
    pub(crate) fn of(record: ServerRecord, as_of: StorePosition, is_from_backup: bool, now: TimeMs) -> Self {
        Self {
            name: record.name(),
            cold_until: record.cold_until(now),
            record,
            suspect_until: None,
            as_of,
            is_from_backup,
        }
    }

    /// Returns whether the records of both entries lead to the same use of the server.
    pub(crate) fn is_used_like(&self, other: &Self) -> bool {
        let (record, changed) = (&self.record, &other.record);
        self.name == other.name
            && self.cold_until == other.cold_until
            && record.service == changed.service
            && record.address == changed.address
            && record.failure_domain == changed.failure_domain
            && record.slots == changed.slots
            && record.is_draining == changed.is_draining
            && record.software_version == changed.software_version
    }

    /// Returns whether a record repeats the known record of a warm server that accepts work.
    pub(crate) fn is_reannounced_by(&self, record: &ServerRecord, is_from_backup: bool) -> bool {
        let is_settled = self.suspect_until.is_none() && self.cold_until.is_none();
        is_settled && self.is_from_backup == is_from_backup && !record.is_draining && self.record == *record
    }

    /// Returns the record as sent to peers at a given time.
    pub(crate) fn record_at(&self, now: TimeMs) -> ServerRecord {
        ServerRecord {
            cold_left_ms: self.cold_until.map_or(0, |until| until.since_ms(now)),
            ..self.record.clone()
        }
    }

    /// Returns the digest of the server. Digests are added up, so the sum does not depend on the order of the
    /// servers. A suspect server has another digest than one that is not suspect, so a list with suspects never
    /// equals a peer's list without them.
    fn digest(&self) -> u64 {
        let record = &self.record;
        let text = format!(
            "{}\n{}\n{}\n{}\n{}\n{}\n{}\n{}\n{:?}",
            record.id,
            record.service,
            record.address,
            record.failure_domain,
            record.slots,
            record.is_draining,
            self.suspect_until.is_some(),
            self.cold_until.is_some(),
            record.born_ms
        );
        XxHash64::oneshot(0, text.as_bytes())
    }
}

/// The entries by server id.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServerEntries {
    entries: HashMap<Arc<str>, Entry>,
    digest: u64,
    history: ListHistory,
    suspects: HashSet<Arc<str>>,
    cold: HashSet<Arc<str>>,
    backup_entries: HashSet<Arc<str>>,
    /// Servers whose record has no software version.
    unversioned: HashSet<Arc<str>>,
}

impl ServerEntries {
    pub(crate) fn get(&self, id: &str) -> Option<&Entry> {
        self.entries.get(id)
    }

    pub(crate) fn values(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    pub(crate) fn ids(&self) -> impl Iterator<Item = &Arc<str>> {
        self.entries.keys()
    }

    /// Returns the digest of the list. Equal lists have equal digests on all instances.
    pub(crate) fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the servers that changed since the list had the given digest; `None` if that digest is no longer
    /// known.
    pub(crate) fn changed_since(&self, digest: u64) -> Option<HashSet<Arc<str>>> {
        if digest == self.digest {
            return Some(HashSet::new());
        }
        self.history.since(digest)
    }

    /// Returns the software version of the incarnation that a record names. An incarnation keeps its version: a record
    /// without one leaves the known version as it is, and a record with another one makes it unknown.
    pub(crate) fn software_version_of(&self, record: &ServerRecord) -> Option<String> {
        let entry = self.get(&record.id).filter(|entry| entry.name == record.name());
        let Some(known) = entry.and_then(|entry| entry.record.software_version.as_deref()) else {
            return record.software_version.clone();
        };
        let is_contradicted = record
            .software_version
            .as_deref()
            .is_some_and(|version| version != known);
        Some(if is_contradicted {
            String::new()
        } else {
            known.to_owned()
        })
    }

    /// Returns whether the software version of a server was never received.
    pub(crate) fn lack_versions(&self) -> bool {
        !self.unversioned.is_empty()
    }

    /// Returns the ids of the suspect servers.
    pub(crate) fn suspects(&self) -> impl Iterator<Item = &Arc<str>> {
        self.suspects.iter()
    }

    /// Returns the servers whose records come from a backup of the store.
    pub(crate) fn backup_entries(&self) -> impl Iterator<Item = &Entry> {
        self.backup_entries.iter().filter_map(|id| self.entries.get(id))
    }

    /// Returns the suspect servers whose grace period is over.
    pub(crate) fn expired_suspects(&self, now: TimeMs) -> Vec<Arc<str>> {
        self.expired(&self.suspects, |entry| entry.suspect_until, now)
    }

    /// Returns the cold servers that are warm by now.
    pub(crate) fn warmed_up(&self, now: TimeMs) -> Vec<Arc<str>> {
        self.expired(&self.cold, |entry| entry.cold_until, now)
    }

    fn expired(
        &self,
        ids: &HashSet<Arc<str>>,
        until: impl Fn(&Entry) -> Option<TimeMs>,
        now: TimeMs,
    ) -> Vec<Arc<str>> {
        let is_over = |id: &&Arc<str>| {
            let until = self.entries.get(*id).and_then(&until);
            until.is_some_and(|until| until <= now)
        };
        ids.iter().filter(is_over).cloned().collect()
    }

    /// Inserts an entry, which replaces the entry of the same id.
    pub(crate) fn insert(&mut self, entry: Entry) {
        let known = self.entries.get_key_value(entry.record.id.as_str());
        let id = known.map_or_else(|| Arc::from(entry.record.id.as_str()), |(id, _)| Arc::clone(id));
        let digest_before = self.digest;
        self.digest = self.digest.wrapping_add(entry.digest());
        set_member(&mut self.suspects, &id, entry.suspect_until.is_some());
        set_member(&mut self.cold, &id, entry.cold_until.is_some());
        set_member(&mut self.backup_entries, &id, entry.is_from_backup);
        set_member(
            &mut self.unversioned,
            &id,
            entry.record.software_version.is_none(),
        );
        if let Some(before) = self.entries.insert(Arc::clone(&id), entry) {
            self.digest = self.digest.wrapping_sub(before.digest());
        }
        self.record_change(digest_before, &id);
    }

    /// Removes an entry.
    pub(crate) fn remove(&mut self, id: &str) -> Option<Entry> {
        let (id, entry) = self.entries.remove_entry(id)?;
        let digest_before = self.digest;
        self.digest = self.digest.wrapping_sub(entry.digest());
        let sets = [
            &mut self.suspects,
            &mut self.cold,
            &mut self.backup_entries,
            &mut self.unversioned,
        ];
        for set in sets {
            set.remove(&id);
        }
        self.record_change(digest_before, &id);
        Some(entry)
    }

    /// Records that an entry is still the newest as of a position in the store's log.
    pub(crate) fn confirm(&mut self, id: &str, as_of: StorePosition) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.as_of = entry.as_of.max(as_of);
        }
    }

    /// Changes an entry in place.
    pub(crate) fn update(&mut self, id: &str, change: impl FnOnce(&mut Entry)) {
        if let Some(mut entry) = self.entries.get(id).cloned() {
            change(&mut entry);
            self.insert(entry);
        }
    }

    fn record_change(&mut self, digest_before: u64, id: &Arc<str>) {
        if digest_before != self.digest {
            self.history.record(digest_before, id, self.entries.len());
        }
    }
}

fn set_member(set: &mut HashSet<Arc<str>>, id: &Arc<str>, is_member: bool) {
    if is_member {
        set.insert(Arc::clone(id));
    } else {
        set.remove(id);
    }
}
