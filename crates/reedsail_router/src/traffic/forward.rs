//! Places a request on a server, sends it, and retries it on other servers if the retry rule allows.
//!
//! Owns the state of a request's attempts. `reedsail_dispatch` makes the decisions: placement and admission
//! choose the server of each attempt, and the retry rule decides whether another attempt follows.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Response;
use hyper::body::Body;
use hyper::header::CONTENT_LENGTH;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use reedsail_core::ErrorKind;
use reedsail_core::Failure;
use reedsail_core::Sent;
use reedsail_core::ServerKey;
use reedsail_core::Unsent;
use reedsail_dispatch::ATTEMPTS_MAX;
use reedsail_dispatch::AttemptFailure;
use reedsail_dispatch::Decision;
use reedsail_dispatch::Placement;
use reedsail_dispatch::RetryDecision;
use reedsail_dispatch::RetryPermit;
use reedsail_dispatch::RetryPurpose;
use reedsail_dispatch::RetryVerdict;
use reedsail_dispatch::SuspectKey;
use reedsail_net::BodyFraming;
use reedsail_net::remove_hop_headers;

use super::Pool;
use super::attempt_guard::AttemptGuard;
use super::call::Call;
use super::exchange::AttemptResult;
use super::exchange::ResponseStart;
use super::exchange::attempt_once;
use super::relay_buffered::BufferResult;
use super::relay_buffered::BufferedResponse;
use super::relay_buffered::relay_buffered;
use super::relay_stream::StreamBody;
use super::request_log::RequestLog;
use super::request_log::RequestOutcome;
use super::request_log::RetryCause;
use super::response::ResponseBody;
use super::response::build_response;
use super::response_end::ResponseEnd;
use super::resume::ResumableBody;
use super::stream_version::VersionSource;
use super::stream_version::resolve_version;
use crate::AnswerShape;
use crate::HeaderProtocol;
use crate::shared::Shared;

/// The media type of a stream of events.
const EVENT_STREAM_TYPE: &[u8] = b"text/event-stream";

/// A response to the caller.
type CallerResponse<H> = Response<ResponseBody<H>>;

/// Forwards a request to a server and returns the response for the caller.
pub(crate) async fn forward<H: HeaderProtocol>(
    shared: &Arc<Shared<H>>,
    pool: &Arc<Pool>,
    mut call: Call,
    mut log: RequestLog<H>,
) -> Result<CallerResponse<H>, Failure> {
    match resolve_version(shared, &mut call).await {
        Ok(source) => log.set_version_source(source),
        Err(kind) => {
            log.set_version_source(Some(VersionSource::Unknown));
            let failure = Unsent::new().refuse(kind);
            log.record_refusal(&failure, None);
            return Err(failure);
        }
    }
    let now = shared.clock.now();
    shared
        .dispatcher()
        .record_arrival(&call.demand(&[], &call.regions, now), now);
    let mut forwarding = Forwarding {
        shared: Arc::clone(shared),
        pool: Arc::clone(pool),
        call,
        log,
        tried: Vec::new(),
        attempts_sent: 0,
        purpose: None,
        permit: None,
        result: AttemptsResult::Unsent(Unsent::new()),
    };
    while forwarding.tried.len() < ATTEMPTS_MAX {
        let placement = match forwarding.place() {
            Ok(placement) => placement,
            Err(refusal) => return forwarding.give_up(refusal),
        };
        let (failure, cause) = match forwarding.attempt(&placement).await {
            ForwardStep::Streaming(response_start) => return Ok(forwarding.relay_stream(*response_start)),
            ForwardStep::Unbuffered(response_start, begun) => {
                return Ok(forwarding.relay_unbuffered(*response_start, begun));
            }
            ForwardStep::Answered(response) => return Ok(forwarding.respond(response)),
            ForwardStep::Failed(failure, cause) => (failure, cause),
        };
        if !forwarding.may_retry(failure, cause) {
            break;
        }
    }
    forwarding.give_up(Refusal::of(ErrorKind::NoBackend))
}

/// The combined result of the attempts so far.
enum AttemptsResult {
    /// No attempt ran the request.
    Unsent(Unsent),
    /// An attempt may have run the request.
    Sent(Sent, ErrorKind),
    /// A server ran the request and responded with a server error, which can be relayed.
    ServerFailure(BufferedResponse),
}

/// The result of one attempt, with its response body unless that is a stream.
enum ForwardStep<H> {
    /// A stream started.
    Streaming(Box<ResponseStart<H>>),
    /// A response without room in memory started, of which the bytes were read. It cannot be retried.
    Unbuffered(Box<ResponseStart<H>>, Bytes),
    /// A complete response arrived.
    Answered(BufferedResponse),
    /// The attempt failed. The retry rule decides whether another one follows.
    Failed(AttemptFailure, RetryCause),
}

/// Why no server was chosen for a request.
#[derive(Clone, Copy, Debug)]
struct Refusal {
    kind: ErrorKind,
    retry_after_ms: Option<u64>,
    /// The placement that admission refused, if there was one.
    placement: Option<Placement>,
    /// The quarantined segment of the prompt, if that is the reason.
    segment: Option<u64>,
}

