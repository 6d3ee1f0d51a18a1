//! Relays a stream as it arrives. If the stream breaks, the response to the caller is aborted. So is relayed a response of
//! another type that has no room in memory.
//!
//! `response_end` says whether a stream that ended without an error is whole. A check of its server runs in a task of its
//! own, whose result this body waits for.

use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::StatusCode;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use reedsail_core::ServerKey;
use reedsail_dispatch::AttemptOutcome;
use reedsail_dispatch::BreakCause;
use reedsail_dispatch::SlowReaderWatch;
use reedsail_net::BodyFraming;
use reedsail_net::Clock;
use reedsail_net::DeadlineTimer;
use reedsail_net::EventScanner;
use reedsail_net::ReceivedBody;
use tokio::sync::oneshot;

use super::Pool;
use super::attempt_guard::OpenAttempt;
use super::call::Call;
use super::exchange::ResponseStart;
use super::request_log::RequestLog;
use super::request_log::RequestOutcome;
use super::response_aborted::ResponseAborted;
use super::response_end::EndVerdict;
use super::response_end::ResponseEnd;
use super::response_end::settle_unproven;
use crate::HeaderProtocol;
use crate::shared::Shared;

/// The result of polling a body for its next chunk.
type PollChunk = Poll<Option<Result<Frame<Bytes>, ResponseAborted>>>;

/// The body of a relayed stream. Dropping it cancels the attempt.
#[derive(Debug)]
pub(crate) struct StreamBody<H> {
    shared: Arc<Shared<H>>,
    pool: Arc<Pool>,
    body: ReceivedBody,
    framing: BodyFraming,
    /// `None` for a response that is no stream of events.
    scanner: Option<EventScanner>,
    /// Bytes that were read before the relay began.
    begun: Bytes,
    /// The status of a response that is no stream, if it is a server error.
    failure_status: Option<StatusCode>,
    response_headers: HeaderMap,
    /// `None` once the stream has ended.
    attempt: Option<OpenAttempt<H>>,
    /// The result of the check of the server, once the stream has ended unproven.
    settling: Option<oneshot::Receiver<EndVerdict>>,
    /// The time at which the stream is aborted if it has not ended.
    deadline: DeadlineTimer,
    clock: Clock,
    reader: SlowReaderWatch,
    log: RequestLog<H>,
}

impl<H: HeaderProtocol> StreamBody<H> {
    /// Starts to relay a stream.
    pub(crate) fn start(
        shared: &Arc<Shared<H>>,
        pool: &Arc<Pool>,
        call: &Call,
        response_start: ResponseStart<H>,
        log: RequestLog<H>,
    ) -> Self {
        Self {
            shared: Arc::clone(shared),
            pool: Arc::clone(pool),
            body: response_start.body,
            framing: response_start.framing,
            scanner: Some(EventScanner::default()),
            begun: Bytes::new(),
            failure_status: None,
            response_headers: response_start.head.headers,
            attempt: Some(response_start.attempt),
            settling: None,
            deadline: shared.clock.timer(call.deadline),
            clock: shared.clock,
            reader: SlowReaderWatch::default(),
            log,
        }
    }

    /// Relays a response that is no stream of events, after the bytes that were read.
    pub(crate) fn unbuffered(mut self, status: StatusCode, begun: Bytes) -> Self {
        self.log.record_first_event();
        self.scanner = None;
        self.failure_status = Some(status).filter(StatusCode::is_server_error);
        self.begun = begun;
        self
    }

