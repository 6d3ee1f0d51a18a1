//! The body of a response, as every reader of responses gets it.

use std::ops::ControlFlow;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use hyper::header::CONTENT_LENGTH;
use thiserror::Error;

use crate::BodyFraming;
use crate::FrameLimitedBody;
use crate::chunk_scan::ChunkScan;
use crate::chunk_scan::IsChunked;
use crate::trailing_bytes::TrailingBytes;

/// Why a body is not the body of its response.
#[derive(Debug, Error)]
pub enum ResponseBodyError {
    /// It cannot be read, or ended early.
    #[error("{0}")]
    Read(#[from] hyper::Error),
    /// Bytes follow it that belong to no response, so its stated length cannot be trusted.
    #[error("bytes of no response follow the stated length")]
    Overlong,
    /// It is in chunks, and its head does not say so.
    #[error("the body is in chunks without a transfer coding")]
    UnstatedChunks,
}

/// The body of a response. Its parts are limited, and it ends with an error if its head was wrong about how it ends.
#[derive(Debug)]
pub struct ReceivedBody {
    body: FrameLimitedBody,
    /// What follows a body that ends at its stated length; `None` for other bodies.
    trailing: Option<TrailingBytes>,
    /// Set while a body that ends with its connection may be in chunks.
    scan: Option<ChunkScan>,
}

impl ReceivedBody {
    pub(crate) fn new(body: FrameLimitedBody, headers: &HeaderMap, trailing: &TrailingBytes) -> Self {
        let trailing = has_stated_length(&body, headers).then(|| trailing.clone());
        let may_be_chunked = BodyFraming::of(headers, &body) == BodyFraming::ConnectionEnd;
        Self {
            body,
            trailing,
            scan: may_be_chunked.then(ChunkScan::default),
        }
    }

    /// Returns what of a frame passes on; `None` if it is held back.
    fn scan_frame(&mut self, frame: Frame<Bytes>) -> Option<Result<Frame<Bytes>, ResponseBodyError>> {
        let Some(scan) = &mut self.scan else {
            return Some(Ok(frame));
        };
        // A body that ends with its connection has no trailers.
        let data = frame.into_data().ok()?;
        match scan.push(data) {
            Err(IsChunked) => Some(Err(reject(ResponseBodyError::UnstatedChunks))),
            Ok(ControlFlow::Continue(())) => None,
            Ok(ControlFlow::Break(data)) => {
                self.scan = None;
                Some(Ok(Frame::data(data)))
            }
        }
    }

    /// Returns what is held back of a body that has ended, or why it is not the body of its response.
    fn end(&mut self) -> Option<Result<Frame<Bytes>, ResponseBodyError>> {
        let held = self.scan.take().map(|mut scan| scan.take_held());
        match held.filter(|held| !held.is_empty()) {
            Some(held) => Some(Ok(Frame::data(held))),
            None => self.check_end().err().map(Err),
        }
    }

    /// Checks the end of a body that was read to its end, for a reader that does not poll it once more.
    ///
    /// # Errors
    /// Returns `Overlong` if bytes follow that belong to no response.
    pub fn check_end(&self) -> Result<(), ResponseBodyError> {
        match &self.trailing {
            Some(trailing) if trailing.are_found() => Err(reject(ResponseBodyError::Overlong)),
            _ => Ok(()),
        }
    }
}

/// Logs why a body is rejected, since its reader may tell only that it has none.
fn reject(error: ResponseBodyError) -> ResponseBodyError {
    log::debug!("rejected a body: {error}");
    error
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
    type Error = ResponseBodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseBodyError>>> {
        loop {
            let read = ready!(Pin::new(&mut self.body).poll_frame(context));
            let passed = match read {
                Some(Ok(frame)) => self.scan_frame(frame),
                Some(Err(error)) => Some(Err(error.into())),
                None => return Poll::Ready(self.end()),
            };
            if passed.is_some() {
                return Poll::Ready(passed);
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
