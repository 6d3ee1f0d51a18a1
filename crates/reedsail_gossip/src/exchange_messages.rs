//! What the exchange is told and what it answers: who the instance is, what each of its messages says, and
//! what a message that came means.

use std::net::SocketAddrV4;

use reedsail_core::NameHash;
use reedsail_core::StorePosition;
use reedsail_dispatch::EvacuationRow;
use reedsail_dispatch::LoadReport;
use reedsail_wire::LoadMessage;

use crate::Arrival;

/// Who this instance is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InstanceIdentity {
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
pub struct MessageHeader {
    /// The configuration in force; zero for none.
    pub configuration_version: u64,
    /// How long ago that was known to be the newest, in milliseconds.
    pub configuration_age_ms: u32,
    /// The revision of the list of backend servers.
    pub servers_revision: StorePosition,
    /// The digest of that list.
    pub servers_digest: u64,
    /// How old that list is, in milliseconds.
    pub servers_age_ms: u32,
    /// The instance is stopping.
    pub is_stopping: bool,
    /// Backend servers that are draining or departed.
    pub departures: Vec<NameHash>,
    /// The failure domains that are, or were, evacuated.
    pub evacuations: Vec<EvacuationRow>,
    /// How soon peers must learn of load, in thousandths: from zero in an idle fleet to a thousand in a busy one.
    pub load_pressure_milli: u32,
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
pub struct ReceiveOutcome {
    /// What it means for its sender.
    pub arrival: Arrival,
    /// A source whose load counts from now on in place of its last one.
    pub counted: Option<(NameHash, LoadReport)>,
    /// Sources whose load counts no more.
    pub dropped: Vec<NameHash>,
}

/// A source whose load counts no more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LostSource {
    /// The peer that it came from.
    pub instance: NameHash,
    /// Its address, if its messages were expected and stayed away; `None` if it reports elsewhere now.
    pub silent_address: Option<SocketAddrV4>,
}

/// Whom this instance reports its load to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportTarget {
    /// Nobody: it aggregates itself.
    Itself,
    /// The aggregator at this address.
    Aggregator(SocketAddrV4),
}

/// An instance's place among those of its failure domain, which have an order that all agree on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DomainPosition {
    /// How many come before it.
    pub position: usize,
    /// How many there are, this one included.
    pub instances: usize,
}
