//! What an instance costs: processor microseconds of a real router's threads, on loopback, for a stream, a
//! whole answer, a refusal, a new connection and a load message.
//!
//! `cargo bench -p reedsail_router --bench instance_cost` takes about a minute; the figures stand in docs/CAPACITY.md. Callers and
//! stand-ins run on other threads of this process and are not counted. Linux only: the times come from
//! `/proc/self/task`.

#[path = "../tests/common/mod.rs"]
mod common;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::time::Duration;

use reedsail_core::NameHash;
use reedsail_dispatch::LoadReport;
use reedsail_dispatch::PrefixRow;
use reedsail_dispatch::ServerLoadRow;
use reedsail_dispatch::WorkspaceUseRow;
use reedsail_standin::RoutedAnswer;
use reedsail_wire::LoadMessage;
use reedsail_wire::MemberRow;

use common::Caller;
use common::Site;
use common::ask;

/// Requests of one kind that are measured.
const REQUESTS: u32 = 100;
/// Events of each stream.
const EVENTS: u32 = 40;
/// Load messages from each peer.
const MESSAGES_PER_PEER: u32 = 40;
/// Numbers of peers for which messages are measured.
const PEERS: [u32; 3] = [9, 59, 85];
/// Backend servers that a peer's message names.
const SERVER_ROWS: u32 = 40;
/// Workspaces that a peer's message names.
const WORKSPACE_ROWS: u32 = 30;
/// Prompt segments that a peer's message names.
const PREFIX_ROWS: u32 = 8;

/// Processor microseconds that the router's threads have used so far, by the thread's name.
fn used_us() -> BTreeMap<String, f64> {
    let mut used = BTreeMap::new();
    for task in std::fs::read_dir("/proc/self/task").unwrap() {
        let folder = task.unwrap().path();
        let name = std::fs::read_to_string(folder.join("comm")).unwrap();
        let times = std::fs::read_to_string(folder.join("schedstat")).unwrap();
        let used_ns: f64 = times.split(' ').next().unwrap().parse().unwrap();
        *used.entry(name.trim().to_owned()).or_default() += used_ns / 1_000.0;
    }
    used
}

fn report(what: &str, before: &BTreeMap<String, f64>, count: u32) {
    let after = used_us();
    let each = |thread: &str| {
        let before = before.get(thread).copied().unwrap_or(0.0);
        (after.get(thread).copied().unwrap_or(before) - before) / f64::from(count)
    };
    println!(
        "{what:<40} {:>9.1} us traffic {:>9.1} us control",
        each("traffic"),
        each("control")
    );
}

async fn measure_requests(site: &Site, what: &str, path: &str, headers: &[(&str, &str)]) {
    let mut caller = Caller::connect(site.callers()).await;
    for _ in 0..REQUESTS / 10 {
        caller.ask(path, headers).await;
    }
    let before = used_us();
    for _ in 0..REQUESTS {
        caller.ask(path, headers).await;
    }
    report(what, &before, REQUESTS);
}

async fn measure_connections(site: &Site) {
    let before = used_us();
    for _ in 0..REQUESTS {
        ask(site.callers(), "/nowhere/", &[]).await;
    }
    report("a new connection with one refusal", &before, REQUESTS);
}

fn message(peer: u32, sequence: u32) -> Vec<u8> {
    let server = |row: u32| ServerLoadRow {
        server: NameHash::of(&format!("server-{row}")),
        running: (peer + sequence) as u16 % 7,
        failure_rate: 0,
        prefill_tokens: 1_000 * (row + sequence),
    };
    let workspace = |row: u32| WorkspaceUseRow {
        workspace: NameHash::of(&format!("workspace-{row}")),
        requested_cost: 10_000.0 + (row + sequence) as f32,
        sent_cost: 9_000.0 + row as f32,
    };
    let prefix = |row: u32| PrefixRow {
        segment: peer * 1_000 + sequence * PREFIX_ROWS + row,
        server: NameHash::of(&format!("server-{row}")),
    };
    let member = |row: u32| MemberRow {
        instance: NameHash::of(&format!("peer-{row}")),
        address: "127.0.0.1:9".parse().unwrap(),
    };
    let message = LoadMessage {
        instance: NameHash::of(&format!("peer-{peer}")),
        incarnation: 1,
        sequence,
        failure_domain: NameHash::of("hall-b"),
        configuration_version: 1,
        configuration_age_ms: 100,
        servers_revision: 1,
        servers_digest: 0,
        servers_age_ms: 100,
        is_stopping: false,
        load: LoadReport {
            servers: (0..SERVER_ROWS).map(server).collect(),
            workspaces: (0..WORKSPACE_ROWS).map(workspace).collect(),
            prefixes: (0..PREFIX_ROWS).map(prefix).collect(),
        },
        departures: Vec::new(),
        members: (peer..peer + 8).map(member).collect(),
    };
    message.encode().unwrap()
}

/// Sends messages of so many peers, and measures what receiving one takes, with what the instance sends
/// meanwhile.
async fn measure_messages(peers: u32) {
    let site = Site::start().await;
    let target: SocketAddr = site.router.addresses().peers;
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
            let datagram = message(peer, sequence);
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
    // One site at a time: the threads of another would be counted as well.
    {
        let site = Site::start_with(|settings| settings.log_lines_per_s = 50).await;
        let prompt = [("reedsail-prompt", "a1:500,b2:1200")];
        let stream = RoutedAnswer::Stream {
            events: EVENTS,
            pause_after: None,
        };
        site.llm.answer_with(&[stream]);
        measure_requests(&site, "a stream of 40 events", "/stream/", &prompt).await;
        measure_requests(&site, "a resumable stream of 40 events", "/resume/", &prompt).await;
        measure_requests(&site, "a whole answer", "/again/", &[]).await;
        measure_requests(&site, "a refusal", "/nowhere/", &[]).await;
        measure_connections(&site).await;
    }
    for peers in PEERS {
        measure_messages(peers).await;
    }
}
