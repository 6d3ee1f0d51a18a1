//! Fleets whose store comes back from older copies of itself, without sockets: instances that read it and instances
//! that hear of it from peers, in any order, with cuts and restarts. All end with the records of the store, a server
//! that every instance knew to have left gets nothing new, and nobody reads the whole list more than twice an era.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use reedsail_core::NameHash;
use reedsail_core::StorePosition;
use reedsail_core::TimeMs;
use reedsail_dispatch::EvacuationRow;
use reedsail_dispatch::EvacuationUpdate;
use reedsail_dispatch::Evacuations;
use reedsail_dispatch::ListComparison;
use reedsail_dispatch::PeerListState;
use reedsail_dispatch::ServerChange;
use reedsail_dispatch::ServerList;
use reedsail_dispatch::ServerRecord;
use reedsail_dispatch::ServerUpdate;

const STEP_MS: u64 = 50;
/// How often a reader looks at the store.
const READ_EVERY_MS: u64 = 750;
/// How often a server writes its record, and the operators write theirs again after the store came back.
const WRITE_EVERY_MS: u64 = 1_000;
/// A record that was not written for so long is dropped by the store.
const LAPSE_MS: u64 = 3_000;
/// How long after the last trouble all must have the store's records: three lapses, and what is kept against a copy.
const SETTLE_MS: u64 = 20_000;
const SEEDS: std::ops::Range<u64> = 1..201;
const SERVERS: u32 = 6;

/// What the store holds: records in the order of writing, each with its key and whether it is there.
#[derive(Clone, Default)]
struct Log {
    records: Vec<(u32, bool)>,
    evacuations: Vec<bool>,
}

#[derive(Default)]
struct Store {
    era: u32,
    log: Log,
    written_at: BTreeMap<u32, TimeMs>,
    alive: BTreeMap<u32, bool>,
    is_evacuated: bool,
    is_down: bool,
}

fn id(server: u32) -> String {
    format!("server-{server}")
}

fn record(server: u32) -> ServerRecord {
    ServerRecord {
        id: id(server),
        service: "llm".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 80)),
        failure_domain: "hall-a".to_owned(),
        slots: 8,
        is_draining: false,
        cold_left_ms: 0,
        born_ms: Some(u64::from(server)),
    }
}

impl Store {
    fn is_listed(&self, server: u32) -> bool {
        let mut records = self.log.records.iter().rev();
        records
            .find(|(key, _)| *key == server)
            .is_some_and(|(_, is_there)| *is_there)
    }

    fn evacuated(&self) -> bool {
        self.log.evacuations.last().copied().unwrap_or(false)
    }

    /// Lets servers and operators write what they hold to be true, and drops records that were not written.
    fn step(&mut self, now: TimeMs) {
        if self.is_down {
            return;
        }
        for server in 0..SERVERS {
            let is_alive = self.alive.get(&server).copied().unwrap_or(true);
            let written_at = self.written_at.get(&server).copied().unwrap_or(TimeMs(0));
            if is_alive && now.since_ms(written_at) >= WRITE_EVERY_MS {
                self.written_at.insert(server, now);
                if !self.is_listed(server) {
                    self.log.records.push((server, true));
                }
            }
            if self.is_listed(server) && now.since_ms(written_at) >= LAPSE_MS {
                self.log.records.push((server, false));
            }
        }
        if self.evacuated() != self.is_evacuated && now.0.is_multiple_of(WRITE_EVERY_MS) {
            self.log.evacuations.push(self.is_evacuated);
        }
    }

    fn read(&self, from: Option<StorePosition>) -> ServerUpdate {
        let revision = StorePosition::new(self.era, self.log.records.len() as u64);
        let known = from.filter(|from| from.era == self.era);
        let changes = if let Some(from) = known {
            let since = self.log.records.iter().skip(from.offset as usize);
            since.copied().map(change).collect()
        } else {
            let listed = (0..SERVERS).filter(|server| self.is_listed(*server));
            listed.map(|server| change((server, true))).collect()
        };
        ServerUpdate {
            revision,
            is_whole: known.is_none(),
            changes,
        }
    }

