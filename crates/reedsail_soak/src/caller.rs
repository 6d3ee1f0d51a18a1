//! Callers: they reuse a connection while it stays open, and record the outcome of each attempt.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use hyper::header::HOST;
use hyper::header::RETRY_AFTER;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use reedsail_net::ByteCounter;
use reedsail_net::HttpConnection;
use reedsail_platform_standin::CallerHead;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::Attempt;
use crate::CallKind;
use crate::Outcome;
use crate::fleet::Fleet;
use crate::layout;
use crate::layout::CHANGING_WORKSPACE;
use crate::layout::HOST as SOAK_HOST;
use crate::server::SERVED_BY;
use crate::server::plain_answer;
use crate::server::stream_answer;
use crate::soak_clock::SoakClock;

/// Deadline that a caller sends with its request.
const DEADLINE_MS: u64 = layout::TIMEOUT_MS;
/// Time after the deadline at which a caller without an answer gives up.
const GRACE_MS: u64 = 1_500;
/// Connect timeout.
const CONNECT_TIMEOUT_MS: u64 = 500;
/// Delay before a caller reconnects.
const RECONNECT_DELAY_MS: u64 = 50;
/// Number of different shared prompt prefixes.
const PROMPT_COUNT: u64 = 12;
/// Tokens of a prompt's shared prefix and of its own part.
const PROMPT_TOKENS: (u32, u32) = (2_000, 300);

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

/// Sends requests until the end of the soak.
pub(crate) async fn run_caller(shared: Arc<CallerShared>, profile: CallerProfile, number: u64, seed: u64) {
    let mut random = StdRng::seed_from_u64(seed ^ (number << 32));
    let mut connection = None;
    let mut count = 0_u64;
    while shared.clock.now_ms() < shared.end_ms {
        let pause_ms = random.random_range(0..=profile.pause_ms * 2);
        sleep(Duration::from_millis(pause_ms)).await;
        if connection.is_none() {
            connection = connect(&shared, &mut random).await;
        }
        let Some(open) = connection.take() else {
            sleep(Duration::from_millis(RECONNECT_DELAY_MS)).await;
            continue;
        };
        count += 1;
        let id = format!("{number:02x}-{count:05x}");
        connection = attempt(&shared, profile, open, id, &mut random).await;
    }
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

/// Makes one attempt; returns the connection if it can be reused.
async fn attempt(
    shared: &CallerShared,
    profile: CallerProfile,
    mut connection: Connection,
    id: String,
    random: &mut StdRng,
) -> Option<Connection> {
    let kind = CallKind::ALL[random.random_range(0..CallKind::ALL.len())];
    let key = choose_key(shared, profile, random);
    if !connection.http.ready().await {
        return None;
    }
    let request = build_request(&id, kind, &layout::key(profile.workspace, key), random);
    let began_ms = shared.clock.now_ms();
    let limit = Duration::from_millis(DEADLINE_MS + GRACE_MS);
    let exchange = send_request(&mut connection.http, request, &id, kind);
    let (outcome, is_reusable) = timeout(limit, exchange).await.unwrap_or((Outcome::Silent, false));
    let attempt = Attempt {
        id,
        kind,
        workspace: profile.workspace.to_owned(),
        key,
        daemon: connection.instance,
        began_ms,
        ended_ms: shared.clock.now_ms(),
        outcome,
    };
    // The receiver is dropped when the soak has ended.
    let _ = shared.attempts.send(attempt);
    is_reusable.then_some(connection)
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

fn build_request(id: &str, kind: CallKind, key: &str, random: &mut StdRng) -> Request<Full<Bytes>> {
    let has_prompt = matches!(kind, CallKind::Letter | CallKind::Chat);
    let (shared_tokens, own_tokens) = PROMPT_TOKENS;
    let prompt = random.random_range(0..PROMPT_COUNT);
    let head = CallerHead {
        request_id: id,
        deadline_ms: DEADLINE_MS,
        key: Some(key),
        prompt: has_prompt.then_some((prompt + 1, shared_tokens, own_tokens)),
    };
    let mut request = Request::post(layout::path(kind))
        .header(HOST, SOAK_HOST)
        .body(Full::new(Bytes::from(format!("question of {id}"))))
        .expect("the path and host are valid");
    head.write(request.headers_mut());
    request
}

/// Sends a request; returns its outcome and whether the connection stays open.
async fn send_request(
    http: &mut HttpConnection,
    request: Request<Full<Bytes>>,
    id: &str,
    kind: CallKind,
) -> (Outcome, bool) {
    let Ok(response) = http.send(request).await else {
        return (Outcome::Cut { had_begun: false }, false);
    };
    let is_closing = response
        .headers()
        .get(CONNECTION)
        .is_some_and(|value| value.as_bytes() == b"close");
    let outcome = read_outcome(response, id, kind).await;
    let is_reusable = !is_closing && !matches!(outcome, Outcome::Cut { .. });
    (outcome, is_reusable)
}

async fn read_outcome(response: Response<Incoming>, id: &str, kind: CallKind) -> Outcome {
    let status = response.status().as_u16();
    let by_server = response.headers().contains_key(SERVED_BY);
    let has_retry_after = response.headers().contains_key(RETRY_AFTER);
    let Ok(body) = response.into_body().collect().await else {
        return Outcome::Cut { had_begun: true };
    };
    if status != 200 {
        return if has_retry_after && !by_server {
            Outcome::NotRun { status }
        } else {
            Outcome::Failed { status, by_server }
        };
    }
    let expected = match kind {
        CallKind::Lookup | CallKind::Order => plain_answer(id),
        CallKind::Letter | CallKind::Chat => stream_answer(id),
    };
    let body = body.to_bytes();
    if body == expected.as_bytes() {
        Outcome::Answered
    } else {
        let shown = String::from_utf8_lossy(&body);
        let shown: String = shown.chars().take(400).collect();
        Outcome::Wrong(format!("{} bytes of {}: {shown:?}", body.len(), expected.len()))
    }
}
