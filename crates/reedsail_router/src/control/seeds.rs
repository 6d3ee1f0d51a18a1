//! The seeds of the settings, as addresses of peers.

use std::net::SocketAddr;
use std::net::SocketAddrV4;

/// Returns where the seeds take load messages: on the same port as this instance, but for those on a
/// loopback address, whose ports differ. This instance itself is left out, and so are addresses of
/// version 6, which load messages cannot name.
pub(crate) fn peer_addresses(seeds: &[SocketAddr], own: SocketAddr) -> Vec<SocketAddrV4> {
    seeds
        .iter()
        .filter(|seed| seed.ip() != own.ip() || seed.ip().is_loopback())
        .filter_map(|seed| match seed {
            SocketAddr::V4(seed) if seed.ip().is_loopback() => Some(*seed),
            SocketAddr::V4(seed) => Some(SocketAddrV4::new(*seed.ip(), own.port())),
            SocketAddr::V6(_) => None,
        })
        .collect()
}
