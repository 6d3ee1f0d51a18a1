//! A stand-in for a model engine: continuous batching, one token per interval, and streams that can be resumed and
//! cancelled.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Either;
use http_body_util::channel::Channel;
use http_body_util::channel::Sender;
use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use serde::Deserialize;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use tokio::time::sleep;
use twox_hash::XxHash64;

use crate::StandinError;
use crate::engine_slots::EngineSlots;
use crate::http_server::Body;
use crate::http_server::Handler;
use crate::http_server::HttpServer;
use crate::http_server::full_response;
use crate::prefix_cache::PrefixCache;

/// Maximum number of prompt bytes that count as a prefix.
const PREFIX_BYTES_MAX: usize = 64;
/// Maximum number of recorded runs.
const RUNS_MAX: usize = 200_000;

/// How an engine behaves without faults.
#[derive(Clone, Copy, Debug)]
pub struct EngineConfig {
    /// Maximum number of requests that run at the same time.
    pub slots: u32,
    /// Time between two tokens of a stream, in milliseconds.
    pub token_interval_ms: u64,
    /// Time to the first token if the prefix is not cached, in milliseconds.
    pub prefill_ms: u64,
    /// Maximum number of cached prefixes.
    pub prefixes_max: usize,
    /// How many answers later an eviction of a prefix is reported. Every fourth eviction is never reported.
    pub eviction_report_lag_answers: usize,
}

impl Default for EngineConfig {
    fn default() -> Self {
        Self {
            slots: 16,
            token_interval_ms: 20,
            prefill_ms: 20,
            prefixes_max: 64,
            eviction_report_lag_answers: 8,
        }
    }
}

/// The active faults of an engine.
#[derive(Debug, Default)]
pub struct EngineFaults {
    /// Breaks each stream off after this many tokens; zero for never.
    pub cut_after_tokens: AtomicU64,
    /// Answers with the id of another request.
    pub crossed: AtomicBool,
    /// Breaks each connection when a request arrives.
    pub broken: AtomicBool,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// Every token was written.
    Complete,
    /// A fault broke the answer off.
    Cut,
    /// The caller disconnected.
    Cancelled,
}

/// A run of a request at an engine, as the engine observed it.
#[derive(Clone, Debug)]
pub struct EngineRun {
    /// The request's id.
    pub request_id: String,
    /// The request's workspace.
    pub workspace: String,
    /// Index of the token from which the request was resumed.
    pub resumed_from: u64,
    /// Number of generated tokens.
    pub tokens: u64,
    /// How the run ended.
    pub end: RunEnd,
}

#[derive(Debug)]
struct State {
    config: EngineConfig,
    slots: EngineSlots,
    faults: Arc<EngineFaults>,
    runs: Mutex<Vec<EngineRun>>,
    tokens_by_workspace: Mutex<HashMap<String, u64>>,
    requests_seen: Mutex<HashMap<String, u64>>,
    /// The cache, the evictions still to report, and the number of evictions so far.
    cache: Mutex<(PrefixCache, VecDeque<u64>, u64)>,
}

#[derive(Clone, Debug)]
struct EngineHandler(Arc<State>);

/// A running engine.
#[derive(Debug)]
pub struct EngineStandin {
    server: HttpServer,
    state: Arc<State>,
}

/// Returns the text of a token. The text depends only on the prompt and the token's index, so that a caller can
/// detect the answer to another request and a stream that was resumed at the wrong token.
pub fn token_text(prompt: &str, index: u64) -> String {
    format!("{:08x} ", XxHash64::oneshot(index, prompt.as_bytes()) as u32)
}

impl EngineStandin {
    /// Starts an engine on a free loopback port.
    ///
    /// # Errors
    /// Returns the system's error if the port cannot be bound.
    pub async fn start(config: EngineConfig) -> std::io::Result<Self> {
        let state = Arc::new(State {
            config,
            slots: EngineSlots::new(config.slots),
            faults: Arc::default(),
            runs: Mutex::default(),
            tokens_by_workspace: Mutex::default(),
            requests_seen: Mutex::default(),
            cache: Mutex::new((PrefixCache::new(config.prefixes_max), VecDeque::new(), 0)),
        });
        let server = HttpServer::start(EngineHandler(Arc::clone(&state))).await?;
        Ok(Self { server, state })
    }

    /// Returns the address at which the engine accepts requests.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Returns the engine's faults, which the caller can change.
    pub fn faults(&self) -> Arc<EngineFaults> {
        Arc::clone(&self.state.faults)
    }

