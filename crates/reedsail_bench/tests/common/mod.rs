//! Small fleets and raw requests, shared by the tests.
#![allow(dead_code, reason = "each test file uses a part")]

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Request;
use hyper::StatusCode;
use reedsail_bench::DaemonSetup;
use reedsail_bench::Fleet;
use reedsail_bench::FleetSetup;
use reedsail_bench::ServiceSetup;
use reedsail_bench::WorkspacePlan;
use reedsail_daemon::PolicyChoice;
use reedsail_daemon::RunningDaemon;
use reedsail_daemon::Settings;
use reedsail_net::BodyFraming;
use reedsail_net::ByteCounter;
use reedsail_net::HttpConnection;
use reedsail_standin::PlatformConfig;
use tokio::time::sleep;

/// Returns the setup of a fleet with one to three failure domains, `daemons_per_domain` instances in
/// each and one backend server of each service in each.
pub(crate) fn small_setup(domains: usize, daemons_per_domain: usize) -> FleetSetup {
    let names: Vec<String> = ["hall-a", "hall-b", "hall-c"]
        .iter()
        .take(domains)
        .map(ToString::to_string)
        .collect();
    let daemons = names.iter().flat_map(|domain| {
        (1..=daemons_per_domain).map(move |number| DaemonSetup {
            instance: format!("{domain}-{number}"),
            failure_domain: domain.clone(),
        })
    });
    let one_server_per_domain = || names.iter().map(|domain| (domain.clone(), 1)).collect();
    FleetSetup {
        name: "small".to_owned(),
        daemons: daemons.collect(),
        services: vec![
            ServiceSetup {
                name: "assistant-llm".to_owned(),
                model: Some("hut-writer".to_owned()),
                path_prefix: None,
                keyed_prefix: None,
                servers_by_domain: one_server_per_domain(),
                slots: 8,
                token_interval_ms: 5,
            },
            ServiceSetup {
                name: "booking-api".to_owned(),
                model: None,
                path_prefix: Some("/booking/".to_owned()),
                keyed_prefix: Some("/booking/deposits".to_owned()),
                servers_by_domain: one_server_per_domain(),
                slots: 32,
                token_interval_ms: 0,
            },
        ],
        workspaces: ["labska", "lucni"]
            .iter()
            .map(|name| WorkspacePlan {
                name: (*name).to_owned(),
                weight: 1.0,
                queued_max: None,
            })
            .collect(),
    }
}

/// Starts a small fleet with short leases.
pub(crate) async fn small_fleet(domains: usize, daemons_per_domain: usize) -> Fleet {
    tuned_fleet(domains, daemons_per_domain, |_| {}).await
}

/// Starts a small fleet with changed settings.
pub(crate) async fn tuned_fleet(
    domains: usize,
    daemons_per_domain: usize,
    tune: impl Fn(&mut Settings),
) -> Fleet {
    let setup = small_setup(domains, daemons_per_domain);
    let platform = PlatformConfig {
        list_lag_ms: 50,
        ..PlatformConfig::default()
    };
    Fleet::start(setup, PolicyChoice::Fleet, platform, |settings| {
        settings.control.lease_ms = 1_000;
        tune(settings);
    })
    .await
    .expect("the fleet starts")
}

/// Runs the future of a test on a multi-threaded runtime.
pub(crate) fn run<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("the runtime can be built");
    runtime.block_on(test)
}

/// An unprocessed answer.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// How the answer delimits its body.
    pub(crate) framing: BodyFraming,
}

impl Answer {
    pub(crate) fn header(&self, name: &str) -> &str {
        self.headers
            .get(name)
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
    }

    /// Returns the error kind in the body, or `none` without one.
    pub(crate) fn kind(&self) -> String {
        let body: serde_json::Value = serde_json::from_slice(&self.body).unwrap_or_default();
        body["error"]["kind"].as_str().unwrap_or("none").to_owned()
    }
}

/// Returns a request builder with the key of a workspace.
pub(crate) fn request(method: &str, path: &str, workspace: &str) -> hyper::http::request::Builder {
    Request::builder()
        .method(method)
        .uri(path)
        .header("host", "test")
        .header(
            "authorization",
            format!("Bearer {}", WorkspacePlan::caller_key(workspace)),
        )
}

/// Sends a request and reads the complete answer.
pub(crate) async fn send(address: SocketAddr, request: Request<Full<Bytes>>) -> Answer {
    let mut connection = HttpConnection::open(address, 5_000, ByteCounter::default())
        .await
        .expect("the instance accepts connections");
    assert!(connection.ready().await);
    let response = connection.send(request).await.expect("the instance answers");
    let (parts, body) = response.into_parts();
    let framing = BodyFraming::of(&parts.headers, &body);
    Answer {
        framing,
        status: parts.status,
        headers: parts.headers,
        body: body.collect().await.expect("the answer is complete").to_bytes(),
    }
}

/// Returns the body of a chat request.
pub(crate) fn chat_body(model: &str, prompt: &str, tokens: u64, stream: bool) -> Full<Bytes> {
    let body = serde_json::json!({
        "model": model,
        "stream": stream,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": prompt}],
    });
    Full::new(Bytes::from(body.to_string()))
}

/// Returns a new idempotency key.
pub(crate) fn new_key() -> String {
    uuid::Uuid::now_v7().to_string()
}

/// Waits until a bundle version is in force on every running instance.
pub(crate) async fn wait_for_version(fleet: &Fleet, version: u32, limit_ms: u64) {
    let deadline = Instant::now() + Duration::from_millis(limit_ms);
    loop {
        let lagging: Vec<&str> = fleet
            .daemons
            .values()
            .filter(|daemon| daemon.bundle_version() < version)
            .map(RunningDaemon::instance)
            .collect();
        if lagging.is_empty() {
            return;
        }
        assert!(
            Instant::now() < deadline,
            "version {version} is not in force on {lagging:?}"
        );
        sleep(Duration::from_millis(5)).await;
    }
}
