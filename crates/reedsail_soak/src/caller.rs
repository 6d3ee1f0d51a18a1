//! Callers: they reuse a connection while it stays open, continue broken streams at any instance, and record the outcome
//! of each attempt.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::CONNECTION;
use hyper::header::HOST;
use hyper::header::RETRY_AFTER;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use reedsail_net::BodyFraming;
use reedsail_net::ByteCounter;
use reedsail_net::HttpConnection;
use reedsail_net::ReceivedBody;
use reedsail_net::ResponseBodyError;
use reedsail_net::SendError;
use reedsail_platform_standin::CallerHead;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::Attempt;
use crate::CallKind;
use crate::Outcome;
use crate::StreamPart;
use crate::fleet::Fleet;
use crate::layout;
use crate::layout::CHANGING_WORKSPACE;
use crate::layout::HOST as SOAK_HOST;
use crate::server::EVENTS;
use crate::server::SERVED_BY;
use crate::server::plain_answer;
use crate::soak_clock::SoakClock;
use crate::stream_progress::StreamProgress;

/// Deadline that a caller sends with its request.
const DEADLINE_MS: u64 = layout::TIMEOUT_MS;
/// Time after the deadline at which a caller without an answer gives up.
const GRACE_MS: u64 = 1_500;
/// Connect timeout.
pub(crate) const CONNECT_TIMEOUT_MS: u64 = 500;
/// Delay before a caller reconnects.
const RECONNECT_DELAY_MS: u64 = 50;
/// Number of different shared prompt prefixes.
pub(crate) const PROMPT_COUNT: u64 = 12;
/// How often a stream's caller disconnects on purpose, to continue the stream at another instance.
const HANG_UP_PROBABILITY: f64 = 0.2;
/// Maximum number of attempts that continue a stream.
const CONTINUATIONS_MAX: usize = 4;
/// A stream is not continued with less time left than this.
const CONTINUATION_TIME_MIN_MS: u64 = 300;
/// Longest pause before a stream is continued.
const RETURN_PAUSE_MAX_MS: u64 = 40;
/// Tokens of a prompt's shared prefix and of its own part.
pub(crate) const PROMPT_TOKENS: (u32, u32) = (2_000, 300);

/// The workspace and pace of a caller.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallerProfile {
    pub(crate) workspace: &'static str,
    /// Average pause between two attempts.
    pub(crate) pause_ms: u64,
}

/// State shared by all callers.
#[derive(Debug)]
pub(crate) struct CallerShared {
    pub(crate) fleet: Arc<Fleet>,
    pub(crate) attempts: UnboundedSender<Attempt>,
    /// The number of the newest key of the workspace whose key changes.
    pub(crate) newest_key: AtomicU64,
    pub(crate) clock: SoakClock,
    /// When callers stop sending requests.
    pub(crate) end_ms: u64,
}

struct Connection {
    http: HttpConnection,
    instance: usize,
}

/// One caller.
struct Caller {
    shared: Arc<CallerShared>,
    profile: CallerProfile,
    number: u64,
    random: StdRng,
    /// The number of its last attempt.
    count: u64,
    connection: Option<Connection>,
}

/// Sends requests until the end of the soak.
pub(crate) async fn run_caller(shared: Arc<CallerShared>, profile: CallerProfile, number: u64, seed: u64) {
    let mut caller = Caller {
        shared,
        profile,
        number,
        random: StdRng::seed_from_u64(seed ^ (number << 32)),
        count: 0,
        connection: None,
    };
    while caller.shared.clock.now_ms() < caller.shared.end_ms {
        caller.run_request().await;
    }
}

impl Caller {
    /// Sends one request and, if its stream breaks, continues it elsewhere.
    async fn run_request(&mut self) {
        let pause_ms = self.random.random_range(0..=self.profile.pause_ms * 2);
        sleep(Duration::from_millis(pause_ms)).await;
        let kind = CallKind::ALL[self.random.random_range(0..CallKind::ALL.len())];
        let prompt = self.random.random_range(0..PROMPT_COUNT);
        let until_ms = self.shared.clock.now_ms() + DEADLINE_MS;
        let mut progress = StreamProgress::default();
        let can_hang_up = kind == CallKind::Chat && self.random.random_bool(HANG_UP_PROBABILITY);
        let hang_up_after = can_hang_up.then(|| self.random.random_range(1..EVENTS));
        let request = CallerRequest {
            kind,
            prompt,
            until_ms,
        };
        self.attempt(request, &mut progress, hang_up_after).await;
        for _ in 0..CONTINUATIONS_MAX {
            let has_time = self.shared.clock.now_ms() + CONTINUATION_TIME_MIN_MS < until_ms;
            if !progress.is_open() || !has_time {
                return;
            }
            let pause_ms = self.random.random_range(0..=RETURN_PAUSE_MAX_MS);
            sleep(Duration::from_millis(pause_ms)).await;
            self.connection = None;
            self.attempt(request, &mut progress, None).await;
        }
    }

