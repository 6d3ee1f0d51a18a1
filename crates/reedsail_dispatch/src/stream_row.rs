//! A stream and the software version that began it, as instances tell each other.

use reedsail_core::NameHash;
use twox_hash::XxHash64;

use crate::SoftwareVersion;

/// Seed of the hash that identifies a stream. All instances must use the same one.
const STREAM_SEED: u64 = 0x73;

/// Number of peers that keep a stream's row.
pub const STREAM_HOLDERS: usize = 3;

/// A start of a peer that may keep rows. A peer that has started again has lost its rows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StreamHolder {
    /// The instance.
    pub instance: NameHash,
    /// The incarnation of its start.
    pub incarnation: u32,
}

/// Identifies a stream to all instances: a hash of its workspace and of the id of the attempt that brought its first
/// event. A workspace can't name the streams of another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamId(pub u64);

impl StreamId {
    /// Returns the id of the stream that an attempt began.
    pub fn of(workspace: NameHash, attempt_id: &[u8]) -> Self {
        let workspace_hash = XxHash64::oneshot(STREAM_SEED, &workspace.0.to_le_bytes());
        Self(XxHash64::oneshot(workspace_hash, attempt_id))
    }
}

/// A stream and the software version that began it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamRow {
    /// The stream.
    pub stream: StreamId,
    /// The service that it runs at.
    pub service: NameHash,
    /// The workspace that it counts against.
    pub workspace: NameHash,
    /// The version that began it; `None` if that is unknown, so that no server may continue it.
    pub version: Option<SoftwareVersion>,
    /// How much longer its caller may continue it, in milliseconds.
    pub left_ms: u32,
}

/// What an instance knows of the version that began a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamKnowledge {
    /// Nothing.
    Unknown,
    /// Where the stream began.
    Began {
        /// The service.
        service: NameHash,
        /// The version; `None` if no server may continue the stream.
        version: Option<SoftwareVersion>,
    },
    /// No stream of the service that may still be continued can have begun at another version.
    OnlyVersion(SoftwareVersion),
}
