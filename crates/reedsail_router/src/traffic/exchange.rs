//! One attempt: a request sent to one backend server, up to the head of its answer.

use std::io::ErrorKind as IoErrorKind;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::http::response::Parts;
use reedsail_core::ErrorKind;
use reedsail_core::Sent;
use reedsail_core::Unsent;
use reedsail_dispatch::AttemptOutcome;
use reedsail_dispatch::Placement;
use reedsail_net::Exchange;
use reedsail_net::HttpConnection;
use reedsail_net::exchange;

use super::Pool;
use super::attempt_guard::AttemptGuard;
use super::attempt_guard::OpenAttempt;
use super::call::Call;
use super::server_notices::ServerResponseHead;
use super::server_notices::process_notice;
use crate::ForwardHead;
use crate::HeaderProtocol;
use crate::ResponseKind;
use crate::server_views::ServerView;
use crate::shared::Shared;

/// Time to connect to a backend server at most, in milliseconds.
pub(super) const CONNECT_TIMEOUT_MS: u64 = 250;
/// A connect that ends so long after its time, in milliseconds, failed because this thread is late: it says
/// nothing of the server.
const CONNECT_OVERRUN_MAX_MS: u64 = 100;

/// The head of an answer, with all that is needed to read on.
pub(crate) struct ResponseStart<H> {
    pub(crate) sent: Sent,
    pub(crate) head: Parts,
    pub(crate) body: Incoming,
    pub(crate) attempt: OpenAttempt<H>,
}

/// What came of an attempt; it has ended, but for an answer.
pub(crate) enum AttemptResult<H> {
    /// An answer began.
    ResponseStarted(Box<ResponseStart<H>>),
    /// Nothing was written.
    NotSent(Unsent),
    /// The server said that it did not run the request.
    Rejected(Unsent),
    /// Something may have been written, and no answer came.
    Failed(Sent, ErrorKind),
}

/// Sends the call where it was placed, and waits for the head of the answer.
pub(crate) async fn attempt_once<H: HeaderProtocol>(
    shared: &Arc<Shared<H>>,
    pool: &Pool,
    call: &Call,
    placement: &Placement,
    resume_after: Option<&str>,
    mut guard: AttemptGuard<H>,
) -> AttemptResult<H> {
    let unsent = Unsent::new();
    let Some(server) = shared.servers.get(placement.server) else {
        guard.close(AttemptOutcome::Abandoned);
        return AttemptResult::NotSent(unsent);
    };
    let Some(request) = build_request(shared, call, placement, &server, resume_after) else {
        guard.close(AttemptOutcome::Abandoned);
        return AttemptResult::NotSent(unsent);
    };
    let now = shared.clock.now();
    let deadline = || shared.clock.timer(call.deadline);
    let is_trusted = shared.dispatcher().may_reuse_connection(placement.server, now);
    // One that is not trusted is closed: the new one takes its place.
    let pooled = pool.take(placement.server, now).filter(|_| is_trusted);
    let (request, unsent) = match pooled {
        Some(connection) => {
            guard.set_written(true);
            match exchange(connection, request, unsent, deadline()).await {
                // An idle connection that the server has closed says nothing about the server.
                Exchange::HandedBack(unsent, request) => (*request, unsent),
                Exchange::Head(sent, response, connection) => {
                    return handle_response(shared, call, sent, *response, connection, guard);
                }
                Exchange::Failed(sent, kind) => return fail_attempt(guard, sent, kind),
            }
        }
        None => (request, unsent),
    };
    guard.set_written(false);
    let connection = match connect_for_call(shared, call, &server).await {
        Ok(connection) => connection,
        Err(outcome) => {
            guard.close(outcome);
            return AttemptResult::NotSent(unsent);
        }
    };
    // An answer or a list may have said meanwhile that the server takes nothing more.
    let now = shared.clock.now();
    if !shared.dispatcher().may_still_send_to(placement.server, now) {
        pool.give_back(placement.server, connection, &HeaderMap::new(), now);
        guard.close(AttemptOutcome::Abandoned);
        return AttemptResult::NotSent(unsent);
    }
    guard.set_written(true);
    match exchange(connection, request, unsent, deadline()).await {
        Exchange::HandedBack(unsent, _) => {
            guard.close(AttemptOutcome::Unreachable);
            AttemptResult::NotSent(unsent)
        }
        Exchange::Head(sent, response, connection) => {
            handle_response(shared, call, sent, *response, connection, guard)
        }
        Exchange::Failed(sent, kind) => fail_attempt(guard, sent, kind),
    }
}

