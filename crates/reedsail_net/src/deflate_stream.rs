//! A stream that compresses its messages with one dictionary for the whole connection.
//!
//! Consecutive reports to one peer are similar: the names and most counts are already in the previous report.
//! A small window limits the memory of a connection to about 40 KB.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use flate2::Compress;
use flate2::Compression;
use flate2::Decompress;
use flate2::FlushCompress;
use flate2::FlushDecompress;
use flate2::Status;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

/// Base-2 logarithm of the compression window in bytes.
const WINDOW_BITS: u8 = 13;
/// Size of the buffers between the codec and the stream.
const BUFFER_BYTES: usize = 4_096;
/// Maximum number of compressed bytes that wait to be written before backpressure applies to the writer.
const UNSENT_BYTES_MAX: usize = 1 << 20;

/// Compresses written bytes and decompresses read bytes. A flush ends a message.
#[derive(Debug)]
pub struct DeflateStream<S> {
    stream: S,
    compress: Compress,
    decompress: Decompress,
    /// Compressed output, of which the inner stream has accepted the first `sent` bytes.
    unsent: Vec<u8>,
    sent: usize,
    /// Whether bytes were written since the last flush.
    has_unflushed: bool,
    /// Compressed input; the bytes from `compressed_input_start` on are not decompressed yet.
    compressed_input: Vec<u8>,
    compressed_input_start: usize,
}

impl<S> DeflateStream<S> {
    /// Wraps a stream. The other end must wrap it in the same way.
    pub fn new(stream: S) -> Self {
        Self {
            stream,
            compress: Compress::new_with_window_bits(Compression::default(), false, WINDOW_BITS),
            decompress: Decompress::new_with_window_bits(false, WINDOW_BITS),
            unsent: Vec::new(),
            sent: 0,
            has_unflushed: false,
            compressed_input: Vec::new(),
            compressed_input_start: 0,
        }
    }

    /// Compresses `bytes`, and ends the message if `flush` is `Sync`.
    fn compress_into_unsent(&mut self, mut bytes: &[u8], flush: FlushCompress) -> io::Result<()> {
        loop {
            let before = self.compress.total_in();
            self.unsent.reserve(BUFFER_BYTES);
            let room = self.unsent.capacity() - self.unsent.len();
            self.compress
                .compress_vec(bytes, &mut self.unsent, flush)
                .map_err(io::Error::other)?;
            let consumed = (self.compress.total_in() - before) as usize;
            bytes = &bytes[consumed..];
            let is_full = self.unsent.capacity() == self.unsent.len();
            if bytes.is_empty() && !(is_full && room > 0) {
                return Ok(());
            }
        }
    }
}

impl<S: AsyncWrite + Unpin> DeflateStream<S> {
    fn poll_send(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        while self.sent < self.unsent.len() {
            let bytes = &self.unsent[self.sent..];
            let written = ready!(Pin::new(&mut self.stream).poll_write(context, bytes))?;
            if written == 0 {
                return Poll::Ready(Err(io::ErrorKind::WriteZero.into()));
            }
            self.sent += written;
        }
        self.unsent.clear();
        self.unsent.shrink_to(BUFFER_BYTES);
        self.sent = 0;
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for DeflateStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.unsent.len() > UNSENT_BYTES_MAX {
            ready!(self.poll_send(context))?;
        }
        self.compress_into_unsent(bytes, FlushCompress::None)?;
        self.has_unflushed = true;
        Poll::Ready(Ok(bytes.len()))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.has_unflushed {
            self.compress_into_unsent(&[], FlushCompress::Sync)?;
            self.has_unflushed = false;
        }
        ready!(self.poll_send(context))?;
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.as_mut().poll_flush(context))?;
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for DeflateStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        loop {
            let (read_before, output_before) = (this.decompress.total_in(), this.decompress.total_out());
            let status = this
                .decompress
                .decompress(
                    &this.compressed_input[this.compressed_input_start..],
                    buffer.initialize_unfilled(),
                    FlushDecompress::None,
                )
                .map_err(io::Error::other)?;
            this.compressed_input_start += (this.decompress.total_in() - read_before) as usize;
            let output_bytes = (this.decompress.total_out() - output_before) as usize;
            buffer.advance(output_bytes);
            if output_bytes > 0 || status == Status::StreamEnd || buffer.remaining() == 0 {
                return Poll::Ready(Ok(()));
            }
            this.compressed_input.clear();
            this.compressed_input_start = 0;
            this.compressed_input.resize(BUFFER_BYTES, 0);
            let mut input_buffer = ReadBuf::new(&mut this.compressed_input);
            let outcome = Pin::new(&mut this.stream).poll_read(context, &mut input_buffer);
            let read = input_buffer.filled().len();
            this.compressed_input.truncate(read);
            ready!(outcome)?;
            if read == 0 {
                return Poll::Ready(Ok(()));
            }
        }
    }
}