    /// Makes one attempt, on the open connection if there is one.
    async fn attempt(
        &mut self,
        request: CallerRequest,
        progress: &mut StreamProgress,
        hang_up_after: Option<u32>,
    ) {
        if self.connection.is_none() {
            self.connection = connect(&self.shared, &mut self.random).await;
        }
        let Some(mut connection) = self.connection.take() else {
            sleep(Duration::from_millis(RECONNECT_DELAY_MS)).await;
            return;
        };
        if !connection.http.ready().await {
            return;
        }
        self.count += 1;
        let id = format!("{:02x}-{:05x}", self.number, self.count);
        let key = choose_key(&self.shared, self.profile, &mut self.random);
        let began_ms = self.shared.clock.now_ms();
        let head = request.head(&id, progress, began_ms);
        let message = build_request(request.kind, head, &layout::key(self.profile.workspace, key));
        let limit = Duration::from_millis(request.until_ms.saturating_sub(began_ms) + GRACE_MS);
        let exchange = send_request(
            &mut connection.http,
            message,
            &id,
            request.kind,
            progress,
            hang_up_after,
        );
        let reply = timeout(limit, exchange).await.unwrap_or(CallerReply {
            outcome: Outcome::Silent,
            stream: None,
            is_reusable: false,
        });
        let attempt = Attempt {
            id,
            kind: request.kind,
            workspace: self.profile.workspace.to_owned(),
            key,
            daemon: connection.instance,
            began_ms,
            ended_ms: self.shared.clock.now_ms(),
            outcome: reply.outcome,
            stream: reply.stream,
        };
        // The receiver is dropped when the soak has ended.
        let _ = self.shared.attempts.send(attempt);
        self.connection = reply.is_reusable.then_some(connection);
    }
}

/// What a caller asks for, over all attempts.
#[derive(Clone, Copy, Debug)]
struct CallerRequest {
    kind: CallKind,
    /// The number of the shared part of its prompt.
    prompt: u64,
    /// The caller's deadline.
    until_ms: u64,
}

impl CallerRequest {
    /// Returns the headers of an attempt, without the key.
    fn head<'a>(self, id: &'a str, progress: &'a StreamProgress, now_ms: u64) -> CallerHead<'a> {
        let has_prompt = matches!(self.kind, CallKind::Letter | CallKind::Chat);
        let (shared_tokens, own_tokens) = PROMPT_TOKENS;
        CallerHead {
            request_id: id,
            deadline_ms: self.until_ms.saturating_sub(now_ms),
            key: None,
            resumes: progress
                .is_open()
                .then_some((progress.first_attempt.as_str(), progress.last_event)),
            prompt: has_prompt.then_some((self.prompt + 1, shared_tokens, own_tokens)),
            second_part: None,
        }
    }
}

/// How an attempt ended for its caller.
struct CallerReply {
    outcome: Outcome,
    stream: Option<StreamPart>,
    /// Whether the connection stays open.
    is_reusable: bool,
}

/// Connects to a random ready instance, or to any instance if none is ready.
async fn connect(shared: &CallerShared, random: &mut StdRng) -> Option<Connection> {
    let instances = &shared.fleet.instances;
    let ready: Vec<usize> = (0..instances.len())
        .filter(|instance| instances[*instance].is_ready.load(Ordering::Relaxed))
        .collect();
    let instance = match ready.len() {
        0 => random.random_range(0..instances.len()),
        count => ready[random.random_range(0..count)],
    };
    let address = instances[instance].callers.address;
    let http = HttpConnection::open(address, CONNECT_TIMEOUT_MS, ByteCounter::default()).await;
    Some(Connection {
        http: http.ok()?,
        instance,
    })
}