    /// Breaks every open connection, as if the engine had crashed and restarted.
    pub fn crash(&self) {
        self.server.break_connections();
    }

    /// Returns all runs, in the order of their ends.
    pub fn runs(&self) -> Vec<EngineRun> {
        lock(&self.state.runs).clone()
    }

    /// Returns the ids of all requests that arrived.
    pub fn requests_seen(&self) -> Vec<String> {
        lock(&self.state.requests_seen).keys().cloned().collect()
    }

    /// Returns the number of tokens generated so far for each workspace.
    pub fn tokens_by_workspace(&self) -> HashMap<String, u64> {
        lock(&self.state.tokens_by_workspace).clone()
    }

    /// Returns the number of running and of waiting requests, and the busy slot time so far in milliseconds.
    pub fn load(&self) -> (u32, u32, f64) {
        self.state.slots.load()
    }

    /// Stops the engine.
    pub fn close(self) {
        self.server.close();
    }
}

#[derive(Debug, Deserialize)]
struct ChatRequest {
    #[serde(default)]
    stream: bool,
    max_tokens: u64,
    messages: Vec<ChatMessage>,
}

#[derive(Debug, Deserialize)]
struct ChatMessage {
    content: String,
}

/// The generation of an answer. Dropping it releases its slot and records the run.
struct Generation {
    state: Arc<State>,
    prompt: String,
    request_id: String,
    workspace: String,
    next_token_index: u64,
    resumed_from: u64,
    tokens_total: u64,
    end: RunEnd,
}

impl Drop for Generation {
    fn drop(&mut self) {
        self.state.slots.release();
        let run = EngineRun {
            request_id: std::mem::take(&mut self.request_id),
            workspace: std::mem::take(&mut self.workspace),
            resumed_from: self.resumed_from,
            tokens: self.next_token_index - self.resumed_from,
            end: self.end,
        };
        let mut runs = lock(&self.state.runs);
        if runs.len() < RUNS_MAX {
            runs.push(run);
        }
    }
}

impl Generation {
    /// Waits for the next token. Returns `None` at the end or if a fault breaks the stream off.
    async fn next_token(&mut self, token_interval: &mut tokio::time::Interval) -> Option<String> {
        if self.next_token_index >= self.tokens_total {
            self.end = RunEnd::Complete;
            return None;
        }
        let cut_after_tokens = self.state.faults.cut_after_tokens.load(Ordering::Relaxed);
        if cut_after_tokens > 0 && self.next_token_index - self.resumed_from >= cut_after_tokens {
            self.end = RunEnd::Cut;
            return None;
        }
        token_interval.tick().await;
        let text = token_text(&self.prompt, self.next_token_index);
        self.next_token_index += 1;
        let mut by_workspace = lock(&self.state.tokens_by_workspace);
        *by_workspace.entry(self.workspace.clone()).or_default() += 1;
        Some(text)
    }

    fn usage(&self) -> String {
        format!(
            r#""usage":{{"prompt_tokens":{},"completion_tokens":{}}}"#,
            self.prompt.split_whitespace().count(),
            self.next_token_index,
        )
    }
}

impl Handler for EngineHandler {
    async fn handle(&self, request: Request<Incoming>) -> Result<Response<Body>, StandinError> {
        let state = &self.0;
        if state.faults.broken.load(Ordering::Relaxed) {
            return Err(StandinError);
        }
        let mut call = CallHeaders::read(request.headers());
        *lock(&state.requests_seen)
            .entry(call.request_id.clone())
            .or_default() += 1;
        let Some(chat) = read_chat(request).await? else {
            return Ok(full_response(
                StatusCode::BAD_REQUEST,
                r#"{"error":"not a chat request"}"#,
            ));
        };
        let prompt: String = chat
            .messages
            .iter()
            .map(|message| message.content.as_str())
            .collect();
        let (cached, reported_eviction) = state.touch_prefix(&prompt);
        state.slots.acquire(call.priority).await;
        let generation = Generation {
            state: Arc::clone(state),
            prompt,
            request_id: call.request_id.clone(),
            workspace: call.workspace,
            next_token_index: call.resumed_from,
            resumed_from: call.resumed_from,
            tokens_total: chat.max_tokens,
            end: RunEnd::Cancelled,
        };
        if !cached {
            sleep(Duration::from_millis(state.config.prefill_ms)).await;
        }
        if state.faults.crossed.load(Ordering::Relaxed) {
            call.request_id = format!("not-{}", call.request_id);
        }
        let (running, waiting, _) = state.slots.load();
        let load = format!("{running}/{waiting}/{}", state.config.slots);
        let mut response = if chat.stream {
            let (sender, body) = Channel::new(16);
            tokio::spawn(stream_tokens(generation, sender));
            let mut response = Response::new(Either::Right(body));
            let value = "text/event-stream".parse().expect("a valid header value");
            response.headers_mut().insert("content-type", value);
            response
        } else {
            respond_without_stream(generation).await?
        };
        write_headers(response.headers_mut(), &call.request_id, &load, reported_eviction);
        Ok(response)
    }
}

