//! What a load message says of its sender's server list, and how that compares with the own one.

use reedsail_core::NameHash;
use reedsail_core::StorePosition;

/// The state of a peer's list, as its load message has it.
#[derive(Clone, Copy, Debug)]
pub struct PeerListState<'a> {
    /// The place in the store's log up to which the list is known.
    pub revision: StorePosition,
    /// The digest of the list.
    pub digest: u64,
    /// How long ago it was known to be the newest, in milliseconds.
    pub age_ms: u64,
    /// Servers that the peer knows to be draining or departed.
    pub departures: &'a [NameHash],
}

/// How a peer's list compares with this instance's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListComparison {
    /// It has nothing newer.
    NothingNew,
    /// It is newer and is to be fetched.
    Newer,
    /// It is newer, and names departures that were not known.
    NewerWithDepartures,
    /// It has nothing to fetch, and shows that departures which peers advertised are over.
    DeparturesChanged,
}
