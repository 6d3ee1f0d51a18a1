//! The state of one peer.

use std::net::SocketAddrV4;

use reedsail_core::NameHash;
use reedsail_core::StorePosition;
use reedsail_core::TimeMs;

/// A peer, as its own messages or those of other instances describe it.
#[derive(Clone, Copy, Debug)]
pub struct Peer {
    /// The address at which the peer receives load messages.
    pub address: SocketAddrV4,
    /// When the last message from the peer arrived, or when another instance last named it.
    pub last_seen_at: TimeMs,
    /// Whether the peer's own messages arrive.
    pub is_alive: bool,
    /// The incarnation of the peer's last start; zero if only other instances have named it.
    pub incarnation: u32,
    /// The sequence number of the peer's last message.
    pub sequence: u32,
    /// The peer's failure domain; zero if unknown.
    pub failure_domain: NameHash,
    /// The share of a core that the peer may use, in thousandths; zero if unknown.
    pub processor_milli: u32,
    /// The peer's protocol number; zero if it does not support aggregators.
    pub protocol: u8,
    /// The version of the peer's configuration in force.
    pub configuration_version: u64,
    /// The revision of the peer's list of backend servers.
    pub servers_revision: StorePosition,
    /// Whether the peer is stopping.
    pub is_stopping: bool,
    /// When the last direct message was sent to the peer.
    pub(crate) sent_at: Option<TimeMs>,
}

/// How a message relates to the known state of its sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// The message is older than the last one from the sender, or comes from the receiver itself.
    Stale,
    /// The sender was silent, restarted or unknown.
    FromNew,
    /// The sender was already alive.
    FromAlive,
}
