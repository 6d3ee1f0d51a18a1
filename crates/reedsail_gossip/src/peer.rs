//! What is known of one peer.

use std::net::SocketAddrV4;

use reedsail_core::NameHash;
use reedsail_core::StorePosition;
use reedsail_core::TimeMs;

/// A peer, as it or another instance described it.
#[derive(Clone, Copy, Debug)]
pub struct Peer {
    /// Where it receives load messages.
    pub address: SocketAddrV4,
    /// When its last message came, or when another instance last named it.
    pub heard_at: TimeMs,
    /// Its own messages come.
    pub is_alive: bool,
    /// Of its last start; zero if only others named it.
    pub incarnation: u32,
    /// Of its last message.
    pub sequence: u32,
    /// Its failure domain; zero if unknown.
    pub failure_domain: NameHash,
    /// The share of a core that it may use, in thousandths; zero if unknown.
    pub processor_milli: u32,
    /// Zero for an instance that knows no aggregators.
    pub protocol: u8,
    /// The configuration that it has in force.
    pub configuration_version: u64,
    /// The revision of its list of backend servers.
    pub servers_revision: StorePosition,
    /// It is stopping.
    pub is_stopping: bool,
    /// When it was last sent a direct message.
    pub(crate) sent_at: Option<TimeMs>,
}

/// What a message means for what is known of its sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// The message is older than one that came before, or the receiver's own.
    Stale,
    /// The peer was silent or unknown before.
    FromNew,
    /// The peer was alive before.
    FromAlive,
}
