//! The backend servers that the daemon believes in, from the store's records and from peers.

use std::collections::HashMap;

use reedsail_core::NameHash;
use reedsail_core::TimeMs;
use twox_hash::XxHash64;

use crate::ServerChange;
use crate::ServerListing;
use crate::ServerRecord;
use crate::ServerUpdate;

/// How long a server whose record went while the store was out of reach may still be used. A server
/// that is alive has announced itself again by then.
const DOUBT_MS: u64 = 2_000;
/// How long after the first read that follows trouble a dropped record may be the trouble's doing:
/// about as long as a server takes to announce itself again.
const AFTER_TROUBLE_MS: u64 = 1_300;
/// A peer that read the store so lately tells that the trouble is over.
const FRESH_MS: u64 = 1_000;
/// How long a peer's word that a server leaves counts.
const PEER_WORD_MS: u64 = 5_000;
/// How long this daemon tells others of a server that has left.
const DEPARTURE_TOLD_MS: u64 = 15_000;

#[derive(Clone, Debug)]
struct Entry {
    record: ServerRecord,
    /// Set while its record is missing for a reason that may lie with the store.
    suspect_until: Option<TimeMs>,
}

/// What has changed in the list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListDelta {
    /// Servers that are new.
    pub listed: Vec<String>,
    /// Servers that have said they will leave.
    pub leaving: Vec<String>,
    /// Servers that are gone.
    pub unlisted: Vec<String>,
    /// Records that cannot be read, each with what is wrong.
    pub unreadable: Vec<(String, String)>,
}

impl ListDelta {
    /// Tells whether anybody has to be told.
    pub fn is_empty(&self) -> bool {
        self.listed.is_empty() && self.leaving.is_empty() && self.unlisted.is_empty()
    }
}

/// What a peer says of its own list.
#[derive(Clone, Copy, Debug)]
pub struct PeerListState<'a> {
    /// The place in the store's log up to which it is known.
    pub revision: u64,
    /// The digest of the list.
    pub digest: u64,
    /// How long ago it was known to be the newest, in milliseconds.
    pub age_ms: u64,
    /// Servers that are leaving or gone.
    pub leaving: &'a [NameHash],
}

/// What a peer's word of its list means for this daemon's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListComparison {
    /// It knows nothing newer.
    NothingNew,
    /// It knows something newer, which is to be fetched.
    Newer,
    /// So it does, and servers are leaving that were not known to.
    Leaving,
}

/// The list of backend servers.
#[derive(Clone, Debug, Default)]
pub struct ServerList {
    entries: HashMap<String, Entry>,
    /// Servers that have left or are leaving, and until when others are told.
    departures: HashMap<NameHash, TimeMs>,
    /// Servers that peers say are leaving, and until when that counts.
    advertised_departures: HashMap<NameHash, TimeMs>,
    digest: u64,
    /// When this list, at its revision, was known to be the newest.
    known_at: Option<TimeMs>,
    revision: u64,
    /// The store did not answer the last read.
    is_store_out: bool,
    /// Until when dropped records may be the doing of trouble that is over.
    outage_grace_until: TimeMs,
}

impl ServerList {
    /// Takes in what a look at the store, begun at `asked_at`, has shown.
    pub fn apply(&mut self, news: ServerUpdate, asked_at: TimeMs, now: TimeMs) -> ListDelta {
        self.known_at = self.known_at.max(Some(asked_at));
        self.revision = self.revision.max(news.revision);
        if std::mem::take(&mut self.is_store_out) {
            self.outage_grace_until = now.plus_ms(AFTER_TROUBLE_MS);
        }
        let mut delta = ListDelta::default();
        if news.is_whole {
            self.drop_missing(&news.changes, now, &mut delta);
        }
        for change in news.changes {
            match change {
                ServerChange::Announced(record) => self.announce(record, now, &mut delta),
                ServerChange::Dropped { id } => self.drop_record(&id, now, &mut delta),
                ServerChange::Unreadable { id, fault } => delta.unreadable.push((id, fault)),
            }
        }
        delta
    }

    /// Takes over a peer's whole list, if it is newer than this daemon's.
    pub fn apply_listing(&mut self, listing: ServerListing, now: TimeMs) -> ListDelta {
        let mut delta = ListDelta::default();
        if listing.revision < self.revision || listing.records.is_empty() {
            return delta;
        }
        // Whoever gave the list has judged what the trouble did to it.
        self.is_store_out = false;
        self.revision = listing.revision;
        self.known_at = self.known_at.max(Some(moment_before(now, listing.age_ms)));
        let known: Vec<String> = listing.records.iter().map(|record| record.id.clone()).collect();
        for record in listing.records {
            self.announce(record, now, &mut delta);
        }
        for id in self.missing_from(&known) {
            self.remove(&id, now, &mut delta);
        }
        delta
    }

    /// Takes in what a peer says of its own list. The same list, or one of the same revision, is as
    /// fresh as the peer's; of one that is newer, the servers that are leaving are believed before it
    /// is fetched.
    pub fn receive_report(&mut self, word: &PeerListState<'_>, now: TimeMs) -> ListComparison {
        if word.revision <= self.revision || word.digest == self.digest() {
            self.revision = self.revision.max(word.revision);
            self.known_at = self.known_at.max(Some(moment_before(now, word.age_ms)));
            if word.age_ms < FRESH_MS {
                self.is_store_out = false;
            }
            return ListComparison::NothingNew;
        }
        let mut is_news = false;
        for server in word.leaving {
            let until = now.plus_ms(PEER_WORD_MS);
            is_news |= self.advertised_departures.insert(*server, until).is_none();
        }
        if is_news {
            ListComparison::Leaving
        } else {
            ListComparison::Newer
        }
    }

