//! The messages that the control actor takes, and what it asks the tasks around it to do.

use std::net::SocketAddr;

use reedsail_core::NameHash;
use reedsail_core::TimeMs;
use reedsail_log_client::InstanceList;
use reedsail_log_client::LogPage;
use reedsail_wire::Grant;
use reedsail_wire::LinkError;
use reedsail_wire::Report;

/// Where a peer takes calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PeerAddress {
    pub(crate) name: NameHash,
    pub(crate) instance: String,
    pub(crate) address: SocketAddr,
}

/// What the actor asks the link tasks to do.
#[derive(Debug)]
pub(crate) enum LinkAction {
    /// Report to a peer.
    Exchange {
        peer: PeerAddress,
        report: Box<Report>,
        sent_at: TimeMs,
    },
    /// Fetch a peer's bundle.
    FetchBundle { peer: PeerAddress, known_version: u32 },
    /// Repeat the version in force in the log.
    AppendCheckpoint(Vec<u8>),
}

/// Time has passed.
pub(super) struct Tick;

/// A peer reports.
pub(super) struct PeerReport(pub(super) Report);

/// A call to a peer has ended.
pub(super) struct ExchangeDone {
    pub(super) peer: NameHash,
    pub(super) sent_at: TimeMs,
    pub(super) outcome: Result<Grant, LinkError>,
}

/// The log was read.
pub(super) struct LogRead(pub(super) LogPage);

/// The log can, or cannot, be reached.
pub(super) struct LogReachable(pub(super) bool);

/// The append of a checkpoint has ended.
pub(super) struct CheckpointDone(pub(super) bool);

/// The instance list changed.
pub(super) struct InstancesChanged(pub(super) InstanceList);

/// A peer sent its bundle.
pub(super) struct BundleFetched(pub(super) Vec<u8>);

/// A peer asks for the bundle in force.
pub(super) struct ReadBundle;

/// An operator's tool asks for the content of the bundle in force.
pub(crate) struct ReadContent;

/// Somebody wants to know how the daemon stands.
pub(crate) struct ReadStatus;

/// A planned stop begins.
pub(crate) struct BeginStop;