    fn read_evacuations(&self) -> EvacuationUpdate {
        let revision = StorePosition::new(self.era, self.log.evacuations.len() as u64);
        let row = self.log.evacuations.last().map(|is_active| EvacuationRow {
            failure_domain: NameHash::of("hall-a"),
            revision,
            is_active: *is_active,
        });
        EvacuationUpdate {
            rows: row.into_iter().collect(),
            whole_until: Some(revision),
        }
    }
}

fn change((server, is_there): (u32, bool)) -> ServerChange {
    if is_there {
        ServerChange::Announced(record(server))
    } else {
        ServerChange::Dropped { id: id(server) }
    }
}

#[derive(Default)]
struct Instance {
    list: ServerList,
    evacuations: Evacuations,
    /// The place that its own reader has read to.
    read_to: Option<StorePosition>,
    next_read_at: TimeMs,
    whole_reads: BTreeMap<u32, u32>,
    cut_until: TimeMs,
}

struct Fleet {
    store: Store,
    copies: Vec<(TimeMs, Log)>,
    instances: Vec<Instance>,
    readers: usize,
    random: StdRng,
    now: TimeMs,
}

impl Fleet {
    fn new(seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let instances = match random.random_range(0..20) {
            0 => 300,
            1..4 => 60,
            _ => random.random_range(3..=12),
        };
        Self {
            store: Store::default(),
            copies: Vec::new(),
            instances: (0..instances).map(|_| Instance::default()).collect(),
            readers: random.random_range(1..=3),
            random,
            now: TimeMs(10_000),
        }
    }

    fn step(&mut self) {
        self.now = self.now.plus_ms(STEP_MS);
        self.store.step(self.now);
        if self.now.0.is_multiple_of(500) {
            self.copies.push((self.now, self.store.log.clone()));
        }
        for index in 0..self.instances.len() {
            let now = self.now;
            let is_reader = index < self.readers;
            let instance = &mut self.instances[index];
            instance.list.tick(now);
            instance.evacuations.tick(now);
            if is_reader && !self.store.is_down && now >= instance.cut_until && now >= instance.next_read_at {
                instance.next_read_at = now.plus_ms(READ_EVERY_MS);
                read(instance, &self.store, now);
            }
        }
        self.gossip();
    }

    /// Lets each instance hear a few others.
    fn gossip(&mut self) {
        let now = self.now;
        for _ in 0..self.instances.len() * 2 {
            let from = self.random.random_range(0..self.instances.len());
            let to = self.random.random_range(0..self.instances.len());
            let is_cut = |index: usize| now < self.instances[index].cut_until;
            if from == to || is_cut(from) || is_cut(to) {
                continue;
            }
            let (listing, state, departures, rows) = {
                let sender = &self.instances[from];
                let state = (
                    sender.list.revision(),
                    sender.list.digest(),
                    sender.list.age_ms(now),
                );
                let (list, rows) = (&sender.list, sender.evacuations.rows());
                (list.listing(now), state, list.departures(), rows)
            };
            let receiver = &mut self.instances[to];
            receiver.evacuations.merge(&rows);
            let peer = PeerListState {
                revision: state.0,
                digest: state.1,
                age_ms: state.2,
                departures: &departures,
            };
            let compared = receiver.list.compare_with_peer(&peer, now);
            let is_newer = matches!(
                compared,
                ListComparison::Newer | ListComparison::NewerWithDepartures
            );
            if is_newer {
                receiver.list.apply_listing(listing, now);
            }
        }
    }

