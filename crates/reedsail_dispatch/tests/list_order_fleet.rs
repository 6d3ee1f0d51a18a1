//! A simulated fleet in which updates about servers arrive in any order: answers of the store, whole lists in pages, lists and
//! differences fetched from peers, and messages are each delivered late, repeatedly, or never.
//!
//! No update that is older than a known departure may bring a server back, and after one more read all lists are equal.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use reedsail_core::NameHash;
use reedsail_core::StorePosition;
use reedsail_core::TimeMs;
use reedsail_dispatch::PeerListState;
use reedsail_dispatch::PositionedChange;
use reedsail_dispatch::ServerChange;
use reedsail_dispatch::ServerList;
use reedsail_dispatch::ServerListing;
use reedsail_dispatch::ServerRecord;
use reedsail_dispatch::ServerUpdate;

const SEEDS: std::ops::Range<u64> = 1..1_001;
const STEPS: usize = 400;
const INSTANCES: usize = 4;
const SERVERS: usize = 7;
/// Servers in one page of the whole list.
const PAGE: usize = 3;
/// The updates in flight beyond which the oldest is lost.
const IN_FLIGHT_MAX: usize = 24;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Ready,
    Draining,
    Gone,
}

/// A record in the store's log.
#[derive(Clone, Copy, Debug)]
struct Written {
    server: usize,
    born_ms: u64,
    state: State,
}

impl Written {
    fn record(self) -> ServerRecord {
        ServerRecord {
            id: format!("server-{}", self.server),
            service: "llm".to_owned(),
            address: SocketAddr::from(([127, 0, 0, 1], 80)),
            failure_domain: "hall-a".to_owned(),
            slots: 8,
            is_draining: self.state == State::Draining,
            cold_left_ms: 0,
            born_ms: Some(self.born_ms),
            software_version: Some("v1".to_owned()),
        }
    }

    fn change(self) -> ServerChange {
        let record = self.record();
        if self.state == State::Gone {
            ServerChange::Dropped { id: record.id }
        } else {
            ServerChange::Announced(record)
        }
    }
}

/// The state of an instance's list in a message.
#[derive(Clone)]
struct Message {
    revision: StorePosition,
    digest: u64,
    departures: Vec<NameHash>,
}

#[derive(Clone)]
enum Update {
    Answer(ServerUpdate),
    Listing(ServerListing),
    Message(Message),
}

impl Update {
    /// Returns the offset up to which the update may contain departures.
    fn known_until(&self) -> u64 {
        match self {
            Self::Answer(update) => {
                let changes = update.changes.iter().map(|change| change.as_of.offset);
                changes.fold(update.revision.offset, u64::max)
            }
            Self::Listing(listing) => {
                let ahead = listing.ahead.iter().map(|ahead| ahead.offset);
                ahead.fold(listing.revision.offset, u64::max)
            }
            Self::Message(message) => message.revision.offset,
        }
    }
}

#[derive(Default)]
struct Instance {
    list: ServerList,
    /// The offset to read the log from next; `None` until the whole list was read.
    next: Option<u64>,
    /// The incarnations that were usable at the last look.
    usable: HashSet<NameHash>,
    /// The incarnations that were usable once and then were not, each with the offset of the departure.
    departed: HashMap<NameHash, u64>,
}

struct Fleet {
    random: StdRng,
    now: TimeMs,
    log: Vec<Written>,
    instances: Vec<Instance>,
    in_flight: Vec<(usize, Update)>,
}

impl Fleet {
    fn new(seed: u64) -> Self {
        let mut fleet = Self {
            random: StdRng::seed_from_u64(seed),
            now: TimeMs(1_000),
            log: Vec::new(),
            instances: (0..INSTANCES).map(|_| Instance::default()).collect(),
            in_flight: Vec::new(),
        };
        for server in 0..SERVERS {
            fleet.write(server, State::Ready, 1);
        }
        fleet
    }

    fn write(&mut self, server: usize, state: State, born_ms: u64) {
        self.log.push(Written {
            server,
            born_ms,
            state,
        });
    }

    /// Returns the newest record of each server.
    fn newest(&self) -> BTreeMap<usize, Written> {
        let newest = self.log.iter().map(|written| (written.server, *written));
        newest.collect()
    }

