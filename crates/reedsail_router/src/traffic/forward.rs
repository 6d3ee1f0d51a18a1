//! Places a request, sends it, and sends it elsewhere where that is allowed.

use std::sync::Arc;

use hyper::Response;
use hyper::StatusCode;
use reedsail_core::ErrorKind;
use reedsail_core::Failure;
use reedsail_core::Sent;
use reedsail_core::ServerKey;
use reedsail_core::Unsent;
use reedsail_dispatch::Decision;
use reedsail_dispatch::Placement;
use reedsail_events::EventKind;

use super::Pool;
use super::answer::AnswerBody;
use super::attempt_guard::AttemptGuard;
use super::call::Call;
use super::exchange::Answering;
use super::exchange::Try;
use super::exchange::try_once;
use super::relay::RelayBody;
use super::relay::relay_whole;
use super::resume::relay_resumable;
use super::serve::RequestLog;
use crate::AnswerShape;
use crate::HeaderProtocol;
use crate::shared::Shared;

/// The most tries of one request, those that reached nobody included.
const TRIES_MAX: usize = 6;

/// What is known of the tries so far.
enum Standing<H> {
    /// None has run.
    Unsent(Unsent),
    /// One may have run.
    Sent(Sent, ErrorKind),
    /// One ran, and its server answered with a failure that can be passed on.
    Answered(Box<Response<AnswerBody<H>>>),
}

/// The tries of one request.
struct Tries<H> {
    tried: Vec<ServerKey>,
    /// Tries that may have run.
    runs: u32,
    standing: Standing<H>,
}

/// Brings a call to a server and its answer back.
pub(crate) async fn forward<H: HeaderProtocol>(
    shared: &Arc<Shared<H>>,
    pool: &Arc<Pool>,
    call: Call,
    mut log: RequestLog<H>,
) -> Result<Response<AnswerBody<H>>, Failure> {
    let now = shared.clock.now();
    shared.dispatcher().record_arrival(&call.demand(&[], now), now);
    let mut tries = Tries {
        tried: Vec::new(),
        runs: 0,
        standing: Standing::Unsent(Unsent::new()),
    };
    while tries.tried.len() < TRIES_MAX {
        let placement = match place(shared, &call, &tries.tried) {
            Ok(placement) => placement,
            Err(refusal) => return give_up(tries.standing, log, refusal),
        };
        note_placement(shared, &call, &mut log, &placement);
        let guard = begin(shared, &call, &tries.tried, &placement);
        tries.tried.push(placement.server);
        let outcome = try_once(shared, pool, &call, &placement, None, guard).await;
        let cause = match outcome {
            Try::Answering(answering) => {
                tries.runs += 1;
                let answering = *answering;
                if is_stream(&call, answering.response.status()) {
                    return Ok(relay_stream(shared, pool, call, answering, tries.tried, log));
                }
                match relay_whole(shared, pool, &call, answering).await {
                    Ok(whole) if whole.is_failure => {
                        tries.standing = Standing::Answered(Box::new(whole.response));
                        "server_failure"
                    }
                    Ok(whole) => {
                        log.note_part();
                        log.end("answered");
                        return Ok(whole.response);
                    }
                    Err(failure) => {
                        tries.standing = Standing::Sent(Unsent::new().send(), failure.kind());
                        failure.kind().name()
                    }
                }
            }
            Try::NotSent(_) => {
                note_repeat(shared, &log, "not_sent");
                continue;
            }
            Try::Rejected(_) => {
                if !shared.dispatcher().take_retry(call.service, shared.clock.now()) {
                    break;
                }
                note_repeat(shared, &log, "rejected");
                continue;
            }
            Try::Failed(sent, kind) => {
                tries.runs += 1;
                tries.standing = Standing::Sent(sent, kind);
                kind.name()
            }
        };
        if !may_run_again(shared, &call, tries.runs) {
            break;
        }
        note_repeat(shared, &log, cause);
    }
    give_up(tries.standing, log, Refusal::of(ErrorKind::NoBackend))
}

/// Why a request is not placed.
#[derive(Clone, Copy, Debug)]
struct Refusal {
    kind: ErrorKind,
    retry_after_ms: Option<u64>,
    expected_ms: Option<u64>,
}

impl Refusal {
    fn of(kind: ErrorKind) -> Self {
        Self {
            kind,
            retry_after_ms: None,
            expected_ms: None,
        }
    }
}

