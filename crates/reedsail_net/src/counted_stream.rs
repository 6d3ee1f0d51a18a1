//! A TCP stream that counts its bytes and sends small segments without delay.

use std::io;
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::os::fd::BorrowedFd;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::ByteCounter;
use crate::FrameLimit;
use crate::head_lines::HeadLines;

/// Time after which unacknowledged bytes close the connection, in milliseconds. Without this timeout, a request on a
/// broken link waits until its deadline.
const TCP_USER_TIMEOUT_MS: u64 = 2_000;

/// A TCP stream with `TCP_NODELAY` that counts its payload bytes.
#[derive(Debug)]
pub struct CountedStream {
    stream: TcpStream,
    counter: ByteCounter,
    limit: FrameLimit,
    head_lines: HeadLines,
}

impl CountedStream {
    /// Wraps an accepted or connected stream.
    ///
    /// # Errors
    /// Returns the system's error if the socket is already closed.
    pub fn new(stream: TcpStream, counter: ByteCounter) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        SockRef::from(&stream).set_tcp_user_timeout(Some(Duration::from_millis(TCP_USER_TIMEOUT_MS)))?;
        Ok(Self {
            stream,
            counter,
            limit: FrameLimit::default(),
            head_lines: HeadLines::default(),
        })
    }

    /// Returns the limit on the bytes that are read within one part of a message.
    pub fn frame_limit(&self) -> FrameLimit {
        self.limit.clone()
    }

    /// Returns the lines of the head that is read from the stream.
    pub(crate) fn head_lines(&self) -> HeadLines {
        self.head_lines.clone()
    }
}

impl AsFd for CountedStream {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.stream.as_fd()
    }
}

/// Connects to an address within `limit_ms` milliseconds.
///
/// # Errors
/// Returns the system's error, or `TimedOut`.
pub async fn connect(address: SocketAddr, limit_ms: u64, counter: ByteCounter) -> io::Result<CountedStream> {
    let connecting = TcpStream::connect(address);
    let stream = timeout(Duration::from_millis(limit_ms), connecting)
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    CountedStream::new(stream, counter)
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let outcome = Pin::new(&mut self.stream).poll_read(context, buffer);
        let read = buffer.filled().len() - before;
        self.counter.add_received(read as u64);
        self.limit.count(read)?;
        self.head_lines.read(&buffer.filled()[before..]);
        outcome
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let outcome = Pin::new(&mut self.stream).poll_write(context, bytes);
        if let Poll::Ready(Ok(written)) = &outcome {
            self.counter.add_sent(*written as u64);
        }
        outcome
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let outcome = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        if let Poll::Ready(Ok(written)) = &outcome {
            self.counter.add_sent(*written as u64);
        }
        outcome
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
