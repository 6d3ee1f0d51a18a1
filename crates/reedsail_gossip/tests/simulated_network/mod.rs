//! Instances that exchange load over a network of seeded delay, loss and cuts, in simulated time.

#![allow(dead_code, reason = "each test file uses a part")]

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
use reedsail_core::StorePosition;
use reedsail_core::TimeMs;
use reedsail_dispatch::LoadReport;
use reedsail_dispatch::PrefixRow;
use reedsail_dispatch::ServerLoadRow;
use reedsail_dispatch::SuspectRow;
use reedsail_gossip::InstanceIdentity;
use reedsail_gossip::LoadExchange;
use reedsail_gossip::MessageHeader;
use reedsail_wire::LoadMessage;
use reedsail_wire::LoadScope;

/// Interval at which a test looks at the state, in milliseconds.
const LOOK_MS: u64 = 50;
/// Interval at which the first release is asked what to send, in milliseconds.
const FIRST_RELEASE_TICK_MS: u64 = 50;
/// Pressure of a fleet whose servers are busy, in thousandths.
const BUSY_MILLI: u32 = 1_000;
/// Time that an instance takes to fetch what it heard of, in milliseconds.
const FETCH_MS: u64 = 25;
/// Instances of the settings' list of seeds.
const SEEDS: usize = 3;
/// The one backend server whose load is followed.
const SERVER: NameHash = NameHash(77);

/// How a network treats datagrams.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Links {
    /// Part of the datagrams that is lost.
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

/// One instance as the network sees it.
struct Node {
    exchange: LoadExchange,
    domain: usize,
    processor_milli: u32,
    is_up: bool,
    ticks_at: u64,
    /// Load by source, as the decisions count it.
    counted: HashMap<NameHash, LoadReport>,
    /// Requests that this instance runs on the server.
    running: u16,
    prefixes: Vec<PrefixRow>,
    suspects: Vec<SuspectRow>,
    known_suspects: HashSet<Fingerprint>,
    /// Segments that it was told of.
    known_segments: HashSet<u32>,
    sent_messages: u64,
    /// What it reports beside the server whose load is followed.
    load: LoadReport,
    head: MessageHeader,
    traffic: Traffic,
    /// The first release, which sends its load to everyone and knows no sums.
    is_old: bool,
}

/// What an instance has to do with messages, since it was last asked.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Traffic {
    pub(crate) sent_bytes: u64,
    /// Of these, to other failure domains.
    pub(crate) far_bytes: u64,
    pub(crate) received_bytes: u64,
    /// Ticks, and messages received.
    pub(crate) wake_ups: u64,
}

/// The network and its instances.
pub(crate) struct Network {
    nodes: Vec<Node>,
    now: u64,
    random: StdRng,
    links: Links,
    /// Messages on their way, by the moment at which they arrive.
    on_their_way: BTreeMap<u64, Vec<(usize, usize, LoadMessage)>>,
    /// Failure domains that are cut off from the others.
    cut_domains: HashSet<usize>,
    cut_nodes: HashSet<usize>,
    /// Messages are encoded to be measured.
    is_measured: bool,
}