fn place<H: HeaderProtocol>(
    shared: &Shared<H>,
    call: &Call,
    tried: &[ServerKey],
) -> Result<Placement, Refusal> {
    let now = shared.clock.now();
    if call.time_left_ms(now).is_none() {
        return Err(Refusal::of(ErrorKind::DeadlineInQueue));
    }
    match shared.dispatcher().decide(&call.demand(tried, now), now) {
        Decision::Send(placement) => Ok(placement),
        Decision::Refuse {
            kind,
            retry_after_ms,
            expected_ms,
        } => Err(Refusal {
            kind,
            retry_after_ms: Some(retry_after_ms),
            expected_ms,
        }),
    }
}

fn begin<H: HeaderProtocol>(
    shared: &Arc<Shared<H>>,
    call: &Call,
    tried: &[ServerKey],
    placement: &Placement,
) -> AttemptGuard<H> {
    let demand = call.demand(tried, shared.clock.now());
    AttemptGuard::begin(shared, &demand, placement)
}

/// Tells whether a request that may have run may run once more.
fn may_run_again<H: HeaderProtocol>(shared: &Shared<H>, call: &Call, runs: u32) -> bool {
    call.route.is_repeatable()
        && runs < call.route.attempts
        && shared.dispatcher().take_retry(call.service, shared.clock.now())
}

/// Answers with what is known of the tries.
fn give_up<H: HeaderProtocol>(
    standing: Standing<H>,
    mut log: RequestLog<H>,
    refusal: Refusal,
) -> Result<Response<AnswerBody<H>>, Failure> {
    let failure = match standing {
        Standing::Answered(response) => {
            log.note_part();
            log.failure_status = Some(response.status());
            log.end("answered_with_failure");
            return Ok(*response);
        }
        Standing::Sent(sent, kind) => sent.fail(kind),
        Standing::Unsent(unsent) => {
            let failure = unsent.refuse(refusal.kind);
            match refusal.retry_after_ms {
                Some(after_ms) => failure.with_retry_after_ms(after_ms),
                None => failure,
            }
        }
    };
    let expected_ms = refusal
        .expected_ms
        .map_or("unknown".to_owned(), |expected_ms| expected_ms.to_string());
    log.refuse(&failure, &[("expected_ms", expected_ms)]);
    Err(failure)
}

fn is_stream(call: &Call, status: StatusCode) -> bool {
    matches!(call.route.answer, AnswerShape::Events { .. }) && status.is_success()
}

fn relay_stream<H: HeaderProtocol>(
    shared: &Arc<Shared<H>>,
    pool: &Arc<Pool>,
    call: Call,
    answering: Answering<H>,
    tried: Vec<ServerKey>,
    log: RequestLog<H>,
) -> Response<AnswerBody<H>> {
    if call.route.is_repeatable() {
        relay_resumable(shared, pool, call, answering, tried, log)
    } else {
        RelayBody::start(shared, pool, &call, answering, log)
    }
}

fn note_placement<H: HeaderProtocol>(
    shared: &Shared<H>,
    call: &Call,
    log: &mut RequestLog<H>,
    placement: &Placement,
) {
    if let Some(server) = shared.servers.load().get(&placement.server) {
        log.server.clone_from(&server.id);
    }
    let (own, all) = shared.dispatcher().running(placement.server);
    let workspace = call.workspace.as_ref();
    let fields = [
        ("service", call.service_name.clone()),
        (
            "workspace",
            workspace.map_or("none".to_owned(), |workspace| workspace.name.clone()),
        ),
        ("configuration", call.configuration_version.to_string()),
        ("server", log.server.clone()),
        ("expected_ms", placement.expected_ms.to_string()),
        ("unread_tokens", placement.prefill_tokens.to_string()),
        ("running_own", own.to_string()),
        ("running_all", all.to_string()),
    ];
    log.note(EventKind::RequestPlaced, &fields);
}

fn note_repeat<H: HeaderProtocol>(shared: &Shared<H>, log: &RequestLog<H>, cause: &'static str) {
    shared.metrics.repeats.with_label_values(&[cause]).inc();
    let fields = [("cause", cause.to_owned()), ("server", log.server.clone())];
    log.note(EventKind::RequestRepeated, &fields);
}
