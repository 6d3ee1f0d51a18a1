//! Answers to callers.

use std::fmt;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use hyper::header::CONNECTION;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use reedsail_core::Failure;

use super::relay::RelayBody;
use super::resume::ResumedBody;
use crate::HeaderProtocol;
use crate::shared::Shared;

/// Headers that concern one connection only (RFC 9110, 7.6.1).
const HOP_HEADERS: &[&str] = &[
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Breaks an answer off so that the caller sees that it is not whole.
#[derive(Debug)]
pub(crate) struct AnswerBroken;

impl fmt::Display for AnswerBroken {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("the backend server's answer broke off")
    }
}

impl std::error::Error for AnswerBroken {}

/// The body of an answer.
#[derive(Debug)]
pub(crate) enum AnswerBody<H> {
    /// Known whole.
    Whole(Full<Bytes>),
    /// Passed on as it comes.
    Relay(Box<RelayBody<H>>),
    /// Passed on as it comes, and gone on with elsewhere when it breaks.
    Resumed(ResumedBody),
}

impl<H: HeaderProtocol> Body for AnswerBody<H> {
    type Data = Bytes;
    type Error = AnswerBroken;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerBroken>>> {
        match self.get_mut() {
            Self::Whole(body) => Pin::new(body).poll_frame(context).map_err(|never| match never {}),
            Self::Relay(body) => body.poll_part(context),
            Self::Resumed(body) => body.poll_part(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(body) => body.is_end_stream(),
            Self::Relay(_) | Self::Resumed(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            Self::Relay(body) => body.size_hint(),
            Self::Resumed(_) => SizeHint::default(),
        }
    }
}

/// Makes the answer to a request that failed, as the closed table says.
pub(crate) fn failure_answer<H: HeaderProtocol>(
    shared: &Shared<H>,
    failure: &Failure,
    request_id: Option<&HeaderValue>,
) -> Response<AnswerBody<H>> {
    let kind = failure.kind();
    let text = format!("{}: {}\n", kind.name(), kind.message());
    let mut response = Response::new(AnswerBody::Whole(Full::new(Bytes::from(text))));
    *response.status_mut() = StatusCode::from_u16(kind.status()).unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    shared.protocol.write_own_answer(headers, request_id);
    if let Some(after_ms) = failure.retry_after_ms() {
        headers.insert(RETRY_AFTER, shared.protocol.retry_after(after_ms));
    }
    response
}

/// Removes what concerns one connection only, and what its `Connection` header names.
pub(crate) fn remove_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<String> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in HOP_HEADERS {
        headers.remove(*name);
    }
    for name in named {
        headers.remove(name.as_str());
    }
}
