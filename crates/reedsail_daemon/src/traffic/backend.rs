//! Sends a call to a backend server, and retries on other servers where that is allowed.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::header::HOST;
use hyper::header::HeaderValue;
use reedsail_bundle::Repeat;
use reedsail_bundle::ServiceKind;
use reedsail_core::ErrorKind;
use reedsail_core::Failure;
use reedsail_core::Sent;
use reedsail_core::ServerKey;
use reedsail_core::Unsent;
use reedsail_events::EventKind;
use reedsail_net::ByteCounter;
use reedsail_net::Exchange;
use reedsail_net::HttpConnection;
use reedsail_net::ReceivedBody;
use reedsail_net::exchange;
use reedsail_scheduling::Class;
use reedsail_scheduling::SharePolicy;

use super::Pool;
use super::call::Call;
use super::headers::REQUEST_ID_HEADER;
use super::queueing::wait_for_slot;
use crate::service_cell::Slot;
use crate::shared::Shared;

/// The time limit for connecting to a server.
const CONNECT_LIMIT_MS: u64 = 500;
/// The maximum number of attempts that may have reached a server, including the first.
const SENT_ATTEMPTS_MAX: usize = 4;
/// The maximum number of attempts in total. An attempt that reaches no server is cheap, and a network
/// partition makes many servers unreachable.
const ATTEMPTS_MAX: usize = 32;

/// The head of an answer, with what is needed to read its body.
pub(crate) struct StartedAnswer {
    pub(crate) sent: Sent,
    pub(crate) response: Response<ReceivedBody>,
    pub(crate) connection: HttpConnection,
    pub(crate) address: SocketAddr,
    pub(crate) server: ServerKey,
}

/// The outcome of one attempt.
enum AttemptResult {
    Answered(Box<StartedAnswer>),
    /// No byte was written, so any call may be retried on another server.
    NotSent(Unsent),
    /// Bytes may have been written, so only a call that may be repeated is retried on another server.
    Failed(Sent, ErrorKind),
}

/// Whether any attempt of a request may have reached a server, with the proof.
pub(crate) enum SendState {
    /// No attempt has written a byte.
    Unsent(Unsent),
    /// An attempt may have written bytes.
    Sent(Sent),
}

impl SendState {
    fn fail(self, unsent_kind: ErrorKind, sent_kind: ErrorKind) -> Failure {
        match self {
            Self::Unsent(unsent) => unsent.refuse(unsent_kind),
            Self::Sent(sent) => sent.fail(sent_kind),
        }
    }
}

/// Sends the call in its slot, and retries in other slots while that is allowed.
///
/// `resume_from` is the number of tokens already delivered of a stream that is resumed, or zero.
pub(crate) async fn send_call<P: SharePolicy>(
    shared: &Shared<P>,
    pool: &Pool,
    call: &Call<P>,
    slot: &mut Slot<P>,
    mut send_state: SendState,
    resume_from: u64,
    mut tried: Vec<ServerKey>,
) -> Result<StartedAnswer, Failure> {
    let mut last_kind = ErrorKind::NoBackend;
    let mut sent_attempts = 0;
    for _ in 0..ATTEMPTS_MAX {
        let Some(server) = slot.server() else { break };
        // If bytes were sent in an earlier attempt, a later attempt that sent none does not change that.
        let was_sent = matches!(send_state, SendState::Sent(_));
        match attempt_once(shared, pool, call, server, resume_from).await {
            AttemptResult::Answered(started_answer) => return Ok(*started_answer),
            AttemptResult::NotSent(unsent) => {
                if !was_sent {
                    send_state = SendState::Unsent(unsent);
                }
                note_failure(shared, call, server);
            }
            AttemptResult::Failed(sent, kind) => {
                send_state = SendState::Sent(sent);
                last_kind = kind;
                sent_attempts += 1;
                note_failure(shared, call, server);
                if !may_send_again(shared, call, resume_from, sent_attempts) {
                    break;
                }
            }
        }
        tried.push(server);
        if !move_slot(shared, call, slot, &tried).await {
            break;
        }
        let cause = match send_state {
            SendState::Unsent(_) => "not_sent",
            SendState::Sent(_) => last_kind.name(),
        };
        note_retry(shared, call, cause);
    }
    Err(send_state.fail(ErrorKind::NoBackend, last_kind))
}

/// Returns whether a call of which bytes were sent may be sent again. Resuming a stream does not use the
/// retry budget, since the caller already has its first part and needs the rest.
fn may_send_again<P: SharePolicy>(
    shared: &Shared<P>,
    call: &Call<P>,
    resume_from: u64,
    sent_attempts: usize,
) -> bool {
    call.repeat == Repeat::Allowed
        && shared.clock.now() < call.deadline
        && sent_attempts < SENT_ATTEMPTS_MAX
        && (resume_from > 0 || call.service.cell.spend_retry())
}

