//! Compatibility of every message between instances: instances of two releases exchange messages during a
//! rollout, and claim records outlive the instance that wrote them.
//!
//! Each test compares newly encoded bytes with the bytes in a snapshot, and decodes those in the snapshot.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use reedsail_core::Directory;
use reedsail_core::Fingerprint;
use reedsail_core::NameHash;
use reedsail_core::StorePosition;
use reedsail_dispatch::EvacuationRow;
use reedsail_dispatch::LoadReport;
use reedsail_dispatch::PrefixRow;
use reedsail_dispatch::SegmentId;
use reedsail_dispatch::SegmentKey;
use reedsail_dispatch::ServerLoadRow;
use reedsail_dispatch::SpeedSums;
use reedsail_dispatch::SuspectEndRow;
use reedsail_dispatch::SuspectKey;
use reedsail_dispatch::SuspectRow;
use reedsail_dispatch::WorkspaceUseRow;
use reedsail_net::ByteCounter;
use reedsail_net::DeflateStream;
use reedsail_scheduling::ClaimKey;
use reedsail_scheduling::DemandRow;
use reedsail_scheduling::LeaseRow;
use reedsail_scheduling::MemberKind;
use reedsail_scheduling::Nonce;
use reedsail_scheduling::ServiceGrant;
use reedsail_scheduling::ServiceReport;
use reedsail_scheduling::SlotRow;
use reedsail_scheduling::VirtualTimeRow;
use reedsail_wire::ClaimBatch;
use reedsail_wire::ClaimEnd;
use reedsail_wire::ClaimRequest;
use reedsail_wire::ClaimVerdict;
use reedsail_wire::Grant;
use reedsail_wire::IncludedRow;
use reedsail_wire::LoadMessage;
use reedsail_wire::LoadScope;
use reedsail_wire::MemberRow;
use reedsail_wire::PeerHandler;
use reedsail_wire::PeerLink;
use reedsail_wire::Report;
use reedsail_wire::serve_peers;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::LocalSet;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// How long a connection must be quiet before its message counts as complete.
const QUIET_PERIOD: Duration = Duration::from_millis(300);

/// Formats bytes as lines of 32, so that a changed field shows as a changed line.
fn hex_lines(bytes: &[u8]) -> String {
    let lines: Vec<String> = bytes.chunks(32).map(hex::encode).collect();
    lines.join("\n")
}

/// Reads the bytes in a snapshot of this file.
fn snapshot_bytes(name: &str) -> Vec<u8> {
    let file = format!(
        "{}/tests/snapshots/golden__{name}.snap",
        env!("CARGO_MANIFEST_DIR")
    );
    let text = std::fs::read_to_string(&file).unwrap_or_else(|error| panic!("{file}: {error}"));
    let body = text.splitn(3, "---\n").nth(2).unwrap();
    let digits: String = body.split_whitespace().collect();
    hex::decode(digits).unwrap()
}

fn load_message() -> LoadMessage {
    LoadMessage {
        instance: NameHash(0x0101),
        incarnation: 0x0202,
        sequence: 0x0303,
        failure_domain: NameHash(0x0404),
        configuration_version: 0x0505,
        configuration_age_ms: 0x0606,
        servers_revision: StorePosition::new(0x0808, 0x0707),
        servers_digest: 0x0808,
        servers_age_ms: 0x0909,
        is_stopping: true,
        scope: LoadScope::Aggregate,
        protocol: 0x17,
        processor_milli: 0x1818,
        included: vec![IncludedRow {
            instance: NameHash(0x1919),
            sequence: 0x1a1a,
        }],
        instances: 0x1b1b,
        domain_instances: 0x1c1c,
        load_age_ms: 0x1d1d,
        load_interval_ms: 700,
        load: LoadReport {
            servers: vec![ServerLoadRow {
                server: NameHash(0x0a0a),
                running: 0x0b0b,
                failure_rate: 0x0c,
                prefill_tokens: 0x0d0d,
                is_down: true,
                is_draining: true,
                is_backed_off: true,
                speed: SpeedSums {
                    answers: 4.5,
                    log_slowness: -1.25,
                    log_slowness_squares: 2.0,
                },
                pause_ms: 0x2727,
            }],
            workspaces: vec![WorkspaceUseRow {
                workspace: NameHash(0x0e0e),
                requested_cost: 15.5,
                sent_cost: 16.5,
                recent_prefill_tokens: 17.5,
                recent_sent_cost: 18.5,
            }],
            prefixes: vec![PrefixRow {
                segment: 0x1111,
                server: NameHash(0x1212),
            }],
            suspects: vec![SuspectRow {
                key: SuspectKey::Request(Fingerprint(0x2020_2020_2020_2020_2121_2121_2121_2121)),
                workspace: NameHash(0x2222),
                ends: [0x2323, 0x2424].map(|server| end_row(server, 0x2525)).to_vec(),
                changed_ms_ago: 0x2525,
                seen_ms_ago: 0x2626,
                ..SuspectRow::default()
            }],
        },
        departures: vec![NameHash(0x1313)],
        evacuations: vec![EvacuationRow {
            failure_domain: NameHash(0x1414),
            revision: StorePosition::new(5, 77),
            is_active: true,
        }],
        members: vec![MemberRow {
            instance: NameHash(0x1414),
            address: SocketAddrV4::new(Ipv4Addr::new(10, 20, 30, 40), 0x1515),
            failure_domain: NameHash(0x1e1e),
            processor_milli: 0x1f1f,
        }],
    }
}

