//! Serves one request from its head to its answer.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use reedsail_bundle::Repeat;
use reedsail_core::ErrorKind;
use reedsail_core::Failure;
use reedsail_core::RanState;
use reedsail_core::Unsent;
use reedsail_events::EventKind;
use reedsail_net::ResetOnClose;
use reedsail_net::ResettingBody;
use reedsail_net::ResponseWrites;
use reedsail_net::TrackedBody;
use reedsail_scheduling::SharePolicy;

use super::Pool;
use super::answer::AnswerBody;
use super::answer::failure_answer;
use super::backend::SendState;
use super::backend::send_call;
use super::call::Call;
use super::call::read_call;
use super::claim::claim_key;
use super::queueing::wait_for_slot;
use super::relay::is_stream;
use super::relay::relay_buffered;
use super::stream::relay_stream;
use crate::shared::OpenRequest;
use crate::shared::Shared;

/// The maximum number of retries after an incomplete answer.
const BROKEN_ANSWER_RETRIES_MAX: usize = 2;

/// The number of the next request of the process.
static NEXT_REQUEST_NUMBER: AtomicU64 = AtomicU64::new(1);

/// What a request shares with the connection of its caller.
#[derive(Clone, Debug)]
pub(crate) struct CallerConnection {
    pub(crate) reset: ResetOnClose,
    pub(crate) writes: ResponseWrites,
}

/// Serves one request. Every failure becomes an answer.
pub(crate) async fn serve_request<P: SharePolicy>(
    shared: Arc<Shared<P>>,
    pool: Arc<Pool>,
    request: Request<Incoming>,
    connection: CallerConnection,
) -> Result<Response<TrackedBody<ResettingBody<AnswerBody>>>, Infallible> {
    let open = shared.open_request();
    let (method, version) = (request.method().clone(), request.version());
    let number = NEXT_REQUEST_NUMBER.fetch_add(1, Ordering::Relaxed);
    let id = format!("{}-{:08x}-{number}", shared.settings.instance, shared.incarnation);
    let outcome = match read_call(&shared, request, id.clone()).await {
        Ok(call) => run_call(&shared, &pool, call, open).await,
        Err((kind, after_ms)) => {
            let failure = Unsent::new().refuse(kind);
            Err(after_ms.map_or(failure, |after_ms| failure.with_retry_after_ms(after_ms)))
        }
    };
    let answer = outcome.unwrap_or_else(|failure| {
        note_failure(&shared, &id, &failure);
        failure_answer(&failure, &id)
    });
    let answer = ResettingBody::wrap(answer, &method, version, &connection.reset);
    Ok(answer.map(|body| connection.writes.begin(body)))
}

/// Runs a validated call. A call that must not be repeated runs in a separate task, so that its end is
/// recorded even if the caller disconnects.
async fn run_call<P: SharePolicy>(
    shared: &Arc<Shared<P>>,
    pool: &Arc<Pool>,
    call: Call<P>,
    open: OpenRequest<P>,
) -> Result<Response<AnswerBody>, Failure> {
    let labels = [call.service.name.as_str(), call.class.name()];
    shared.metrics.requests.with_label_values(&labels).inc();
    call.service.cell.earn_retry();
    if shared.settings.timeline.requests {
        let fields = [
            ("request", call.id.as_str()),
            ("workspace", &call.workspace_name),
            ("service", &call.service.name),
        ];
        shared.events.emit(EventKind::RequestAdmitted, &fields);
    }
    if call.repeat == Repeat::Allowed {
        return forward(Arc::clone(shared), Arc::clone(pool), call, Unsent::new(), open).await;
    }
    let task = tokio::spawn(run_once(Arc::clone(shared), Arc::clone(pool), call, open));
    match task.await {
        Ok(outcome) => outcome,
        Err(_) => Err(Unsent::new().send().fail(ErrorKind::BackendFailed)),
    }
}

