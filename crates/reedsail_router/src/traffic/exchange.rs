//! One attempt: sends a request to one backend server and reads the head of the response.

use std::io::ErrorKind as IoErrorKind;
use std::sync::Arc;

use hyper::HeaderMap;
use hyper::Response;
use hyper::http::response::Parts;
use reedsail_core::ErrorKind;
use reedsail_core::Sent;
use reedsail_core::ServerKey;
use reedsail_core::TimeMs;
use reedsail_core::Unsent;
use reedsail_dispatch::AttemptOutcome;
use reedsail_dispatch::Placement;
use reedsail_dispatch::RetryPermit;
use reedsail_dispatch::VersionDemand;
use reedsail_net::BodyFraming;
use reedsail_net::ByteCounter;
use reedsail_net::HttpConnection;
use reedsail_net::ReceivedBody;

use super::Pool;
use super::attempt_guard::AttemptGuard;
use super::attempt_guard::OpenAttempt;
use super::call::Call;
use super::incarnation_check::Confirmation;
use super::incarnation_check::confirm_incarnation;
use super::sending::SendOutcome;
use super::sending::Sending;
use super::server_notices::ServerResponseHead;
use super::server_notices::process_notice;
use crate::HeaderProtocol;
use crate::ResponseKind;
use crate::server_views::ServerView;
use crate::shared::Shared;

/// Timeout of a connect to a backend server, in milliseconds.
pub(super) const CONNECT_TIMEOUT_MS: u64 = 250;
/// Longest overrun of a connect timeout that still counts against the server, in milliseconds. A longer overrun
/// means that this thread was late, and tells nothing about the server.
const CONNECT_OVERRUN_MAX_MS: u64 = 100;

/// The head of a response, with everything needed to read its body.
pub(crate) struct ResponseStart<H> {
    pub(crate) sent: Sent,
    pub(crate) head: Parts,
    pub(crate) body: ReceivedBody,
    pub(crate) framing: BodyFraming,
    pub(crate) attempt: OpenAttempt<H>,
}

/// The result of an attempt. Except for `ResponseStarted`, the attempt has ended.
pub(crate) enum AttemptResult<H> {
    /// The head of a response arrived.
    ResponseStarted(Box<ResponseStart<H>>),
    /// Nothing was written.
    NotSent(Unsent),
    /// The server responded that it did not run the request.
    Rejected(Unsent),
    /// Some bytes may have been written, and no valid response arrived.
    Failed(Sent, ErrorKind),
}

/// Sends the request to the server of its placement and waits for the head of the response. It is sent only while time is
/// left until the caller's deadline, and a retry only while its permit is valid.
pub(crate) async fn attempt_once<H: HeaderProtocol>(
    shared: &Arc<Shared<H>>,
    pool: &Pool,
    call: &Call,
    placement: &Placement,
    resume_after: Option<&str>,
    permit: Option<&RetryPermit>,
    mut guard: AttemptGuard<H>,
) -> AttemptResult<H> {
    let unsent = Unsent::new();
    let Some(server) = shared.servers.get(placement.server) else {
        guard.finish(AttemptOutcome::Abandoned);
        return AttemptResult::NotSent(unsent);
    };
    let now = shared.clock.now();
    let is_trusted = shared.dispatcher().may_reuse_connection(placement.server, now);
    let start_ms = required_start_ms(shared, call, &server, now);
    // A pooled connection that is not trusted closes here, and a new one replaces it.
    let pooled = match pool.take(placement.server, now).filter(|_| is_trusted) {
        None => None,
        Some(connection) => match confirm_incarnation(shared, &server, start_ms, connection).await {
            Confirmation::Confirmed(connection) => Some(connection),
            Confirmation::Restarted => return fail_restarted(shared, placement.server, guard, unsent),
            // The server may have closed the idle connection.
            Confirmation::Unanswered => None,
        },
    };
    let sending = Sending {
        shared,
        pool,
        call,
        placement,
        server: &server,
        resume_after,
        permit,
    };
    let unsent = match pooled {
        Some(connection) => match sending.send(connection, unsent, &mut guard).await {
            // The server may close an idle connection at any time, so this is no evidence about its health.
            SendOutcome::HandedBack(unsent) => unsent,
            SendOutcome::Late(unsent) => {
                guard.finish(AttemptOutcome::Abandoned);
                return AttemptResult::NotSent(unsent);
            }
            SendOutcome::Head(sent, response, connection) => {
                return handle_response(shared, call, sent, *response, connection, guard);
            }
            SendOutcome::Failed(sent, kind) => return fail_attempt(guard, sent, kind),
        },
        None => unsent,
    };
    guard.set_written(false);
    let connection = match connect_for_call(shared, call, &server).await {
        Ok(connection) => connection,
        Err(outcome) => {
            guard.finish(outcome);
            return AttemptResult::NotSent(unsent);
        }
    };
    let connection = match confirm_incarnation(shared, &server, start_ms, connection).await {
        Confirmation::Confirmed(connection) => connection,
        Confirmation::Restarted => return fail_restarted(shared, placement.server, guard, unsent),
        Confirmation::Unanswered => {
            guard.finish(AttemptOutcome::Unreachable);
            return AttemptResult::NotSent(unsent);
        }
    };
    // During the connect, another response or a new server list may have excluded this server.
    let now = shared.clock.now();
    if !shared.dispatcher().may_still_send_to(placement.server, now) {
        pool.give_back(placement.server, connection, &HeaderMap::new(), now);
        guard.finish(AttemptOutcome::Abandoned);
        return AttemptResult::NotSent(unsent);
    }
    match sending.send(connection, unsent, &mut guard).await {
        SendOutcome::HandedBack(unsent) => {
            guard.finish(AttemptOutcome::Unreachable);
            AttemptResult::NotSent(unsent)
        }
        SendOutcome::Late(unsent) => {
            guard.finish(AttemptOutcome::Abandoned);
            AttemptResult::NotSent(unsent)
        }
        SendOutcome::Head(sent, response, connection) => {
            handle_response(shared, call, sent, *response, connection, guard)
        }
        SendOutcome::Failed(sent, kind) => fail_attempt(guard, sent, kind),
    }
}