#[test]
fn a_load_message_of_the_first_release_is_read() {
    let read = LoadMessage::decode(&snapshot_bytes("load_message_first_release")).unwrap();
    let mut load = load_message().load;
    load.servers[0].is_down = false;
    load.servers[0].is_draining = false;
    load.servers[0].is_backed_off = false;
    load.servers[0].speed = SpeedSums::default();
    load.servers[0].pause_ms = 0;
    load.suspects.clear();
    load.workspaces[0].recent_prefill_tokens = 0.0;
    load.workspaces[0].recent_sent_cost = 0.0;
    let first_release = LoadMessage {
        load,
        servers_revision: StorePosition::new(0, 0x0707),
        evacuations: Vec::new(),
        scope: LoadScope::Instance,
        protocol: 0,
        processor_milli: 0,
        included: Vec::new(),
        instances: 0,
        domain_instances: 0,
        load_age_ms: 0,
        load_interval_ms: 0,
        members: vec![MemberRow {
            failure_domain: NameHash(0),
            processor_milli: 0,
            ..load_message().members[0]
        }],
        ..load_message()
    };
    assert_eq!(read, first_release);
}

#[test]
fn a_load_message_of_a_release_without_eras_is_read() {
    let read = LoadMessage::decode(&snapshot_bytes("load_message_before_eras")).unwrap();
    assert_eq!(read.servers_revision, StorePosition::new(0, 0x0707));
    assert_eq!(read.evacuations[0].revision, StorePosition::new(0, 77));
}

#[test]
fn a_load_message_of_a_release_without_speeds_is_read() {
    let read = LoadMessage::decode(&snapshot_bytes("load_message_before_speeds")).unwrap();
    let mut expected = load_message();
    expected.load.servers[0].speed = SpeedSums::default();
    expected.load.servers[0].pause_ms = 0;
    assert_eq!(read, expected);
}

#[test]
fn a_load_message_of_a_release_without_pauses_is_read() {
    let read = LoadMessage::decode(&snapshot_bytes("load_message_before_pauses")).unwrap();
    let mut expected = load_message();
    expected.load.servers[0].pause_ms = 0;
    assert_eq!(read, expected);
}

#[test]
fn a_load_message_of_a_release_without_suspected_segments_is_read() {
    let read = LoadMessage::decode(&snapshot_bytes("load_message_before_segments")).unwrap();
    assert_eq!(read, load_message());
}

#[test]
fn the_bytes_of_a_suspected_segment_are_unchanged() {
    let segment = SegmentId {
        service: NameHash(0x3030_3030),
        id: 0x3131_3131_3131_3131,
    };
    let workspace = NameHash(0x3232);
    let mut message = load_message();
    message.load.suspects = vec![SuspectRow {
        key: SuspectKey::Segment(SegmentKey { segment, workspace }),
        workspace,
        ends: vec![SuspectEndRow {
            server: NameHash(0x3333),
            sent_ms_ago: 0x3434,
            ended_ms_ago: 0x3535,
            ..SuspectEndRow::default()
        }],
        changed_ms_ago: 0x3535,
        seen_ms_ago: 0x3636,
        ..SuspectRow::default()
    }];
    let bytes = message.encode().unwrap();
    insta::assert_snapshot!("load_message_with_segment", hex_lines(&bytes));
    assert_eq!(LoadMessage::decode(&bytes).unwrap(), message);
}