fn name(index: usize) -> NameHash {
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
    /// Makes `instances` in `domains` failure domains that start within 300 ms, the first fifteen larger than
    /// the others.
    pub(crate) fn start(instances: usize, domains: usize, links: Links, seed: u64) -> Self {
        let processor_milli = |index| if index < 15 { 500 } else { 120 };
        Self::start_with(instances, domains, processor_milli, links, seed)
    }

    /// Makes instances that may all use as much of a core.
    pub(crate) fn start_alike(instances: usize, domains: usize, processor_milli: u32, seed: u64) -> Self {
        Self::start_with(instances, domains, |_| processor_milli, Links::default(), seed)
    }

    fn start_with(
        instances: usize,
        domains: usize,
        processor_milli: impl Fn(usize) -> u32,
        links: Links,
        seed: u64,
    ) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let nodes = (0..instances)
            .map(|index| {
                let processor_milli = processor_milli(index);
                let identity = identity(index, domains, processor_milli, &mut random);
                Node {
                    exchange: LoadExchange::new(identity, seeds()),
                    domain: index % domains,
                    processor_milli,
                    is_up: true,
                    ticks_at: random.random_range(0..300),
                    counted: HashMap::new(),
                    running: 0,
                    prefixes: Vec::new(),
                    suspects: Vec::new(),
                    known_suspects: HashSet::new(),
                    known_segments: HashSet::new(),
                    sent_messages: 0,
                    load: LoadReport::default(),
                    head: MessageHeader {
                        load_pressure_milli: BUSY_MILLI,
                        ..MessageHeader::default()
                    },
                    traffic: Traffic::default(),
                    is_old: false,
                }
            })
            .collect();
        Self {
            nodes,
            now: 0,
            random,
            links,
            on_their_way: BTreeMap::new(),
            cut_domains: HashSet::new(),
            cut_nodes: HashSet::new(),
            is_measured: false,
        }
    }

    /// Lets an instance send as the first release does.
    pub(crate) fn make_old(&mut self, index: usize) {
        self.nodes[index].is_old = true;
    }

    /// Lets an instance report this beside the server whose load is followed.
    pub(crate) fn set_load(&mut self, index: usize, load: LoadReport) {
        self.nodes[index].load = load;
    }

    /// Lets all instances know of a pressure, in thousandths.
    pub(crate) fn set_pressure(&mut self, pressure_milli: u32) {
        for node in &mut self.nodes {
            node.head.load_pressure_milli = pressure_milli;
        }
    }

    /// Lets an instance know a version of the configuration.
    pub(crate) fn set_version(&mut self, index: usize, version: u64) {
        self.nodes[index].head.configuration_version = version;
        self.nodes[index].ticks_at = self.now + 1;
    }

    /// Returns how many of the instances know a version of the configuration. One that hears of it takes it over.
    pub(crate) fn with_version(&self, version: u64) -> usize {
        let known = self.nodes.iter();
        known
            .filter(|node| node.head.configuration_version >= version)
            .count()
    }

    /// Begins to measure messages.
    pub(crate) fn measure(&mut self) {
        self.is_measured = true;
        for node in &mut self.nodes {
            node.traffic = Traffic::default();
        }
    }

    /// Returns what each instance has had to do with messages since then.
    pub(crate) fn traffic(&self) -> Vec<Traffic> {
        self.nodes.iter().map(|node| node.traffic).collect()
    }

    pub(crate) fn set_running(&mut self, index: usize, running: u16) {
        self.nodes[index].running = running;
    }

    /// Lets an instance report that it sent a segment to the server.
    pub(crate) fn report_segment(&mut self, index: usize, segment: u32) {
        self.nodes[index].prefixes.push(PrefixRow {
            segment,
            server: SERVER,
        });
    }

    pub(crate) fn knows_segment(&self, index: usize, segment: u32) -> bool {
        self.nodes[index].known_segments.contains(&segment)
    }

    /// Lets an instance report from now on that servers ended under a request.
    pub(crate) fn report_suspect(&mut self, index: usize, fingerprint: Fingerprint, servers: &[NameHash]) {
        self.nodes[index].suspects.push(SuspectRow {
            fingerprint,
            servers: servers.to_vec(),
            ..SuspectRow::default()
        });
    }

    pub(crate) fn knows_suspect(&self, index: usize, fingerprint: Fingerprint) -> bool {
        self.nodes[index].known_suspects.contains(&fingerprint)
    }

    /// Ends processes, without a word.
    pub(crate) fn kill(&mut self, index: usize) {
        self.nodes[index].is_up = false;
        self.nodes[index].running = 0;
    }

    /// Starts an instance anew: it knows nothing but its seeds.
    pub(crate) fn restart(&mut self, index: usize) {
        let domains = 1 + self.nodes.iter().map(|node| node.domain).max().unwrap();
        let processor_milli = self.nodes[index].processor_milli;
        let identity = identity(index, domains, processor_milli, &mut self.random);
        let node = &mut self.nodes[index];
        node.exchange = LoadExchange::new(identity, seeds());
        node.counted.clear();
        node.is_up = true;
        node.ticks_at = self.now + self.random.random_range(0..300);
    }

    pub(crate) fn cut_domain(&mut self, domain: usize) {
        self.cut_domains.insert(domain);
    }

    pub(crate) fn heal(&mut self) {
        self.cut_domains.clear();
        self.cut_nodes.clear();
    }

    pub(crate) fn cut_node(&mut self, index: usize) {
        self.cut_nodes.insert(index);
    }

    /// Returns the instances that are up, by failure domain.
    pub(crate) fn up_in(&self, domain: usize) -> Vec<usize> {
        let nodes = self.nodes.iter().enumerate();
        nodes
            .filter(|(_, node)| node.is_up && node.domain == domain)
            .map(|(index, _)| index)
            .collect()
    }

    /// Returns the instance of a failure domain that the others are to report to.
    pub(crate) fn best_in(&self, domain: usize) -> usize {
        let up = self.up_in(domain);
        let rank = |index: &usize| {
            (
                std::cmp::Reverse(self.nodes[*index].processor_milli),
                name(*index),
            )
        };
        up.into_iter().min_by_key(rank).unwrap()
    }

    /// Runs until every instance knows the others' load, for a time at most; `false` if some never did.
    pub(crate) fn settles_within(&mut self, span_ms: u64) -> bool {
        let until = self.now + span_ms;
        while !self.wrong().is_empty() {
            if self.now >= until {
                return false;
            }
            self.run_for(LOOK_MS);
        }
        true
    }

    pub(crate) fn run_for(&mut self, span_ms: u64) {
        let until = self.now + span_ms;
        while self.now < until {
            self.now += 1;
            self.deliver();
            for index in 0..self.nodes.len() {
                if self.nodes[index].is_up && self.nodes[index].ticks_at <= self.now {
                    self.tick(index);
                }
            }
        }
    }

    fn deliver(&mut self) {
        let due = self.on_their_way.remove(&self.now).unwrap_or_default();
        for (from, to, message) in due {
            let now = TimeMs(self.now);
            let node = &mut self.nodes[to];
            if !node.is_up {
                continue;
            }
            for row in &message.load.prefixes {
                node.known_segments.insert(row.segment);
            }
            node.traffic.wake_ups += 1;
            if self.is_measured {
                node.traffic.received_bytes += message.encode().unwrap().len() as u64;
            }
            let version = message.configuration_version;
            if version > node.head.configuration_version {
                node.head.configuration_version = version;
                node.ticks_at = node.ticks_at.min(self.now + FETCH_MS);
            }
            let receipt = node.exchange.receive(message, address(from), now);
            for source in receipt.dropped {
                node.counted.remove(&source);
            }
            if let Some((source, load)) = receipt.counted {
                let fingerprints = load.suspects.iter().map(|row| row.fingerprint);
                node.known_suspects.extend(fingerprints);
                node.counted.insert(source, load);
            }
        }
    }

    fn tick(&mut self, index: usize) {
        let now = TimeMs(self.now);
        let node = &mut self.nodes[index];
        // A timer goes off up to a millisecond late.
        let tick_ms = if node.is_old {
            FIRST_RELEASE_TICK_MS
        } else {
            node.exchange.tick_ms(now) + u64::from(self.random.random_bool(0.5))
        };
        node.ticks_at = self.now + tick_ms;
        node.traffic.wake_ups += 1;
        for lost in node.exchange.drop_silent(now) {
            node.counted.remove(&lost.instance);
        }
        let followed = ServerLoadRow {
            server: SERVER,
            running: node.running,
            failure_rate: 0,
            prefill_tokens: u32::from(node.running) * 1_000,
            is_down: false,
            is_draining: false,
            is_backed_off: false,
        };
        let load = node.exchange.is_due(&node.head, now).then(|| LoadReport {
            servers: [&[followed][..], &node.load.servers].concat(),
            workspaces: node.load.workspaces.clone(),
            prefixes: std::mem::take(&mut node.prefixes),
            suspects: node.suspects.clone(),
        });
        if node.is_old {
            self.send_as_first_release(index, load.unwrap_or_default());
            return;
        }
        let outgoing = node.exchange.outgoing(&node.head, load, now);
        for mut message in outgoing {
            // Targets come in the order of a hash map, which is another one in each run.
            message.targets.sort_unstable();
            let bytes = if self.is_measured {
                message.message.encode().unwrap().len() as u64
            } else {
                0
            };
            for target in message.targets {
                let to = index_of(target);
                let is_far = self.nodes[index].domain != self.nodes[to].domain;
                let node = &mut self.nodes[index];
                node.sent_messages += 1;
                node.traffic.sent_bytes += bytes;
                node.traffic.far_bytes += if is_far { bytes } else { 0 };
                self.send(index, to, message.message.clone());
            }
        }
    }

    /// Sends an instance's own load to everyone, without a word of aggregators.
    fn send_as_first_release(&mut self, index: usize, load: LoadReport) {
        self.nodes[index].sent_messages += 1;
        let message = LoadMessage {
            instance: name(index),
            incarnation: 1,
            sequence: self.nodes[index].sent_messages as u32,
            failure_domain: NameHash::of(&format!("domain-{}", self.nodes[index].domain)),
            configuration_version: 0,
            configuration_age_ms: 0,
            servers_revision: StorePosition::default(),
            servers_digest: 0,
            servers_age_ms: 0,
            is_stopping: false,
            scope: LoadScope::Instance,
            protocol: 0,
            processor_milli: 0,
            load,
            included: Vec::new(),
            instances: 0,
            domain_instances: 0,
            load_age_ms: 0,
            load_interval_ms: 0,
            departures: Vec::new(),
            evacuations: Vec::new(),
            members: Vec::new(),
        };
        for to in (0..self.nodes.len()).filter(|to| *to != index) {
            self.send(index, to, message.clone());
        }
    }

    fn send(&mut self, from: usize, to: usize, message: LoadMessage) {
        let (from_domain, to_domain) = (self.nodes[from].domain, self.nodes[to].domain);
        let crosses_cut = from_domain != to_domain
            && (self.cut_domains.contains(&from_domain) || self.cut_domains.contains(&to_domain));
        let is_cut = crosses_cut || self.cut_nodes.contains(&from) || self.cut_nodes.contains(&to);
        if is_cut || self.random.random_bool(self.links.loss) {
            return;
        }
        let delay_ms = self.random.random_range(1..=self.links.delay_max_ms);
        let arrivals = self.on_their_way.entry(self.now + delay_ms).or_default();
        arrivals.push((from, to, message));
    }

    /// Returns how many requests an instance takes to run on the server from others.
    pub(crate) fn running_elsewhere(&self, index: usize) -> u32 {
        let rows = self.nodes[index].counted.values().flat_map(|load| &load.servers);
        let followed = rows.filter(|row| row.server == SERVER);
        followed.map(|row| u32::from(row.running)).sum()
    }

    /// Returns how many do, of the instances that are up.
    pub(crate) fn truly_running_elsewhere(&self, index: usize) -> u32 {
        let others = self.nodes.iter().enumerate();
        others
            .filter(|(other, node)| *other != index && node.is_up)
            .map(|(_, node)| u32::from(node.running))
            .sum()
    }

    /// Returns the instances that are up and take another load for the truth.
    pub(crate) fn wrong(&self) -> Vec<usize> {
        let up = (0..self.nodes.len()).filter(|index| self.nodes[*index].is_up);
        up.filter(|index| self.running_elsewhere(*index) != self.truly_running_elsewhere(*index))
            .collect()
    }

    pub(crate) fn instances_known(&self, index: usize) -> usize {
        self.nodes[index].exchange.instances(TimeMs(self.now))
    }

    pub(crate) fn load_age_ms(&self, index: usize) -> Option<u64> {
        self.nodes[index].exchange.load_age_ms(TimeMs(self.now))
    }

    /// Returns the messages that each instance has sent since the last call.
    pub(crate) fn take_sent(&mut self) -> Vec<u64> {
        let nodes = self.nodes.iter_mut();
        nodes
            .map(|node| std::mem::take(&mut node.sent_messages))
            .collect()
    }
}

fn seeds() -> Vec<SocketAddrV4> {
    (0..SEEDS).map(address).collect()
}

fn identity(index: usize, domains: usize, processor_milli: u32, random: &mut StdRng) -> InstanceIdentity {
    InstanceIdentity {
        instance: name(index),
        failure_domain: NameHash::of(&format!("domain-{}", index % domains)),
        incarnation: random.random(),
        processor_milli,
    }
}
