//! The body of a response, as every reader of responses gets it.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use hyper::header::CONTENT_LENGTH;
use thiserror::Error;

use crate::FrameLimitedBody;
use crate::trailing_bytes::TrailingBytes;

/// Why a body is not the body of its response.
#[derive(Debug, Error)]
pub enum BodyError {
    /// It cannot be read, or ended early.
    #[error("{0}")]
    Read(#[from] hyper::Error),
    /// Bytes follow it that belong to no response, so its stated length cannot be trusted.
    #[error("bytes of no response follow the stated length")]
    Overlong,
}

/// The body of a response. Its parts are limited, and it ends with an error if its head was wrong about its length.
#[derive(Debug)]
pub struct ReceivedBody {
    body: FrameLimitedBody,
    /// What follows a body that ends at its stated length; `None` for other bodies.
    trailing: Option<TrailingBytes>,
}

impl ReceivedBody {
    pub(crate) fn new(body: FrameLimitedBody, headers: &HeaderMap, trailing: &TrailingBytes) -> Self {
        let trailing = has_stated_length(&body, headers).then(|| trailing.clone());
        Self { body, trailing }
    }

    /// Checks the end of a body that was read to its end, for a reader that does not poll it once more.
    ///
    /// # Errors
    /// Returns `Overlong` if bytes follow that belong to no response.
    pub fn check_end(&self) -> Result<(), BodyError> {
        match &self.trailing {
            Some(trailing) if trailing.are_found() => Err(BodyError::Overlong),
            _ => Ok(()),
        }
    }
}

/// Returns whether a body that was not read yet ends at the length that its head states. Other responses with a length are
/// those that never have a body, such as one to HEAD.
fn has_stated_length(body: &FrameLimitedBody, headers: &HeaderMap) -> bool {
    let stated = headers.get(CONTENT_LENGTH).and_then(|value| value.to_str().ok());
    // The library has refused a length that is no number.
    let stated_bytes = stated.and_then(|text| text.parse::<u64>().ok());
    stated_bytes.is_some() && stated_bytes == body.size_hint().exact()
}

impl Body for ReceivedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let polled = Pin::new(&mut self.body).poll_frame(context);
        match polled {
            Poll::Ready(Some(frame)) => Poll::Ready(Some(frame.map_err(BodyError::Read))),
            Poll::Ready(None) => Poll::Ready(self.check_end().err().map(Err)),
            Poll::Pending => Poll::Pending,
        }
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
