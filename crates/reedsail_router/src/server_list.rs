//! The backend servers that the daemon believes in, from the store's records and from peers.

use std::collections::HashMap;

use reedsail_core::NameHash;
use reedsail_core::TimeMs;

use crate::ServerChange;
use crate::ServerNews;
use crate::ServerRecord;

/// How long a server whose record went while the store was troubled may still be used.
const DOUBT_MS: u64 = 4_000;
/// How long after trouble a dropped record may be the store's doing.
const TROUBLE_MS: u64 = 3_000;
/// How long a peer's word that a server leaves counts.
const PEER_WORD_MS: u64 = 5_000;
/// How long this daemon tells others of a server that has left.
const DEPARTURE_TOLD_MS: u64 = 15_000;

#[derive(Clone, Debug)]
struct Entry {
    record: ServerRecord,
    /// Set while its record is missing for a reason that may lie with the store.
    doubted_until: Option<TimeMs>,
}

/// What has changed in the list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct ListDelta {
    pub(crate) listed: Vec<String>,
    pub(crate) leaving: Vec<String>,
    pub(crate) unlisted: Vec<String>,
    /// Records that cannot be read, each with what is wrong.
    pub(crate) unreadable: Vec<(String, String)>,
}

impl ListDelta {
    /// Tells whether anybody has to be told.
    pub(crate) fn is_empty(&self) -> bool {
        self.listed.is_empty() && self.leaving.is_empty() && self.unlisted.is_empty()
    }
}

/// The list of backend servers.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServerList {
    entries: HashMap<String, Entry>,
    /// Servers that have left or are leaving, and until when others are told.
    departures: HashMap<NameHash, TimeMs>,
    /// Servers that peers say are leaving, and until when that counts.
    peer_words: HashMap<NameHash, TimeMs>,
    read_at: Option<TimeMs>,
    troubled_at: Option<TimeMs>,
}

impl ServerList {
    /// Takes in what a look at the store, begun at `asked_at`, has shown.
    pub(crate) fn apply(&mut self, news: ServerNews, asked_at: TimeMs, now: TimeMs) -> ListDelta {
        self.read_at = Some(asked_at);
        let mut delta = ListDelta::default();
        let changes = match news {
            ServerNews::Changes(changes) => changes,
            ServerNews::Everything(changes) => {
                self.drop_missing(&changes, now, &mut delta);
                changes
            }
        };
        for change in changes {
            match change {
                ServerChange::Announced(record) => self.announce(record, now, &mut delta),
                ServerChange::Dropped { id } => self.drop_record(&id, now, &mut delta),
                ServerChange::Unreadable { id, fault } => delta.unreadable.push((id, fault)),
            }
        }
        delta
    }

    /// Takes over a peer's whole list while the store cannot be read.
    pub(crate) fn apply_peer_list(&mut self, records: Vec<ServerRecord>, now: TimeMs) -> ListDelta {
        let mut delta = ListDelta::default();
        let known: Vec<String> = records.iter().map(|record| record.id.clone()).collect();
        for record in records {
            self.announce(record, now, &mut delta);
        }
        let gone: Vec<String> = self.missing_from(&known);
        for id in gone {
            self.remove(&id, now, &mut delta);
        }
        delta
    }

    /// Notes that the store did not answer.
    pub(crate) fn note_trouble(&mut self, now: TimeMs) {
        self.troubled_at = Some(now);
    }

    /// Takes a peer's word that servers are leaving, unless this daemon's own list is fresh.
    pub(crate) fn hear_leaving(&mut self, servers: &[NameHash], own_view_max_ms: u64, now: TimeMs) -> bool {
        if self.age_ms(now) <= own_view_max_ms {
            return false;
        }
        let mut is_news = false;
        for server in servers {
            is_news |= self
                .peer_words
                .insert(*server, now.plus_ms(PEER_WORD_MS))
                .is_none();
        }
        is_news
    }

    /// Removes servers that stayed in doubt too long, and words that no longer count.
    pub(crate) fn tick(&mut self, now: TimeMs) -> ListDelta {
        let mut delta = ListDelta::default();
        self.departures.retain(|_, until| *until > now);
        self.peer_words.retain(|_, until| *until > now);
        let lapsed: Vec<String> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.doubted_until.is_some_and(|until| until <= now))
            .map(|(id, _)| id.clone())
            .collect();
        for id in lapsed {
            self.remove(&id, now, &mut delta);
        }
        delta
    }

    /// Returns all servers; those that peers say are leaving are marked so.
    pub(crate) fn records(&self, own_view_max_ms: u64, now: TimeMs) -> Vec<ServerRecord> {
        let is_fresh = self.age_ms(now) <= own_view_max_ms;
        let marked = |entry: &Entry| {
            let mut record = entry.record.clone();
            let word = self.peer_words.get(&NameHash::of(&record.id));
            record.is_leaving |= !is_fresh && word.is_some_and(|until| *until > now);
            record
        };
        self.entries.values().map(marked).collect()
    }

    /// Returns the servers that others are to be told of.
    pub(crate) fn departures(&self) -> Vec<NameHash> {
        self.departures.keys().copied().collect()
    }

    /// Returns how old the list is, in milliseconds; very old if it was never read.
    pub(crate) fn age_ms(&self, now: TimeMs) -> u64 {
        self.read_at
            .map_or(u64::from(u32::MAX), |read_at| now.since_ms(read_at))
    }

    fn announce(&mut self, record: ServerRecord, now: TimeMs, delta: &mut ListDelta) {
        let was_leaving = self
            .entries
            .get(&record.id)
            .is_some_and(|entry| entry.record.is_leaving);
        if record.is_leaving && !was_leaving {
            self.tell_departure(&record.id, now);
            delta.leaving.push(record.id.clone());
        }
        if !record.is_leaving {
            let hash = NameHash::of(&record.id);
            self.peer_words.remove(&hash);
            self.departures.remove(&hash);
        }
        let id = record.id.clone();
        let entry = Entry {
            record,
            doubted_until: None,
        };
        let before = self.entries.insert(id.clone(), entry);
        if before.is_none() {
            delta.listed.push(id);
        }
    }

    /// A record that goes while the store is troubled says nothing of the server.
    fn drop_record(&mut self, id: &str, now: TimeMs, delta: &mut ListDelta) {
        let in_trouble = self
            .troubled_at
            .is_some_and(|troubled_at| now.since_ms(troubled_at) < TROUBLE_MS);
        if !in_trouble {
            self.remove(id, now, delta);
            return;
        }
        if let Some(entry) = self.entries.get_mut(id) {
            entry.doubted_until.get_or_insert(now.plus_ms(DOUBT_MS));
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
        if self.entries.remove(id).is_some() {
            self.tell_departure(id, now);
            delta.unlisted.push(id.to_owned());
        }
    }

    fn tell_departure(&mut self, id: &str, now: TimeMs) {
        self.departures
            .insert(NameHash::of(id), now.plus_ms(DEPARTURE_TOLD_MS));
    }
}
