//! Responses to callers that end with the connection, as a response without a length or chunks does.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use hyper::Method;
use hyper::Response;
use hyper::StatusCode;
use hyper::Version;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use hyper::header::CONNECTION;
use hyper::header::HeaderValue;

use crate::ResetOnClose;

/// Removes the frame of a response. Its body must not say how long it is.
pub fn remove_frame<B>(response: &mut Response<B>) {
    // To HTTP/1.1 responses of unknown length, hyper adds chunks.
    *response.version_mut() = Version::HTTP_10;
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
}

/// A response body that resets the caller's connection unless it is sent to its end, if the response ends with the
/// connection.
#[derive(Debug)]
pub struct ResettingBody<B> {
    body: B,
    /// Set until the body has ended; `None` if the response has a frame.
    reset: Option<ResetOnClose>,
}

impl<B: Body> ResettingBody<B> {
    /// Wraps the body of a response to a request with the given method and version. `reset` belongs to the connection.
    pub fn wrap(
        response: Response<B>,
        method: &Method,
        caller_version: Version,
        reset: &ResetOnClose,
    ) -> Response<Self> {
        let has_body = *method != Method::HEAD
            && response.status() != StatusCode::NO_CONTENT
            && response.status() != StatusCode::NOT_MODIFIED;
        let has_length = response.body().size_hint().exact().is_some();
        let allows_chunks = caller_version >= Version::HTTP_11 && response.version() >= Version::HTTP_11;
        let ends_with_connection = has_body && !has_length && !allows_chunks;
        reset.set(ends_with_connection);
        response.map(|body| Self {
            body,
            reset: ends_with_connection.then(|| reset.clone()),
        })
    }
}

impl<B: Body + Unpin> Body for ResettingBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(context);
        if let (Poll::Ready(None), Some(reset)) = (&polled, &self.reset) {
            reset.set(false);
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        // A body that ends with the connection ends when it is polled to its end.
        self.reset.is_none() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
