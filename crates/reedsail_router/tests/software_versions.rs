//! Streams and software versions: on which server a stream may continue, within one answer and when its caller returns.

mod common;

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::HeaderValue;
use reedsail_dispatch::ServerRecord;
use reedsail_net::ReceivedBody;
use reedsail_router::RunningRouter;
use reedsail_standin::RoutedAnswer;
use reedsail_standin::RoutedStandin;

use common::Caller;
use common::Reply;
use common::Store;
use common::ask;
use common::configuration;
use common::read;
use common::read_body;
use common::record;
use common::request;
use common::settings;
use common::start;
use common::test_headers::TestHeaders;
use common::wait_for;
use common::wait_until_ready;
use common::workspace;
use common::workspaces_mut;

/// A stream that pauses after its second event.
const PAUSED: RoutedAnswer = RoutedAnswer::Stream {
    events: 9,
    pause_after: Some(2),
};
/// A stream that ends after its sixth event.
const COMPLETE: RoutedAnswer = RoutedAnswer::Stream {
    events: 6,
    pause_after: None,
};
/// Four engines of two versions, with their ids.
const TWO_OF_EACH: [(&str, &str); 4] = [("llm-1", "v1"), ("llm-2", "v1"), ("llm-3", "v2"), ("llm-4", "v2")];
/// Number of streams of a test that spreads them over the engines.
const STREAMS: usize = 12;

/// An engine with its software version.
struct Engine {
    id: &'static str,
    version: &'static str,
    server: RoutedStandin,
}

impl Engine {
    fn record(&self) -> ServerRecord {
        ServerRecord {
            software_version: Some(self.version.to_owned()),
            ..record(self.id, "llm", &self.server)
        }
    }

    /// Returns the number of runs of a request.
    fn runs_of(&self, request_id: &str) -> usize {
        let runs = self.server.runs();
        let of_request = |run: &&reedsail_standin::RoutedRun| run.header("reedsail-request-id") == request_id;
        runs.iter().filter(of_request).count()
    }
}

/// Engines of several versions behind instances that know each other.
struct Fleet {
    store: Store,
    engines: Vec<Engine>,
    routers: Vec<RunningRouter<TestHeaders>>,
}

impl Fleet {
    async fn start(instances: usize, engines: &[(&'static str, &'static str)]) -> Self {
        let mut running = Vec::new();
        for (id, version) in engines {
            let server = RoutedStandin::start().await.unwrap();
            server.answer_with(&[PAUSED]);
            running.push(Engine { id, version, server });
        }
        let records = running.iter().map(Engine::record).collect();
        let mut configuration = configuration(1);
        workspaces_mut(&mut configuration).push(workspace("harrachov", &["key-3"]));
        let mut fleet = Self {
            store: Store::new(Some(configuration), Some(records)),
            engines: running,
            routers: Vec::new(),
        };
        for _ in 0..instances {
            fleet.add_instance().await;
        }
        fleet
    }

    /// Starts one more instance, and waits until the others know it.
    async fn add_instance(&mut self) {
        let mut settings = settings(&format!("hall-{}", self.routers.len()));
        settings.seeds = self
            .routers
            .iter()
            .map(|router| router.addresses().peers)
            .collect();
        let router = start(&self.store, settings);
        wait_until_ready(&router).await;
        self.routers.push(router);
        let peers = format!("reedsail_router_peers_alive {}", self.routers.len() - 1);
        for router in &self.routers {
            let admin = router.addresses().admin;
            wait_for("peers", async || {
                ask(admin, "/metrics", &[]).await.text().contains(&peers)
            })
            .await;
        }
    }

    fn callers(&self, instance: usize) -> SocketAddr {
        self.routers[instance].addresses().callers
    }

    /// Returns the engine that ran a request.
    fn engine_of(&self, request_id: &str) -> &Engine {
        let mut engines = self.engines.iter();
        engines.find(|engine| engine.runs_of(request_id) > 0).unwrap()
    }

