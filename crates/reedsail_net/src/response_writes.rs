//! Tracks which connections have a response that is not yet written to the socket.
//!
//! A server buffers what a slow reader has not taken. A process that exits drops the buffer, while the system still sends
//! what the socket has accepted.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

/// Counts the connections with an unwritten response. Clones share their state.
#[derive(Clone, Debug, Default)]
pub struct UnwrittenResponses(Arc<AtomicUsize>);

impl UnwrittenResponses {
    /// Returns the number of connections with an unwritten response.
    pub fn count(&self) -> usize {
        self.0.load(Ordering::Acquire)
    }

    /// Begins to track a connection.
    pub fn track(&self) -> ResponseWrites {
        ResponseWrites(Arc::new(ConnectionState {
            unwritten: self.clone(),
            has_response: AtomicBool::new(false),
            is_body_buffered: AtomicBool::new(false),
        }))
    }
}

#[derive(Debug)]
struct ConnectionState {
    unwritten: UnwrittenResponses,
    /// Whether there is a response that is not yet written.
    has_response: AtomicBool,
    /// Whether the server has buffered the whole body.
    is_body_buffered: AtomicBool,
}

impl ConnectionState {
    fn end_response(&self) {
        if self.has_response.swap(false, Ordering::AcqRel) {
            self.unwritten.0.fetch_sub(1, Ordering::AcqRel);
        }
    }
}

impl Drop for ConnectionState {
    fn drop(&mut self) {
        self.end_response();
    }
}

/// The responses of one connection, of which one is written at a time. Clones share their state.
#[derive(Clone, Debug)]
pub struct ResponseWrites(Arc<ConnectionState>);

impl ResponseWrites {
    /// Begins a response. Its body says when it is buffered as a whole.
    pub fn begin<B>(&self, body: B) -> TrackedBody<B> {
        self.0.is_body_buffered.store(false, Ordering::Release);
        if !self.0.has_response.swap(true, Ordering::AcqRel) {
            self.0.unwritten.0.fetch_add(1, Ordering::AcqRel);
        }
        TrackedBody {
            body,
            writes: self.clone(),
        }
    }

    /// Records that the server's buffer is written to the socket.
    pub(crate) fn record_flush(&self) {
        if self.0.is_body_buffered.load(Ordering::Acquire) {
            self.0.end_response();
        }
    }
}

/// The body of a response on a tracked connection. The server drops it once it has buffered the last bytes.
#[derive(Debug)]
pub struct TrackedBody<B> {
    body: B,
    writes: ResponseWrites,
}

impl<B: Body + Unpin> Body for TrackedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl<B> Drop for TrackedBody<B> {
    fn drop(&mut self) {
        self.writes.0.is_body_buffered.store(true, Ordering::Release);
    }
}
