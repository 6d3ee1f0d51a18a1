//! Limits the bytes that a peer may send within one part of a message: a head with the interim answers before it, a chunk
//! with its size and extensions, or the trailers.
//!
//! A parser skips some bytes without keeping them, such as interim answers or the leading zeros of a chunk size. Without a
//! limit, a peer that sends them without end occupies the connection until the deadline of its request.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicI64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;

/// Maximum number of bytes within one part of a message. It includes what the connection reads ahead.
const PART_BYTES_MAX: i64 = 2 << 20;

/// The bytes of a connection that may still be read until the next part of a message begins. Clones share their state.
#[derive(Clone, Debug)]
pub struct FrameLimit(Arc<AtomicI64>);

impl Default for FrameLimit {
    fn default() -> Self {
        Self(Arc::new(AtomicI64::new(i64::MAX)))
    }
}

impl FrameLimit {
    /// Begins a part of a message.
    pub fn begin_part(&self) {
        self.0.store(PART_BYTES_MAX, Ordering::Relaxed);
    }

    /// Lifts the limit, while nothing is read that it applies to.
    pub fn lift(&self) {
        self.0.store(i64::MAX, Ordering::Relaxed);
    }

    /// Counts bytes that were read.
    ///
    /// # Errors
    /// Returns an error if the part is too long.
    pub(crate) fn count(&self, bytes: usize) -> io::Result<()> {
        let bytes = i64::try_from(bytes).unwrap_or(i64::MAX);
        if self.0.fetch_sub(bytes, Ordering::Relaxed) >= bytes {
            return Ok(());
        }
        let text = format!("a part of the message is longer than {PART_BYTES_MAX} bytes");
        Err(io::Error::new(io::ErrorKind::InvalidData, text))
    }
}

/// A body whose parts are limited. The limit is lifted when the body ends. A drop leaves it as it is: by then the next
/// message may have begun on the connection.
#[derive(Debug)]
pub struct FrameLimitedBody {
    body: Incoming,
    limit: FrameLimit,
}

impl FrameLimitedBody {
    /// Limits the parts of a body that arrives on the connection of `limit`.
    pub fn new(body: Incoming, limit: FrameLimit) -> Self {
        limit.begin_part();
        Self { body, limit }
    }
}

impl Body for FrameLimitedBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(context);
        match &polled {
            Poll::Ready(Some(Ok(_))) => self.limit.begin_part(),
            Poll::Ready(None) => self.limit.lift(),
            Poll::Ready(Some(Err(_))) | Poll::Pending => {}
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