    /// Sets the time at which all engines have started, in their records as well.
    async fn set_starts(&self, born_ms: u64) {
        self.store.servers.send_modify(|records| {
            for record in records.as_mut().unwrap() {
                record.born_ms = Some(born_ms);
            }
        });
        for engine in &self.engines {
            engine.server.set_start_ms(born_ms);
        }
        let admin = self.routers[0].addresses().admin;
        let shown = format!("\"born_ms\":{born_ms}");
        wait_for("the starts", async || {
            let page = ask(admin, "/servers", &[]).await;
            page.text().matches(&shown).count() == self.engines.len()
        })
        .await;
    }

    /// Returns the versions at which the streams of a test began.
    fn first_versions(&self) -> Vec<&'static str> {
        let first = (0..STREAMS).map(|number| format!("first-{number}"));
        first
            .map(|request_id| self.engine_of(&request_id).version)
            .collect()
    }

    /// Ends an engine while the instances still list it.
    fn close_engine(&mut self, id: &str) {
        let index = self.engines.iter().position(|engine| engine.id == id).unwrap();
        self.engines.remove(index).server.close();
    }

    /// Ends an engine, and waits until no instance lists it.
    async fn remove_engine(&mut self, id: &'static str) {
        self.close_engine(id);
        let records: Vec<ServerRecord> = self.engines.iter().map(Engine::record).collect();
        self.store.servers.send_replace(Some(records));
        for router in &self.routers {
            let admin = router.addresses().admin;
            wait_for("removal", async || {
                !ask(admin, "/servers", &[]).await.text().contains(id)
            })
            .await;
        }
    }

    /// Sends a continuation to an instance, and checks that it is refused with a kind and without a run.
    async fn expect_refusal(&self, instance: usize, continuation: Request<Full<Bytes>>, kind: &str) -> Reply {
        let request_id = continuation.headers()["reedsail-request-id"]
            .to_str()
            .unwrap()
            .to_owned();
        let mut caller = Caller::connect(self.callers(instance)).await;
        let reply = read(caller.send(continuation).await).await;
        assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE, "{}", reply.text());
        assert!(reply.text().starts_with(kind), "{}", reply.text());
        assert!(self.engines.iter().all(|engine| engine.runs_of(&request_id) == 0));
        reply
    }

    /// Begins the streams of a test at the first instance. They stay open while the answers are kept.
    async fn begin_streams(&self) -> Vec<Response<ReceivedBody>> {
        let mut open = Vec::new();
        for number in 0..STREAMS {
            open.push(begin_stream(self.callers(0), &format!("first-{number}"), number).await);
        }
        open
    }

    /// Continues each stream of a test at an instance, and checks that it continues at the version that began it.
    async fn expect_continuations(&self, began: &[&str], instance_of: impl Fn(usize) -> usize) {
        for (number, version) in began.iter().enumerate() {
            let (first, second) = (format!("first-{number}"), format!("second-{number}"));
            let mut caller = Caller::connect(self.callers(instance_of(number))).await;
            let reply = read(caller.send(continuation(&second, &first, number)).await).await;
            assert_eq!(reply.status, StatusCode::OK, "{second}: {}", reply.text());
            assert_eq!(self.engine_of(&second).version, *version, "{second}");
        }
    }

    /// Lets every engine answer with complete streams from now on.
    fn complete_streams(&self) {
        for engine in &self.engines {
            engine.server.answer_with(&[COMPLETE]);
        }
    }
}

/// Returns the prompt of a stream. Each stream has its own, so that the streams spread over the engines.
fn prompt_of(number: usize) -> String {
    format!("{:x}:2000,{:x}:100", number + 1, number + 1_000)
}

/// Begins a stream at an instance and reads its first two events. The stream stays open while the answer is kept.
async fn begin_stream(callers: SocketAddr, request_id: &str, number: usize) -> Response<ReceivedBody> {
    let mut caller = Caller::connect(callers).await;
    let prompt = prompt_of(number);
    let headers = [("reedsail-request-id", request_id), ("reedsail-prompt", &prompt)];
    let mut response = caller.send(request("/resume/", &headers)).await;
    assert_eq!(response.status(), StatusCode::OK);
    let (events, _) = read_body(response.body_mut(), Some("token 2")).await;
    assert!(String::from_utf8_lossy(&events).contains("id: 1"));
    response
}

