//! Whether requests need a key, on each path by which an instance learns the configuration.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Either;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use reedsail_core::NameHash;
use reedsail_net::Clock;
use reedsail_net::SimulatedSuspension;
use reedsail_router::CallerAccess;
use reedsail_router::Configuration;
use reedsail_router::RunningRouter;
use reedsail_standin::Body;
use reedsail_standin::Handler;
use reedsail_standin::HttpServer;
use reedsail_standin::RoutedAnswer;
use reedsail_standin::RoutedStandin;
use reedsail_standin::StandinError;
use reedsail_wire::LoadMessage;
use tokio::net::UdpSocket;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use common::Caller;
use common::RouterFixture;
use common::Store;
use common::ask;
use common::configuration;
use common::record;
use common::settings;
use common::start;
use common::test_headers::TestHeaders;
use common::wait_for;
use common::wait_for_version;
use common::wait_until_ready;

/// The headers of a caller with a key of the first configuration, with a key of none, and without a key.
const CALLERS: [&[(&str, &str)]; 3] = [
    &[("authorization", "Bearer key-1")],
    &[("authorization", "Bearer never-held")],
    &[("authorization", "none")],
];
const OPEN: [StatusCode; 3] = [StatusCode::OK; 3];
const CLOSED: [StatusCode; 3] = [StatusCode::UNAUTHORIZED; 3];
const KEYED: [StatusCode; 3] = [StatusCode::OK, StatusCode::UNAUTHORIZED, StatusCode::UNAUTHORIZED];
/// Interval between two messages of a stand-in peer.
const MESSAGE_INTERVAL: Duration = Duration::from_millis(50);
/// Peers with a copy that cannot be used, beside one with a copy that can. The peer that is asked first is any of them.
const EARLIER_PEERS: usize = 5;
/// Number of instances that learn from such peers, one after the other.
const ROUNDS: usize = 2;
/// Processor share of a stand-in peer, which makes it the elected reader of the store.
const PEER_PROCESSOR_MILLI: u32 = 64_000;

/// The paths of the routes that need a key.
const ALL_PATHS: [&str; 4] = ["/once/", "/again/", "/stream/", "/resume/"];
/// How long a machine is suspended.
const SUSPENSION_MS: u64 = 120_000;
/// The metric of successful reads of the configuration.
const STORE_READS: &str = r#"reedsail_router_store_reads_total{outcome="read",what="configuration"}"#;
/// Longer than the store holds a call for a new configuration.
const READ_INTERVAL: Duration = Duration::from_millis(2_500);
/// Fetches from a peer that take longer than several reads of the store.
const FURTHER_FETCHES: usize = 10;

fn nobody() -> CallerAccess {
    CallerAccess::Workspaces(Vec::new())
}

/// Returns a configuration without workspaces.
fn without_workspaces(version: u64, access: CallerAccess) -> Configuration {
    Configuration {
        access,
        ..configuration(version)
    }
}

/// Starts an instance beside that of a fixture, with a store of its own.
fn start_beside(fixture: &RouterFixture, store: &Store) -> RunningRouter<TestHeaders> {
    let mut settings = settings("hall-a-2");
    settings.seeds = vec![fixture.router.addresses().peers];
    start(store, settings)
}

/// Returns the statuses that the callers of [`CALLERS`] get, each on a new connection.
async fn statuses(router: &RunningRouter<TestHeaders>, path: &str) -> Vec<StatusCode> {
    let mut statuses = Vec::new();
    for headers in CALLERS {
        statuses.push(ask(router.addresses().callers, path, headers).await.status);
    }
    statuses
}

/// The page of the configuration at a stand-in peer, and how often it was fetched.
#[derive(Clone)]
struct PeerPage {
    text: Bytes,
    fetches: Arc<AtomicUsize>,
}

impl Handler for PeerPage {
    async fn handle(&self, _: Request<Incoming>) -> Result<Response<Body>, StandinError> {
        self.fetches.fetch_add(1, Ordering::Relaxed);
        Ok(Response::new(Either::Left(Full::new(self.text.clone()))))
    }
}

/// A peer that announces a configuration and serves its page.
struct PeerStandin {
    task: JoinHandle<()>,
    page: PeerPage,
    _server: HttpServer,
}