fn fail_attempt<H>(guard: AttemptGuard<H>, sent: Sent, kind: ErrorKind) -> AttemptResult<H> {
    guard.close(outcome_of_error(kind));
    AttemptResult::Failed(sent, kind)
}

/// Returns what an error after the sending says of the server.
pub(super) fn outcome_of_error(kind: ErrorKind) -> AttemptOutcome {
    match kind {
        // A deadline of the caller's own says little of the server; overdue answers are judged apart.
        ErrorKind::DeadlineAfterSend => AttemptOutcome::Abandoned,
        ErrorKind::BackendFailed | ErrorKind::AnswerIncomplete => AttemptOutcome::Broken,
        _ => AttemptOutcome::Failed,
    }
}

/// Connects to a server for a call; else returns what the failure says of it.
async fn connect_for_call<H>(
    shared: &Shared<H>,
    call: &Call,
    server: &ServerView,
) -> Result<HttpConnection, AttemptOutcome> {
    let limit_ms = CONNECT_TIMEOUT_MS.min(call.deadline.since_ms(shared.clock.now()));
    connect(shared, server, limit_ms).await
}

/// Connects to a server within some milliseconds; else returns what the failure says of it.
pub(super) async fn connect<H>(
    shared: &Shared<H>,
    server: &ServerView,
    limit_ms: u64,
) -> Result<HttpConnection, AttemptOutcome> {
    let began_at = shared.clock.now();
    let connection = HttpConnection::open_ready(server.address, limit_ms).await;
    let outcome = if connection.is_ok() { "opened" } else { "failed" };
    shared.metrics.connects.with_label_values(&[outcome]).inc();
    let took_ms = shared.clock.now().since_ms(began_at);
    connection.map_err(|error| {
        let is_late = took_ms > limit_ms + CONNECT_OVERRUN_MAX_MS;
        outcome_of_connect_error(error.kind(), is_late, shared.overload.sheds_callers())
    })
}

/// Returns what a failed connect says of a server. An instance that is short of processor time would else take
/// servers that are well for ended, and its peers would send them as little as to cold ones; and a server that has
/// too many connections closes new ones although it runs.
fn outcome_of_connect_error(error: IoErrorKind, is_late: bool, sheds_callers: bool) -> AttemptOutcome {
    match error {
        IoErrorKind::ConnectionRefused => AttemptOutcome::Down,
        IoErrorKind::TimedOut if is_late => AttemptOutcome::Abandoned,
        IoErrorKind::TimedOut if !sheds_callers => AttemptOutcome::Down,
        _ => AttemptOutcome::Unreachable,
    }
}

/// Matches the answer to the request.
fn handle_response<H: HeaderProtocol>(
    shared: &Shared<H>,
    call: &Call,
    sent: Sent,
    response: Response<Incoming>,
    connection: HttpConnection,
    guard: AttemptGuard<H>,
) -> AttemptResult<H> {
    if let Some(server) = guard.server() {
        let response_head = ServerResponseHead {
            server,
            status: response.status(),
            headers: response.headers(),
            request_id: &call.id,
        };
        process_notice(shared, &response_head);
    }
    let kind = shared
        .protocol
        .classify(response.status(), response.headers(), &call.id);
    match kind {
        ResponseKind::Mismatched => fail_attempt(guard, sent, ErrorKind::AnswerMismatched),
        ResponseKind::NotRun => {
            guard.close(AttemptOutcome::Rejected);
            // The server's word takes the place of never having sent.
            AttemptResult::Rejected(sent.into_unsent())
        }
        ResponseKind::Ran => {
            let (head, body) = response.into_parts();
            AttemptResult::ResponseStarted(Box::new(ResponseStart {
                sent,
                head,
                body,
                attempt: OpenAttempt { guard, connection },
            }))
        }
    }
}

fn build_request<H: HeaderProtocol>(
    shared: &Shared<H>,
    call: &Call,
    placement: &Placement,
    server: &ServerView,
    resume_after: Option<&str>,
) -> Option<Request<Full<Bytes>>> {
    let deadline_ms = call.time_left_ms(shared.clock.now())?;
    let cache_source = placement
        .cache_source
        .and_then(|key| shared.servers.get(key))
        .map(|source| source.address);
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    request.headers_mut().clone_from(&call.headers);
    let forward = ForwardHead {
        request_id: &call.id,
        deadline_ms,
        server_id: &server.id,
        workspace: call.workspace.as_ref().map(|workspace| workspace.name.as_str()),
        cache_source,
        resume_after,
    };
    shared.protocol.write_forward(request.headers_mut(), &forward);
    Some(request)
}