    /// Something happens: a server leaves or comes, an evacuation, a cut, a restart, or the store's return.
    fn trouble(&mut self) {
        let index = self.random.random_range(0..self.instances.len());
        match self.random.random_range(0..7) {
            0 | 1 => {
                let server = self.random.random_range(0..SERVERS);
                let is_alive = self.random.random_bool(0.5);
                self.store.alive.insert(server, is_alive);
            }
            2 => self.store.is_evacuated = self.random.random(),
            3 => {
                let span_ms = self.random.random_range(500..8_000);
                self.instances[index].cut_until = self.now.plus_ms(span_ms);
            }
            4 => self.instances[index] = Instance::default(),
            5 => self.store.is_down = !self.store.is_down,
            _ => self.restore(),
        }
    }

    fn restore(&mut self) {
        let back_ms = self.random.random_range(500..6_000);
        let at = TimeMs(self.now.0.saturating_sub(back_ms));
        let older = self.copies.iter().rev().find(|(copied_at, _)| *copied_at <= at);
        if let Some((_, log)) = older {
            self.store.log = log.clone();
            self.store.era += 1;
            // Each server finds out at its next writing.
            self.store.is_down = false;
        }
    }
}

fn read(instance: &mut Instance, store: &Store, now: TimeMs) {
    let known = instance.list.revision();
    let from = instance.read_to.max(Some(known).filter(|known| known.offset > 0));
    let update = store.read(from);
    instance.read_to = Some(update.revision);
    if update.is_whole {
        *instance.whole_reads.entry(store.era).or_default() += 1;
    }
    instance.list.apply(update, now, now);
    instance.evacuations.apply(&store.read_evacuations());
}

#[test]
fn all_end_with_the_records_of_the_store_and_nobody_reads_it_over_and_over() {
    for seed in SEEDS {
        let mut fleet = Fleet::new(seed);
        for _ in 0..100 {
            fleet.step();
        }
        for _ in 0..600 {
            if fleet.random.random_bool(0.03) {
                fleet.trouble();
            }
            fleet.step();
        }
        while fleet.store.era < 2 {
            fleet.restore();
            fleet.step();
        }
        fleet.store.is_down = false;
        for _ in 0..SETTLE_MS / STEP_MS {
            fleet.step();
        }
        let expected: Vec<String> = (0..SERVERS)
            .filter(|server| fleet.store.is_listed(*server))
            .map(id)
            .collect();
        for (index, instance) in fleet.instances.iter().enumerate() {
            let records = instance.list.records(fleet.now).into_iter();
            let mut known: Vec<String> = records
                .filter(|record| !record.is_draining)
                .map(|record| record.id)
                .collect();
            known.sort();
            assert_eq!(known, expected, "seed {seed}, instance {index}");
            let is_evacuated = !instance.evacuations.active().is_empty();
            assert_eq!(
                is_evacuated,
                fleet.store.evacuated(),
                "seed {seed}, instance {index}"
            );
            let most = instance.whole_reads.values().max().copied().unwrap_or(0);
            assert!(
                most <= 2,
                "seed {seed}, instance {index}: {most} whole reads of one era"
            );
        }
    }
}

#[test]
fn no_copy_brings_a_server_back_that_an_instance_knew_to_have_left() {
    for seed in SEEDS {
        let mut fleet = Fleet::new(seed);
        for _ in 0..100 {
            fleet.step();
        }
        let server = fleet.random.random_range(0..SERVERS);
        fleet.store.alive.insert(server, false);
        let lapse_ms = LAPSE_MS + WRITE_EVERY_MS + READ_EVERY_MS + 1_000;
        for _ in 0..lapse_ms / STEP_MS {
            fleet.step();
        }
        fleet.restore();
        fleet.restore();
        // As long as the store may go on listing it: until it lapses there again.
        for _ in 0..lapse_ms / STEP_MS {
            fleet.step();
            for (index, instance) in fleet.instances.iter().enumerate() {
                let records = instance.list.records(fleet.now);
                let is_used = records
                    .iter()
                    .any(|record| record.id == id(server) && !record.is_draining);
                assert!(!is_used, "seed {seed}, instance {index} at {:?}", fleet.now);
            }
        }
    }
}