    fn end(&self) -> StorePosition {
        StorePosition::new(0, self.log.len() as u64)
    }

    /// Makes one server write its record, drain, leave, come back or start again.
    fn write_any(&mut self) {
        let server = self.random.random_range(0..SERVERS);
        let last = self.newest()[&server];
        let (state, born_ms) = match (last.state, self.random.random_range(0..6)) {
            (State::Ready, 0) => (State::Draining, last.born_ms),
            (State::Ready | State::Draining, 1) => (State::Gone, last.born_ms),
            (State::Ready | State::Gone, 2) => (State::Ready, last.born_ms + 1),
            (State::Gone, 3) => (State::Ready, last.born_ms),
            (state, _) => (state, last.born_ms),
        };
        if (last.state, state) != (State::Gone, State::Gone) {
            self.write(server, state, born_ms);
        }
    }

    /// Reads the whole list page by page. Servers write in between.
    fn read_pages(&mut self) -> ServerUpdate {
        let revision = self.end();
        let mut changes: Vec<PositionedChange> = Vec::new();
        let mut first = 0;
        while first < SERVERS {
            let end = self.end();
            let newest = self.newest();
            let listed = newest
                .range(first..)
                .filter(|(_, last)| last.state != State::Gone);
            let page: Vec<(usize, Written)> =
                listed.take(PAGE).map(|(server, last)| (*server, *last)).collect();
            first = match page.last() {
                Some((last, _)) if page.len() == PAGE => last + 1,
                _ => SERVERS,
            };
            changes.extend(page.into_iter().map(|(_, last)| last.change().at(end)));
            for _ in 0..self.random.random_range(0..3) {
                self.write_any();
            }
        }
        ServerUpdate {
            revision,
            is_whole: true,
            changes,
        }
    }

    fn read_since(&mut self, from: u64) -> ServerUpdate {
        let records = self.log.iter().skip(from as usize);
        let changes = (from + 1..).zip(records);
        ServerUpdate {
            revision: self.end(),
            is_whole: false,
            changes: changes
                .map(|(offset, written)| written.change().at(StorePosition::new(0, offset)))
                .collect(),
        }
    }

    fn ask_store(&mut self, reader: usize) -> Update {
        let known = self.instances[reader].list.revision().offset;
        let next = self.instances[reader].next.max((known > 0).then_some(known));
        let is_gone = self.random.random_range(0..10) == 0;
        match next.filter(|_| !is_gone) {
            Some(from) => Update::Answer(self.read_since(from)),
            None => Update::Answer(self.read_pages()),
        }
    }

    fn ask_peer(&mut self, asking: usize, peer: usize) -> Option<Update> {
        let digest = self.instances[asking].list.digest();
        let list = &self.instances[peer].list;
        let listing = if self.random.random() {
            list.difference(digest, self.now)?
        } else {
            list.listing(self.now)
        };
        Some(Update::Listing(listing))
    }

    fn message_of(&self, peer: usize) -> Update {
        let list = &self.instances[peer].list;
        Update::Message(Message {
            revision: list.revision(),
            digest: list.digest(),
            departures: list.departures(),
        })
    }

    fn step(&mut self) {
        self.now = self.now.plus_ms(1);
        let to = self.random.random_range(0..INSTANCES);
        let peer = (to + self.random.random_range(1..INSTANCES)) % INSTANCES;
        let update = match self.random.random_range(0..10) {
            0..3 => {
                self.write_any();
                None
            }
            3 => Some(self.ask_store(to)),
            4 => self.ask_peer(to, peer),
            5 => Some(self.message_of(peer)),
            _ => {
                self.deliver_any();
                None
            }
        };
        self.in_flight.extend(update.map(|update| (to, update)));
        if self.in_flight.len() > IN_FLIGHT_MAX {
            self.in_flight.remove(0);
        }
    }

    /// Delivers an update, which may be delivered again later.
    fn deliver_any(&mut self) {
        if self.in_flight.is_empty() {
            return;
        }
        let index = self.random.random_range(0..self.in_flight.len());
        let (to, update) = if self.random.random_range(0..5) == 0 {
            self.in_flight[index].clone()
        } else {
            self.in_flight.swap_remove(index)
        };
        self.deliver(to, update);
    }

