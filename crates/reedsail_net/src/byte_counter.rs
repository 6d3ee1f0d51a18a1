//! Counts the bytes sent and received for one kind of traffic.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Counters of sent and received bytes. Clones share their state.
#[derive(Clone, Debug, Default)]
pub struct ByteCounter(Arc<Counts>);

#[derive(Debug, Default)]
struct Counts {
    sent_bytes: AtomicU64,
    received_bytes: AtomicU64,
}

impl ByteCounter {
    /// Adds to the sent bytes.
    pub fn add_sent(&self, bytes: u64) {
        self.0.sent_bytes.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Adds to the received bytes.
    pub fn add_received(&self, bytes: u64) {
        self.0.received_bytes.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Returns the bytes sent so far.
    pub fn sent_bytes(&self) -> u64 {
        self.0.sent_bytes.load(Ordering::Relaxed)
    }

    /// Returns the bytes received so far.
    pub fn received_bytes(&self) -> u64 {
        self.0.received_bytes.load(Ordering::Relaxed)
    }

    /// Returns the bytes sent and received so far.
    pub fn total_bytes(&self) -> u64 {
        self.sent_bytes() + self.received_bytes()
    }
}