/// Builds the request of a caller that continues a stream after its second event.
fn continuation(request_id: &str, first_attempt: &str, number: usize) -> Request<Full<Bytes>> {
    let prompt = prompt_of(number);
    let headers = [
        ("reedsail-request-id", request_id),
        ("reedsail-prompt", &prompt),
        ("reedsail-resumes", first_attempt),
        ("last-event-id", "2"),
    ];
    request("/resume/", &headers)
}

#[tokio::test]
async fn a_broken_stream_is_not_continued_by_another_version() {
    let fleet = Fleet::start(1, &[("llm-1", "v1"), ("llm-2", "v2")]).await;
    let response = begin_stream(fleet.callers(0), "first", 0).await;
    fleet.complete_streams();
    fleet.engine_of("first").server.crash();
    let rest = read(response).await;
    assert!(!rest.is_whole, "{}", rest.text());
    let runs: usize = fleet.engines.iter().map(|engine| engine.runs_of("first")).sum();
    assert_eq!(runs, 1);
}

#[tokio::test]
async fn a_caller_that_returns_to_another_instance_continues_at_the_version_that_began() {
    let mut fleet = Fleet::start(3, &TWO_OF_EACH).await;
    let _open = fleet.begin_streams().await;
    let began = fleet.first_versions();
    fleet.complete_streams();
    fleet.routers.remove(0).kill();
    fleet.close_engine("llm-1");
    fleet.close_engine("llm-3");
    fleet.expect_continuations(&began, |number| number % 2).await;
}

#[tokio::test]
async fn a_caller_that_returns_to_an_instance_that_has_just_started_continues_at_the_version_that_began() {
    let mut fleet = Fleet::start(3, &TWO_OF_EACH).await;
    let _open = fleet.begin_streams().await;
    let began = fleet.first_versions();
    fleet.complete_streams();
    fleet.add_instance().await;
    fleet.routers.remove(0).kill();
    fleet.close_engine("llm-1");
    fleet.close_engine("llm-3");
    fleet.expect_continuations(&began, |_| 2).await;
}

#[tokio::test]
async fn a_stream_that_nobody_knows_is_refused_while_a_service_runs_two_versions() {
    let fleet = Fleet::start(2, &[("llm-1", "v1"), ("llm-2", "v2")]).await;
    fleet.complete_streams();
    let unknown = continuation("second", "never-sent", 0);
    let reply = fleet.expect_refusal(0, unknown, "stream_version_unknown").await;
    assert_ne!(reply.header("retry-after"), "");
}

#[tokio::test]
async fn a_workspace_cannot_continue_the_stream_of_another_one() {
    let fleet = Fleet::start(2, &TWO_OF_EACH).await;
    let _open = begin_stream(fleet.callers(0), "first", 0).await;
    fleet.complete_streams();
    let mut foreign = continuation("second", "first", 0);
    let key = HeaderValue::from_static("Bearer key-3");
    foreign.headers_mut().insert("authorization", key);
    fleet.expect_refusal(0, foreign, "stream_version_unknown").await;
}

#[tokio::test]
async fn a_stream_whose_caller_does_not_name_it_is_refused_while_a_service_runs_two_versions() {
    let fleet = Fleet::start(2, &TWO_OF_EACH).await;
    let _open = begin_stream(fleet.callers(0), "first", 0).await;
    fleet.complete_streams();
    let mut nameless = continuation("second", "first", 0);
    nameless.headers_mut().remove("reedsail-resumes");
    fleet.expect_refusal(0, nameless, "stream_version_unknown").await;
    let mut ambiguous = continuation("third", "first", 0);
    let other = HeaderValue::from_static("another");
    ambiguous.headers_mut().append("reedsail-resumes", other);
    fleet.expect_refusal(0, ambiguous, "stream_version_unknown").await;
}

#[tokio::test]
async fn an_id_of_two_streams_of_different_versions_continues_neither() {
    let fleet = Fleet::start(2, &TWO_OF_EACH).await;
    let mut open = Vec::new();
    for number in 0..STREAMS {
        open.push(begin_stream(fleet.callers(0), "first", number).await);
    }
    fleet.complete_streams();
    for instance in [0, 1] {
        let request_id = format!("second-{instance}");
        let reused = continuation(&request_id, "first", 0);
        fleet
            .expect_refusal(instance, reused, "stream_version_unknown")
            .await;
    }
}

