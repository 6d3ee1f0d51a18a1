//! Buffers a complete response before the caller receives any of it, so that the caller gets all of it or an error.

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::HeaderMap;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::CONTENT_LENGTH;
use reedsail_core::ErrorKind;
use reedsail_core::Failure;
use reedsail_dispatch::AttemptOutcome;
use reedsail_net::BodyFraming;
use reedsail_net::remove_hop_headers;
use tokio::select;

use super::Pool;
use super::call::Call;
use super::exchange::ResponseStart;
use super::exchange::outcome_of_error;
use crate::shared::Shared;

/// Maximum size of a buffered response body, in bytes.
const BUFFERED_BYTES_MAX: usize = 16 << 20;

/// A complete response.
pub(crate) struct BufferedResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// How the server's response delimited the body.
    pub(crate) framing: BodyFraming,
}

impl BufferedResponse {
    /// Returns whether the server responded with a server error.
    pub(crate) fn is_failure(&self) -> bool {
        self.status.is_server_error()
    }
}

/// Reads a complete response within the request's deadline.
pub(crate) async fn relay_buffered<H>(
    shared: &Shared<H>,
    pool: &Pool,
    call: &Call,
    response_start: ResponseStart<H>,
) -> Result<BufferedResponse, Failure> {
    let ResponseStart {
        sent,
        head,
        body,
        framing,
        mut attempt,
    } = response_start;
    attempt.guard.record_first_event();
    let body = match buffer_body(shared, call, body).await {
        Ok(body) => body,
        Err(kind) => {
            attempt.abort(outcome_of_error(kind));
            return Err(sent.fail(kind));
        }
    };
    let outcome = if head.status.is_server_error() {
        AttemptOutcome::Failed
    } else {
        AttemptOutcome::Answered
    };
    attempt.complete(pool, &head.headers, outcome);
    let mut headers = head.headers;
    remove_hop_headers(&mut headers);
    headers.remove(CONTENT_LENGTH);
    Ok(BufferedResponse {
        status: head.status,
        headers,
        body,
        framing,
    })
}

async fn buffer_body<H>(shared: &Shared<H>, call: &Call, body: Incoming) -> Result<Bytes, ErrorKind> {
    let read = select! {
        biased;
        read = Limited::new(body, BUFFERED_BYTES_MAX).collect() => read,
        () = shared.clock.timer(call.deadline) => return Err(ErrorKind::DeadlineAfterSend),
    };
    match read {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(ErrorKind::AnswerTooLarge),
        Err(_error) => Err(ErrorKind::AnswerIncomplete),
    }
}