/// Returns the start that the server must confirm before the request is sent; `None` if any start may get the request, or
/// the record names none.
fn required_start_ms<H>(shared: &Shared<H>, call: &Call, server: &ServerView, now: TimeMs) -> Option<u64> {
    let is_required = match call.version {
        VersionDemand::Any => false,
        VersionDemand::Resumable => shared.dispatcher().may_run_two_versions(call.service, now),
        VersionDemand::Only(_) | VersionDemand::OnlyUnverified(_) | VersionDemand::Unknown => true,
    };
    server.born_ms.filter(|_| is_required)
}

/// Ends an attempt whose server has started again since its record was read.
fn fail_restarted<H>(
    shared: &Shared<H>,
    server: ServerKey,
    guard: AttemptGuard<H>,
    unsent: Unsent,
) -> AttemptResult<H> {
    shared.dispatcher().record_restarted(server, shared.clock.now());
    guard.finish(AttemptOutcome::Abandoned);
    AttemptResult::NotSent(unsent)
}

fn fail_attempt<H>(guard: AttemptGuard<H>, sent: Sent, kind: ErrorKind) -> AttemptResult<H> {
    guard.finish(outcome_of_error(kind));
    AttemptResult::Failed(sent, kind)
}

/// Returns the attempt outcome of an error that occurred after the request was sent.
pub(super) fn outcome_of_error(kind: ErrorKind) -> AttemptOutcome {
    match kind {
        // The caller's deadline tells little about the server. Overdue responses are judged separately.
        ErrorKind::DeadlineAfterSend => AttemptOutcome::Abandoned,
        ErrorKind::BackendFailed | ErrorKind::AnswerIncomplete => AttemptOutcome::Broken,
        _ => AttemptOutcome::Failed,
    }
}

/// Connects to a server within the time left for a request.
///
/// # Errors
/// Returns the attempt outcome of a failed connect.
async fn connect_for_call<H>(
    shared: &Shared<H>,
    call: &Call,
    server: &ServerView,
) -> Result<HttpConnection, AttemptOutcome> {
    let limit_ms = CONNECT_TIMEOUT_MS.min(call.deadline.since_ms(shared.clock.now()));
    let connection = connect(shared, server, limit_ms).await;
    connection.map_err(|failure| failure.outcome)
}

/// Why a connect to a server failed.
#[derive(Clone, Copy, Debug)]
pub(super) struct ConnectFailure {
    /// The outcome of the attempt that needed the connection.
    pub(super) outcome: AttemptOutcome,
    /// Whether nothing listens at the server's address.
    pub(super) is_refused: bool,
}

/// Connects to a server within `limit_ms`.
///
/// # Errors
/// Returns what a failed connect tells.
pub(super) async fn connect<H>(
    shared: &Shared<H>,
    server: &ServerView,
    limit_ms: u64,
) -> Result<HttpConnection, ConnectFailure> {
    let began_at = shared.clock.now();
    let connection = HttpConnection::open(server.address, limit_ms, ByteCounter::default()).await;
    let outcome = if connection.is_ok() { "opened" } else { "failed" };
    shared.metrics.connects.with_label_values(&[outcome]).inc();
    let took_ms = shared.clock.now().since_ms(began_at);
    connection.map_err(|error| {
        let is_late = took_ms > limit_ms + CONNECT_OVERRUN_MAX_MS;
        ConnectFailure {
            outcome: outcome_of_connect_error(error.kind(), is_late, shared.overload.sheds_callers()),
            is_refused: error.kind() == IoErrorKind::ConnectionRefused,
        }
    })
}

/// Returns the attempt outcome of a failed connect.
///
/// A late or overloaded instance must not report a timeout as [`AttemptOutcome::Down`]: short of processor time, it
/// would mark healthy servers as ended, and its peers would send them as little as cold servers. Other errors don't
/// show that a server ended either, since a server with too many connections closes new ones while it runs.
fn outcome_of_connect_error(error: IoErrorKind, is_late: bool, sheds_callers: bool) -> AttemptOutcome {
    match error {
        IoErrorKind::ConnectionRefused => AttemptOutcome::Down,
        IoErrorKind::TimedOut if is_late => AttemptOutcome::Abandoned,
        IoErrorKind::TimedOut if !sheds_callers => AttemptOutcome::Down,
        _ => AttemptOutcome::Unreachable,
    }
}

/// Checks that a response belongs to the request, and records the notice about the server that it carries.
fn handle_response<H: HeaderProtocol>(
    shared: &Shared<H>,
    call: &Call,
    sent: Sent,
    response: Response<ReceivedBody>,
    connection: HttpConnection,
    mut guard: AttemptGuard<H>,
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
            guard.finish(AttemptOutcome::Rejected);
            // The server guarantees that the request did not run, so it counts as never sent.
            AttemptResult::Rejected(sent.into_unsent())
        }
        ResponseKind::Ran => {
            guard.record_started();
            let (head, body) = response.into_parts();
            let framing = BodyFraming::of(&head.headers, &body);
            AttemptResult::ResponseStarted(Box::new(ResponseStart {
                sent,
                head,
                body,
                framing,
                attempt: OpenAttempt { guard, connection },
            }))
        }
    }
}
