//! A simulated network of instances that exchange load, with seeded delay and loss, with partitions, and in simulated
//! time.

#![allow(dead_code, reason = "each test file uses only some of the items")]

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use reedsail_core::Fingerprint;
use reedsail_core::NameHash;
use reedsail_core::TimeMs;
use reedsail_dispatch::LoadReport;
use reedsail_dispatch::PrefixRow;
use reedsail_dispatch::ServerLoadRow;
use reedsail_dispatch::SpeedSums;
use reedsail_dispatch::SuspectEndRow;
use reedsail_dispatch::SuspectKey;
use reedsail_dispatch::SuspectRow;
use reedsail_gossip::InstanceIdentity;
use reedsail_gossip::LoadExchange;
use reedsail_gossip::MessageHeader;
use reedsail_wire::LoadMessage;

/// Interval at which a test checks the state, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 50;
/// Tick interval of an instance of the first release, in milliseconds.
const FIRST_RELEASE_TICK_MS: u64 = 50;
/// Pressure of a fleet whose servers are busy, in thousandths.
const BUSY_PRESSURE_MILLI: u32 = 1_000;
/// Time that an instance takes to fetch a newer configuration, in milliseconds.
const FETCH_DELAY_MS: u64 = 25;
/// Number of instances in the settings' list of seeds.
const SEED_COUNT: usize = 3;
/// The backend server whose load the tests check.
const SERVER: NameHash = NameHash(77);

/// The loss and delay of datagrams.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Links {
    /// Probability that a datagram is lost.
    pub(crate) loss: f64,
    /// Longest delay, in milliseconds.
    pub(crate) delay_max_ms: u64,
}

impl Default for Links {
    fn default() -> Self {
        Self {
            loss: 0.005,
            delay_max_ms: 4,
        }
    }
}

/// The state of one instance in the network.
struct SimulatedInstance {
    exchange: LoadExchange,
    domain: usize,
    processor_milli: u32,
    is_up: bool,
    next_tick_at: u64,
    /// Load by source that counts for decisions.
    counted: HashMap<NameHash, LoadReport>,
    /// Number of requests that this instance runs on [`SERVER`].
    running: u16,
    prefixes: Vec<PrefixRow>,
    suspects: Vec<SuspectRow>,
    known_suspects: HashSet<Fingerprint>,
    /// Prompt segments that the instance received in prefix rows.
    known_segments: HashSet<u32>,
    sent_messages: u64,
    /// Load that the instance reports in addition to that of [`SERVER`].
    load: LoadReport,
    header: MessageHeader,
    traffic: Traffic,
    /// Whether the instance runs the first release, which sends its load to all instances and does not support sums.
    is_first_release: bool,
}

/// Message figures of an instance since the measurement began.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Traffic {
    pub(crate) sent_bytes: u64,
    /// Bytes sent to other failure domains.
    pub(crate) cross_domain_bytes: u64,
    pub(crate) received_bytes: u64,
    /// Number of ticks and received messages.
    pub(crate) wake_ups: u64,
}

/// The network and its instances.
pub(crate) struct Network {
    instances: Vec<SimulatedInstance>,
    now: u64,
    random: StdRng,
    links: Links,
    /// Messages in flight as sender, receiver and message, by arrival time.
    in_flight: BTreeMap<u64, Vec<(usize, usize, LoadMessage)>>,
    /// Failure domains that a partition separates from the others.
    partitioned_domains: HashSet<usize>,
    partitioned_instances: HashSet<usize>,
    /// Whether messages are encoded to measure their size.
    is_measured: bool,
}

fn instance_name(index: usize) -> NameHash {
    NameHash::of(&format!("instance-{index}"))
}

fn address(index: usize) -> SocketAddrV4 {
    let [_, _, high, low] = (index as u32 + 1).to_be_bytes();
    SocketAddrV4::new(Ipv4Addr::new(10, 0, high, low), 7_400)
}

fn index_of(address: SocketAddrV4) -> usize {
    let [_, _, high, low] = address.ip().octets();
    usize::from(u16::from_be_bytes([high, low])) - 1
}

impl Network {
    /// Creates a network of instances in `domains` failure domains. All start within 300 ms, and the first fifteen are
    /// larger than the others.
    pub(crate) fn start(instance_count: usize, domains: usize, links: Links, seed: u64) -> Self {
        let processor_milli = |index| if index < 15 { 500 } else { 120 };
        Self::start_with(instance_count, domains, processor_milli, links, seed)
    }