impl PeerStandin {
    /// Starts a peer that announces version `version` as current to an instance.
    async fn start(name: &str, version: u64, page: impl Into<Bytes>, peer: SocketAddr) -> Self {
        let page = PeerPage {
            text: page.into(),
            fetches: Arc::default(),
        };
        let server = HttpServer::start(page.clone()).await.unwrap();
        let socket = UdpSocket::bind(server.address).await.unwrap();
        let message = LoadMessage {
            instance: NameHash::of(name),
            incarnation: 1,
            failure_domain: NameHash::of("hall-a"),
            configuration_version: version,
            servers_age_ms: u32::MAX,
            processor_milli: PEER_PROCESSOR_MILLI,
            ..LoadMessage::default()
        };
        let task = tokio::spawn(send_messages(socket, message, peer));
        Self {
            task,
            page,
            _server: server,
        }
    }

    fn fetches(&self) -> usize {
        self.page.fetches.load(Ordering::Relaxed)
    }
}

impl Drop for PeerStandin {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn send_messages(socket: UdpSocket, mut message: LoadMessage, peer: SocketAddr) {
    loop {
        message.sequence += 1;
        socket.send_to(&message.encode().unwrap(), peer).await.unwrap();
        sleep(MESSAGE_INTERVAL).await;
    }
}

/// Returns the page of a configuration with the routes of the fixtures, and the given further fields.
async fn page(version: u64, fields: &str) -> String {
    let fixture = RouterFixture::start().await;
    let page = ask(fixture.router.addresses().peers, "/configuration", &[]).await;
    let workspaces = r#""workspaces":[{"name":"labska","keys":["key-1","key-2"]}],"requires_keys":true"#;
    let text = page.text().replace(workspaces, fields);
    assert_ne!(text, page.text(), "the page has another format");
    text.replacen(r#""version":1"#, &format!(r#""version":{version}"#), 1)
}

/// The fields of the page of an earlier release whose configuration has no workspaces.
const AMBIGUOUS_FIELDS: &str = r#""workspaces":[]"#;

/// A router with a store of its own and a server, and no peer yet.
struct Alone {
    store: Store,
    router: RunningRouter<TestHeaders>,
    _server: RoutedStandin,
}

impl Alone {
    async fn start(configuration: Option<Configuration>) -> Self {
        let server = RoutedStandin::start().await.unwrap();
        let store = Store::new(configuration, Some(vec![record("app-1", "app", &server)]));
        let router = start(&store, settings("hall-a-1"));
        wait_for("the server", async || {
            let page = ask(router.addresses().admin, "/servers", &[]).await;
            page.text().contains("app-1")
        })
        .await;
        Self {
            store,
            router,
            _server: server,
        }
    }

    async fn add_peer(&self, name: &str, version: u64, page: impl Into<Bytes>) -> PeerStandin {
        PeerStandin::start(name, version, page, self.router.addresses().peers).await
    }
}

/// Guards against a restarted instance that serves everybody, or nobody, because a copy from a peer lost whether keys are
/// needed.
#[tokio::test]
async fn an_instance_that_learns_the_configuration_from_a_peer_admits_the_same_callers() {
    let cases = [
        (CallerAccess::Everyone, OPEN),
        (nobody(), CLOSED),
        (configuration(2).access, KEYED),
    ];
    for (access, expected) in cases {
        let fixture = RouterFixture::start().await;
        fixture.put_in_force(without_workspaces(2, access)).await;
        assert_eq!(statuses(&fixture.router, "/once/").await, expected);
        let silent_store = Store::new(None, None);
        let restarted = start_beside(&fixture, &silent_store);
        wait_until_ready(&restarted).await;
        for path in ALL_PATHS {
            assert_eq!(statuses(&restarted, path).await, expected, "{path}");
        }
        assert_eq!(statuses(&restarted, "/open/").await, OPEN);
    }
}

/// Guards against a copy of this release from which an instance of an earlier one learns less than from its own.
#[tokio::test]
async fn a_copy_for_peers_has_the_fields_that_earlier_releases_need() {
    let fixture = RouterFixture::start().await;
    for (version, access) in [(2, CallerAccess::Everyone), (3, nobody())] {
        fixture.put_in_force(without_workspaces(version, access)).await;
        let page = ask(fixture.router.addresses().peers, "/configuration", &[]).await;
        assert!(page.text().contains(AMBIGUOUS_FIELDS), "{}", page.text());
    }
}

/// Guards against an instance that waits for its turn to read the store while its peers have only copies that it cannot
/// use.
#[tokio::test]
async fn a_copy_that_does_not_say_whether_keys_are_needed_is_read_from_the_store_at_once() {
    let alone = Alone::start(Some(configuration(1))).await;
    wait_for_version(&alone.router, 1).await;
    // This peer knows nothing newer, so the configuration in force never becomes stale.
    let _current = alone.add_peer("hall-a-9", 1, "").await;
    let steps = [(2, CallerAccess::Everyone, OPEN), (3, nobody(), CLOSED)];
    for (version, access, expected) in steps {
        let copy = page(version, AMBIGUOUS_FIELDS).await;
        let name = format!("hall-a-8{version}");
        let _earlier = alone.add_peer(&name, version, copy).await;
        let next = without_workspaces(version, access);
        alone.store.configuration.send_replace(Some(next));
        wait_for_version(&alone.router, version).await;
        assert_eq!(statuses(&alone.router, "/once/").await, expected);
    }
}

/// Guards against an instance that serves everybody, or nobody, by an ambiguous copy while the store is silent.
#[tokio::test]
async fn a_copy_that_does_not_say_whether_keys_are_needed_is_not_put_in_force() {
    let alone = Alone::start(None).await;
    let copy = page(2, AMBIGUOUS_FIELDS).await;
    let peer = alone.add_peer("hall-a-8", 2, copy).await;
    wait_for("the second fetch", async || peer.fetches() >= 2).await;
    assert_eq!(alone.router.configuration_version(), 0);
    let refused = [StatusCode::SERVICE_UNAVAILABLE; 3];
    assert_eq!(statuses(&alone.router, "/once/").await, refused);
    // Workspaces tell that keys are needed, whatever the release of the copy.
    let workspaces = r#""workspaces":[{"name":"labska","keys":["key-1"]}]"#;
    let copy = page(3, workspaces).await;
    let _peer = alone.add_peer("hall-a-9", 3, copy).await;
    wait_for_version(&alone.router, 3).await;
    assert_eq!(statuses(&alone.router, "/once/").await, KEYED);
}

/// Guards against an instance that asks the same peer for a copy that it cannot use while another peer has one that it can.
#[tokio::test]
async fn another_peer_is_asked_after_a_copy_that_cannot_be_used() {
    let ambiguous = page(2, AMBIGUOUS_FIELDS).await;
    let usable = page(2, r#""workspaces":[],"requires_keys":true"#).await;
    for _ in 0..ROUNDS {
        let alone = Alone::start(None).await;
        let mut peers = Vec::new();
        for number in 0..EARLIER_PEERS {
            let name = format!("hall-a-1{number}");
            peers.push(alone.add_peer(&name, 2, ambiguous.clone()).await);
        }
        peers.push(alone.add_peer("hall-a-9", 2, usable.clone()).await);
        wait_for_version(&alone.router, 2).await;
        assert_eq!(statuses(&alone.router, "/once/").await, CLOSED);
    }
}

/// Guards against an instance without a configuration beside a peer that has one, because others announce a newer version
/// of which they have only copies that cannot be used.
#[tokio::test]
async fn an_earlier_version_is_taken_while_no_copy_of_the_newest_can_be_used() {
    let alone = Alone::start(None).await;
    let ambiguous = page(7, AMBIGUOUS_FIELDS).await;
    let _earlier = alone.add_peer("hall-a-8", 7, ambiguous).await;
    let usable = page(5, r#""workspaces":[{"name":"labska","keys":["key-1"]}]"#).await;
    let _same = alone.add_peer("hall-a-9", 5, usable).await;
    wait_for_version(&alone.router, 5).await;
    assert_eq!(statuses(&alone.router, "/once/").await, KEYED);
    let newest = without_workspaces(7, nobody());
    alone.store.configuration.send_replace(Some(newest));
    wait_for_version(&alone.router, 7).await;
    assert_eq!(statuses(&alone.router, "/once/").await, CLOSED);
}

/// Returns how often the configuration was read from the store.
async fn store_reads(router: &RunningRouter<TestHeaders>) -> u64 {
    let page = ask(router.addresses().admin, "/metrics", &[]).await;
    let text = page.text();
    let count = text.lines().find_map(|line| line.strip_prefix(STORE_READS));
    count.map_or(0, |count| count.trim().parse().unwrap())
}

/// Guards against an instance that reads the store for ever, for a version that it lost when it came back from an older copy.
#[tokio::test]
async fn a_version_that_the_store_has_lost_is_looked_for_there_once() {
    let alone = Alone::start(Some(configuration(1))).await;
    wait_for_version(&alone.router, 1).await;
    // This peer knows nothing newer and is the reader, so the instance has no other reason to read.
    let _current = alone.add_peer("hall-a-9", 1, "").await;
    wait_for("another reader", async || {
        let reads = store_reads(&alone.router).await;
        sleep(READ_INTERVAL).await;
        store_reads(&alone.router).await == reads
    })
    .await;
    let reads_before = store_reads(&alone.router).await;
    let earlier = alone
        .add_peer("hall-a-8", 7, page(7, AMBIGUOUS_FIELDS).await)
        .await;
    wait_for("a read for the version", async || {
        store_reads(&alone.router).await > reads_before
    })
    .await;
    let reads = store_reads(&alone.router).await;
    let fetches = earlier.fetches();
    wait_for("further announcements", async || {
        earlier.fetches() >= fetches + FURTHER_FETCHES
    })
    .await;
    let further = store_reads(&alone.router).await - reads;
    // One read may have begun before the first one ended.
    assert!(further <= 1, "{further} further reads");
    assert_eq!(alone.router.configuration_version(), 1);
    let next = without_workspaces(8, nobody());
    let usable = page(8, r#""workspaces":[],"requires_keys":true"#).await;
    alone.store.configuration.send_replace(Some(next));
    let _newer = alone.add_peer("hall-a-7", 8, usable).await;
    wait_for_version(&alone.router, 8).await;
    assert_eq!(statuses(&alone.router, "/once/").await, CLOSED);
}

/// Guards against an instance that no longer looks for a version which the store did not have at first.
#[tokio::test]
async fn a_version_that_comes_back_to_the_store_is_put_in_force() {
    let alone = Alone::start(Some(configuration(5))).await;
    wait_for_version(&alone.router, 5).await;
    let earlier = alone
        .add_peer("hall-a-8", 7, page(7, AMBIGUOUS_FIELDS).await)
        .await;
    wait_for("some fetches", async || earlier.fetches() >= FURTHER_FETCHES).await;
    assert_eq!(alone.router.configuration_version(), 5);
    let again = without_workspaces(7, CallerAccess::Everyone);
    alone.store.configuration.send_replace(Some(again));
    wait_for_version(&alone.router, 7).await;
    assert_eq!(statuses(&alone.router, "/once/").await, OPEN);
}

/// Guards against an upgrade in which instances refuse everybody without the store: once one instance of this release has the
/// configuration, the others need only it.
#[tokio::test]
async fn an_upgrade_goes_on_without_the_store_after_its_first_instance() {
    let ambiguous = page(2, AMBIGUOUS_FIELDS).await;
    for (access, expected) in [(CallerAccess::Everyone, OPEN), (nobody(), CLOSED)] {
        let first = Alone::start(Some(without_workspaces(2, access))).await;
        wait_for_version(&first.router, 2).await;
        let silent_store = Store::new(None, None);
        let mut upgraded = first.router;
        for name in ["hall-a-2", "hall-a-3"] {
            let mut settings = settings(name);
            settings.seeds = vec![upgraded.addresses().peers];
            let next = start(&silent_store, settings);
            let next_peers = next.addresses().peers;
            let mut earlier = Vec::new();
            for number in 0..EARLIER_PEERS {
                let name = format!("hall-a-1{number}");
                earlier.push(PeerStandin::start(&name, 2, ambiguous.clone(), next_peers).await);
            }
            wait_until_ready(&next).await;
            assert_eq!(statuses(&next, "/once/").await, expected, "{name}");
            // The instance before may go at once.
            upgraded.kill();
            upgraded = next;
        }
    }
}

/// Guards against a kept connection, or a stream that is taken up again, which a taken workspace's key still opens.
#[tokio::test]
async fn kept_connections_and_resumed_streams_need_a_key_of_the_version_in_force() {
    let fixture = RouterFixture::start().await;
    let mut kept = Caller::connect(fixture.callers()).await;
    for path in ALL_PATHS {
        assert_eq!(kept.ask(path, &[]).await.status, StatusCode::OK, "{path}");
    }
    fixture.put_in_force(without_workspaces(2, nobody())).await;
    let runs_before = fixture.app.runs().len() + fixture.llm.runs().len();
    let continuation = [("reedsail-resumes", "id-1"), ("last-event-id", "2")];
    let mut new = Caller::connect(fixture.callers()).await;
    for caller in [&mut kept, &mut new] {
        for path in ALL_PATHS {
            let reply = caller.ask(path, &[]).await;
            assert_eq!(reply.status, StatusCode::UNAUTHORIZED, "{path}");
        }
        let reply = caller.ask("/resume/", &continuation).await;
        assert_eq!(reply.status, StatusCode::UNAUTHORIZED, "a continuation");
    }
    assert_eq!(fixture.app.runs().len() + fixture.llm.runs().len(), runs_before);
}

/// Guards against an instance that stays at the workspaces of before its machine was suspended.
#[tokio::test]
async fn workspaces_that_were_taken_away_during_a_suspension_are_gone_after_it() {
    let suspension: &SimulatedSuspension = Box::leak(Box::default());
    let clock = Clock::with_simulated_suspension(suspension);
    let fixture = RouterFixture::start_at(clock, |_| {}).await;
    assert_eq!(statuses(&fixture.router, "/once/").await, KEYED);
    suspension.suspend(SUSPENSION_MS);
    fixture.put_in_force(without_workspaces(2, nobody())).await;
    assert_eq!(statuses(&fixture.router, "/once/").await, CLOSED);
    suspension.suspend(SUSPENSION_MS);
    fixture.put_in_force(configuration(3)).await;
    assert_eq!(statuses(&fixture.router, "/once/").await, KEYED);
}

/// Guards against an earlier version that decides who may call while versions follow each other at once.
#[tokio::test]
async fn the_last_of_several_versions_at_once_decides() {
    let fixture = RouterFixture::start().await;
    for round in 0..ROUNDS as u64 {
        let first = 2 + 6 * round;
        let open = without_workspaces(first, CallerAccess::Everyone);
        let closed = without_workspaces(first + 1, nobody());
        let keyed = configuration(first + 2);
        for next in [open.clone(), closed.clone(), keyed] {
            fixture.store.configuration.send_replace(Some(next));
        }
        wait_for_version(&fixture.router, first + 2).await;
        assert_eq!(statuses(&fixture.router, "/once/").await, KEYED);
        for (version, next) in [(first + 3, open), (first + 4, closed)] {
            let next = Configuration { version, ..next };
            fixture.store.configuration.send_replace(Some(next));
        }
        wait_for_version(&fixture.router, first + 4).await;
        assert_eq!(statuses(&fixture.router, "/once/").await, CLOSED);
    }
}

/// Guards against a retry without a workspace, once the workspace of its request has been taken away.
#[tokio::test]
async fn a_retry_keeps_the_workspace_with_which_its_request_was_admitted() {
    let fixture = RouterFixture::start().await;
    let second = fixture.add_server("app-2", "app").await;
    for server in [&fixture.app, &second] {
        server.answer_with(&[RoutedAnswer::Silent]);
    }
    let callers = fixture.callers();
    let asking = tokio::spawn(async move { ask(callers, "/again/", &[]).await });
    wait_for("the first attempt", async || {
        fixture.app.runs().len() + second.runs().len() == 1
    })
    .await;
    fixture.put_in_force(without_workspaces(2, nobody())).await;
    let (first, other) = if second.runs().is_empty() {
        (&fixture.app, &second)
    } else {
        (&second, &fixture.app)
    };
    other.answer_with(&[RoutedAnswer::Whole {
        status: 200,
        bytes: 10,
    }]);
    first.crash();
    assert_eq!(asking.await.unwrap().status, StatusCode::OK);
    assert_eq!(other.runs()[0].header("reedsail-workspace"), "labska");
}