#[test]
fn the_bytes_of_a_load_message_are_unchanged() {
    let bytes = load_message().encode().unwrap();
    insta::assert_snapshot!("load_message", hex_lines(&bytes));
    assert_eq!(
        LoadMessage::decode(&snapshot_bytes("load_message")).unwrap(),
        load_message()
    );
}

fn claim_batch() -> ClaimBatch {
    ClaimBatch {
        id: 0x2121,
        claims: vec![ClaimRequest {
            key: ClaimKey(0x2222),
            nonce: Nonce(0x2323),
        }],
        ends: vec![ClaimEnd {
            key: ClaimKey(0x2424),
            nonce: Nonce(0x2525),
            status: 204,
        }],
    }
}

#[test]
fn the_bytes_of_a_claim_record_are_unchanged() {
    insta::assert_snapshot!("claim_batch", hex_lines(&claim_batch().to_bytes()));
    assert_eq!(
        ClaimBatch::parse(&snapshot_bytes("claim_batch")).unwrap(),
        claim_batch()
    );
}

fn directory() -> Directory {
    let mut directory = Directory::default();
    directory.services.intern("assistant-llm");
    directory.workspaces.intern("labska");
    directory.servers.intern("engine-1");
    directory
}

fn report(directory: &Directory) -> Report {
    let workspace = directory.workspaces.find(NameHash::of("labska")).unwrap();
    let server = directory.servers.find(NameHash::of("engine-1")).unwrap();
    let row = ServiceReport {
        kind: MemberKind::Instance,
        session: 0x3131,
        own_slots: 0x3232,
        base: 1234.5,
        slots: vec![SlotRow {
            server,
            held: 0x3333,
            in_use: 0x3434,
        }],
        resting: vec![server],
        demands: vec![DemandRow {
            workspace,
            queued: 0x3535,
            running: 0x3636,
            cost_total: 0x3737,
            lead: 1.5,
        }],
    };
    Report {
        sender: NameHash::of("hall-a-1"),
        incarnation: 0x3838,
        clock: 0x3939,
        bundle_version: 0x3a3a,
        is_leaving: true,
        services: vec![(
            directory.services.find(NameHash::of("assistant-llm")).unwrap(),
            row,
        )],
        suspects: vec![NameHash(0x3b3b)],
        servers_leaving: vec![NameHash(0x3c3c)],
    }
}

/// A handler that answers with fixed values and records the requests.
#[derive(Clone)]
struct RecordingHandler {
    directory: Rc<Directory>,
    requests: Arc<Mutex<Vec<String>>>,
}

impl RecordingHandler {
    fn new() -> Self {
        Self {
            directory: Rc::new(directory()),
            requests: Arc::default(),
        }
    }

    fn requests(&self) -> String {
        self.requests.lock().unwrap().join("\n")
    }
}

impl PeerHandler for RecordingHandler {
    fn with_directory<T>(&self, operation: impl FnOnce(&Directory) -> T) -> T {
        operation(&self.directory)
    }

    fn exchange(&self, report: Report) -> impl Future<Output = Grant> + 'static {
        let (service, row) = &report.services[0];
        let (server, workspace) = (row.slots[0].server, row.demands[0].workspace);
        self.requests.lock().unwrap().push(format!("{report:?}"));
        let grant = ServiceGrant {
            base: 2345.5,
            leases: vec![LeaseRow {
                server,
                slots: 0x4141,
            }],
            virtual_times: vec![VirtualTimeRow {
                workspace,
                lead: 2.5,
                share: 3.5,
            }],
        };
        std::future::ready(Grant {
            incarnation: 0x4242,
            clock: 0x4343,
            next_report_ms: 0x4444,
            lease_ms: 0x4545,
            services: vec![(*service, grant)],
            servers_leaving: vec![NameHash(0x4646)],
        })
    }

    fn claim(
        &self,
        claims: Vec<ClaimRequest>,
        ends: Vec<ClaimEnd>,
    ) -> impl Future<Output = Vec<ClaimVerdict>> + 'static {
        self.requests.lock().unwrap().push(format!("{claims:?} {ends:?}"));
        std::future::ready(vec![
            ClaimVerdict::Held,
            ClaimVerdict::InUse,
            ClaimVerdict::Ended(204),
            ClaimVerdict::Unavailable,
            ClaimVerdict::Unsettled,
        ])
    }

    fn bundle(&self) -> impl Future<Output = Option<(u32, Vec<u8>)>> + 'static {
        self.requests.lock().unwrap().push("bundle".to_owned());
        std::future::ready(Some((4, b"a record".to_vec())))
    }
}