    /// Creates a network of instances that have the same share of a core.
    pub(crate) fn start_uniform(
        instance_count: usize,
        domains: usize,
        processor_milli: u32,
        seed: u64,
    ) -> Self {
        Self::start_with(
            instance_count,
            domains,
            |_| processor_milli,
            Links::default(),
            seed,
        )
    }

    fn start_with(
        instance_count: usize,
        domains: usize,
        processor_milli: impl Fn(usize) -> u32,
        links: Links,
        seed: u64,
    ) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let instances = (0..instance_count)
            .map(|index| {
                let processor_milli = processor_milli(index);
                let identity = identity(index, domains, processor_milli, &mut random);
                SimulatedInstance {
                    exchange: LoadExchange::new(identity, seeds()),
                    domain: index % domains,
                    processor_milli,
                    is_up: true,
                    next_tick_at: random.random_range(0..300),
                    counted: HashMap::new(),
                    running: 0,
                    prefixes: Vec::new(),
                    suspects: Vec::new(),
                    known_suspects: HashSet::new(),
                    known_segments: HashSet::new(),
                    sent_messages: 0,
                    load: LoadReport::default(),
                    header: MessageHeader {
                        load_pressure_milli: BUSY_PRESSURE_MILLI,
                        ..MessageHeader::default()
                    },
                    traffic: Traffic::default(),
                    is_first_release: false,
                }
            })
            .collect();
        Self {
            instances,
            now: 0,
            random,
            links,
            in_flight: BTreeMap::new(),
            partitioned_domains: HashSet::new(),
            partitioned_instances: HashSet::new(),
            is_measured: false,
        }
    }

    /// Makes an instance run the first release.
    pub(crate) fn use_first_release(&mut self, index: usize) {
        self.instances[index].is_first_release = true;
    }

    /// Sets the load that an instance reports in addition to that of [`SERVER`].
    pub(crate) fn set_load(&mut self, index: usize, load: LoadReport) {
        self.instances[index].load = load;
    }

    /// Sets the load pressure at all instances, in thousandths.
    pub(crate) fn set_pressure(&mut self, pressure_milli: u32) {
        for instance in &mut self.instances {
            instance.header.load_pressure_milli = pressure_milli;
        }
    }

    /// Sets the configuration version of an instance.
    pub(crate) fn set_configuration_version(&mut self, index: usize, version: u64) {
        self.instances[index].header.configuration_version = version;
        self.instances[index].next_tick_at = self.now + 1;
    }

    /// Returns the number of instances that have at least a configuration version. An instance adopts a newer version
    /// from a message.
    pub(crate) fn count_with_version(&self, version: u64) -> usize {
        let instances = self.instances.iter();
        instances
            .filter(|instance| instance.header.configuration_version >= version)
            .count()
    }

    /// Starts to measure messages.
    pub(crate) fn start_measuring(&mut self) {
        self.is_measured = true;
        for instance in &mut self.instances {
            instance.traffic = Traffic::default();
        }
    }

    /// Returns the message figures of each instance since the measurement began.
    pub(crate) fn traffic(&self) -> Vec<Traffic> {
        self.instances.iter().map(|instance| instance.traffic).collect()
    }

    pub(crate) fn set_running(&mut self, index: usize, running: u16) {
        self.instances[index].running = running;
    }

    /// Makes an instance report that it sent a prompt segment to [`SERVER`].
    pub(crate) fn report_segment(&mut self, index: usize, segment: u32) {
        self.instances[index].prefixes.push(PrefixRow {
            segment,
            server: SERVER,
        });
    }

    pub(crate) fn knows_segment(&self, index: usize, segment: u32) -> bool {
        self.instances[index].known_segments.contains(&segment)
    }

    /// Makes an instance report, from now on, that servers ended while they ran a request.
    pub(crate) fn report_suspect(&mut self, index: usize, fingerprint: Fingerprint, servers: &[NameHash]) {
        self.instances[index].suspects.push(SuspectRow {
            key: SuspectKey::Request(fingerprint),
            ends: servers.iter().map(|server| end_row(*server)).collect(),
            ..SuspectRow::default()
        });
    }

    pub(crate) fn knows_suspect(&self, index: usize, fingerprint: Fingerprint) -> bool {
        self.instances[index].known_suspects.contains(&fingerprint)
    }

    /// Ends an instance without a message to its peers.
    pub(crate) fn kill(&mut self, index: usize) {
        self.instances[index].is_up = false;
        self.instances[index].running = 0;
    }

    /// Restarts an instance, which then knows only its seeds.
    pub(crate) fn restart(&mut self, index: usize) {
        let domains = 1 + self
            .instances
            .iter()
            .map(|instance| instance.domain)
            .max()
            .unwrap();
        let processor_milli = self.instances[index].processor_milli;
        let identity = identity(index, domains, processor_milli, &mut self.random);
        let instance = &mut self.instances[index];
        instance.exchange = LoadExchange::new(identity, seeds());
        instance.counted.clear();
        instance.is_up = true;
        instance.next_tick_at = self.now + self.random.random_range(0..300);
    }

    pub(crate) fn partition_domain(&mut self, domain: usize) {
        self.partitioned_domains.insert(domain);
    }

    pub(crate) fn heal_partitions(&mut self) {
        self.partitioned_domains.clear();
        self.partitioned_instances.clear();
    }

    pub(crate) fn partition_instance(&mut self, index: usize) {
        self.partitioned_instances.insert(index);
    }

    /// Returns the instances of a failure domain that are up.
    pub(crate) fn instances_up_in(&self, domain: usize) -> Vec<usize> {
        let instances = self.instances.iter().enumerate();
        instances
            .filter(|(_, instance)| instance.is_up && instance.domain == domain)
            .map(|(index, _)| index)
            .collect()
    }

    /// Returns the best ranked instance of a failure domain, which should be an aggregator.
    pub(crate) fn best_ranked_in(&self, domain: usize) -> usize {
        let up = self.instances_up_in(domain);
        let rank = |index: &usize| {
            (
                std::cmp::Reverse(self.instances[*index].processor_milli),
                instance_name(*index),
            )
        };
        up.into_iter().min_by_key(rank).unwrap()
    }

    /// Runs until every instance knows the load of all others; returns `false` if that takes longer than `span_ms`.
    pub(crate) fn converges_within(&mut self, span_ms: u64) -> bool {
        let until = self.now + span_ms;
        while !self.instances_with_wrong_load().is_empty() {
            if self.now >= until {
                return false;
            }
            self.run_for(CHECK_INTERVAL_MS);
        }
        true
    }

    pub(crate) fn run_for(&mut self, span_ms: u64) {
        let until = self.now + span_ms;
        while self.now < until {
            self.now += 1;
            self.deliver();
            for index in 0..self.instances.len() {
                if self.instances[index].is_up && self.instances[index].next_tick_at <= self.now {
                    self.tick(index);
                }
            }
        }
    }

    fn deliver(&mut self) {
        let due = self.in_flight.remove(&self.now).unwrap_or_default();
        for (from, to, message) in due {
            let now = TimeMs(self.now);
            let instance = &mut self.instances[to];
            if !instance.is_up {
                continue;
            }
            for row in &message.load.prefixes {
                instance.known_segments.insert(row.segment);
            }
            instance.traffic.wake_ups += 1;
            if self.is_measured {
                instance.traffic.received_bytes += message.encode().unwrap().len() as u64;
            }
            let version = message.configuration_version;
            if version > instance.header.configuration_version {
                instance.header.configuration_version = version;
                instance.next_tick_at = instance.next_tick_at.min(self.now + FETCH_DELAY_MS);
            }
            let outcome = instance.exchange.receive(message, address(from), now);
            for source in outcome.dropped {
                instance.counted.remove(&source);
            }
            if let Some((source, load)) = outcome.counted {
                let fingerprints = load.suspects.iter().filter_map(|row| match row.key {
                    SuspectKey::Request(fingerprint) => Some(fingerprint),
                    SuspectKey::Segment(_) => None,
                });
                instance.known_suspects.extend(fingerprints);
                instance.counted.insert(source, load);
            }
        }
    }

    fn tick(&mut self, index: usize) {
        let now = TimeMs(self.now);
        let instance = &mut self.instances[index];
        // A timer fires up to a millisecond late.
        let tick_ms = if instance.is_first_release {
            FIRST_RELEASE_TICK_MS
        } else {
            instance.exchange.tick_ms(now) + u64::from(self.random.random_bool(0.5))
        };
        instance.next_tick_at = self.now + tick_ms;
        instance.traffic.wake_ups += 1;
        for lost in instance.exchange.drop_silent(now) {
            instance.counted.remove(&lost.instance);
        }
        let server_row = ServerLoadRow {
            server: SERVER,
            running: instance.running,
            failure_rate: 0,
            prefill_tokens: u32::from(instance.running) * 1_000,
            is_down: false,
            is_draining: false,
            is_backed_off: false,
            speed: SpeedSums::default(),
            pause_ms: 0,
        };
        let load = instance
            .exchange
            .is_due(&instance.header, now)
            .then(|| LoadReport {
                servers: [&[server_row][..], &instance.load.servers].concat(),
                workspaces: instance.load.workspaces.clone(),
                prefixes: std::mem::take(&mut instance.prefixes),
                suspects: instance.suspects.clone(),
            });
        if instance.is_first_release {
            self.send_as_first_release(index, load.unwrap_or_default());
            return;
        }
        let outgoing = instance.exchange.outgoing(&instance.header, load, now);
        for mut message in outgoing {
            // The targets are in the order of a hash map, which differs in each run.
            message.targets.sort_unstable();
            let bytes = if self.is_measured {
                message.message.encode().unwrap().len() as u64
            } else {
                0
            };
            for target in message.targets {
                let to = index_of(target);
                let is_cross_domain = self.instances[index].domain != self.instances[to].domain;
                let instance = &mut self.instances[index];
                instance.sent_messages += 1;
                instance.traffic.sent_bytes += bytes;
                instance.traffic.cross_domain_bytes += if is_cross_domain { bytes } else { 0 };
                self.send(index, to, message.message.clone());
            }
        }
    }

    /// Sends an instance's own load to all others, in a message without the fields for aggregators.
    fn send_as_first_release(&mut self, index: usize, load: LoadReport) {
        self.instances[index].sent_messages += 1;
        let message = LoadMessage {
            instance: instance_name(index),
            incarnation: 1,
            sequence: self.instances[index].sent_messages as u32,
            failure_domain: NameHash::of(&format!("domain-{}", self.instances[index].domain)),
            load,
            ..LoadMessage::default()
        };
        for to in (0..self.instances.len()).filter(|to| *to != index) {
            self.send(index, to, message.clone());
        }
    }

    fn send(&mut self, from: usize, to: usize, message: LoadMessage) {
        let (from_domain, to_domain) = (self.instances[from].domain, self.instances[to].domain);
        let crosses_partition = from_domain != to_domain
            && (self.partitioned_domains.contains(&from_domain)
                || self.partitioned_domains.contains(&to_domain));
        let is_partitioned = crosses_partition
            || self.partitioned_instances.contains(&from)
            || self.partitioned_instances.contains(&to);
        if is_partitioned || self.random.random_bool(self.links.loss) {
            return;
        }
        let delay_ms = self.random.random_range(1..=self.links.delay_max_ms);
        let arrivals = self.in_flight.entry(self.now + delay_ms).or_default();
        arrivals.push((from, to, message));
    }

    /// Returns the number of requests of other instances on [`SERVER`], as an instance knows it.
    pub(crate) fn running_elsewhere(&self, index: usize) -> u32 {
        let rows = self.instances[index]
            .counted
            .values()
            .flat_map(|load| &load.servers);
        let server_rows = rows.filter(|row| row.server == SERVER);
        server_rows.map(|row| u32::from(row.running)).sum()
    }

    /// Returns the actual number of requests of other instances on [`SERVER`], of those that are up.
    pub(crate) fn actual_running_elsewhere(&self, index: usize) -> u32 {
        let others = self.instances.iter().enumerate();
        others
            .filter(|(other, instance)| *other != index && instance.is_up)
            .map(|(_, instance)| u32::from(instance.running))
            .sum()
    }

    /// Returns the instances that are up and know a load that differs from the actual load.
    pub(crate) fn instances_with_wrong_load(&self) -> Vec<usize> {
        let up = (0..self.instances.len()).filter(|index| self.instances[*index].is_up);
        up.filter(|index| self.running_elsewhere(*index) != self.actual_running_elsewhere(*index))
            .collect()
    }

    pub(crate) fn known_instances(&self, index: usize) -> usize {
        self.instances[index].exchange.instances(TimeMs(self.now))
    }

    pub(crate) fn load_age_ms(&self, index: usize) -> Option<u64> {
        self.instances[index].exchange.load_age_ms(TimeMs(self.now))
    }

    /// Returns the number of messages that each instance sent since the last call.
    pub(crate) fn take_sent_messages(&mut self) -> Vec<u64> {
        let instances = self.instances.iter_mut();
        instances
            .map(|instance| std::mem::take(&mut instance.sent_messages))
            .collect()
    }
}

fn seeds() -> Vec<SocketAddrV4> {
    (0..SEED_COUNT).map(address).collect()
}

fn identity(index: usize, domains: usize, processor_milli: u32, random: &mut StdRng) -> InstanceIdentity {
    InstanceIdentity {
        instance: instance_name(index),
        failure_domain: NameHash::of(&format!("domain-{}", index % domains)),
        incarnation: random.random(),
        processor_milli,
    }
}

fn end_row(server: NameHash) -> SuspectEndRow {
    SuspectEndRow {
        server,
        ..SuspectEndRow::default()
    }
}