fn note_retry<P: SharePolicy>(shared: &Shared<P>, call: &Call<P>, cause: &str) {
    shared.metrics.retries.with_label_values(&[cause]).inc();
    if shared.settings.timeline.requests {
        let fields = [("request", call.id.as_str()), ("cause", cause)];
        shared.events.emit(EventKind::RequestRetried, &fields);
    }
}

fn note_failure<P: SharePolicy>(shared: &Shared<P>, call: &Call<P>, server: ServerKey) {
    let is_now_resting = call
        .service
        .cell
        .lock()
        .record_failure(server, shared.clock.now());
    if is_now_resting {
        let name = call
            .service
            .servers
            .get(&server)
            .map_or("unknown", |server| server.name.as_str());
        shared.events.emit(EventKind::ServerResting, &[("server", name)]);
    }
}

/// Moves to a server that has not been tried. If none has a free slot, queues for one again.
async fn move_slot<P: SharePolicy>(
    shared: &Shared<P>,
    call: &Call<P>,
    slot: &mut Slot<P>,
    tried: &[ServerKey],
) -> bool {
    if slot.restart(tried) {
        return true;
    }
    match wait_for_slot(shared, call, call.deadline).await {
        Ok(fresh) => {
            *slot = fresh;
            true
        }
        Err(_) => false,
    }
}

async fn attempt_once<P: SharePolicy>(
    shared: &Shared<P>,
    pool: &Pool,
    call: &Call<P>,
    server: ServerKey,
    resume_from: u64,
) -> AttemptResult {
    let unsent = Unsent::new();
    let Some(view) = call.service.servers.get(&server) else {
        return AttemptResult::NotSent(unsent);
    };
    if shared.gate.is_cut(&shared.settings.instance, &view.name) {
        return AttemptResult::NotSent(unsent);
    }
    let address = view.address;
    let deadline = || shared.clock.timer(call.deadline);
    let request = build_request(call, address, resume_from);
    let (request, unsent) = match pool.take(address, shared.clock.now()) {
        Some(connection) => match exchange(connection, request, unsent, deadline()).await {
            // The server has closed the idle connection, which does not mean that the server failed.
            Exchange::HandedBack(unsent, request) => (*request, unsent),
            Exchange::Head(sent, response, connection) => {
                return check_head(call, sent, *response, connection, address, server);
            }
            Exchange::Failed(sent, kind) => return AttemptResult::Failed(sent, kind),
        },
        None => (request, unsent),
    };
    let opening = HttpConnection::open(address, CONNECT_LIMIT_MS, ByteCounter::default());
    let Ok(connection) = opening.await else {
        return AttemptResult::NotSent(unsent);
    };
    match exchange(connection, request, unsent, deadline()).await {
        Exchange::HandedBack(unsent, _) => AttemptResult::NotSent(unsent),
        Exchange::Head(sent, response, connection) => {
            check_head(call, sent, *response, connection, address, server)
        }
        Exchange::Failed(sent, kind) => AttemptResult::Failed(sent, kind),
    }
}

/// Checks that the answer belongs to the request: an echoed request id must be the one that was sent.
fn check_head<P: SharePolicy>(
    call: &Call<P>,
    sent: Sent,
    response: Response<ReceivedBody>,
    connection: HttpConnection,
    address: SocketAddr,
    server: ServerKey,
) -> AttemptResult {
    let echoed = response.headers().get(REQUEST_ID_HEADER);
    if echoed.is_some_and(|echoed| echoed.as_bytes() != call.id.as_bytes()) {
        return AttemptResult::Failed(sent, ErrorKind::AnswerMismatched);
    }
    AttemptResult::Answered(Box::new(StartedAnswer {
        sent,
        response,
        connection,
        address,
        server,
    }))
}

fn build_request<P: SharePolicy>(
    call: &Call<P>,
    address: SocketAddr,
    resume_from: u64,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.path_and_query.parse().unwrap_or_default();
    let headers = request.headers_mut();
    headers.clone_from(&call.headers);
    let text = |value: &str| HeaderValue::from_str(value).unwrap_or(HeaderValue::from_static("invalid"));
    headers.insert(HOST, text(&address.to_string()));
    headers.insert(REQUEST_ID_HEADER, text(&call.id));
    headers.insert("x-workspace", text(&call.workspace_name));
    if call.service.service.kind == ServiceKind::Model {
        headers.insert("x-priority", HeaderValue::from(priority(call.class)));
    }
    if resume_from > 0 {
        headers.insert("x-resume-from", HeaderValue::from(resume_from));
    }
    request
}

fn priority(class: Class) -> u16 {
    match class {
        Class::Interactive => 0,
        Class::Batch => 1,
    }
}