#[tokio::test]
async fn a_stream_without_a_server_of_its_version_is_refused_at_once() {
    let mut fleet = Fleet::start(1, &[("llm-1", "v1"), ("llm-2", "v2")]).await;
    let response = begin_stream(fleet.callers(0), "first", 0).await;
    fleet.complete_streams();
    let began = fleet.engine_of("first").id;
    fleet.remove_engine(began).await;
    assert!(!read(response).await.is_whole);
    let orphan = continuation("second", "first", 0);
    let reply = fleet.expect_refusal(0, orphan, "stream_version_gone").await;
    assert_eq!(reply.header("retry-after"), "");
}

#[tokio::test]
async fn a_server_that_started_again_under_its_id_continues_no_stream_while_the_list_is_old() {
    let fleet = Fleet::start(1, &[("llm-1", "v1"), ("llm-2", "v1")]).await;
    fleet.set_starts(1).await;
    let response = begin_stream(fleet.callers(0), "first", 0).await;
    fleet.complete_streams();
    // Both are later starts, of which the list does not know yet.
    for engine in &fleet.engines {
        engine.server.set_start_ms(2);
    }
    fleet.engine_of("first").server.crash();
    assert!(!read(response).await.is_whole);
    let early = continuation("second", "first", 0);
    fleet.expect_refusal(0, early, "no_backend").await;
    // Only the incarnation of the record continues it.
    for engine in &fleet.engines {
        engine.server.set_start_ms(1);
    }
    let mut caller = Caller::connect(fleet.callers(0)).await;
    let reply = read(caller.send(continuation("third", "first", 0)).await).await;
    assert_eq!(reply.status, StatusCode::OK, "{}", reply.text());
}

#[tokio::test]
async fn a_stream_does_not_begin_at_a_later_start_of_a_server_while_two_versions_run() {
    let fleet = Fleet::start(1, &[("llm-1", "v1"), ("llm-2", "v2")]).await;
    fleet.set_starts(1).await;
    fleet.complete_streams();
    // The second engine has started again, of which the list does not know yet.
    fleet.engines[1].server.set_start_ms(2);
    for number in 0..STREAMS {
        let prompt = prompt_of(number);
        let request_id = format!("first-{number}");
        let headers = [
            ("reedsail-request-id", request_id.as_str()),
            ("reedsail-prompt", &prompt),
        ];
        let reply = ask(fleet.callers(0), "/resume/", &headers).await;
        assert_eq!(reply.status, StatusCode::OK, "{}", reply.text());
        assert_eq!(fleet.engine_of(&request_id).id, "llm-1");
    }
}

#[tokio::test]
async fn requests_of_a_service_of_one_version_share_a_connection() {
    let fleet = Fleet::start(1, &[("llm-1", "v1")]).await;
    fleet.set_starts(1).await;
    fleet.complete_streams();
    for number in 0..STREAMS {
        let request_id = format!("first-{number}");
        let headers = [("reedsail-request-id", request_id.as_str())];
        let reply = ask(fleet.callers(0), "/resume/", &headers).await;
        assert_eq!(reply.status, StatusCode::OK, "{}", reply.text());
    }
    let admin = fleet.routers[0].addresses().admin;
    let metrics = ask(admin, "/metrics", &[]).await;
    let opened = r#"reedsail_router_connects_total{outcome="opened"} 1"#;
    assert!(metrics.text().contains(opened), "{}", metrics.text());
}

/// All instances end at once, with two versions in service or the older one just gone, and start again.
#[tokio::test]
async fn no_stream_continues_at_another_version_after_all_instances_have_started_again() {
    for older_is_gone in [false, true] {
        let mut fleet = Fleet::start(3, &TWO_OF_EACH).await;
        let _open = fleet.begin_streams().await;
        fleet.complete_streams();
        for router in fleet.routers.drain(..) {
            router.kill();
        }
        if older_is_gone {
            fleet.remove_engine("llm-1").await;
            fleet.remove_engine("llm-2").await;
        }
        for _ in 0..3 {
            fleet.add_instance().await;
        }
        for number in 0..STREAMS {
            let (first, second) = (format!("first-{number}"), format!("second-{number}"));
            let continuation = continuation(&second, &first, number);
            fleet
                .expect_refusal(number % 3, continuation, "stream_version_unknown")
                .await;
        }
    }
}
