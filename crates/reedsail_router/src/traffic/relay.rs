//! Brings a backend server's answer to the caller.

use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::HeaderMap;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use hyper::header::CONTENT_LENGTH;
use reedsail_core::ErrorKind;
use reedsail_core::Failure;
use reedsail_dispatch::AttemptOutcome;
use reedsail_net::HttpConnection;
use tokio::time::Sleep;
use tokio::time::sleep_until;
use tokio::time::timeout_at;

use super::Pool;
use super::answer::AnswerBody;
use super::answer::AnswerBroken;
use super::answer::remove_hop_headers;
use super::attempt_guard::AttemptGuard;
use super::call::Call;
use super::exchange::Answering;
use super::serve::RequestLog;
use crate::HeaderProtocol;
use crate::shared::Shared;

/// The largest answer that is read whole before it is passed on.
const WHOLE_BYTES_MAX: usize = 16 << 20;

/// An answer that came whole.
pub(crate) struct WholeAnswer<H> {
    pub(crate) response: Response<AnswerBody<H>>,
    /// The server failed, by its own word.
    pub(crate) is_failure: bool,
}

/// Reads a whole answer, so that the caller gets all of it or an error.
pub(crate) async fn relay_whole<H: HeaderProtocol>(
    shared: &Shared<H>,
    pool: &Pool,
    call: &Call,
    mut answering: Answering<H>,
) -> Result<WholeAnswer<H>, Failure> {
    answering.guard.note_answer();
    let (parts, body) = answering.response.into_parts();
    let deadline = shared.clock.instant(call.deadline);
    let read = timeout_at(deadline, Limited::new(body, WHOLE_BYTES_MAX).collect()).await;
    let body = match read {
        Ok(Ok(collected)) => collected.to_bytes(),
        Ok(Err(error)) => {
            answering.guard.close(AttemptOutcome::Failed);
            let kind = if error.is::<LengthLimitError>() {
                ErrorKind::AnswerTooLarge
            } else {
                ErrorKind::AnswerIncomplete
            };
            return Err(answering.sent.fail(kind));
        }
        Err(_) => {
            answering.guard.close(AttemptOutcome::Abandoned);
            return Err(answering.sent.fail(ErrorKind::DeadlineAfterSend));
        }
    };
    let is_failure = parts.status.is_server_error();
    if let Some(server) = answering.guard.server() {
        pool.give_back(server, answering.connection, &parts.headers, shared.clock.now());
    }
    answering.guard.close(if is_failure {
        AttemptOutcome::Failed
    } else {
        AttemptOutcome::Answered
    });
    let mut headers = parts.headers;
    remove_hop_headers(&mut headers);
    headers.remove(CONTENT_LENGTH);
    let response = answer_from(parts.status, headers, AnswerBody::Whole(Full::new(body)));
    Ok(WholeAnswer { response, is_failure })
}

/// Makes an answer with the backend server's status and headers.
pub(crate) fn answer_from<H>(
    status: StatusCode,
    headers: HeaderMap,
    body: AnswerBody<H>,
) -> Response<AnswerBody<H>> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// A stream passed on as it comes; dropping it cancels the run.
#[derive(Debug)]
pub(crate) struct RelayBody<H> {
    shared: Arc<Shared<H>>,
    pool: Arc<Pool>,
    body: Incoming,
    answer_headers: HeaderMap,
    /// What ends the run; taken when the stream is over.
    open: Option<OpenRun<H>>,
    /// When the stream is cut, whether or not it is over.
    cut_at: Pin<Box<Sleep>>,
    log: RequestLog<H>,
}

#[derive(Debug)]
struct OpenRun<H> {
    guard: AttemptGuard<H>,
    connection: HttpConnection,
}

impl<H: HeaderProtocol> RelayBody<H> {
    /// Begins to pass a stream on, and returns the answer whose body it is.
    pub(crate) fn start(
        shared: &Arc<Shared<H>>,
        pool: &Arc<Pool>,
        call: &Call,
        answering: Answering<H>,
        log: RequestLog<H>,
    ) -> Response<AnswerBody<H>> {
        let (parts, body) = answering.response.into_parts();
        let mut headers = parts.headers.clone();
        remove_hop_headers(&mut headers);
        let relay = Self {
            shared: Arc::clone(shared),
            pool: Arc::clone(pool),
            body,
            answer_headers: parts.headers,
            open: Some(OpenRun {
                guard: answering.guard,
                connection: answering.connection,
            }),
            cut_at: Box::pin(sleep_until(shared.clock.instant(call.deadline))),
            log,
        };
        answer_from(parts.status, headers, AnswerBody::Relay(Box::new(relay)))
    }

    pub(crate) fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }

    /// Passes the next part on.
    pub(crate) fn poll_part(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerBroken>>> {
        match Pin::new(&mut self.body).poll_frame(context) {
            Poll::Ready(Some(Ok(frame))) => {
                if let Some(open) = &mut self.open {
                    open.guard.note_answer();
                }
                self.log.note_part();
                if self.body.is_end_stream() {
                    self.finish();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(None) => {
                self.finish();
                Poll::Ready(None)
            }
            Poll::Ready(Some(Err(_))) => {
                self.break_off(AttemptOutcome::Failed, "backend_broke_off");
                Poll::Ready(Some(Err(AnswerBroken)))
            }
            Poll::Pending => {
                if self.cut_at.as_mut().poll(context).is_pending() {
                    return Poll::Pending;
                }
                self.break_off(AttemptOutcome::Abandoned, "deadline");
                Poll::Ready(Some(Err(AnswerBroken)))
            }
        }
    }

    fn finish(&mut self) {
        let Some(open) = self.open.take() else { return };
        if let Some(server) = open.guard.server() {
            let now = self.shared.clock.now();
            self.pool
                .give_back(server, open.connection, &self.answer_headers, now);
        }
        open.guard.close(AttemptOutcome::Answered);
        self.log.end("answered");
    }

    fn break_off(&mut self, outcome: AttemptOutcome, how: &'static str) {
        if let Some(open) = self.open.take() {
            open.guard.close(outcome);
            self.log.end(how);
        }
    }
}

impl<H> Drop for RelayBody<H> {
    fn drop(&mut self) {
        if self.open.is_some() {
            self.log.end("caller_gone");
        }
    }
}
