//! Buffers a complete response before the caller receives any of it, so that the caller gets all of it or an error.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::HeaderMap;
use hyper::StatusCode;
use hyper::header::CONTENT_LENGTH;
use reedsail_core::ErrorKind;
use reedsail_core::Failure;
use reedsail_dispatch::AttemptOutcome;
use reedsail_net::BodyFraming;
use reedsail_net::FrameLimitedBody;
use reedsail_net::remove_hop_headers;
use tokio::select;

use super::Pool;
use super::attempt_guard::OpenAttempt;
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

/// Reads a complete response within the request's deadline.
pub(crate) async fn relay_buffered<H: HeaderProtocol>(
    shared: &Arc<Shared<H>>,
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
    Ok(BufferedResponse {
        status: head.status,
        headers,
        body,
        framing,
    })
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

async fn buffer_body<H>(shared: &Shared<H>, call: &Call, body: FrameLimitedBody) -> Result<Bytes, ErrorKind> {
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
