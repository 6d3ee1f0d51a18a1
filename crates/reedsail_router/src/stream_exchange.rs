//! Software versions of streams: the table of this instance, and the datagrams with which it tells and asks its peers.
//!
//! `StreamVersionTable` of `reedsail_dispatch` has the rule; `stream_holders` of `reedsail_gossip` chooses the peers. The
//! traffic thread binds streams and asks for them, and sends its datagrams itself, so that a stream's row leaves before
//! the stream's first event. The control thread receives, and sends rows again when the peers change.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::net::UdpSocket;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwap;
use prometheus::IntCounterVec;
use reedsail_core::NameHash;
use reedsail_core::TimeMs;
use reedsail_dispatch::SoftwareVersion;
use reedsail_dispatch::StreamId;
use reedsail_dispatch::StreamKnowledge;
use reedsail_dispatch::StreamRow;
use reedsail_dispatch::StreamVersionTable;
use reedsail_dispatch::UnsentRow;
use reedsail_gossip::ASKED_MAX;
use reedsail_gossip::StreamPeer;
use reedsail_gossip::missing_holders;
use reedsail_gossip::rank_holders;
use reedsail_wire::StreamAnswer;
use reedsail_wire::StreamMessage;
use reedsail_wire::StreamQuery;
use tokio::sync::mpsc;
use tokio::time::timeout;

/// Time-out of a query to all asked peers, in milliseconds.
const ASK_TIMEOUT_MS: u64 = 150;
/// Maximum number of rows in a message, so that it fits one packet.
const ROWS_PER_MESSAGE_MAX: usize = 32;

/// The peers that rows are sent to.
#[derive(Debug, Default)]
struct StreamPeers {
    /// Increases with each change of the peers. Zero before the first one.
    generation: u64,
    peers: Vec<StreamPeer>,
}

/// The exchange of streams' software versions.
#[derive(Debug)]
pub(crate) struct StreamExchange {
    socket: UdpSocket,
    /// Messages, by direction.
    messages: IntCounterVec,
    peers: ArcSwap<StreamPeers>,
    table: Mutex<StreamVersionTable>,
    queries: Mutex<HashMap<u32, mpsc::UnboundedSender<StreamKnowledge>>>,
    last_query: AtomicU32,
}

impl StreamExchange {
    /// Creates an exchange that knows no peers. `socket` is the one on which peers' messages arrive.
    pub(crate) fn new(socket: UdpSocket, messages: IntCounterVec) -> Self {
        Self {
            socket,
            messages,
            peers: ArcSwap::default(),
            table: Mutex::default(),
            queries: Mutex::default(),
            last_query: AtomicU32::new(0),
        }
    }

    /// Locks the table. The lock is never held across an await.
    pub(crate) fn table(&self) -> MutexGuard<'_, StreamVersionTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Binds a stream of this instance, and sends its row to the holders if peers must know it.
    pub(crate) fn bind(&self, row: &StreamRow, is_sent: bool, now: TimeMs) {
        let peers = self.peers.load();
        let mut table = self.table();
        table.bind(row, now);
        // A contradicting row makes the version unknown.
        let bound = table.get(row.stream, now).unwrap_or(*row);
        if !is_sent {
            return;
        }
        let (missing, holders) = missing_holders(row.stream, &[], &peers.peers);
        table.record_sent(row.stream, peers.generation, holders);
        drop(table);
        let message = StreamMessage {
            rows: vec![bound],
            ..StreamMessage::default()
        };
        self.send(&message, &missing);
    }

    /// Replaces the peers. The rows that they need are sent by the next [`StreamExchange::send_rows`].
    pub(crate) fn set_peers(&self, peers: Vec<StreamPeer>) {
        let known = self.peers.load();
        if known.generation > 0 && known.peers == peers {
            return;
        }
        let generation = known.generation + 1;
        self.peers.store(StreamPeers { generation, peers }.into());
    }

