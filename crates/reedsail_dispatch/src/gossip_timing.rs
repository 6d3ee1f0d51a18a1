//! Gossip timing: how often instances send load messages directly to each peer, and how long a peer must be silent
//! before that counts as a failure. In larger fleets load is exchanged through aggregators (`reedsail_gossip`), and
//! these times apply to the few peers that receive direct messages.
//!
//! **Rule.** Messages are sent every [`INTERVAL_MIN_MS`], or every [`INTERVAL_PER_PEER_MS`] times the number of peers
//! if that is longer. Every limit on silence is at least [`SILENT_INTERVALS`] intervals.
//!
//! **Inputs.** The number of peers that receive direct messages.
//!
//! **Why.** The messages that an instance sends in a second must not grow with the fleet. Limits that do not follow
//! the interval would lose live peers: beyond 150 instances every instance would read the store, beyond 375 every
//! report would expire.
//!
//! **Tested by** `tests/gossip_timing.rs`.

/// Shortest interval between two load messages, in milliseconds.
const INTERVAL_MIN_MS: u64 = 100;
/// Interval per peer, in milliseconds: an instance sends at most 250 messages a second.
const INTERVAL_PER_PEER_MS: u64 = 4;
/// Minimum silence after which a peer counts as failed and its report expires, in milliseconds.
const SILENT_MIN_MS: u64 = 1_500;
/// Minimum silence after which a peer no longer counts as a reader of the store, in milliseconds.
const READER_SILENT_MIN_MS: u64 = 600;
/// Minimum number of silent intervals before a peer counts as failed, since messages may be lost.
const SILENT_INTERVALS: u64 = 3;
/// Maximum number of intervals until an update arrives: one message may be lost.
const UPDATE_INTERVALS: u64 = 2;

/// The times derived from the number of peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GossipTiming {
    /// Time between two load messages, in milliseconds.
    pub interval_ms: u64,
    /// Silence after which a peer counts as failed and its report expires, in milliseconds.
    pub peer_silent_ms: u64,
    /// Silence after which a peer no longer counts as a reader of the store, in milliseconds.
    pub reader_silent_ms: u64,
    /// How much later an update may arrive than in a small fleet, in milliseconds.
    pub update_delay_ms: u64,
}

impl Default for GossipTiming {
    /// Returns the times for an instance without peers.
    fn default() -> Self {
        Self::of(0)
    }
}

impl GossipTiming {
    /// Returns the times for a number of live peers.
    pub fn of(peers: usize) -> Self {
        let interval_ms = (peers as u64 * INTERVAL_PER_PEER_MS).max(INTERVAL_MIN_MS);
        Self {
            interval_ms,
            peer_silent_ms: SILENT_MIN_MS.max(SILENT_INTERVALS * interval_ms),
            reader_silent_ms: READER_SILENT_MIN_MS.max(SILENT_INTERVALS * interval_ms),
            update_delay_ms: UPDATE_INTERVALS * (interval_ms - INTERVAL_MIN_MS),
        }
    }
}