impl Refusal {
    fn of(kind: ErrorKind) -> Self {
        Self {
            kind,
            retry_after_ms: None,
            placement: None,
            segment: None,
        }
    }
}

/// A request and the state of its attempts.
struct Forwarding<H> {
    shared: Arc<Shared<H>>,
    pool: Arc<Pool>,
    call: Call,
    log: RequestLog<H>,
    tried: Vec<ServerKey>,
    /// Attempts that may have run the request.
    attempts_sent: u32,
    /// Why the next attempt to reach a server is a retry; `None` until an attempt has reached one.
    purpose: Option<RetryPurpose>,
    /// The permit for that attempt.
    permit: Option<RetryPermit>,
    result: AttemptsResult,
}

impl<H: HeaderProtocol> Forwarding<H> {
    fn place(&self) -> Result<Placement, Refusal> {
        let now = self.shared.clock.now();
        if self.call.time_left_ms(now).is_none() {
            return Err(Refusal::of(ErrorKind::DeadlineInQueue));
        }
        let newest = self.shared.routes.load();
        let regions = self.call.allowed_regions(&newest).map_err(Refusal::of)?;
        let demand = self.call.demand(&self.tried, &regions, now);
        match self.shared.dispatcher().decide(&demand, now) {
            Decision::Send(placement) => Ok(placement),
            Decision::Quarantined(suspect) => Err(Refusal {
                segment: quarantined_segment(suspect),
                ..Refusal::of(ErrorKind::Quarantined)
            }),
            Decision::VersionGone => Err(Refusal::of(ErrorKind::StreamVersionGone)),
            Decision::Refuse {
                kind,
                retry_after_ms,
                placement,
            } => Err(Refusal {
                kind,
                retry_after_ms: Some(retry_after_ms),
                placement,
                segment: None,
            }),
        }
    }

    async fn attempt(&mut self, placement: &Placement) -> ForwardStep<H> {
        self.log.record_placement(placement);
        let now = self.shared.clock.now();
        let demand = self.call.demand(&self.tried, &self.call.regions, now);
        let guard = AttemptGuard::begin(&self.shared, &demand, placement);
        self.tried.push(placement.server);
        let permit = self.permit.as_ref();
        let attempt = attempt_once(
            &self.shared,
            &self.pool,
            &self.call,
            placement,
            None,
            permit,
            guard,
        );
        let step = match attempt.await {
            AttemptResult::ResponseStarted(response_start) => self.receive_response(response_start).await,
            AttemptResult::NotSent(_) => {
                return ForwardStep::Failed(AttemptFailure::NotSent, RetryCause::NotSent);
            }
            AttemptResult::Rejected(_) => ForwardStep::Failed(AttemptFailure::Rejected, RetryCause::Rejected),
            AttemptResult::Failed(sent, kind) => {
                self.result = AttemptsResult::Sent(sent, kind);
                self.fail_sent_attempt(RetryCause::Failed(kind))
            }
        };
        // The attempt has reached a server, so its permit is used.
        self.permit = None;
        self.record_retry_outcome(&step);
        step
    }

    /// Records what a retry has come to.
    fn record_retry_outcome(&self, step: &ForwardStep<H>) {
        let Some(purpose) = self.purpose else { return };
        let is_success = match step {
            ForwardStep::Streaming(_) | ForwardStep::Unbuffered(..) | ForwardStep::Answered(_) => true,
            ForwardStep::Failed(..) => false,
        };
        let now = self.shared.clock.now();
        self.shared
            .dispatcher()
            .record_retry_outcome(self.call.service, purpose, is_success, now);
    }

    async fn receive_response(&mut self, response_start: Box<ResponseStart<H>>) -> ForwardStep<H> {
        let has_events = matches!(self.call.route.answer, AnswerShape::Events { .. })
            && has_event_type(&response_start.head.headers);
        // A response without a body, such as one to HEAD, is complete.
        let has_body = !response_start.body.is_end_stream();
        if has_events && has_body && response_start.head.status.is_success() {
            return ForwardStep::Streaming(response_start);
        }
        match relay_buffered(&self.shared, &self.pool, &self.call, response_start).await {
            Ok(BufferResult::Complete(response)) if response.is_failure() => {
                self.result = AttemptsResult::ServerFailure(response);
                self.fail_sent_attempt(RetryCause::ServerFailure)
            }
            Ok(BufferResult::Complete(response)) => ForwardStep::Answered(response),
            Ok(BufferResult::NoRoom(response_start, begun)) => ForwardStep::Unbuffered(response_start, begun),
            Err(failure) => {
                self.result = AttemptsResult::Sent(Unsent::new().send(), failure.kind());
                self.fail_sent_attempt(RetryCause::Failed(failure.kind()))
            }
        }
    }

    fn fail_sent_attempt(&mut self, cause: RetryCause) -> ForwardStep<H> {
        self.attempts_sent += 1;
        let failure = AttemptFailure::MayHaveRun {
            attempts: self.attempts_sent,
        };
        ForwardStep::Failed(failure, cause)
    }

