//! Converts the seeds in the settings to peer addresses.

use std::net::SocketAddr;
use std::net::SocketAddrV4;

/// Returns the addresses at which the seeds receive load messages.
///
/// Seeds use the same port as this instance, except those on a loopback address, whose ports differ.
/// This instance itself is left out, and so are IPv6 addresses, which load messages cannot contain.
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
