//! What can be suspected of ending servers.

use reedsail_core::Fingerprint;
use reedsail_core::NameHash;

/// A segment of prompts, whoever sends it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SegmentId {
    /// The service whose engines read it.
    pub service: NameHash,
    /// The id of its content, as callers name it.
    pub id: u64,
}

/// A segment in the prompts of one workspace. Callers choose the ids of segments, so what is known of a segment is kept
/// apart by workspace.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SegmentKey {
    /// The segment.
    pub segment: SegmentId,
    /// The workspace whose requests have it.
    pub workspace: NameHash,
}

/// What is suspected of ending servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SuspectKey {
    /// A request, which may return.
    Request(Fingerprint),
    /// A segment of prompts, in any request of a workspace.
    Segment(SegmentKey),
}

impl Default for SuspectKey {
    fn default() -> Self {
        Self::Request(Fingerprint::default())
    }
}