    /// Sends the rows of this instance's streams that belong to services for which `is_needed`, unless the present peers
    /// have them.
    pub(crate) fn send_rows(&self, is_needed: impl Fn(NameHash) -> bool, now: TimeMs) {
        let mut services = self.table().own_services();
        services.retain(|service| is_needed(*service));
        if services.is_empty() {
            return;
        }
        let peers = self.peers.load();
        let unsent = self.table().unsent(&services, peers.generation, now);
        let mut by_holder: HashMap<SocketAddrV4, Vec<StreamRow>> = HashMap::new();
        for UnsentRow { row, holders } in unsent {
            let (missing, holders) = missing_holders(row.stream, &holders, &peers.peers);
            for holder in missing {
                by_holder.entry(holder).or_default().push(row);
            }
            self.table().record_sent(row.stream, peers.generation, holders);
        }
        for (holder, rows) in by_holder {
            for rows in rows.chunks(ROWS_PER_MESSAGE_MAX) {
                let message = StreamMessage {
                    rows: rows.to_vec(),
                    ..StreamMessage::default()
                };
                self.send(&message, &[holder]);
            }
        }
    }

    /// Asks peers for a stream. The first peer that knows decides; without one, the call ends when all have answered or
    /// after the time-out.
    pub(crate) async fn ask(&self, stream: StreamId, service: NameHash) -> StreamKnowledge {
        let asked = rank_holders(stream, &self.peers.load().peers, ASKED_MAX);
        let asked: Vec<SocketAddrV4> = asked.iter().map(|peer| peer.address).collect();
        let (mut answers, guard) = self.open_query();
        let message = StreamMessage {
            queries: vec![StreamQuery {
                number: guard.number,
                stream,
                service,
            }],
            ..StreamMessage::default()
        };
        self.send(&message, &asked);
        let first_known = async {
            for _ in &asked {
                match answers.recv().await {
                    Some(StreamKnowledge::Unknown) => {}
                    Some(known) => return known,
                    None => break,
                }
            }
            StreamKnowledge::Unknown
        };
        let answer = timeout(Duration::from_millis(ASK_TIMEOUT_MS), first_known).await;
        answer.unwrap_or(StreamKnowledge::Unknown)
    }

    /// Processes a message of a peer. `only_version` returns what a service's history proves.
    pub(crate) fn receive(
        &self,
        message: &StreamMessage,
        from: SocketAddrV4,
        only_version: impl Fn(NameHash) -> Option<SoftwareVersion>,
        now: TimeMs,
    ) {
        self.messages.with_label_values(&["received"]).inc();
        for row in &message.rows {
            self.table().receive(row, now);
        }
        let answers = message.queries.iter().map(|query| StreamAnswer {
            number: query.number,
            knowledge: match self.table().get(query.stream, now) {
                Some(row) => StreamKnowledge::Began {
                    service: row.service,
                    version: row.version,
                },
                None => {
                    only_version(query.service).map_or(StreamKnowledge::Unknown, StreamKnowledge::OnlyVersion)
                }
            },
        });
        let answers: Vec<StreamAnswer> = answers.collect();
        if !answers.is_empty() {
            let message = StreamMessage {
                answers,
                ..StreamMessage::default()
            };
            self.send(&message, &[from]);
        }
        let queries = self.queries();
        for answer in &message.answers {
            if let Some(asker) = queries.get(&answer.number) {
                // The asker may have its answer already.
                let _ = asker.send(answer.knowledge);
            }
        }
    }

    fn send(&self, message: &StreamMessage, targets: &[SocketAddrV4]) {
        let bytes = match message.encode() {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error!("cannot encode a stream message; it is not sent: {error}");
                return;
            }
        };
        let sent = self.messages.with_label_values(&["sent"]);
        for target in targets {
            match self.socket.send_to(&bytes, SocketAddr::V4(*target)) {
                Ok(_) => sent.inc(),
                // The other holders have the row, or the query times out.
                Err(error) => log::debug!("cannot send a stream message to {target}: {error}"),
            }
        }
    }

    fn open_query(&self) -> (mpsc::UnboundedReceiver<StreamKnowledge>, QueryGuard<'_>) {
        let number = self.last_query.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = mpsc::unbounded_channel();
        self.queries().insert(number, sender);
        let guard = QueryGuard {
            exchange: self,
            number,
        };
        (receiver, guard)
    }

    fn queries(&self) -> MutexGuard<'_, HashMap<u32, mpsc::UnboundedSender<StreamKnowledge>>> {
        self.queries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Removes a query when it ends, also if the caller of the request disconnects.
struct QueryGuard<'a> {
    exchange: &'a StreamExchange,
    number: u32,
}

impl Drop for QueryGuard<'_> {
    fn drop(&mut self) {
        self.exchange.queries().remove(&self.number);
    }
}
