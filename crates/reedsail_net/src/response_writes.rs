//! Tracks which connections have a response that is not yet written to the socket.
//!
//! A server buffers what a slow reader has not taken. A process that exits drops the buffer, while the system still sends
//! what the socket has accepted. So does a server whose body fails: it closes the connection at once. The error of a body
//! therefore waits until the bytes before it are written.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;

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
            is_written: AtomicBool::new(true),
            awaits_flush: AtomicBool::new(false),
            waker: Mutex::default(),
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
    /// Whether all bytes that the server has buffered are written.
    is_written: AtomicBool,
    /// Whether the error of a body waits until all bytes are written.
    awaits_flush: AtomicBool,
    /// The task that polls that body.
    waker: Mutex<Option<Waker>>,
}

impl ConnectionState {
    fn end_response(&self) {
        if self.has_response.swap(false, Ordering::AcqRel) {
            self.unwritten.0.fetch_sub(1, Ordering::AcqRel);
        }
    }

    /// Returns whether all bytes are written. If not, the task of `context` is woken once they are.
    fn poll_written(&self, context: &Context<'_>) -> bool {
        if self.is_written.load(Ordering::Acquire) {
            return true;
        }
        let mut waker = self.waker.lock().unwrap_or_else(PoisonError::into_inner);
        *waker = Some(context.waker().clone());
        self.awaits_flush.store(true, Ordering::Release);
        false
    }

    fn wake(&self) {
        let waker = self.waker.lock().unwrap_or_else(PoisonError::into_inner).take();
        if let Some(waker) = waker {
            waker.wake();
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
    pub fn begin<B: Body>(&self, body: B) -> TrackedBody<B> {
        self.0.is_body_buffered.store(false, Ordering::Release);
        self.0.is_written.store(false, Ordering::Release);
        if !self.0.has_response.swap(true, Ordering::AcqRel) {
            self.0.unwritten.0.fetch_add(1, Ordering::AcqRel);
        }
        TrackedBody {
            body,
            writes: self.clone(),
            held_error: None,
        }
    }

    /// Records that the server's buffer is written to the socket.
    pub(crate) fn record_flush(&self) {
        self.0.is_written.store(true, Ordering::Release);
        if self.0.awaits_flush.swap(false, Ordering::AcqRel) {
            self.0.wake();
        }
        if self.0.is_body_buffered.load(Ordering::Acquire) {
            self.0.end_response();
        }
    }
}

/// The result of polling a body for its next frame.
type PollFrame<B> = Poll<Option<Result<Frame<<B as Body>::Data>, <B as Body>::Error>>>;

/// The body of a response on a tracked connection. The server drops it once it has buffered the last bytes.
#[derive(Debug)]
pub struct TrackedBody<B: Body> {
    body: B,
    writes: ResponseWrites,
    /// The error of the body, until the bytes before it are written.
    held_error: Option<B::Error>,
}

impl<B: Body> TrackedBody<B> {
    /// Returns the error of the body once the bytes before it are written.
    fn poll_error(&mut self, error: B::Error, context: &Context<'_>) -> PollFrame<B> {
        if self.writes.0.poll_written(context) {
            return Poll::Ready(Some(Err(error)));
        }
        self.held_error = Some(error);
        Poll::Pending
    }
}

impl<B> Body for TrackedBody<B>
where
    B: Body + Unpin,
    B::Error: Unpin,
{
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        if let Some(error) = self.held_error.take() {
            return self.poll_error(error, context);
        }
        let polled = Pin::new(&mut self.body).poll_frame(context);
        match polled {
            Poll::Ready(Some(Err(error))) => self.poll_error(error, context),
            Poll::Ready(Some(Ok(_))) => {
                self.writes.0.is_written.store(false, Ordering::Release);
                polled
            }
            Poll::Ready(None) | Poll::Pending => polled,
        }
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl<B: Body> Drop for TrackedBody<B> {
    fn drop(&mut self) {
        self.writes.0.is_body_buffered.store(true, Ordering::Release);
    }
}
