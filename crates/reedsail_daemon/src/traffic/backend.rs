//! Sends a call to a backend server, and to another where that is allowed.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::header::HeaderValue;
use reedsail_bundle::Repeat;
use reedsail_bundle::ServiceKind;
use reedsail_core::Class;
use reedsail_core::ErrorKind;
use reedsail_core::Failure;
use reedsail_core::Sent;
use reedsail_core::ServerKey;
use reedsail_core::SharePolicy;
use reedsail_core::Unsent;
use reedsail_events::EventKind;
use reedsail_net::HttpConnection;
use reedsail_net::SendError;
use tokio::time::timeout_at;

use super::call::Call;
use super::headers::REQUEST_ID_HEADER;
use super::pool::Pool;
use super::queueing::wait_for_slot;
use crate::service_cell::Slot;
use crate::shared::Shared;

/// The most tries of one request that may have reached a server, the first included.
const SENT_TRIES_MAX: usize = 4;
/// The most tries in all; one that reached nobody costs little, and a cut hides many servers.
const TRIES_MAX: usize = 32;

/// The head of an answer, with all that is needed to read on.
pub(crate) struct Answering {
    pub(crate) sent: Sent,
    pub(crate) response: Response<Incoming>,
    pub(crate) connection: HttpConnection,
    pub(crate) address: SocketAddr,
    pub(crate) server: ServerKey,
}

/// Whether one try reached the server, and what came of it.
enum Try {
    Answered(Box<Answering>),
    /// Nothing was written: any call may go elsewhere.
    NotSent(Unsent),
    /// Something may have been written: only a call that may be repeated goes elsewhere.
    Failed(Sent, ErrorKind),
}

/// The proofs of a request that is tried more than once.
pub(crate) enum Standing {
    /// No try has written a byte.
    Unsent(Unsent),
    /// A try may have.
    Sent(Sent),
}

impl Standing {
    fn fail(self, unsent_kind: ErrorKind, sent_kind: ErrorKind) -> Failure {
        match self {
            Self::Unsent(unsent) => unsent.refuse(unsent_kind),
            Self::Sent(sent) => sent.fail(sent_kind),
        }
    }
}

/// Sends the call from the slot it has, and from others as long as that is allowed.
///
/// A stream that is resumed passes how many tokens were delivered.
pub(crate) async fn send_call<P: SharePolicy>(
    shared: &Shared<P>,
    pool: &Pool,
    call: &Call<P>,
    slot: &mut Slot<P>,
    mut standing: Standing,
    resume_from: u64,
    mut tried: Vec<ServerKey>,
) -> Result<Answering, Failure> {
    let mut last_kind = ErrorKind::NoBackend;
    let mut sent_tries = 0;
    for _ in 0..TRIES_MAX {
        let Some(server) = slot.server() else { break };
        // A later try of a call of which bytes were sent proves nothing about the earlier one.
        let was_sent = matches!(standing, Standing::Sent(_));
        match try_once(shared, pool, call, server, resume_from).await {
            Try::Answered(answering) => return Ok(*answering),
            Try::NotSent(unsent) => {
                if !was_sent {
                    standing = Standing::Unsent(unsent);
                }
                note_failure(shared, call, server);
            }
            Try::Failed(sent, kind) => {
                standing = Standing::Sent(sent);
                last_kind = kind;
                sent_tries += 1;
                note_failure(shared, call, server);
                let may_repeat = call.repeat == Repeat::Allowed && shared.clock.now() < call.deadline;
                let is_owed = resume_from > 0;
                if !may_repeat
                    || sent_tries >= SENT_TRIES_MAX
                    || !(is_owed || call.service.cell.spend_retry())
                {
                    break;
                }
            }
        }
        tried.push(server);
        if !move_slot(shared, call, slot, &tried).await {
            break;
        }
        let cause = if matches!(standing, Standing::Unsent(_)) {
            "not_sent"
        } else {
            last_kind.name()
        };
        shared.metrics.retries.with_label_values(&[cause]).inc();
        if shared.settings.timeline.requests {
            let fields = [("request", call.id.as_str()), ("cause", cause)];
            shared.events.emit(EventKind::RequestRetried, &fields);
        }
    }
    Err(standing.fail(ErrorKind::NoBackend, last_kind))
}

