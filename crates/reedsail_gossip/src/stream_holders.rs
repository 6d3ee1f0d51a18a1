//! Stream holders: which peers keep the software version of a stream, and which are asked for it.
//!
//! **Rule.** Peers are ranked for a stream by rendezvous hashing: the best of each failure domain first, then the others.
//! The first [`STREAM_HOLDERS`] are sent the stream's row; the first [`ASKED_MAX`] are asked for it.
//!
//! **Why.** The instance that served a stream may be gone when its caller returns elsewhere. A few copies in several
//! failure domains cost the same at any fleet size, and instances that know slightly different peers still agree on most
//! holders, so more are asked than hold a row.

use std::cmp::Reverse;
use std::collections::HashSet;
use std::net::SocketAddrV4;

use reedsail_core::NameHash;
use reedsail_dispatch::STREAM_HOLDERS;
use reedsail_dispatch::StreamHolder;
use reedsail_dispatch::StreamId;

/// Maximum number of peers that are asked for a stream.
pub const ASKED_MAX: usize = 8;

/// A peer that may keep rows of streams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamPeer {
    /// The instance.
    pub instance: NameHash,
    /// Its failure domain.
    pub failure_domain: NameHash,
    /// The address where it receives messages.
    pub address: SocketAddrV4,
    /// The incarnation of its last start; zero if only other instances have named it. A restarted peer has lost its rows.
    pub incarnation: u32,
}

impl StreamPeer {
    /// Returns the peer as a holder of rows.
    fn holder(&self) -> StreamHolder {
        StreamHolder {
            instance: self.instance,
            incarnation: self.incarnation,
        }
    }
}

/// Returns the first `count` peers for a stream, in order of rank.
pub fn rank_holders(stream: StreamId, peers: &[StreamPeer], count: usize) -> Vec<StreamPeer> {
    let mut ranked: Vec<&StreamPeer> = peers.iter().collect();
    ranked.sort_by_cached_key(|peer| Reverse((peer.instance.rendezvous_weight(stream.0), peer.instance)));
    let mut domains = HashSet::new();
    let (first, others): (Vec<&StreamPeer>, Vec<&StreamPeer>) = ranked
        .into_iter()
        .partition(|peer| domains.insert(peer.failure_domain));
    first.into_iter().chain(others).take(count).copied().collect()
}

/// Returns the addresses of a stream's holders that don't have its row yet, and all its holders.
pub fn missing_holders(
    stream: StreamId,
    has_row: &[Option<StreamHolder>],
    peers: &[StreamPeer],
) -> (Vec<SocketAddrV4>, [Option<StreamHolder>; STREAM_HOLDERS]) {
    let ranked = rank_holders(stream, peers, STREAM_HOLDERS);
    let missing = ranked
        .iter()
        .filter(|peer| !has_row.contains(&Some(peer.holder())));
    let mut holders = [None; STREAM_HOLDERS];
    for (holder, peer) in holders.iter_mut().zip(&ranked) {
        *holder = Some(peer.holder());
    }
    (missing.map(|peer| peer.address).collect(), holders)
}
