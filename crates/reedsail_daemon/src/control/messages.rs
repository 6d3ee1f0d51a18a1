//! The messages that the control actor handles, and the actions that it requests from other tasks.

use std::net::SocketAddr;

use reedsail_core::NameHash;
use reedsail_core::TimeMs;
use reedsail_log_client::InstanceList;
use reedsail_log_client::LogPage;
use reedsail_wire::Grant;
use reedsail_wire::LinkError;
use reedsail_wire::Report;

/// The address where a peer accepts calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PeerAddress {
    /// The hash of `instance`.
    pub(crate) name: NameHash,
    pub(crate) instance: String,
    pub(crate) address: SocketAddr,
}

/// An action that the actor requests from the tasks that call peers and the platform.
#[derive(Debug)]
pub(crate) enum LinkAction {
    /// Sends a report to a peer.
    Exchange {
        peer: PeerAddress,
        report: Box<Report>,
        sent_at: TimeMs,
    },
    /// Fetches a peer's bundle.
    FetchBundle { peer: PeerAddress, known_version: u32 },
    /// Appends a checkpoint of the bundle in force to the log.
    AppendCheckpoint(Vec<u8>),
}

/// The periodic tick.
pub(super) struct Tick;

/// A report from a peer.
pub(super) struct PeerReport(pub(super) Report);

/// The outcome of a report to a peer: the peer's grant or an error.
pub(super) struct ExchangeDone {
    pub(super) peer: NameHash,
    pub(super) sent_at: TimeMs,
    pub(super) outcome: Result<Grant, LinkError>,
}

/// A page read from the bundle stream of the log.
pub(super) struct LogRead(pub(super) LogPage);

/// Whether the log is reachable.
pub(super) struct LogReachable(pub(super) bool);

/// Whether appending a checkpoint succeeded.
pub(super) struct CheckpointDone(pub(super) bool);

/// A change of the instance list.
pub(super) struct InstancesChanged(pub(super) InstanceList);

/// A checkpoint record fetched from a peer.
pub(super) struct BundleFetched(pub(super) Vec<u8>);

/// A peer's request for the bundle in force.
pub(super) struct ReadBundle;

/// A request of the admin port for the content of the bundle in force.
pub(crate) struct ReadContent;

/// A request for the status of the daemon.
pub(crate) struct ReadStatus;

/// The start of a graceful stop.
pub(crate) struct BeginStop;