fn note_failure<P: SharePolicy>(shared: &Shared<P>, call: &Call<P>, server: ServerKey) {
    let rests = call
        .service
        .cell
        .lock()
        .record_failure(server, shared.clock.now());
    if rests {
        let name = call
            .service
            .servers
            .get(&server)
            .map_or("unknown", |server| server.name.as_str());
        shared.events.emit(EventKind::ServerResting, &[("server", name)]);
    }
}

/// Moves to a server that was not tried; where none has a free slot, queues for one again.
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

async fn try_once<P: SharePolicy>(
    shared: &Shared<P>,
    pool: &Pool,
    call: &Call<P>,
    server: ServerKey,
    resume_from: u64,
) -> Try {
    let unsent = Unsent::new();
    let Some(view) = call.service.servers.get(&server) else {
        return Try::NotSent(unsent);
    };
    if shared.gate.is_cut(&shared.settings.instance, &view.name) {
        return Try::NotSent(unsent);
    }
    let Ok((connection, was_idle)) = pool.take(view.address).await else {
        return Try::NotSent(unsent);
    };
    let request = build_request(call, view.address, resume_from);
    match send_on(shared, call, connection, request, unsent).await {
        // An idle connection that the server has closed says nothing about the server.
        Exchange::HandedBack(unsent, request) if was_idle => match pool.open(view.address).await {
            Ok(connection) => match send_on(shared, call, connection, *request, unsent).await {
                Exchange::HandedBack(unsent, _) => Try::NotSent(unsent),
                Exchange::Head(sent, response, connection) => {
                    check_head(call, sent, *response, connection, view.address, server)
                }
                Exchange::Failed(sent, kind) => Try::Failed(sent, kind),
            },
            Err(_) => Try::NotSent(unsent),
        },
        Exchange::HandedBack(unsent, _) => Try::NotSent(unsent),
        Exchange::Head(sent, response, connection) => {
            check_head(call, sent, *response, connection, view.address, server)
        }
        Exchange::Failed(sent, kind) => Try::Failed(sent, kind),
    }
}

enum Exchange {
    HandedBack(Unsent, Box<Request<Full<Bytes>>>),
    Head(Sent, Box<Response<Incoming>>, HttpConnection),
    Failed(Sent, ErrorKind),
}

async fn send_on<P: SharePolicy>(
    shared: &Shared<P>,
    call: &Call<P>,
    mut connection: HttpConnection,
    request: Request<Full<Bytes>>,
    unsent: Unsent,
) -> Exchange {
    let sent = unsent.send();
    let deadline = shared.clock.instant(call.deadline);
    match timeout_at(deadline, connection.send(request)).await {
        Ok(Ok(response)) => Exchange::Head(sent, Box::new(response), connection),
        Ok(Err(SendError::NotWritten(request))) => Exchange::HandedBack(sent.handed_back(), request),
        Ok(Err(SendError::AfterWrite(_))) => Exchange::Failed(sent, ErrorKind::BackendFailed),
        Err(_) => Exchange::Failed(sent, ErrorKind::DeadlineAfterSend),
    }
}

/// Matches the answer to the request by the id that went along.
fn check_head<P: SharePolicy>(
    call: &Call<P>,
    sent: Sent,
    response: Response<Incoming>,
    connection: HttpConnection,
    address: SocketAddr,
    server: ServerKey,
) -> Try {
    let echoed = response.headers().get(REQUEST_ID_HEADER);
    if echoed.is_some_and(|echoed| echoed.as_bytes() != call.id.as_bytes()) {
        return Try::Failed(sent, ErrorKind::AnswerMismatched);
    }
    Try::Answered(Box::new(Answering {
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
