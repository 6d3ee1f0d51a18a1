//! A position in the log of the platform's store.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// A position in the store's log, which orders two updates.
///
/// A store that is restored from an older copy assigns some offsets twice, so an offset alone does not order two
/// records. A record from a later era is newer regardless of its offset.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StorePosition {
    /// The number of times that the store was restored from a copy; zero if the store, or a peer of an older
    /// release, sends none. Peers' pages contain it under this name, next to the offset.
    #[serde(rename = "store_era", default)]
    pub era: u32,
    /// The offset after the last known record. Peers read it under its outer name `revision`.
    #[serde(rename = "revision")]
    pub offset: u64,
}

impl StorePosition {
    /// Creates a position from its era and offset.
    pub const fn new(era: u32, offset: u64) -> Self {
        Self { era, offset }
    }
}

impl fmt::Display for StorePosition {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.era, self.offset)
    }
}
