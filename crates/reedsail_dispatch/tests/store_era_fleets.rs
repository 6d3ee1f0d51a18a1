//! Simulated fleets, without sockets, whose store is restored from older backups of itself. Some instances read the
//! store and others learn from peers, in any order, with partitions and restarts. All instances must end with the
//! records of the store, a server that every instance knew to have departed must get no new work, and no instance may
//! read the whole list more than twice an era.

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
/// Interval at which a reader reads the store, in milliseconds.
const READ_INTERVAL_MS: u64 = 750;
/// Interval at which a server writes its record, and at which the operators write theirs again after a restore, in
/// milliseconds.
const WRITE_INTERVAL_MS: u64 = 1_000;
/// Time after which the store drops a record that was not written, in milliseconds.
const RECORD_EXPIRY_MS: u64 = 3_000;
/// Time after the last disturbance within which all instances must have the store's records, in milliseconds: three
/// expiries of records, and the time that departures are kept against a backup.
const SETTLE_MS: u64 = 20_000;
const SEEDS: std::ops::Range<u64> = 1..201;
const SERVERS: u32 = 6;

/// The contents of the store: records in the order of writing, each with its key and whether it exists.
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
        software_version: Some("v1".to_owned()),
    }
}

impl Store {
    fn is_listed(&self, server: u32) -> bool {
        let mut records = self.log.records.iter().rev();
        records
            .find(|(key, _)| *key == server)
            .is_some_and(|(_, is_present)| *is_present)
    }

    /// Returns the position after the newest record of a server.
    fn written_last(&self, server: u32) -> StorePosition {
        let index = self.log.records.iter().rposition(|(key, _)| *key == server);
        StorePosition::new(self.era, index.map_or(0, |index| index as u64 + 1))
    }

    fn evacuated(&self) -> bool {
        self.log.evacuations.last().copied().unwrap_or(false)
    }

    /// Makes servers and operators write their current state, and drops records that were not written in time.
    fn step(&mut self, now: TimeMs) {
        if self.is_down {
            return;
        }
        for server in 0..SERVERS {
            let is_alive = self.alive.get(&server).copied().unwrap_or(true);
            let written_at = self.written_at.get(&server).copied().unwrap_or(TimeMs(0));
            if is_alive && now.since_ms(written_at) >= WRITE_INTERVAL_MS {
                self.written_at.insert(server, now);
                if !self.is_listed(server) {
                    self.log.records.push((server, true));
                }
            }
            if self.is_listed(server) && now.since_ms(written_at) >= RECORD_EXPIRY_MS {
                self.log.records.push((server, false));
            }
        }
        if self.evacuated() != self.is_evacuated && now.0.is_multiple_of(WRITE_INTERVAL_MS) {
            self.log.evacuations.push(self.is_evacuated);
        }
    }

    fn read(&self, from: Option<StorePosition>) -> ServerUpdate {
        let revision = StorePosition::new(self.era, self.log.records.len() as u64);
        let known = from.filter(|from| from.era == self.era);
        let changes = if let Some(from) = known {
            let since = (from.offset..).zip(self.log.records.iter().skip(from.offset as usize));
            let position = |offset| StorePosition::new(self.era, offset + 1);
            since
                .map(|(offset, record)| change(*record).at(position(offset)))
                .collect()
        } else {
            let listed = (0..SERVERS).filter(|server| self.is_listed(*server));
            listed
                .map(|server| change((server, true)).at(self.written_last(server)))
                .collect()
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

fn change((server, is_present): (u32, bool)) -> ServerChange {
    if is_present {
        ServerChange::Announced(record(server))
    } else {
        ServerChange::Dropped { id: id(server) }
    }
}

#[derive(Default)]
struct Instance {
    list: ServerList,
    evacuations: Evacuations,
    /// The position that its own reader has read up to.
    read_to: Option<StorePosition>,
    next_read_at: TimeMs,
    whole_reads: BTreeMap<u32, u32>,
    partitioned_until: TimeMs,
}

struct Fleet {
    store: Store,
    backups: Vec<(TimeMs, Log)>,
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
            backups: Vec::new(),
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
            self.backups.push((self.now, self.store.log.clone()));
        }
        for index in 0..self.instances.len() {
            let now = self.now;
            let is_reader = index < self.readers;
            let instance = &mut self.instances[index];
            instance.list.tick(now);
            instance.evacuations.tick(now);
            if is_reader
                && !self.store.is_down
                && now >= instance.partitioned_until
                && now >= instance.next_read_at
            {
                instance.next_read_at = now.plus_ms(READ_INTERVAL_MS);
                read(instance, &self.store, now);
            }
        }
        self.gossip();
    }

    /// Exchanges messages between random pairs of instances.
    fn gossip(&mut self) {
        let now = self.now;
        for _ in 0..self.instances.len() * 2 {
            let from = self.random.random_range(0..self.instances.len());
            let to = self.random.random_range(0..self.instances.len());
            let is_partitioned = |index: usize| now < self.instances[index].partitioned_until;
            if from == to || is_partitioned(from) || is_partitioned(to) {
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
                ListComparison::Newer | ListComparison::NewerWithDepartures(_)
            );
            if is_newer {
                receiver.list.apply_listing(listing, now);
            }
        }
    }

    /// Applies one random disturbance: a server departs or comes back, an evacuation, a partition, a restart, a store
    /// outage or a restore.
    fn disturb(&mut self) {
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
                self.instances[index].partitioned_until = self.now.plus_ms(span_ms);
            }
            4 => self.instances[index] = Instance::default(),
            5 => self.store.is_down = !self.store.is_down,
            _ => self.restore(),
        }
    }

    fn restore(&mut self) {
        let back_ms = self.random.random_range(500..6_000);
        let at = TimeMs(self.now.0.saturating_sub(back_ms));
        let backup = self.backups.iter().rev().find(|(saved_at, _)| *saved_at <= at);
        if let Some((_, log)) = backup {
            self.store.log = log.clone();
            self.store.era += 1;
            // Each server notices at its next write.
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
fn all_instances_end_with_the_records_of_the_store_after_few_whole_reads() {
    for seed in SEEDS {
        let mut fleet = Fleet::new(seed);
        for _ in 0..100 {
            fleet.step();
        }
        for _ in 0..600 {
            if fleet.random.random_bool(0.03) {
                fleet.disturb();
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
            let max_whole_reads = instance.whole_reads.values().max().copied().unwrap_or(0);
            assert!(
                max_whole_reads <= 2,
                "seed {seed}, instance {index}: {max_whole_reads} whole reads of one era"
            );
        }
    }
}

#[test]
fn no_backup_brings_back_a_server_that_all_instances_knew_to_have_departed() {
    for seed in SEEDS {
        let mut fleet = Fleet::new(seed);
        for _ in 0..100 {
            fleet.step();
        }
        let server = fleet.random.random_range(0..SERVERS);
        fleet.store.alive.insert(server, false);
        let departure_ms = RECORD_EXPIRY_MS + WRITE_INTERVAL_MS + READ_INTERVAL_MS + 1_000;
        for _ in 0..departure_ms / STEP_MS {
            fleet.step();
        }
        fleet.restore();
        fleet.restore();
        // The store may list the server until its record expires there again.
        for _ in 0..departure_ms / STEP_MS {
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
