//! Builds the answers to callers.

use std::fmt;

use bytes::Bytes;
use http_body_util::Either;
use http_body_util::Full;
use http_body_util::channel::Channel;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use reedsail_core::Failure;
use serde_json::json;

use super::headers::REQUEST_ID_HEADER;

/// The answer header that states whether the request ran.
pub(crate) const RAN_HEADER: &str = "reedsail-ran";

/// The body of an answer: complete, or a stream that can fail.
pub(crate) type AnswerBody = Either<Full<Bytes>, Channel<Bytes, AnswerBroken>>;

/// The error that aborts a stream, so that the caller detects that it is incomplete.
#[derive(Debug)]
pub(crate) struct AnswerBroken;

impl fmt::Display for AnswerBroken {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("the backend server's stream broke off and could not be resumed")
    }
}

impl std::error::Error for AnswerBroken {}

/// Builds the answer to a failed request from the table of error kinds.
pub(crate) fn failure_answer(failure: &Failure, id: &str) -> Response<AnswerBody> {
    let kind = failure.kind();
    let body = json!({
        "error": {
            "kind": kind.name(),
            "ran": failure.ran().as_str(),
            "message": kind.message(),
            "retry_after_ms": failure.retry_after_ms(),
            "first_status": failure.first_status(),
        }
    });
    let mut response = Response::new(Either::Left(Full::new(Bytes::from(body.to_string()))));
    *response.status_mut() = StatusCode::from_u16(kind.status()).unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(RAN_HEADER, HeaderValue::from_static(failure.ran().as_str()));
    if let Ok(id) = HeaderValue::from_str(id) {
        headers.insert(REQUEST_ID_HEADER, id);
    }
    if let Some(after_ms) = failure.retry_after_ms() {
        headers.insert(RETRY_AFTER, HeaderValue::from(after_ms.div_ceil(1_000)));
    }
    if let Some(status) = failure.first_status() {
        headers.insert("reedsail-first-status", HeaderValue::from(status));
    }
    response
}
