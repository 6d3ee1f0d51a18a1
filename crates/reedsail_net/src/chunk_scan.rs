//! Finds out whether a body that ends with its connection is in chunks (RFC 9112, 7.1) though its head does not say so.
//!
//! A response whose `Transfer-Encoding` has a spoilt name looks like one without a length. Its body tells: it begins with a
//! chunk. Hardly any other body begins with a size, so many bytes, and a line end after them.

use std::ops::ControlFlow;

use bytes::Bytes;
use bytes::BytesMut;

/// Maximum size of a chunk that is looked for, in bytes. A body that begins with the size of a larger one passes.
const CHUNK_BYTES_MAX: usize = 1 << 20;
/// Maximum number of digits of the size of a chunk.
const SIZE_DIGITS_MAX: usize = 8;
/// Maximum length of the extensions of a chunk, in bytes.
const EXTENSION_BYTES_MAX: usize = 256;
/// The end of a line.
const LINE_END: &[u8] = b"\r\n";

/// What the beginning of a body is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Beginning {
    /// A whole chunk.
    Chunk,
    /// No chunk.
    Other,
    /// Too short to tell.
    Undecided,
}

/// The body is in chunks.
#[derive(Clone, Copy, Debug)]
pub(crate) struct IsChunked;

/// Holds the beginning of a body back until it is known not to be a chunk.
#[derive(Debug, Default)]
pub(crate) struct ChunkScan {
    held: BytesMut,
}

impl ChunkScan {
    /// Takes the next bytes of the body. Breaks with the bytes held back once they begin no chunk.
    ///
    /// # Errors
    /// The body begins with a chunk.
    pub(crate) fn push(&mut self, data: Bytes) -> Result<ControlFlow<Bytes>, IsChunked> {
        if self.held.is_empty() && begins(&data) == Beginning::Other {
            return Ok(ControlFlow::Break(data));
        }
        self.held.extend_from_slice(&data);
        match begins(&self.held) {
            Beginning::Chunk => Err(IsChunked),
            Beginning::Other => Ok(ControlFlow::Break(self.take_held())),
            Beginning::Undecided => Ok(ControlFlow::Continue(())),
        }
    }

    /// Returns the bytes held back.
    pub(crate) fn take_held(&mut self) -> Bytes {
        self.held.split().freeze()
    }
}

fn begins(bytes: &[u8]) -> Beginning {
    let digits = bytes.iter().take_while(|byte| byte.is_ascii_hexdigit()).count();
    let (size, rest) = bytes.split_at(digits);
    if digits > SIZE_DIGITS_MAX {
        return Beginning::Other;
    }
    let Some(next) = rest.first() else {
        return Beginning::Undecided;
    };
    let has_extension = *next == b';';
    if digits == 0 || !(has_extension || *next == LINE_END[0]) {
        return Beginning::Other;
    }
    let searched = &rest[..rest.len().min(EXTENSION_BYTES_MAX)];
    match searched.windows(LINE_END.len()).position(|pair| pair == LINE_END) {
        Some(length) if has_extension || length == 0 => {
            begins_with_data(size, &rest[length + LINE_END.len()..])
        }
        None if has_extension && rest.len() < EXTENSION_BYTES_MAX => Beginning::Undecided,
        None if rest.len() < LINE_END.len() => Beginning::Undecided,
        Some(_) | None => Beginning::Other,
    }
}

/// Judges what follows the line with the size of a chunk.
fn begins_with_data(size: &[u8], data: &[u8]) -> Beginning {
    let size = std::str::from_utf8(size).ok();
    let size = size.and_then(|digits| usize::from_str_radix(digits, 16).ok());
    let Some(size) = size.filter(|size| *size <= CHUNK_BYTES_MAX) else {
        return Beginning::Other;
    };
    match data.get(size..) {
        Some(after) if after.starts_with(LINE_END) => Beginning::Chunk,
        Some(after) if !LINE_END.starts_with(after) => Beginning::Other,
        Some(_) | None => Beginning::Undecided,
    }
}