    /// Notes that the store did not answer a read.
    pub fn record_store_failure(&mut self) {
        self.is_store_out = true;
    }

    /// Removes servers that stayed in doubt too long, and words that no longer count.
    pub fn tick(&mut self, now: TimeMs) -> ListDelta {
        let mut delta = ListDelta::default();
        self.departures.retain(|_, until| *until > now);
        self.advertised_departures.retain(|_, until| *until > now);
        let lapsed: Vec<String> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.suspect_until.is_some_and(|until| until <= now))
            .map(|(id, _)| id.clone())
            .collect();
        for id in lapsed {
            self.remove(&id, now, &mut delta);
        }
        delta
    }

    /// Returns all servers; those that peers say are leaving are marked so.
    pub fn listing(&self, now: TimeMs) -> ServerListing {
        let marked = |entry: &Entry| {
            let mut record = entry.record.clone();
            let word = self.advertised_departures.get(&NameHash::of(&record.id));
            record.is_draining |= word.is_some_and(|until| *until > now);
            record
        };
        ServerListing {
            revision: self.revision,
            age_ms: self.age_ms(now),
            records: self.entries.values().map(marked).collect(),
        }
    }

    /// Returns a digest of the list, the same on every daemon that has the same list.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the place in the store's log up to which the list is known.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the servers that others are to be told of.
    pub fn departures(&self) -> Vec<NameHash> {
        self.departures.keys().copied().collect()
    }

    /// Returns how long ago the list was known to be the newest, in milliseconds; very long if it was
    /// never read.
    pub fn age_ms(&self, now: TimeMs) -> u64 {
        self.known_at
            .map_or(u64::from(u32::MAX), |known_at| now.since_ms(known_at))
    }

    fn announce(&mut self, record: ServerRecord, now: TimeMs, delta: &mut ListDelta) {
        let was_leaving = self
            .entries
            .get(&record.id)
            .is_some_and(|entry| entry.record.is_draining);
        if record.is_draining && !was_leaving {
            self.tell_departure(&record.id, now);
            delta.leaving.push(record.id.clone());
        }
        if !record.is_draining {
            let hash = NameHash::of(&record.id);
            self.advertised_departures.remove(&hash);
            self.departures.remove(&hash);
        }
        let id = record.id.clone();
        let entry = Entry {
            record,
            suspect_until: None,
        };
        self.digest = self.digest.wrapping_add(entry_digest(&entry));
        let before = self.entries.insert(id.clone(), entry);
        if let Some(before) = &before {
            self.digest = self.digest.wrapping_sub(entry_digest(before));
        }
        if before.is_none() {
            delta.listed.push(id);
        }
    }

    /// A record that went while the store was out of reach may have gone for want of an announcement
    /// that the store did not take, and says nothing of the server.
    fn drop_record(&mut self, id: &str, now: TimeMs, delta: &mut ListDelta) {
        if now >= self.outage_grace_until {
            self.remove(id, now, delta);
            return;
        }
        if let Some(entry) = self.entries.get_mut(id) {
            self.digest = self.digest.wrapping_sub(entry_digest(entry));
            entry.suspect_until.get_or_insert(now.plus_ms(DOUBT_MS));
            self.digest = self.digest.wrapping_add(entry_digest(entry));
        }
    }

    fn drop_missing(&mut self, changes: &[ServerChange], now: TimeMs, delta: &mut ListDelta) {
        let known: Vec<String> = changes
            .iter()
            .filter_map(|change| match change {
                ServerChange::Announced(record) => Some(record.id.clone()),
                ServerChange::Unreadable { id, .. } => Some(id.clone()),
                ServerChange::Dropped { .. } => None,
            })
            .collect();
        for id in self.missing_from(&known) {
            self.drop_record(&id, now, delta);
        }
    }

    fn missing_from(&self, known: &[String]) -> Vec<String> {
        self.entries
            .keys()
            .filter(|id| !known.contains(id))
            .cloned()
            .collect()
    }

    fn remove(&mut self, id: &str, now: TimeMs, delta: &mut ListDelta) {
        if let Some(entry) = self.entries.remove(id) {
            self.digest = self.digest.wrapping_sub(entry_digest(&entry));
            self.tell_departure(id, now);
            delta.unlisted.push(id.to_owned());
        }
    }

    fn tell_departure(&mut self, id: &str, now: TimeMs) {
        self.departures
            .insert(NameHash::of(id), now.plus_ms(DEPARTURE_TOLD_MS));
    }
}

fn moment_before(now: TimeMs, age_ms: u64) -> TimeMs {
    TimeMs(now.0.saturating_sub(age_ms))
}

/// Digests one server; sums of these do not depend on the order of the servers. One that is in doubt
/// differs from one that is not: its list is not the same as that of a peer who knows better.
fn entry_digest(entry: &Entry) -> u64 {
    let record = &entry.record;
    let text = format!(
        "{}\n{}\n{}\n{}\n{}\n{}\n{}",
        record.id,
        record.service,
        record.address,
        record.failure_domain,
        record.slots,
        record.is_draining,
        entry.suspect_until.is_some()
    );
    XxHash64::oneshot(0, text.as_bytes())
}
