//! A stand-in for the platform: a log with limited rate and retention, and an instance list that lags.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use http_body_util::BodyExt;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use reedsail_log_client::Appended;
use reedsail_log_client::Instance;
use reedsail_log_client::InstanceList;
use tokio::sync::Notify;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::StandinError;
use crate::http_server::Body;
use crate::http_server::Handler;
use crate::http_server::HttpServer;
use crate::http_server::full_response;
use crate::platform_log::LogStreams;

/// How the platform behaves without faults.
#[derive(Clone, Copy, Debug)]
pub struct PlatformConfig {
    /// Appends per second that the log accepts. It refuses more with status 429.
    pub appends_per_s: f64,
    /// How long records are kept, in milliseconds.
    pub retention_ms: u64,
    /// Lag of the instance list, in milliseconds.
    pub list_lag_ms: u64,
    /// Duration of an append, in milliseconds.
    pub append_ms: u64,
    /// Seed of the random faults.
    pub seed: u64,
}

impl Default for PlatformConfig {
    fn default() -> Self {
        Self {
            appends_per_s: 100.0,
            retention_ms: 3_600_000,
            list_lag_ms: 500,
            append_ms: 5,
            seed: 1,
        }
    }
}

/// The active faults of the platform.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlatformFaults {
    /// The platform refuses every call with status 503.
    pub outage: bool,
    /// Fraction of appends that take effect but whose answer is lost.
    pub lost_answer_ratio: f64,
    /// Additional delay of each call, in milliseconds.
    pub delay_ms: u64,
    /// The instance list does not change.
    pub list_frozen: bool,
}

#[derive(Debug)]
struct State {
    config: PlatformConfig,
    faults: PlatformFaults,
    log: LogStreams,
    append_tokens: f64,
    tokens_updated_at: Instant,
    list_version: u64,
    list: Vec<(u64, Instance)>,
    list_pending: VecDeque<(Instant, Instance)>,
    random: StdRng,
}

#[derive(Clone, Debug)]
struct PlatformHandler {
    state: Arc<Mutex<State>>,
    change_notify: Arc<Notify>,
}

/// A running platform.
#[derive(Debug)]
pub struct PlatformStandin {
    server: HttpServer,
    handler: PlatformHandler,
}

impl PlatformStandin {
    /// Starts a platform on a free loopback port.
    ///
    /// # Errors
    /// Returns the system's error if the port cannot be bound.
    pub async fn start(config: PlatformConfig) -> std::io::Result<Self> {
        let state = State {
            config,
            faults: PlatformFaults::default(),
            log: LogStreams::default(),
            append_tokens: config.appends_per_s,
            tokens_updated_at: Instant::now(),
            list_version: 0,
            list: Vec::new(),
            list_pending: VecDeque::new(),
            random: StdRng::seed_from_u64(config.seed),
        };
        let handler = PlatformHandler {
            state: Arc::new(Mutex::new(state)),
            change_notify: Arc::new(Notify::new()),
        };
        let server = HttpServer::start(handler.clone()).await?;
        Ok(Self { server, handler })
    }

    /// Returns the address at which the platform accepts calls.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Adds or changes a row of the instance list. The change is visible after the list's lag.
    pub fn set_instance(&self, instance: Instance) {
        self.handler.with_state(|state| {
            let published_at = Instant::now() + Duration::from_millis(state.config.list_lag_ms);
            state.list_pending.push_back((published_at, instance));
        });
    }

    /// Switches faults on and off.
    pub fn set_faults(&self, change: impl FnOnce(&mut PlatformFaults)) {
        self.handler.with_state(|state| change(&mut state.faults));
        self.handler.change_notify.notify_waiters();
    }

    /// Drops all records, as if their retention had expired.
    pub fn age_out(&self) {
        self.handler.with_state(|state| state.log.drop_before(u64::MAX));
    }

    /// Stops the platform.
    pub fn close(self) {
        self.server.close();
    }
}