    fn deliver(&mut self, to: usize, update: Update) {
        let known_until = update
            .known_until()
            .max(self.instances[to].list.revision().offset);
        let (instance, now) = (&mut self.instances[to], self.now);
        match update {
            Update::Answer(answer) => {
                instance.next = Some(answer.revision.offset);
                instance.list.apply(answer, now, now);
            }
            Update::Listing(listing) => {
                instance.list.apply_listing(listing, now);
            }
            Update::Message(message) => {
                let state = PeerListState {
                    revision: message.revision,
                    digest: message.digest,
                    age_ms: 0,
                    departures: &message.departures,
                };
                instance.list.compare_with_peer(&state, now);
            }
        }
        self.look(to, known_until);
    }

    /// Checks that no known departure was forgotten, and records which servers are no longer usable.
    fn look(&mut self, at: usize, known_until: u64) {
        let log = &self.log;
        let instance = &mut self.instances[at];
        let records = instance.list.records(self.now).into_iter();
        let usable: HashSet<NameHash> = records
            .filter(|record| !record.is_draining)
            .map(|record| record.name())
            .collect();
        let names: HashSet<NameHash> = log.iter().map(|written| written.record().name()).collect();
        for name in names {
            let of_server = || {
                (1..)
                    .zip(log)
                    .filter(|(_, written)| written.record().name() == name)
            };
            if usable.contains(&name) {
                let departed_at = instance.departed.remove(&name).unwrap_or(0);
                let mut since = of_server().filter(|(offset, _)| *offset > departed_at);
                let has_returned =
                    departed_at == 0 || since.any(|(_, written)| written.state == State::Ready);
                assert!(
                    has_returned,
                    "{name:?} at {at} after its departure at {departed_at}"
                );
            } else if instance.usable.contains(&name) {
                let departures = of_server().filter(|(_, written)| written.state != State::Ready);
                let told = departures.filter(|(offset, _)| *offset <= known_until);
                instance
                    .departed
                    .extend(told.last().map(|(offset, _)| (name, offset)));
            }
        }
        instance.usable = usable;
    }

    /// Lets one instance read what is left, and the others fetch its list.
    fn settle(&mut self) {
        self.in_flight.clear();
        for _ in 0..2 {
            let known = self.instances[0].list.revision().offset;
            let update = self.read_since(known);
            self.deliver(0, Update::Answer(update));
        }
        for to in 1..INSTANCES {
            let message = self.message_of(0);
            self.deliver(to, message);
            let digest = self.instances[to].list.digest();
            let list = &self.instances[0].list;
            let listing = list.difference(digest, self.now);
            let listing = listing.unwrap_or_else(|| list.listing(self.now));
            self.deliver(to, Update::Listing(listing));
        }
    }

    /// Returns the servers of the store, by id, each with whether it accepts work.
    fn in_store(&self) -> Vec<(String, bool)> {
        let listed = self
            .newest()
            .into_values()
            .filter(|last| last.state != State::Gone);
        listed
            .map(|last| (last.record().id, last.state == State::Ready))
            .collect()
    }

    fn in_list(&self, at: usize) -> Vec<(String, bool)> {
        let records = self.instances[at].list.records(self.now).into_iter();
        let mut listed: Vec<(String, bool)> =
            records.map(|record| (record.id, !record.is_draining)).collect();
        listed.sort();
        listed
    }
}

#[test]
fn no_older_update_forgets_a_departure_and_all_lists_end_equal() {
    for seed in SEEDS {
        let mut fleet = Fleet::new(seed);
        for _ in 0..STEPS {
            fleet.step();
        }
        fleet.settle();
        for at in 0..INSTANCES {
            let list = &fleet.instances[at].list;
            assert_eq!(list.revision(), fleet.end(), "seed {seed}, instance {at}");
            assert_eq!(fleet.in_list(at), fleet.in_store(), "seed {seed}, instance {at}");
            assert_eq!(list.digest(), fleet.instances[0].list.digest(), "seed {seed}");
        }
    }
}
