//! Simulates which instances know the software versions of streams while instances are killed.
//!
//! The table of streams, the choice of holders and the encoded messages are those of the router. Datagrams arrive at
//! once unless their receiver is dead. Peers notice a death after the silence limit of direct messages, and a start at
//! once.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::index::sample;
use reedsail_core::NameHash;
use reedsail_core::TimeMs;
use reedsail_dispatch::SoftwareVersion;
use reedsail_dispatch::StreamHolder;
use reedsail_dispatch::StreamId;
use reedsail_dispatch::StreamRow;
use reedsail_dispatch::StreamVersionTable;
use reedsail_dispatch::UnsentRow;
use reedsail_gossip::ASKED_MAX;
use reedsail_gossip::StreamPeer;
use reedsail_gossip::missing_holders;
use reedsail_gossip::rank_holders;
use reedsail_wire::StreamMessage;
use reedsail_wire::StreamQuery;

use crate::RowSpread;
use crate::StreamOutcome;
use crate::StreamScenario;

/// Step of the simulated time, in milliseconds.
const STEP_MS: u64 = 10;
/// Silence after which a peer counts as dead, in milliseconds.
const PEER_SILENT_MS: u64 = 1_500;
/// Interval at which an instance sends its rows to changed peers, in milliseconds.
const UPKEEP_INTERVAL_MS: u64 = 250;
/// Longest time until a caller returns, in milliseconds.
const RETURN_MAX_MS: u64 = 50;
/// Bytes of the IP and UDP headers of a datagram.
const DATAGRAM_HEADER_BYTES: usize = 28;

/// One instance.
#[derive(Debug, Default)]
struct Instance {
    table: StreamVersionTable,
    incarnation: u32,
    /// When it was killed, if it does not run.
    killed_at: Option<TimeMs>,
}

/// A stream that runs, or whose caller is about to return.
#[derive(Clone, Copy, Debug)]
struct Stream {
    row: StreamRow,
    instance: usize,
    ends_at: TimeMs,
    deadline: TimeMs,
    /// When its caller returns, if its instance was killed.
    returns_at: Option<TimeMs>,
}

struct StreamFleet<'a> {
    scenario: &'a StreamScenario,
    random: StdRng,
    now: TimeMs,
    instances: Vec<Instance>,
    streams: Vec<Stream>,
    /// The instances that all others count as alive.
    peers: Vec<StreamPeer>,
    generation: u64,
    started: u64,
    sent_bytes: usize,
    outcome: StreamOutcome,
}

/// Simulates a scenario to its end.
pub fn simulate_streams(scenario: &StreamScenario) -> StreamOutcome {
    let mut fleet = StreamFleet {
        scenario,
        random: StdRng::seed_from_u64(scenario.seed),
        now: TimeMs(1_000),
        instances: (0..scenario.instances).map(|_| Instance::default()).collect(),
        streams: Vec::new(),
        peers: Vec::new(),
        generation: 0,
        started: 0,
        sent_bytes: 0,
        outcome: StreamOutcome::default(),
    };
    for step in 0..scenario.duration_ms / STEP_MS {
        fleet.step(step * STEP_MS);
    }
    let instance_s = scenario.instances as f64 * scenario.duration_ms as f64 / 1_000.0;
    fleet.outcome.sent_bytes_per_s = fleet.sent_bytes as f64 / instance_s;
    fleet.outcome
}

