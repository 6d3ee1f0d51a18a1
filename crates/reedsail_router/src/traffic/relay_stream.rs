//! Relays a stream as it arrives. If the stream breaks, the response to the caller is aborted.

use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use reedsail_dispatch::AttemptOutcome;
use reedsail_dispatch::BreakCause;
use reedsail_dispatch::SlowReaderWatch;
use reedsail_net::BodyFraming;
use reedsail_net::Clock;
use reedsail_net::DeadlineTimer;
use reedsail_net::EventScanner;

use super::Pool;
use super::attempt_guard::OpenAttempt;
use super::call::Call;
use super::exchange::ResponseStart;
use super::request_log::RequestLog;
use super::request_log::RequestOutcome;
use super::response_aborted::ResponseAborted;
use super::response_end::ResponseEnd;
use crate::shared::Shared;

/// The body of a relayed stream. Dropping it cancels the attempt.
#[derive(Debug)]
pub(crate) struct StreamBody<H> {
    pool: Arc<Pool>,
    body: Incoming,
    framing: BodyFraming,
    scanner: EventScanner,
    response_headers: HeaderMap,
    /// `None` once the stream has ended.
    attempt: Option<OpenAttempt<H>>,
    /// The time at which the stream is aborted if it has not ended.
    deadline: DeadlineTimer,
    clock: Clock,
    reader: SlowReaderWatch,
    log: RequestLog<H>,
}

impl<H> StreamBody<H> {
    /// Starts to relay a stream.
    pub(crate) fn start(
        shared: &Shared<H>,
        pool: &Arc<Pool>,
        call: &Call,
        response_start: ResponseStart<H>,
        log: RequestLog<H>,
    ) -> Self {
        Self {
            pool: Arc::clone(pool),
            body: response_start.body,
            framing: response_start.framing,
            scanner: EventScanner::default(),
            response_headers: response_start.head.headers,
            attempt: Some(response_start.attempt),
            deadline: shared.clock.timer(call.deadline),
            clock: shared.clock,
            reader: SlowReaderWatch::default(),
            log,
        }
    }

    pub(crate) fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }

    /// Relays the next chunk.
    pub(crate) fn poll_chunk(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseAborted>>> {
        let now = self.clock.now();
        self.reader.record_writable(now);
        self.log.record_writable(now);
        if let Some(attempt) = &mut self.attempt {
            attempt.guard.record_writable(now);
        }
        match Pin::new(&mut self.body).poll_frame(context) {
            Poll::Ready(Some(Ok(frame))) => {
                let now = self.clock.now();
                self.reader.record_written(now);
                if let Some(attempt) = &mut self.attempt {
                    attempt.guard.record_event();
                }
                self.log.record_event(now);
                if let Some(data) = frame.data_ref() {
                    self.scanner.read(data);
                }
                if self.body.is_end_stream() {
                    self.finish();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(None) => {
                self.finish();
                Poll::Ready(None)
            }
            Poll::Ready(Some(Err(_error))) => {
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
            Poll::Pending => {
                if Pin::new(&mut self.deadline).poll(context).is_pending() {
                    return Poll::Pending;
                }
                self.abort(AttemptOutcome::Abandoned, RequestOutcome::Deadline);
                Poll::Ready(Some(Err(ResponseAborted)))
            }
        }
    }

    fn finish(&mut self) {
        if let Some(attempt) = self.attempt.take() {
            attempt.complete(&self.pool, &self.response_headers, AttemptOutcome::Answered);
            self.log.record_response_end(ResponseEnd {
                framing: self.framing,
                is_inside_event: self.scanner.is_inside_event(),
            });
            self.log.end(RequestOutcome::Answered);
        }
    }

    fn abort(&mut self, attempt_outcome: AttemptOutcome, outcome: RequestOutcome) {
        if let Some(attempt) = self.attempt.take() {
            attempt.abort(attempt_outcome);
            self.log.end(outcome);
        }
    }
}
