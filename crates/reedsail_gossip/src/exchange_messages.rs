//! What the exchange is told and what it answers: who the instance is, what each of its messages says, and
//! what a message that came means.

use std::net::SocketAddrV4;

use reedsail_core::NameHash;
use reedsail_dispatch::LoadReport;
use reedsail_wire::LoadMessage;

use crate::Arrival;

/// Who this instance is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Its name.
    pub instance: NameHash,
    /// Its failure domain.
    pub failure_domain: NameHash,
    /// Changes at every start.
    pub incarnation: u32,
    /// The share of a core that it may use, in thousandths.
    pub processor_milli: u32,
}

/// What every message says of its sender beside the load.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MessageHead {
    /// The configuration in force; zero for none.
    pub configuration_version: u64,
    /// How long ago that was known to be the newest, in milliseconds.
    pub configuration_age_ms: u32,
    /// The revision of the list of backend servers.
    pub servers_revision: u64,
    /// The digest of that list.
    pub servers_digest: u64,
    /// How old that list is, in milliseconds.
    pub servers_age_ms: u32,
    /// The instance is stopping.
    pub is_stopping: bool,
    /// Backend servers that are draining or departed.
    pub departures: Vec<NameHash>,
}

/// A message to send, and to whom.
#[derive(Clone, Debug, PartialEq)]
pub struct Outgoing {
    /// The message.
    pub message: LoadMessage,
    /// Where it goes.
    pub targets: Vec<SocketAddrV4>,
}

/// What a message means.
#[derive(Clone, Debug, PartialEq)]
pub struct Receipt {
    /// What it means for its sender.
    pub arrival: Arrival,
    /// A source whose load counts from now on in place of its last one.
    pub counted: Option<(NameHash, LoadReport)>,
    /// Sources whose load counts no more.
    pub dropped: Vec<NameHash>,
}
