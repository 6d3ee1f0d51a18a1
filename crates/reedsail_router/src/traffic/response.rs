//! Responses to callers: the body types, and the response to a failed request.

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
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use reedsail_core::Failure;
use reedsail_net::BodyFraming;
use reedsail_net::remove_frame;

use super::relay_stream::StreamBody;
use super::response_aborted::ResponseAborted;
use super::resume::ResumableBody;
use crate::HeaderProtocol;

/// The body of a response to a caller.
#[derive(Debug)]
pub(crate) enum ResponseBody<H> {
    /// The complete body in memory.
    Buffered(Full<Bytes>),
    /// A body in memory of which nothing proves that it is whole, so that it gets no length.
    Unframed(Full<Bytes>),
    /// A stream that is relayed as it arrives.
    Stream(Box<StreamBody<H>>),
    /// A stream that is relayed as it arrives and resumes on another server if it breaks.
    Resumable(ResumableBody),
}

impl<H: HeaderProtocol> Body for ResponseBody<H> {
    type Data = Bytes;
    type Error = ResponseAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseAborted>>> {
        match self.get_mut() {
            Self::Buffered(body) | Self::Unframed(body) => {
                Pin::new(body).poll_frame(context).map_err(|never| match never {})
            }
            Self::Stream(body) => body.poll_chunk(context),
            Self::Resumable(body) => body.poll_chunk(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(body) => body.is_end_stream(),
            Self::Unframed(_) | Self::Stream(_) | Self::Resumable(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(body) => body.size_hint(),
            Self::Stream(body) => body.size_hint(),
            Self::Unframed(_) | Self::Resumable(_) => SizeHint::default(),
        }
    }
}

/// Builds a response with a backend server's status and headers. It gets a frame only if the server's response had one.
pub(crate) fn build_response<H>(
    status: StatusCode,
    headers: HeaderMap,
    framing: BodyFraming,
    body: ResponseBody<H>,
) -> Response<ResponseBody<H>> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    if framing == BodyFraming::ConnectionEnd {
        remove_frame(&mut response);
    }
    response
}

/// Builds the response to a failed request from the fixed table of error kinds.
pub(crate) fn failure_response<H: HeaderProtocol>(
    protocol: &H,
    failure: &Failure,
    request_id: Option<&HeaderValue>,
) -> Response<ResponseBody<H>> {
    let kind = failure.kind();
    let text = format!("{}: {}\n", kind.name(), kind.message());
    let mut response = Response::new(ResponseBody::Buffered(Full::new(Bytes::from(text))));
    // Every kind has a valid status; a test checks the table.
    *response.status_mut() = StatusCode::from_u16(kind.status()).unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    protocol.write_router_response(headers, request_id);
    if let Some(after_ms) = failure.retry_after_ms() {
        headers.insert(RETRY_AFTER, protocol.retry_after(after_ms));
    }
    response
}
