//! A place in the log of the platform's store.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// A place in the store's log, by which two pieces of news are ordered.
///
/// A store that comes back from an older copy of itself gives offsets out again, so that an offset alone does not
/// say which of two records is the newer one: what was read in a later era is newer whatever its offset.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StorePosition {
    /// Grows by one each time that the store comes back from a copy; zero for a store, or an older release of a
    /// peer, that names none. Pages of peers carry it under this name beside the offset.
    #[serde(rename = "store_era", default)]
    pub era: u32,
    /// The offset after the last record that is known. Peers fetch it under its old name.
    #[serde(rename = "revision")]
    pub offset: u64,
}

impl StorePosition {
    /// Makes a place from its era and offset.
    pub const fn new(era: u32, offset: u64) -> Self {
        Self { era, offset }
    }
}

impl fmt::Display for StorePosition {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.era, self.offset)
    }
}