impl PlatformHandler {
    fn with_state<T>(&self, action: impl FnOnce(&mut State) -> T) -> T {
        action(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    async fn append(&self, stream: &str, data: Vec<u8>) -> Result<Response<Body>, StandinError> {
        let append_ms = self.with_state(|state| state.config.append_ms);
        sleep(Duration::from_millis(append_ms)).await;
        let outcome = self.with_state(|state| state.append(stream, data));
        self.change_notify.notify_waiters();
        match outcome {
            None => Ok(full_response(StatusCode::TOO_MANY_REQUESTS, "{}")),
            Some((_, true)) => Err(StandinError),
            Some((offset, false)) => Ok(json(&Appended { offset })),
        }
    }

    /// Waits until `read` returns true or `wait_ms` have passed. Returns the second value of `read`.
    async fn wait_for<T>(&self, wait_ms: u64, read: impl Fn(&mut State) -> (bool, T)) -> T {
        let wait = async {
            loop {
                let changed = self.change_notify.notified();
                if self.with_state(|state| read(state).0 || state.faults.outage) {
                    return;
                }
                // Rows of the instance list also become visible as time passes, without a notification.
                let _ = timeout(Duration::from_millis(50), changed).await;
            }
        };
        let _ = timeout(Duration::from_millis(wait_ms), wait).await;
        self.with_state(|state| read(state).1)
    }
}

impl Handler for PlatformHandler {
    async fn handle(&self, request: Request<Incoming>) -> Result<Response<Body>, StandinError> {
        let faults = self.with_state(|state| state.faults);
        sleep(Duration::from_millis(faults.delay_ms)).await;
        if faults.outage {
            return Ok(full_response(StatusCode::SERVICE_UNAVAILABLE, "{}"));
        }
        let path = request.uri().path().to_owned();
        let query = request.uri().query().unwrap_or_default().to_owned();
        let wait_ms = query_number(&query, "wait_ms");
        if let Some(stream) = path.strip_prefix("/v1/log/") {
            if request.method() == Method::POST {
                let body = request.into_body().collect().await.map_err(|_| StandinError)?;
                return self.append(stream, body.to_bytes().to_vec()).await;
            }
            let from = query_number(&query, "from");
            let page = self.wait_for(wait_ms, |state| state.read(stream, from)).await;
            if self.with_state(|state| state.faults.outage) {
                return Ok(full_response(StatusCode::SERVICE_UNAVAILABLE, "{}"));
            }
            return Ok(json(&page));
        }
        if path == "/v1/instances" {
            let since = query_number(&query, "since");
            let list = self.wait_for(wait_ms, |state| state.list_since(since)).await;
            return Ok(json(&list));
        }
        Ok(full_response(StatusCode::NOT_FOUND, "{}"))
    }
}

impl State {
    /// Returns the offset and whether the answer is lost, or `None` if the append exceeds the rate.
    fn append(&mut self, stream: &str, data: Vec<u8>) -> Option<(u64, bool)> {
        let elapsed_s = self.tokens_updated_at.elapsed().as_secs_f64();
        self.tokens_updated_at = Instant::now();
        let rate = self.config.appends_per_s;
        self.append_tokens = (self.append_tokens + elapsed_s * rate).min(rate);
        if self.append_tokens < 1.0 {
            return None;
        }
        self.append_tokens -= 1.0;
        let is_answer_lost = self.random.random::<f64>() < self.faults.lost_answer_ratio;
        Some((self.log.append(stream, data, unix_ms()), is_answer_lost))
    }

    fn read(&mut self, stream: &str, from: u64) -> (bool, reedsail_log_client::LogPage) {
        let kept_from_unix_ms = unix_ms().saturating_sub(self.config.retention_ms);
        self.log.drop_before(kept_from_unix_ms);
        let page = self.log.read(stream, from);
        (!page.records.is_empty(), page)
    }

    fn list_since(&mut self, since: u64) -> (bool, InstanceList) {
        self.publish_pending_rows();
        let changed_rows = self.list.iter().filter(|(version, _)| *version > since);
        let list = InstanceList {
            version: self.list_version,
            instances: changed_rows.map(|(_, instance)| instance.clone()).collect(),
        };
        (!list.instances.is_empty(), list)
    }

    fn publish_pending_rows(&mut self) {
        if self.faults.list_frozen {
            return;
        }
        while self
            .list_pending
            .front()
            .is_some_and(|(at, _)| *at <= Instant::now())
        {
            let Some((_, instance)) = self.list_pending.pop_front() else {
                return;
            };
            self.list_version += 1;
            self.list.retain(|(_, row)| row.name != instance.name);
            self.list.push((self.list_version, instance));
        }
    }
}

fn json<T: serde::Serialize>(value: &T) -> Response<Body> {
    let body = serde_json::to_vec(value).expect("the platform's answers can be serialized as JSON");
    full_response(StatusCode::OK, body)
}

fn query_number(query: &str, name: &str) -> u64 {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let number = pairs.into_iter().find(|(key, _)| *key == name);
    number.and_then(|(_, value)| value.parse().ok()).unwrap_or(0)
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}
