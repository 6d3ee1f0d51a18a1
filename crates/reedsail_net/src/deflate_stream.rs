//! A stream whose messages are compressed with one dictionary for the whole connection.
//!
//! Reports to one peer are much alike: the names, and most counts, stand in the last one already.
//! A small window keeps the memory of a connection to some 40 KB.

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

/// The window in which repeats are found: 2 to this power, in bytes.
const WINDOW_BITS: u8 = 13;
/// The size of the buffers between the codec and the stream.
const BUFFER_BYTES: usize = 4_096;
/// The most that may wait to be written before the writer is held back.
const UNSENT_BYTES_MAX: usize = 1 << 20;

/// Compresses what is written and unpacks what is read; a flush ends a message.
#[derive(Debug)]
pub struct DeflateStream<S> {
    stream: S,
    compress: Compress,
    decompress: Decompress,
    /// Compressed bytes that the stream has not taken yet.
    unsent: Vec<u8>,
    sent: usize,
    /// Set while something was written that no flush has ended.
    dirty: bool,
    /// Compressed bytes that were read and not unpacked yet.
    packed: Vec<u8>,
    packed_start: usize,
}

impl<S> DeflateStream<S> {
    /// Takes over a stream whose other end does the same.
    pub fn new(stream: S) -> Self {
        Self {
            stream,
            compress: Compress::new_with_window_bits(Compression::default(), false, WINDOW_BITS),
            decompress: Decompress::new_with_window_bits(false, WINDOW_BITS),
            unsent: Vec::new(),
            sent: 0,
            dirty: false,
            packed: Vec::new(),
            packed_start: 0,
        }
    }

    /// Compresses `bytes`, and ends the message if `flush` says so.
    fn pack(&mut self, mut bytes: &[u8], flush: FlushCompress) -> io::Result<()> {
        loop {
            let before = self.compress.total_in();
            self.unsent.reserve(BUFFER_BYTES);
            let room = self.unsent.capacity() - self.unsent.len();
            self.compress
                .compress_vec(bytes, &mut self.unsent, flush)
                .map_err(io::Error::other)?;
            let taken = (self.compress.total_in() - before) as usize;
            bytes = &bytes[taken..];
            let filled = self.unsent.capacity() == self.unsent.len();
            if bytes.is_empty() && !(filled && room > 0) {
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
        self.pack(bytes, FlushCompress::None)?;
        self.dirty = true;
        Poll::Ready(Ok(bytes.len()))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.dirty {
            self.pack(&[], FlushCompress::Sync)?;
            self.dirty = false;
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
            let (read_before, made_before) = (this.decompress.total_in(), this.decompress.total_out());
            let status = this
                .decompress
                .decompress(
                    &this.packed[this.packed_start..],
                    buffer.initialize_unfilled(),
                    FlushDecompress::None,
                )
                .map_err(io::Error::other)?;
            this.packed_start += (this.decompress.total_in() - read_before) as usize;
            let made = (this.decompress.total_out() - made_before) as usize;
            buffer.advance(made);
            if made > 0 || status == Status::StreamEnd || buffer.remaining() == 0 {
                return Poll::Ready(Ok(()));
            }
            this.packed.clear();
            this.packed_start = 0;
            this.packed.resize(BUFFER_BYTES, 0);
            let mut packed = ReadBuf::new(&mut this.packed);
            let outcome = Pin::new(&mut this.stream).poll_read(context, &mut packed);
            let read = packed.filled().len();
            this.packed.truncate(read);
            ready!(outcome)?;
            if read == 0 {
                return Poll::Ready(Ok(()));
            }
        }
    }
}
