//! The body of a response, as every reader of responses gets it.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

use crate::FrameLimitedBody;

/// The body of a response. Its parts are limited.
#[derive(Debug)]
pub struct ReceivedBody {
    body: FrameLimitedBody,
}

impl ReceivedBody {
    pub(crate) fn new(body: FrameLimitedBody) -> Self {
        Self { body }
    }
}

impl Body for ReceivedBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
