//! A stream whose connection is reset, rather than closed in order, while its response is incomplete.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

use crate::CountedStream;

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
pub struct ResettableStream {
    stream: CountedStream,
    reset: ResetOnClose,
    /// What the socket was last told.
    is_applied: bool,
}

impl ResettableStream {
    /// Wraps a stream that closes in order until `reset` is set.
    pub fn new(stream: CountedStream, reset: ResetOnClose) -> Self {
        Self {
            stream,
            reset,
            is_applied: false,
        }
    }

    fn apply(&mut self) -> io::Result<()> {
        let resets = self.reset.is_set();
        if resets != self.is_applied {
            self.stream.set_reset_on_close(resets)?;
            self.is_applied = resets;
        }
        Ok(())
    }
}

impl AsyncRead for ResettableStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for ResettableStream {
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
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.apply()?;
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