/// Runs a call that must not be repeated, under a claim if it has a key.
async fn run_once<P: SharePolicy>(
    shared: Arc<Shared<P>>,
    pool: Arc<Pool>,
    call: Call<P>,
    open: OpenRequest<P>,
) -> Result<Response<AnswerBody>, Failure> {
    let (unsent, claim) = claim_key(&shared, &call, Unsent::new()).await?;
    let outcome = forward(Arc::clone(&shared), pool, call, unsent, open).await;
    if let Some(claim) = claim {
        // If the end of the call is unknown, the key stays in use: a repeated call is refused and never runs.
        let status = match &outcome {
            Ok(answer) => Some(answer.status().as_u16()),
            Err(failure) if failure.ran() == RanState::NotRun => None,
            Err(_) => return outcome,
        };
        claim.close(&shared, status).await;
    }
    outcome
}

/// Queues a call, sends it and returns the answer.
async fn forward<P: SharePolicy>(
    shared: Arc<Shared<P>>,
    pool: Arc<Pool>,
    call: Call<P>,
    unsent: Unsent,
    open: OpenRequest<P>,
) -> Result<Response<AnswerBody>, Failure> {
    let mut slot = match wait_for_slot(&shared, &call, call.deadline).await {
        Ok(slot) => slot,
        Err(kind) => return Err(unsent.refuse(kind)),
    };
    note_dispatch(&shared, &call, slot.server());
    let mut send_state = SendState::Unsent(unsent);
    let mut tried = Vec::new();
    loop {
        let started_answer =
            send_call(&shared, &pool, &call, &mut slot, send_state, 0, tried.clone()).await?;
        note_first_byte(&shared, &call);
        if is_stream(&call, &started_answer) {
            return Ok(relay_stream(shared, pool, call, slot, started_answer, open));
        }
        let broken = match relay_buffered(&shared, &pool, &call, started_answer).await {
            Ok(whole) => {
                slot.close(whole.cost);
                note_answer(&shared, &call, &whole.answer);
                return Ok(whole.answer);
            }
            Err(broken) => broken,
        };
        // Nothing has reached the caller, so a call that may be repeated is retried, on another server if
        // one has a free slot.
        let in_time = call.repeat == Repeat::Allowed && shared.clock.now() < call.deadline;
        if !in_time || tried.len() >= BROKEN_ANSWER_RETRIES_MAX || !call.service.cell.spend_retry() {
            return Err(broken.sent.fail(broken.kind));
        }
        shared
            .metrics
            .retries
            .with_label_values(&[broken.kind.name()])
            .inc();
        tried.push(broken.server);
        slot.restart(&tried);
        send_state = SendState::Sent(broken.sent);
    }
}

fn note_first_byte<P: SharePolicy>(shared: &Shared<P>, call: &Call<P>) {
    let first_byte_ms = shared.clock.now().since_ms(call.admitted_at);
    shared
        .metrics
        .first_byte
        .with_label_values(&[call.service.name.as_str(), call.class.name()])
        .observe(first_byte_ms as f64 / 1_000.0);
}

fn note_answer<P: SharePolicy>(shared: &Shared<P>, call: &Call<P>, answer: &Response<AnswerBody>) {
    if shared.settings.timeline.requests {
        let status = answer.status();
        let fields = [("request", call.id.as_str()), ("status", status.as_str())];
        shared.events.emit(EventKind::RequestAnswered, &fields);
    }
    shared.metrics.answers.with_label_values(&["answered"]).inc();
}

fn note_dispatch<P: SharePolicy>(
    shared: &Shared<P>,
    call: &Call<P>,
    server: Option<reedsail_core::ServerKey>,
) {
    if !shared.settings.timeline.requests {
        return;
    }
    let server = server.and_then(|server| call.service.servers.get(&server));
    let name = server.map_or("unknown", |server| server.name.as_str());
    let fields = [("request", call.id.as_str()), ("server", name)];
    shared.events.emit(EventKind::RequestDispatched, &fields);
}

fn note_failure<P: SharePolicy>(shared: &Shared<P>, id: &str, failure: &Failure) {
    let kind = failure.kind().name();
    shared.metrics.answers.with_label_values(&[kind]).inc();
    if shared.settings.timeline.requests {
        let fields = [("request", id), ("kind", kind), ("ran", failure.ran().as_str())];
        shared.events.emit(EventKind::RequestFailed, &fields);
    }
}
