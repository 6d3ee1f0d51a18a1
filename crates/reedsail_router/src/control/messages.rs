//! The messages that the control actor receives from the tasks of the control thread.

use std::net::SocketAddr;
use std::net::SocketAddrV4;

use reedsail_core::StorePosition;
use reedsail_core::TimeMs;
use reedsail_dispatch::EvacuationUpdate;
use reedsail_dispatch::ServerListing;
use reedsail_dispatch::ServerUpdate;
use reedsail_dispatch::StoreTopic;
use reedsail_dispatch::SuspectRecord;
use reedsail_wire::LoadMessage;

use crate::Configuration;
use crate::SavedQuarantine;

/// The source of a change, as named in log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Origin {
    /// The platform's store.
    Store,
    /// A peer.
    Peer,
    /// The end of a grace period, without new information.
    GraceOver,
}

impl Origin {
    /// Returns the name in log lines.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Peer => "peer",
            Self::GraceOver => "doubt",
        }
    }
}

/// A configuration was read from the store or fetched from a peer.
pub(crate) struct ConfigurationRead {
    pub(crate) configuration: Configuration,
    pub(crate) origin: Origin,
}

/// The store has a configuration that cannot be parsed; holds the fault.
pub(crate) struct ConfigurationUnreadable(pub(crate) String);

/// Evacuations of failure domains were read from the store.
pub(crate) struct EvacuationsRead(pub(crate) EvacuationUpdate);

/// Asks whether this instance may read a topic of the store now; answered with a [`ReadTurn`].
pub(crate) struct MayRead(pub(crate) StoreTopic);

/// Whether this instance may read the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReadTurn {
    /// It may read now, starting at this revision of its server list.
    Now(StorePosition),
    /// It must not read now, and asks again after this time, in milliseconds.
    After(u64),
}

/// Changes of the server list were read from the store.
pub(crate) struct ServersRead {
    pub(crate) update: ServerUpdate,
    pub(crate) asked_at: TimeMs,
}

/// A server list was fetched from a peer.
pub(crate) struct PeerServersRead {
    pub(crate) listing: ServerListing,
    pub(crate) peer: SocketAddrV4,
}

/// A read of the store has ended.
pub(crate) struct StoreReadEnded {
    pub(crate) topic: StoreTopic,
    /// The time as of which the answer is valid.
    pub(crate) known_at: TimeMs,
    /// Describes the failure if the read failed.
    pub(crate) fault: Option<String>,
}

/// The records of quarantined requests and segments were read from the store.
pub(crate) struct QuarantineRead(pub(crate) SavedQuarantine);

/// Asks which records of quarantined requests and segments this instance writes to the store now; answered with them.
pub(crate) struct DueRecords;

/// The store has taken records of quarantined requests and segments, in an era of it.
pub(crate) struct RecordsWritten {
    pub(crate) records: Vec<SuspectRecord>,
    pub(crate) era: u32,
}

/// A call of the store for records of quarantined requests and segments.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QuarantineCall {
    Read,
    Write,
}

impl QuarantineCall {
    /// Returns the name in log lines and metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::Write => "write",
        }
    }
}

/// Such a call has failed.
pub(crate) struct QuarantineCallFailed {
    pub(crate) call: QuarantineCall,
    /// Describes the failure.
    pub(crate) fault: String,
}

/// A load message was received.
pub(crate) struct MessageReceived {
    pub(crate) message: LoadMessage,
    pub(crate) from: SocketAddrV4,
}

/// Time has passed; answered with an [`Outbox`].
pub(crate) struct Tick;

/// The messages and fetches that are due after a tick.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    /// The load messages that are due, encoded.
    pub(crate) load_messages: Vec<Datagram>,
    /// The requests for loans of retries that are due, encoded.
    pub(crate) loan_requests: Option<Datagram>,
    /// Fetches from peers to start.
    pub(crate) fetches: Vec<PeerFetch>,
    /// Time until the next tick is due, in milliseconds.
    pub(crate) next_tick_ms: u64,
}

/// An encoded message and its destinations.
#[derive(Debug)]
pub(crate) struct Datagram {
    pub(crate) bytes: Vec<u8>,
    pub(crate) targets: Vec<SocketAddrV4>,
}

/// A fetch from a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PeerFetch {
    /// The configuration in force at the peer.
    Configuration(SocketAddrV4),
    /// The peer's whole list of backend servers.
    Servers(SocketAddrV4),
    /// The difference between the peer's list and the list that has this digest.
    ServersSince(SocketAddrV4, u64),
}

/// The seeds in the settings file have changed.
pub(crate) struct SeedsChanged(pub(crate) Vec<SocketAddr>);

/// A fetch of the whole list of servers has ended.
pub(crate) struct WholeListFetched;

/// A peer cannot tell how its list of servers differs from this instance's list.
pub(crate) struct DifferenceUnknown;

/// A peer requests the list of servers, or its difference to the list that has a digest; answered with the page, or
/// with `None` if the difference is not known.
pub(crate) struct ListServers {
    pub(crate) differs_from: Option<u64>,
}
