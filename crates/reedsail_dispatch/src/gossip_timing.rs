//! How often daemons tell each other of their load, and from when on silence means something.

/// The shortest time between two rounds of messages.
const PAUSE_MIN_MS: u64 = 100;
/// With many daemons, rounds are this much further apart for each of them, so that what each sends
/// in a second does not grow with their number.
const PAUSE_PER_PEER_MS: u64 = 4;
/// A peer that was not heard for so long is taken for gone, and its report for void.
const SILENT_MIN_MS: u64 = 1_500;
/// A peer that was not heard for so long is not counted on to read the store.
const READER_SILENT_MIN_MS: u64 = 600;
/// Silence means something after so many rounds at the least: one message may be lost.
const ROUNDS_SILENT: u64 = 3;
/// News take so many rounds at most: one message may be lost.
const ROUNDS_NEWS: u64 = 2;

/// The times that follow from how many peers a daemon hears.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GossipTiming {
    /// From one round to the next.
    pub interval_ms: u64,
    /// A peer that was not heard for so long is taken for gone, and its report for void.
    pub peer_silent_ms: u64,
    /// A peer that was not heard for so long is not counted on to read the store.
    pub reader_silent_ms: u64,
    /// What a reader has read may reach the others so much later than in a small fleet.
    pub update_delay_ms: u64,
}

impl Default for GossipTiming {
    /// Those of a daemon that hears nobody.
    fn default() -> Self {
        Self::of(0)
    }
}

impl GossipTiming {
    /// Works them out for a daemon that hears so many peers.
    pub fn of(peers: usize) -> Self {
        let interval_ms = (peers as u64 * PAUSE_PER_PEER_MS).max(PAUSE_MIN_MS);
        Self {
            interval_ms,
            peer_silent_ms: SILENT_MIN_MS.max(ROUNDS_SILENT * interval_ms),
            reader_silent_ms: READER_SILENT_MIN_MS.max(ROUNDS_SILENT * interval_ms),
            update_delay_ms: ROUNDS_NEWS * (interval_ms - PAUSE_MIN_MS),
        }
    }
}