/// The request headers that an engine reads. A missing or invalid header has its default value.
struct CallHeaders {
    request_id: String,
    workspace: String,
    resumed_from: u64,
    priority: u8,
}

impl CallHeaders {
    fn read(headers: &HeaderMap) -> Self {
        let header = |name: &str| {
            let value = headers.get(name).and_then(|value| value.to_str().ok());
            value.unwrap_or_default().to_owned()
        };
        Self {
            request_id: header("x-request-id"),
            workspace: header("x-workspace"),
            resumed_from: header("x-resume-from").parse().unwrap_or(0),
            priority: header("x-priority").parse().unwrap_or(1),
        }
    }
}

/// Writes the response headers of an engine.
fn write_headers(headers: &mut HeaderMap, request_id: &str, load: &str, evicted_prefix: Option<u64>) {
    if let Ok(value) = request_id.parse() {
        headers.insert("x-request-id", value);
    }
    headers.insert("x-load", load.parse().expect("a valid header value"));
    if let Some(prefix) = evicted_prefix {
        let value = format!("{prefix:016x}").parse().expect("a valid header value");
        headers.insert("x-prefix-dropped", value);
    }
}

async fn read_chat(request: Request<Incoming>) -> Result<Option<ChatRequest>, StandinError> {
    let body = request.into_body().collect().await.map_err(|_| StandinError)?;
    // A body that is not a chat request gets status 400.
    Ok(serde_json::from_slice(&body.to_bytes()).ok())
}

impl State {
    /// Uses the prompt's prefix. Returns whether it was cached, and an eviction to report. Evictions are reported
    /// late, and some never.
    fn touch_prefix(&self, prompt: &str) -> (bool, Option<u64>) {
        let end = prompt.len().min(PREFIX_BYTES_MAX);
        let prefix = XxHash64::oneshot(0, &prompt.as_bytes()[..end]);
        let mut cache = lock(&self.cache);
        let (cached, evicted) = cache.0.touch(prefix);
        if let Some(evicted) = evicted {
            cache.2 += 1;
            if !cache.2.is_multiple_of(4) {
                cache.1.push_back(evicted);
            }
        }
        let reported = (cache.1.len() > self.config.eviction_report_lag_answers)
            .then(|| cache.1.pop_front())
            .flatten();
        (cached, reported)
    }

    fn token_interval(&self) -> tokio::time::Interval {
        let mut token_interval = interval(Duration::from_millis(self.config.token_interval_ms.max(1)));
        token_interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        token_interval
    }
}

async fn stream_tokens(mut generation: Generation, mut sender: Sender<Bytes, StandinError>) {
    let mut token_interval = generation.state.token_interval();
    while let Some(text) = generation.next_token(&mut token_interval).await {
        let event = format!("data: {{\"choices\":[{{\"delta\":{{\"content\":\"{text}\"}}}}]}}\n\n");
        if sender.send_data(Bytes::from(event)).await.is_err() {
            generation.end = RunEnd::Cancelled;
            return;
        }
    }
    if generation.end == RunEnd::Complete {
        let usage = generation.usage();
        let end = format!(
            "data: {{\"choices\":[{{\"delta\":{{}},\"finish_reason\":\"stop\"}}],{usage}}}\n\ndata: [DONE]\n\n"
        );
        if sender.send_data(Bytes::from(end)).await.is_err() {
            generation.end = RunEnd::Cancelled;
        }
    }
}

async fn respond_without_stream(mut generation: Generation) -> Result<Response<Body>, StandinError> {
    let mut token_interval = generation.state.token_interval();
    let mut text = String::new();
    while let Some(token) = generation.next_token(&mut token_interval).await {
        text.push_str(&token);
    }
    if generation.end == RunEnd::Cut {
        return Err(StandinError);
    }
    let usage = generation.usage();
    let body =
        format!(r#"{{"choices":[{{"message":{{"content":"{text}"}},"finish_reason":"stop"}}],{usage}}}"#);
    Ok(full_response(StatusCode::OK, body))
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