    pub(crate) fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }

    /// Relays the next chunk.
    pub(crate) fn poll_chunk(&mut self, context: &mut Context<'_>) -> PollChunk {
        let now = self.clock.now();
        self.reader.record_writable(now);
        self.log.record_writable(now);
        if let Some(attempt) = &mut self.attempt {
            attempt.guard.record_writable(now);
        }
        if self.settling.is_some() {
            return self.poll_settling(context);
        }
        if !self.begun.is_empty() {
            let begun = Frame::data(std::mem::take(&mut self.begun));
            return Poll::Ready(Some(Ok(begun)));
        }
        match Pin::new(&mut self.body).poll_frame(context) {
            Poll::Ready(Some(Ok(frame))) => {
                self.record_frame(&frame);
                // The last frame of a body with a length is not followed by another poll.
                if self.body.is_end_stream()
                    && let Poll::Ready(Some(Err(aborted))) = self.end_body(context)
                {
                    return Poll::Ready(Some(Err(aborted)));
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(None) => self.end_body(context),
            Poll::Ready(Some(Err(_error))) => self.break_off(),
            Poll::Pending => {
                if Pin::new(&mut self.deadline).poll(context).is_pending() {
                    return Poll::Pending;
                }
                self.abort(AttemptOutcome::Abandoned, RequestOutcome::Deadline);
                Poll::Ready(Some(Err(ResponseAborted)))
            }
        }
    }

    fn record_frame(&mut self, frame: &Frame<Bytes>) {
        let now = self.clock.now();
        self.reader.record_written(now);
        let Some(scanner) = &mut self.scanner else { return };
        if let Some(attempt) = &mut self.attempt {
            attempt.guard.record_event();
        }
        self.log.record_event(now);
        if let Some(data) = frame.data_ref() {
            scanner.read(data);
        }
    }

    /// Ends the stream after its body was read without an error. Later calls do nothing.
    fn end_body(&mut self, context: &mut Context<'_>) -> PollChunk {
        let Some(server) = self.attempt.as_ref().and_then(|attempt| attempt.guard.server()) else {
            return Poll::Ready(None);
        };
        let end = ResponseEnd {
            framing: self.framing,
            is_inside_event: self.scanner.as_ref().is_some_and(EventScanner::is_inside_event),
        };
        self.log.record_response_end(end);
        if self.body.check_end().is_err() {
            return self.break_off();
        }
        match end.verdict() {
            EndVerdict::Whole => self.finish(self.whole_outcome()),
            EndVerdict::BrokenOff => self.break_off(),
            EndVerdict::Unproven => {
                self.settling = Some(self.start_settling(server));
                self.poll_settling(context)
            }
        }
    }

    fn start_settling(&self, server: ServerKey) -> oneshot::Receiver<EndVerdict> {
        let (sender, receiver) = oneshot::channel();
        let (shared, pool) = (Arc::clone(&self.shared), Arc::clone(&self.pool));
        tokio::spawn(async move {
            let verdict = settle_unproven(&shared, &pool, server).await;
            // The caller may have disconnected meanwhile.
            let _ = sender.send(verdict);
        });
        receiver
    }

    fn poll_settling(&mut self, context: &mut Context<'_>) -> PollChunk {
        let Some(settling) = &mut self.settling else {
            return Poll::Ready(None);
        };
        let Poll::Ready(verdict) = Pin::new(settling).poll(context) else {
            return Poll::Pending;
        };
        self.settling = None;
        match verdict.unwrap_or(EndVerdict::Unproven) {
            EndVerdict::Whole => self.finish(self.whole_outcome()),
            EndVerdict::BrokenOff => self.break_off(),
            EndVerdict::Unproven => self.finish(AttemptOutcome::Abandoned),
        }
    }

    /// Ends the stream, whose end leaves nothing more to tell the caller.
    fn finish(&mut self, attempt_outcome: AttemptOutcome) -> PollChunk {
        if let Some(attempt) = self.attempt.take() {
            attempt.complete(&self.pool, self.framing, &self.response_headers, attempt_outcome);
            match self.failure_status {
                Some(status) => self.log.end_with_failure(status),
                None => self.log.end(RequestOutcome::Answered),
            }
        }
        Poll::Ready(None)
    }

    /// Returns the outcome of the attempt if its response is whole.
    fn whole_outcome(&self) -> AttemptOutcome {
        match self.failure_status {
            Some(_) => AttemptOutcome::Failed,
            None => AttemptOutcome::Answered,
        }
    }

    /// Aborts the response because the server's response broke off.
    fn break_off(&mut self) -> PollChunk {
        match self.reader.break_cause(self.clock.now()) {
            BreakCause::Server => {
                self.abort(AttemptOutcome::Broken, RequestOutcome::BackendBrokeOff);
            }
            BreakCause::CallerStalled => {
                self.abort(AttemptOutcome::Abandoned, RequestOutcome::CallerStalled);
            }
        }
        Poll::Ready(Some(Err(ResponseAborted)))
    }

    fn abort(&mut self, attempt_outcome: AttemptOutcome, outcome: RequestOutcome) {
        if let Some(attempt) = self.attempt.take() {
            attempt.abort(attempt_outcome);
            self.log.end(outcome);
        }
    }
}
