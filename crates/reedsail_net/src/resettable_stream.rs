//! A stream whose connection is reset, rather than closed in order, while its response is incomplete.

use std::io;
use std::os::fd::AsFd;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

use crate::ResponseWrites;

/// Says whether closing a connection resets it. Set while a response without a length or chunks is being sent: its reader
/// takes an orderly end of the connection for the end of the body, also when this process is killed.
#[derive(Clone, Debug, Default)]
pub struct ResetOnClose(Arc<AtomicBool>);

impl ResetOnClose {
    /// Sets whether closing resets the connection, from the next write or shutdown on.
    pub fn set(&self, resets: bool) {
        self.0.store(resets, Ordering::Relaxed);
    }

    fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// A stream that closes as its [`ResetOnClose`] says.
#[derive(Debug)]
pub struct ResettableStream<S> {
    stream: S,
    reset: ResetOnClose,
    writes: ResponseWrites,
    /// What the socket was last told.
    is_applied: bool,
}

impl<S: AsFd> ResettableStream<S> {
    /// Wraps a stream that closes in order until `reset` is set. `writes` belongs to the same connection.
    pub fn new(stream: S, reset: ResetOnClose, writes: ResponseWrites) -> Self {
        Self {
            stream,
            reset,
            writes,
            is_applied: false,
        }
    }

    fn apply(&mut self) -> io::Result<()> {
        let resets = self.reset.is_set();
        if resets != self.is_applied {
            // Zero drops what was not sent yet and resets the connection.
            let linger = resets.then_some(Duration::ZERO);
            SockRef::from(&self.stream).set_linger(linger)?;
            self.is_applied = resets;
        }
        Ok(())
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for ResettableStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl<S: AsyncWrite + AsFd + Unpin> AsyncWrite for ResettableStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.apply()?;
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.apply()?;
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(context);
        if let Poll::Ready(Ok(())) = &flushed {
            // The process may exit from here on, and closing must not drop what the socket has accepted.
            self.apply()?;
            self.writes.record_flush();
        }
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.apply()?;
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
