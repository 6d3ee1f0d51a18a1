//! Measures the processor time of an instance, in microseconds of a real router's threads over loopback. Covers a
//! stream, a whole answer, a refusal, a new connection, a load message and a fleet-wide load sum.
//!
//! `cargo bench -p reedsail_router --bench instance_cost` takes about a minute; docs/CAPACITY.md holds the results.
//! Callers and stand-in servers run on other threads of this process, whose time is not counted. The benchmark needs
//! Linux, because the times come from `/proc/self/task`.

#[path = "../tests/common/mod.rs"]
mod common;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::time::Duration;

use reedsail_core::NameHash;
use reedsail_core::StorePosition;
use reedsail_dispatch::LoadReport;
use reedsail_dispatch::PrefixRow;
use reedsail_dispatch::ServerLoadRow;
use reedsail_dispatch::SpeedSums;
use reedsail_dispatch::WorkspaceUseRow;
use reedsail_standin::RoutedAnswer;
use reedsail_wire::IncludedRow;
use reedsail_wire::LoadMessage;
use reedsail_wire::LoadScope;
use reedsail_wire::MemberRow;

use common::Caller;
use common::RouterFixture;
use common::ask;

/// Number of measured requests of each kind.
const REQUESTS: u32 = 100;
/// Number of events in each stream.
const EVENTS: u32 = 40;
/// Number of load messages from each peer.
const MESSAGES_PER_PEER: u32 = 40;
/// Numbers of peers for which load messages are measured.
const PEER_COUNTS: [u32; 3] = [9, 59, 85];
/// Number of backend servers in a peer's message.
const SERVER_ROWS: u32 = 40;
/// Number of workspaces in a peer's message.
const WORKSPACE_ROWS: u32 = 30;
/// Number of prompt segments in a peer's message.
const PREFIX_ROWS: u32 = 8;
/// Number of measured fleet-wide load sums, followed by the numbers of instances, backend servers, workspaces and
/// prompt segments in each.
const FLEET_SUMS: u32 = 400;
const FLEET_INSTANCES: u32 = 295;
const FLEET_SERVERS: u32 = 325;
const FLEET_WORKSPACES: u32 = 60;
const FLEET_PREFIXES: u32 = 60;
/// Number of members that a fleet-wide sum includes.
const FLEET_MEMBERS: u32 = 59;

/// Returns the processor time that the router's threads have used so far, in microseconds, by thread name.
fn used_us() -> BTreeMap<String, f64> {
    let mut used = BTreeMap::new();
    for task in std::fs::read_dir("/proc/self/task").unwrap() {
        let directory = task.unwrap().path();
        let name = std::fs::read_to_string(directory.join("comm")).unwrap();
        let times = std::fs::read_to_string(directory.join("schedstat")).unwrap();
        let used_ns: f64 = times.split(' ').next().unwrap().parse().unwrap();
        *used.entry(name.trim().to_owned()).or_default() += used_ns / 1_000.0;
    }
    used
}

fn report(what: &str, before: &BTreeMap<String, f64>, count: u32) {
    let after = used_us();
    let per_item = |thread: &str| {
        let before = before.get(thread).copied().unwrap_or(0.0);
        (after.get(thread).copied().unwrap_or(before) - before) / f64::from(count)
    };
    println!(
        "{what:<40} {:>9.1} us traffic {:>9.1} us control",
        per_item("traffic"),
        per_item("control")
    );
}

async fn measure_requests(fixture: &RouterFixture, what: &str, path: &str, headers: &[(&str, &str)]) {
    let mut caller = Caller::connect(fixture.callers()).await;
    for _ in 0..REQUESTS / 10 {
        caller.ask(path, headers).await;
    }
    let before = used_us();
    for _ in 0..REQUESTS {
        caller.ask(path, headers).await;
    }
    report(what, &before, REQUESTS);
}

async fn measure_connections(fixture: &RouterFixture) {
    let before = used_us();
    for _ in 0..REQUESTS {
        ask(fixture.callers(), "/nowhere/", &[]).await;
    }
    report("a new connection with one refusal", &before, REQUESTS);
}

fn load(servers: u32, workspaces: u32, prefixes: u32, sequence: u32) -> LoadReport {
    let server = |row: u32| ServerLoadRow {
        server: NameHash::of(&format!("server-{row}")),
        running: (row + sequence) as u16 % 7,
        failure_rate: 0,
        prefill_tokens: 1_000 * (row + sequence),
        is_down: false,
        is_draining: false,
        is_backed_off: false,
        speed: SpeedSums::default(),
        pause_ms: 0,
    };
    let workspace = |row: u32| WorkspaceUseRow {
        workspace: NameHash::of(&format!("workspace-{row}")),
        requested_cost: 10_000.0 + (row + sequence) as f32,
        sent_cost: 9_000.0 + row as f32,
        recent_prefill_tokens: 0.0,
        recent_sent_cost: 0.0,
    };
    let prefix = |row: u32| PrefixRow {
        segment: sequence * prefixes + row,
        server: NameHash::of(&format!("server-{row}")),
    };
    LoadReport {
        servers: (0..servers).map(server).collect(),
        workspaces: (0..workspaces).map(workspace).collect(),
        prefixes: (0..prefixes).map(prefix).collect(),
        suspects: Vec::new(),
    }
}