/// Returns the newest key of the caller's workspace, or sometimes the previous one.
fn choose_key(shared: &CallerShared, profile: CallerProfile, random: &mut StdRng) -> u64 {
    if profile.workspace != CHANGING_WORKSPACE {
        return 0;
    }
    let newest = shared.newest_key.load(Ordering::Relaxed);
    if newest > 1 && random.random_bool(0.3) {
        newest - 1
    } else {
        newest
    }
}

pub(crate) fn build_request(kind: CallKind, head: CallerHead<'_>, key: &str) -> Request<Full<Bytes>> {
    let body = format!("question of {}", head.request_id);
    let mut request = Request::post(layout::path(kind))
        .header(HOST, SOAK_HOST)
        .body(Full::new(Bytes::from(body)))
        .expect("the path and host are valid");
    let head = CallerHead {
        key: Some(key),
        ..head
    };
    head.write(request.headers_mut());
    request
}

/// Sends a request and reads its answer.
async fn send_request(
    http: &mut HttpConnection,
    request: Request<Full<Bytes>>,
    id: &str,
    kind: CallKind,
    progress: &mut StreamProgress,
    hang_up_after: Option<u32>,
) -> CallerReply {
    let is_resumable = kind == CallKind::Chat;
    // A stream without an answer has a part without events.
    let empty_part = is_resumable.then(|| progress.empty_part());
    let response = match http.send(request).await {
        Ok(response) => response,
        Err(error) => {
            return CallerReply {
                outcome: outcome_of_send(&error),
                stream: empty_part,
                is_reusable: false,
            };
        }
    };
    let is_closing = response
        .headers()
        .get(CONNECTION)
        .is_some_and(|value| value.as_bytes() == b"close");
    let is_success = response.status() == StatusCode::OK;
    let (outcome, stream) = if is_resumable && is_success {
        let (outcome, part) = progress.read(id, response, hang_up_after).await;
        (outcome, Some(part))
    } else {
        (read_outcome(response, id, kind).await, empty_part)
    };
    let is_open = !matches!(outcome, Outcome::Cut { .. } | Outcome::HungUp | Outcome::Wrong(_));
    CallerReply {
        outcome,
        stream,
        is_reusable: !is_closing && is_open,
    }
}

/// Returns the outcome of a request without a response. Bytes that are no response, or one whose head cannot be trusted, are
/// an answer that is wrong.
fn outcome_of_send(error: &SendError) -> Outcome {
    match error {
        SendError::UntrustedHead(error) => Outcome::Wrong(error.to_string()),
        SendError::AfterWrite(error) if error.is_parse() => Outcome::Wrong(error.to_string()),
        SendError::NotWritten(_) | SendError::AfterWrite(_) => Outcome::Cut { had_begun: false },
    }
}

/// Returns the outcome of a response whose body was not read to its end. A body that its head frames wrongly is wrong.
pub(crate) fn outcome_of_body(error: &ResponseBodyError) -> Outcome {
    match error {
        ResponseBodyError::Overlong | ResponseBodyError::UnstatedChunks => Outcome::Wrong(error.to_string()),
        ResponseBodyError::Read(_) => Outcome::Cut { had_begun: true },
    }
}

async fn read_outcome(response: Response<ReceivedBody>, id: &str, kind: CallKind) -> Outcome {
    let status = response.status().as_u16();
    let by_server = response.headers().contains_key(SERVED_BY);
    let has_retry_after = response.headers().contains_key(RETRY_AFTER);
    if status == 200 && matches!(kind, CallKind::Letter | CallKind::Chat) {
        let (outcome, _) = StreamProgress::default().read(id, response, None).await;
        return outcome;
    }
    let (head, body) = response.into_parts();
    let framing = BodyFraming::of(&head.headers, &body);
    let body = match body.collect().await {
        Ok(body) => body,
        Err(error) => return outcome_of_body(&error),
    };
    if status != 200 {
        return if has_retry_after && !by_server {
            Outcome::NotRun { status }
        } else {
            Outcome::Failed { status, by_server }
        };
    }
    let expected = plain_answer(id);
    let body = body.to_bytes();
    if body == expected.as_bytes() {
        Outcome::Answered
    } else if framing == BodyFraming::ConnectionEnd {
        // Nothing told the caller that the body was complete.
        Outcome::Cut { had_begun: true }
    } else {
        let shown = String::from_utf8_lossy(&body);
        let shown: String = shown.chars().take(400).collect();
        Outcome::Wrong(format!("{} bytes of {}: {shown:?}", body.len(), expected.len()))
    }
}