/// Decompresses the bytes received on a connection until it is quiet.
async fn read_until_quiet(stream: &mut DeflateStream<TcpStream>) -> Vec<u8> {
    let mut bytes = Vec::new();
    let mut buffer = vec![0; 64 << 10];
    while let Ok(Ok(length)) = timeout(QUIET_PERIOD, stream.read(&mut buffer)).await {
        if length == 0 {
            break;
        }
        bytes.extend_from_slice(&buffer[..length]);
    }
    bytes
}

/// Runs one call to a peer that never answers, and returns the bytes that the caller sent.
async fn bytes_sent_by<F: Future<Output = ()>>(call: impl FnOnce(PeerLink) -> F) -> Vec<u8> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let link = PeerLink::open(address, 1_000, ByteCounter::default())
        .await
        .unwrap();
    let (stream, _) = listener.accept().await.unwrap();
    let mut stream = DeflateStream::new(stream);
    let (bytes, ()) = tokio::join!(read_until_quiet(&mut stream), call(link));
    bytes
}

/// Sends the bytes of a request to a server with `handler`, and returns the bytes of its answer.
async fn answer_bytes(request: &[u8], handler: RecordingHandler) -> Vec<u8> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    spawn_local(serve_peers(listener, Rc::new(handler), ByteCounter::default()));
    let mut stream = DeflateStream::new(TcpStream::connect(address).await.unwrap());
    stream.write_all(request).await.unwrap();
    stream.flush().await.unwrap();
    read_until_quiet(&mut stream).await
}

fn on_local_set(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, test);
}

#[test]
fn the_bytes_of_a_report_and_its_grant_are_unchanged() {
    on_local_set(async {
        let directory = directory();
        let sent = bytes_sent_by(async |link| {
            // The peer never answers.
            let _ = link.exchange(&report(&directory), &directory).await;
        })
        .await;
        insta::assert_snapshot!("exchange_request", hex_lines(&sent));
        let handler = RecordingHandler::new();
        let answer = answer_bytes(&snapshot_bytes("exchange_request"), handler.clone()).await;
        insta::assert_snapshot!("exchange_answer", hex_lines(&answer));
        insta::assert_snapshot!("exchange_as_read", handler.requests());
    });
}

#[test]
fn the_bytes_of_a_claim_and_its_verdicts_are_unchanged() {
    on_local_set(async {
        let batch = claim_batch();
        let sent = bytes_sent_by(async |link| {
            // The peer never answers.
            let _ = link.claim(&batch.claims, &batch.ends).await;
        })
        .await;
        insta::assert_snapshot!("claim_request", hex_lines(&sent));
        let handler = RecordingHandler::new();
        let answer = answer_bytes(&snapshot_bytes("claim_request"), handler.clone()).await;
        insta::assert_snapshot!("claim_answer", hex_lines(&answer));
        insta::assert_snapshot!("claim_as_read", handler.requests());
    });
}

#[test]
fn the_bytes_of_a_bundle_fetch_are_unchanged() {
    on_local_set(async {
        let sent = bytes_sent_by(async |link| {
            // The peer never answers.
            let _ = link.fetch_bundle(3).await;
        })
        .await;
        insta::assert_snapshot!("bundle_request", hex_lines(&sent));
        let handler = RecordingHandler::new();
        let answer = answer_bytes(&snapshot_bytes("bundle_request"), handler.clone()).await;
        insta::assert_snapshot!("bundle_answer", hex_lines(&answer));
    });
}

fn end_row(server: u32, ended_ms_ago: u32) -> SuspectEndRow {
    SuspectEndRow {
        server: NameHash(server),
        sent_ms_ago: ended_ms_ago,
        ended_ms_ago,
        ..SuspectEndRow::default()
    }
}