impl StreamFleet<'_> {
    fn step(&mut self, elapsed_ms: u64) {
        self.now = TimeMs(1_000 + elapsed_ms);
        self.restart_instances();
        if elapsed_ms > 0 && elapsed_ms.is_multiple_of(self.scenario.kill_interval_ms) {
            self.kill_instances();
        }
        self.update_peers();
        if elapsed_ms.is_multiple_of(UPKEEP_INTERVAL_MS) {
            self.upkeep();
        }
        let due = self.scenario.streams_per_s * (elapsed_ms + STEP_MS) / 1_000;
        while self.started < due {
            self.begin_stream();
        }
        self.return_callers();
        let now = self.now;
        self.streams
            .retain(|stream| stream.returns_at.is_some() || stream.ends_at > now);
    }

    fn restart_instances(&mut self) {
        for instance in &mut self.instances {
            let is_due = |at: TimeMs| self.now.since_ms(at) >= self.scenario.restart_ms;
            if instance.killed_at.is_some_and(is_due) {
                instance.killed_at = None;
                instance.incarnation += 1;
            }
        }
    }

    fn kill_instances(&mut self) {
        let killed = sample(&mut self.random, self.instances.len(), self.scenario.killed);
        for index in killed {
            self.instances[index].killed_at.get_or_insert(self.now);
            self.instances[index].table = StreamVersionTable::default();
        }
        for stream in &mut self.streams {
            if self.instances[stream.instance].killed_at.is_some() && stream.returns_at.is_none() {
                let pause_ms = self.random.random_range(1..=RETURN_MAX_MS);
                stream.returns_at = Some(self.now.plus_ms(pause_ms));
            }
        }
    }

    fn update_peers(&mut self) {
        let is_seen = |instance: &Instance| {
            let is_noticed = |at: TimeMs| self.now.since_ms(at) >= PEER_SILENT_MS;
            !instance.killed_at.is_some_and(is_noticed)
        };
        let seen = self
            .instances
            .iter()
            .enumerate()
            .filter(|(_, instance)| is_seen(instance));
        let peers: Vec<StreamPeer> = seen
            .map(|(index, instance)| StreamPeer {
                instance: NameHash::of(&format!("instance-{index}")),
                failure_domain: NameHash::of(&format!("domain-{}", index % self.scenario.failure_domains)),
                address: SocketAddrV4::new(Ipv4Addr::from(index as u32), 1),
                incarnation: instance.incarnation,
            })
            .collect();
        if peers != self.peers {
            self.peers = peers;
            self.generation += 1;
        }
    }

    fn upkeep(&mut self) {
        for index in 0..self.instances.len() {
            let table = &mut self.instances[index].table;
            table.tick(self.now);
            self.outcome.kept_max = self.outcome.kept_max.max(table.len());
            if self.scenario.spread != RowSpread::Holders {
                continue;
            }
            let services = table.own_services();
            for UnsentRow { row, holders } in table.unsent(&services, self.generation, self.now) {
                self.send_to_holders(index, &row, &holders);
            }
        }
    }

    fn begin_stream(&mut self) {
        self.started += 1;
        let workspace = NameHash::of("workspace");
        let row = StreamRow {
            stream: StreamId::of(workspace, &self.started.to_le_bytes()),
            service: NameHash::of("engines"),
            workspace,
            version: SoftwareVersion::of(if self.started.is_multiple_of(2) {
                "v1"
            } else {
                "v2"
            }),
            left_ms: self.scenario.deadline_ms as u32,
        };
        let instance = self.draw_instance();
        self.bind(instance, &row);
        self.streams.push(Stream {
            row,
            instance,
            ends_at: self.now.plus_ms(self.scenario.stream_ms),
            deadline: self.now.plus_ms(self.scenario.deadline_ms),
            returns_at: None,
        });
    }

    fn draw_instance(&mut self) -> usize {
        loop {
            let index = self.random.random_range(0..self.instances.len());
            if self.instances[index].killed_at.is_none() {
                return index;
            }
        }
    }

    fn bind(&mut self, instance: usize, row: &StreamRow) {
        self.instances[instance].table.bind(row, self.now);
        match self.scenario.spread {
            RowSpread::Holders => self.send_to_holders(instance, row, &[]),
            RowSpread::Everyone => self.send_to_everyone(instance, row),
            RowSpread::Nobody => {}
        }
    }

    /// Sends a row to those of its holders that don't have it.
    fn send_to_holders(&mut self, sender: usize, row: &StreamRow, has_row: &[Option<StreamHolder>]) {
        let message = StreamMessage {
            rows: vec![*row],
            ..StreamMessage::default()
        };
        let (missing, holders) = missing_holders(row.stream, has_row, &self.others(sender));
        for address in missing {
            self.sent_bytes += datagram_bytes(&message);
            self.deliver(index_of(address), row);
        }
        let table = &mut self.instances[sender].table;
        table.record_sent(row.stream, self.generation, holders);
    }

    /// Sends a row with load messages, of which it lengthens each by its own size.
    fn send_to_everyone(&mut self, sender: usize, row: &StreamRow) {
        let of_rows = |rows: usize| {
            let message = StreamMessage {
                rows: vec![*row; rows],
                ..StreamMessage::default()
            };
            datagram_bytes(&message)
        };
        let row_bytes = of_rows(2) - of_rows(1);
        for receiver in (0..self.instances.len()).filter(|receiver| *receiver != sender) {
            self.sent_bytes += row_bytes;
            self.deliver(receiver, row);
        }
    }

    fn deliver(&mut self, receiver: usize, row: &StreamRow) {
        let instance = &mut self.instances[receiver];
        if instance.killed_at.is_none() {
            instance.table.receive(row, self.now);
        }
    }

    /// Returns the peers of an instance.
    fn others(&self, index: usize) -> Vec<StreamPeer> {
        let own = NameHash::of(&format!("instance-{index}"));
        let others = self.peers.iter().filter(|peer| peer.instance != own);
        others.copied().collect()
    }

    fn return_callers(&mut self) {
        let now = self.now;
        let due = |stream: &Stream| stream.returns_at.is_some_and(|at| at <= now);
        let mut returning: Vec<Stream> = self
            .streams
            .iter()
            .filter(|stream| due(stream))
            .copied()
            .collect();
        self.streams.retain(|stream| !due(stream));
        for stream in &mut returning {
            let left_ms = stream.deadline.since_ms(now);
            if left_ms == 0 {
                continue;
            }
            let instance = self.draw_instance();
            self.outcome.returned += 1;
            if self.learns(instance, &stream.row) {
                self.outcome.known += 1;
                let row = StreamRow {
                    left_ms: left_ms as u32,
                    ..stream.row
                };
                self.bind(instance, &row);
                self.streams.push(Stream {
                    row,
                    instance,
                    returns_at: None,
                    ends_at: now.plus_ms(self.scenario.stream_ms).min(stream.deadline),
                    ..*stream
                });
            }
        }
    }

    /// Returns whether an instance knows the version of a stream, or learns it by asking.
    fn learns(&mut self, instance: usize, row: &StreamRow) -> bool {
        let knows = |fleet: &Self, index: usize| {
            let known = fleet.instances[index].table.get(row.stream, fleet.now);
            known.is_some_and(|known| known.version == row.version)
        };
        if knows(self, instance) {
            return true;
        }
        let query = StreamMessage {
            queries: vec![StreamQuery {
                number: 1,
                stream: row.stream,
                service: row.service,
            }],
            ..StreamMessage::default()
        };
        let asked = rank_holders(row.stream, &self.others(instance), ASKED_MAX);
        self.sent_bytes += asked.len() * datagram_bytes(&query);
        let is_known = asked.iter().any(|peer| knows(self, index_of(peer.address)));
        self.outcome.asked += usize::from(is_known);
        is_known
    }
}

/// Returns the instance at an address.
fn index_of(address: SocketAddrV4) -> usize {
    u32::from(*address.ip()) as usize
}

fn datagram_bytes(message: &StreamMessage) -> usize {
    // Encoding into memory fails only if memory runs out.
    message.encode().map_or(0, |bytes| bytes.len()) + DATAGRAM_HEADER_BYTES
}
