//! What a tick of the control thread asks to be done.

use std::net::SocketAddrV4;

/// Something to fetch from a peer, over TCP.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PeerFetch {
    /// The configuration in force there.
    Configuration(SocketAddrV4),
    /// The list of backend servers there.
    Servers(SocketAddrV4),
}

/// The outcome of a tick.
#[derive(Debug, Default)]
pub(crate) struct Round {
    /// The datagram to send, and to whom.
    pub(crate) datagram: Vec<u8>,
    pub(crate) targets: Vec<SocketAddrV4>,
    /// What to fetch.
    pub(crate) fetches: Vec<PeerFetch>,
}
