//! The input and output types of the load exchange: the identity of the instance, the header of its messages, and the
//! outcome of a received message.

use std::net::SocketAddrV4;

use reedsail_core::NameHash;
use reedsail_core::StorePosition;
use reedsail_dispatch::EvacuationRow;
use reedsail_dispatch::LoadReport;
use reedsail_wire::LoadMessage;

use crate::Arrival;

/// The identity of this instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InstanceIdentity {
    /// The instance's name.
    pub instance: NameHash,
    /// The instance's failure domain.
    pub failure_domain: NameHash,
    /// A number that changes at every start.
    pub incarnation: u32,
    /// The share of a core that the instance may use, in thousandths.
    pub processor_milli: u32,
}

/// The fields of every message that describe its sender, apart from the load.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MessageHeader {
    /// The version of the configuration in force; zero for none.
    pub configuration_version: u64,
    /// How long ago that version was known to be the newest, in milliseconds.
    pub configuration_age_ms: u32,
    /// The revision of the list of backend servers.
    pub servers_revision: StorePosition,
    /// The digest of that list.
    pub servers_digest: u64,
    /// The age of that list, in milliseconds.
    pub servers_age_ms: u32,
    /// Whether the instance is stopping.
    pub is_stopping: bool,
    /// Backend servers that are draining or have departed.
    pub departures: Vec<NameHash>,
    /// The failure domains that are, or were, evacuated.
    pub evacuations: Vec<EvacuationRow>,
    /// How soon peers must learn of load, in thousandths, from zero in an idle fleet to a thousand in a busy fleet.
    pub load_pressure_milli: u32,
}

/// A message to send, and its targets.
#[derive(Clone, Debug, PartialEq)]
pub struct Outgoing {
    /// The message.
    pub message: LoadMessage,
    /// The addresses that the message is sent to.
    pub targets: Vec<SocketAddrV4>,
}

/// The outcome of a received message.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceiveOutcome {
    /// How the message relates to the known state of its sender.
    pub arrival: Arrival,
    /// A source and its new load, which replaces the source's previous load.
    pub counted: Option<(NameHash, LoadReport)>,
    /// Sources whose load no longer counts.
    pub dropped: Vec<NameHash>,
}

/// A source whose load no longer counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LostSource {
    /// The peer that sent the load.
    pub instance: NameHash,
    /// The peer's address if it became silent; `None` if only its last report or sum expired, for example because it
    /// reports to another aggregator.
    pub silent_address: Option<SocketAddrV4>,
}

/// The target of this instance's load reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportTarget {
    /// None: the instance aggregates load itself.
    Itself,
    /// The aggregator at this address.
    Aggregator(SocketAddrV4),
}

/// An instance's position in the order of its failure domain's instances, which is the same at all of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DomainPosition {
    /// The number of instances before this one.
    pub position: usize,
    /// The number of instances, including this one.
    pub instances: usize,
}