    /// Returns whether another attempt may follow a failed one, and takes a permit for it if it needs one.
    fn may_retry(&mut self, failure: AttemptFailure, cause: RetryCause) -> bool {
        if self.call.route.retry_policy().after(failure) == RetryVerdict::Never {
            return false;
        }
        self.purpose = failure.retry_purpose().or(self.purpose);
        let decision = self.decide_retry();
        self.log.record_retry(cause, &decision);
        let is_granted = decision.is_granted();
        self.permit = decision.permit.or(self.permit.take());
        is_granted
    }

    /// Decides on the next attempt. It is free as long as no attempt has reached a server, or with the permit of an
    /// attempt that was not sent.
    fn decide_retry(&mut self) -> RetryDecision {
        let Some(purpose) = self.purpose else {
            return RetryDecision::FREE;
        };
        let now = self.shared.clock.now();
        if self.permit.as_ref().is_some_and(|permit| permit.is_valid(now)) {
            return RetryDecision::FREE;
        }
        self.refund();
        self.shared
            .dispatcher()
            .take_retry(self.call.service, purpose, now)
    }

    /// Returns the permit of an attempt that was not sent.
    fn refund(&mut self) {
        if let Some(permit) = self.permit.take() {
            self.shared.dispatcher().refund_retry(&permit);
        }
    }

    fn respond(mut self, response: BufferedResponse) -> CallerResponse<H> {
        self.log.record_first_event();
        self.log
            .record_response_end(ResponseEnd::of_body(response.framing));
        self.log.end(RequestOutcome::Answered);
        buffered_response(response)
    }

    fn relay_stream(self, response_start: ResponseStart<H>) -> CallerResponse<H> {
        let status = response_start.head.status;
        let framing = response_start.framing;
        let mut headers = response_start.head.headers.clone();
        remove_hop_headers(&mut headers);
        let body = if self.call.route.is_repeatable() {
            // A stream that another server continues may be longer.
            headers.remove(CONTENT_LENGTH);
            ResponseBody::Resumable(ResumableBody::start(
                &self.shared,
                &self.pool,
                self.call,
                response_start,
                self.tried,
                self.log,
            ))
        } else {
            let body = StreamBody::start(&self.shared, &self.pool, &self.call, response_start, self.log);
            ResponseBody::Stream(Box::new(body))
        };
        build_response(status, headers, framing, body)
    }

    /// Relays a response that is no stream as it arrives, after the bytes that were read.
    fn relay_unbuffered(mut self, response_start: ResponseStart<H>, begun: Bytes) -> CallerResponse<H> {
        let status = response_start.head.status;
        let framing = response_start.framing;
        let mut headers = response_start.head.headers.clone();
        remove_hop_headers(&mut headers);
        self.log.set_unbuffered();
        let body = StreamBody::start(&self.shared, &self.pool, &self.call, response_start, self.log);
        let body = ResponseBody::Stream(Box::new(body.unbuffered(status, begun)));
        build_response(status, headers, framing, body)
    }

    /// Ends the request with the result of its attempts, or with the refusal if no attempt ran it.
    fn give_up(mut self, refusal: Refusal) -> Result<CallerResponse<H>, Failure> {
        self.refund();
        let failure = match self.result {
            AttemptsResult::ServerFailure(response) => {
                self.log.record_first_event();
                self.log
                    .record_response_end(ResponseEnd::of_body(response.framing));
                self.log.end_with_failure(response.status);
                return Ok(buffered_response(response));
            }
            AttemptsResult::Sent(sent, kind) => sent.fail(kind),
            AttemptsResult::Unsent(unsent) => {
                let failure = unsent.refuse(refusal.kind);
                match refusal.retry_after_ms {
                    Some(after_ms) => failure.with_retry_after_ms(after_ms),
                    None => failure,
                }
            }
        };
        self.log.set_quarantined_segment(refusal.segment);
        self.log.record_refusal(&failure, refusal.placement.as_ref());
        Err(failure)
    }
}

/// Returns the id of a quarantined segment; `None` if the request itself is quarantined.
fn quarantined_segment(suspect: SuspectKey) -> Option<u64> {
    match suspect {
        SuspectKey::Segment(key) => Some(key.segment.id),
        SuspectKey::Request(_) => None,
    }
}

/// Returns whether a response is a stream of events, unless it states another type.
fn has_event_type(headers: &HeaderMap) -> bool {
    let stated = headers.get(CONTENT_TYPE).map(HeaderValue::as_bytes);
    stated.is_none_or(|stated| stated.to_ascii_lowercase().starts_with(EVENT_STREAM_TYPE))
}

fn buffered_response<H>(response: BufferedResponse) -> CallerResponse<H> {
    let body = Full::new(response.body);
    let body = match response.framing {
        BodyFraming::Framed => ResponseBody::Buffered(body),
        BodyFraming::ConnectionEnd => ResponseBody::Unframed(body),
    };
    build_response(response.status, response.headers, response.framing, body)
}
