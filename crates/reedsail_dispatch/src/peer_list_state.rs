//! The state of a peer's server list in a load message, and how it compares with this instance's list.

use reedsail_core::NameHash;
use reedsail_core::StorePosition;

use crate::ListDelta;

/// The state of a peer's list, as sent in its load message.
#[derive(Clone, Copy, Debug)]
pub struct PeerListState<'a> {
    /// The position in the store's log up to which the list is known.
    pub revision: StorePosition,
    /// The digest of the list.
    pub digest: u64,
    /// Time since the list was known to be current, in milliseconds.
    pub age_ms: u64,
    /// Servers that are draining or have departed according to the peer.
    pub departures: &'a [NameHash],
}

/// How a peer's list compares with this instance's.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ListComparison {
    /// The peer's list is not newer.
    NothingNew,
    /// The peer's list is newer and must be fetched.
    Newer,
    /// The peer's list is newer and names departures that were unknown here.
    NewerWithDepartures(ListDelta),
    /// The peer's list need not be fetched, but shows that advertised departures have ended.
    DeparturesChanged(ListDelta),
}
