//! What a connection has read beyond the last response when it ended.
//!
//! A connection with bytes to read and no request ends. The bytes may be a response that no request asked for, which says
//! nothing of the response before it. Other bytes after a body of stated length show that the length is wrong, or that
//! they are no response; nothing tells these two apart.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

/// The first bytes of a response.
const RESPONSE_PREFIX: &[u8] = b"HTTP/";

/// Whether a connection ended with bytes that begin no response. Clones share their state.
///
/// The task of the connection records it before it leaves the thread to the reader of the body. A reader on another thread
/// may miss it.
#[derive(Clone, Debug, Default)]
pub(crate) struct TrailingBytes(Arc<AtomicBool>);

impl TrailingBytes {
    /// Records the bytes that the connection has read and not used.
    pub(crate) fn record(&self, unused: &[u8]) {
        let prefix = &RESPONSE_PREFIX[..RESPONSE_PREFIX.len().min(unused.len())];
        if !unused.starts_with(prefix) {
            self.0.store(true, Ordering::Release);
        }
    }

    /// Returns whether there were such bytes.
    pub(crate) fn are_found(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}
