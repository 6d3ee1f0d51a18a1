//! Buffers a complete response before the caller receives any of it, so that the caller gets all of it or an error.
//!
//! A response without room in memory is handed back, to be relayed as it arrives.

use std::sync::Arc;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::StatusCode;
use hyper::header::CONTENT_LENGTH;
use reedsail_core::ErrorKind;
use reedsail_core::Failure;
use reedsail_dispatch::AttemptOutcome;
use reedsail_dispatch::BodyKind;
use reedsail_net::BodyFraming;
use reedsail_net::remove_hop_headers;
use tokio::select;

use super::Pool;
use super::attempt_guard::OpenAttempt;
use super::body_buffer::BodyBuffer;
use super::body_buffer::BodyError;
use super::call::Call;
use super::exchange::ResponseStart;
use super::exchange::outcome_of_error;
use super::response_end::EndVerdict;
use super::response_end::ResponseEnd;
use super::response_end::settle_unproven;
use crate::HeaderProtocol;
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

/// The result of buffering a response.
pub(crate) enum BufferResult<H> {
    /// The response is complete.
    Complete(BufferedResponse),
    /// There is no room for the response. The bytes were read already.
    NoRoom(Box<ResponseStart<H>>, Bytes),
}

/// Reads a complete response within the request's deadline.
pub(crate) async fn relay_buffered<H: HeaderProtocol>(
    shared: &Arc<Shared<H>>,
    pool: &Pool,
    call: &Call,
    mut response_start: Box<ResponseStart<H>>,
) -> Result<BufferResult<H>, Failure> {
    response_start.attempt.guard.record_first_event();
    let workspace = call.workspace_hash();
    let mut buffer = BodyBuffer::new(
        &shared.body_memory,
        workspace,
        BodyKind::Response,
        BUFFERED_BYTES_MAX,
    );
    let read = select! {
        biased;
        read = buffer.read(&mut response_start.body) => read.map_err(error_kind),
        () = shared.clock.timer(call.deadline) => Err(Some(ErrorKind::DeadlineAfterSend)),
    };
    let body = buffer.into_bytes();
    match read {
        Ok(()) => {}
        Err(None) => return Ok(BufferResult::NoRoom(response_start, body)),
        Err(Some(kind)) => {
            response_start.attempt.abort(outcome_of_error(kind));
            return Err(response_start.sent.fail(kind));
        }
    }
    let ResponseStart {
        sent,
        head,
        framing,
        attempt,
        ..
    } = *response_start;
    let verdict = match ResponseEnd::of_body(framing).verdict() {
        EndVerdict::Unproven => settle(shared, pool, &attempt).await,
        proven => proven,
    };
    let outcome = match verdict {
        EndVerdict::BrokenOff => {
            attempt.abort(AttemptOutcome::Broken);
            return Err(sent.fail(ErrorKind::AnswerIncomplete));
        }
        EndVerdict::Unproven => AttemptOutcome::Abandoned,
        EndVerdict::Whole if head.status.is_server_error() => AttemptOutcome::Failed,
        EndVerdict::Whole => AttemptOutcome::Answered,
    };
    attempt.complete(pool, framing, &head.headers, outcome);
    let mut headers = head.headers;
    remove_hop_headers(&mut headers);
    headers.remove(CONTENT_LENGTH);
    Ok(BufferResult::Complete(BufferedResponse {
        status: head.status,
        headers,
        body,
        framing,
    }))
}

async fn settle<H: HeaderProtocol>(
    shared: &Arc<Shared<H>>,
    pool: &Pool,
    attempt: &OpenAttempt<H>,
) -> EndVerdict {
    match attempt.guard.server() {
        Some(server) => settle_unproven(shared, pool, server).await,
        None => EndVerdict::Unproven,
    }
}

/// Returns the error kind of a body that was not read as a whole, or `None` if there is no room for it.
fn error_kind(error: BodyError) -> Option<ErrorKind> {
    match error {
        BodyError::TooLarge => Some(ErrorKind::AnswerTooLarge),
        BodyError::Broken => Some(ErrorKind::AnswerIncomplete),
        BodyError::NoRoom(_) => None,
    }
}