fn message(peer: u32, sequence: u32) -> LoadMessage {
    let member = |row: u32| MemberRow {
        instance: NameHash::of(&format!("peer-{row}")),
        address: "127.0.0.1:9".parse().unwrap(),
        failure_domain: NameHash::of("hall-b"),
        processor_milli: 120,
    };
    LoadMessage {
        instance: NameHash::of(&format!("peer-{peer}")),
        incarnation: 1,
        sequence,
        failure_domain: NameHash::of("hall-b"),
        configuration_version: 1,
        configuration_age_ms: 100,
        servers_revision: StorePosition::new(0, 1),
        servers_digest: 0,
        servers_age_ms: 100,
        is_stopping: false,
        scope: LoadScope::Instance,
        protocol: 0,
        processor_milli: 120,
        load: load(SERVER_ROWS, WORKSPACE_ROWS, PREFIX_ROWS, sequence),
        included: Vec::new(),
        instances: 0,
        domain_instances: 0,
        load_age_ms: 0,
        load_interval_ms: 0,
        departures: Vec::new(),
        evacuations: Vec::new(),
        members: (peer..peer + 8).map(member).collect(),
    }
}

/// Builds a fleet-wide load sum as an aggregator sends it.
fn fleet_sum(sequence: u32) -> LoadMessage {
    let included = |row: u32| IncludedRow {
        instance: NameHash::of(&format!("peer-{row}")),
        sequence,
    };
    LoadMessage {
        scope: LoadScope::Fleet,
        protocol: 1,
        load: load(FLEET_SERVERS, FLEET_WORKSPACES, FLEET_PREFIXES, sequence),
        included: (0..FLEET_MEMBERS).map(included).collect(),
        instances: FLEET_INSTANCES,
        domain_instances: FLEET_MEMBERS,
        ..message(0, sequence)
    }
}

/// Measures the cost of receiving fleet-wide load sums, including the reports that the instance sends meanwhile.
async fn measure_sums() {
    let fixture = RouterFixture::start().await;
    let target: SocketAddr = fixture.router.addresses().peers;
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let mut before = used_us();
    let mut bytes = 0;
    for sequence in 1..=FLEET_SUMS + FLEET_SUMS / 4 {
        if sequence == FLEET_SUMS / 4 + 1 {
            before = used_us();
        }
        let datagram = fleet_sum(sequence).encode().unwrap();
        bytes = datagram.len();
        socket.send_to(&datagram, target).unwrap();
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    tokio::time::sleep(Duration::from_millis(200)).await;
    report(
        &format!("a sum over the fleet of {bytes} bytes"),
        &before,
        FLEET_SUMS,
    );
}

/// Sends load messages of `peers` peers, and measures the cost of receiving one, including what the instance sends
/// meanwhile.
async fn measure_messages(peers: u32) {
    let fixture = RouterFixture::start().await;
    let target: SocketAddr = fixture.router.addresses().peers;
    let sockets: Vec<UdpSocket> = (0..peers)
        .map(|_| UdpSocket::bind("127.0.0.1:0").unwrap())
        .collect();
    let mut sent = 0;
    let mut before = used_us();
    let mut bytes = 0;
    for sequence in 1..=MESSAGES_PER_PEER {
        if sequence == MESSAGES_PER_PEER / 4 {
            before = used_us();
            sent = 0;
        }
        for (peer, socket) in (0..).zip(&sockets) {
            let datagram = message(peer, sequence).encode().unwrap();
            bytes = datagram.len();
            socket.send_to(&datagram, target).unwrap();
            sent += 1;
            if sent % 16 == 0 {
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
        }
    }
    tokio::time::sleep(Duration::from_millis(200)).await;
    report(
        &format!("a load message of {bytes} bytes, {peers} peers"),
        &before,
        sent,
    );
    let before = used_us();
    tokio::time::sleep(Duration::from_secs(1)).await;
    report(&format!("a second without messages, {peers} peers"), &before, 1);
}

#[tokio::main(flavor = "current_thread")]
async fn main() {
    env_logger::Builder::new()
        .filter_level(log::LevelFilter::Info)
        .target(env_logger::Target::Pipe(Box::new(std::io::sink())))
        .init();
    // Runs one router at a time, because the threads of another one would be counted as well.
    {
        let fixture = RouterFixture::start_with(|settings| settings.log_lines_per_s = 50).await;
        let prompt = [("reedsail-prompt", "a1:500,b2:1200")];
        let stream = RoutedAnswer::Stream {
            events: EVENTS,
            pause_after: None,
        };
        fixture.llm.answer_with(&[stream]);
        measure_requests(&fixture, "a stream of 40 events", "/stream/", &prompt).await;
        measure_requests(&fixture, "a resumable stream of 40 events", "/resume/", &prompt).await;
        measure_requests(&fixture, "a whole answer", "/again/", &[]).await;
        measure_requests(&fixture, "a refusal", "/nowhere/", &[]).await;
        measure_connections(&fixture).await;
    }
    for peers in PEER_COUNTS {
        measure_messages(peers).await;
    }
    measure_sums().await;
}
