//! The load report of an instance to its peers: rows by backend server, workspace, prompt segment and suspected
//! request.

use std::cmp::Reverse;

use reedsail_core::Fingerprint;
use reedsail_core::NameHash;

/// The load that one instance puts on one backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerLoadRow {
    /// The backend server.
    pub server: NameHash,
    /// Requests sent and not ended.
    pub running: u16,
    /// Failure rate of the latest attempts, 255 for one.
    pub failure_rate: u8,
    /// Prompt tokens that wait there to be prefilled.
    pub prefill_tokens: u32,
    /// Nothing answered at its address just now.
    pub is_down: bool,
    /// It said in an answer that it drains, and its record does not say so.
    pub is_draining: bool,
    /// It asked for time that is not over.
    pub is_backed_off: bool,
}

/// The use of one workspace on one instance within the fair-share window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkspaceUseRow {
    /// The workspace.
    pub workspace: NameHash,
    /// Cost of its requests, in tokens.
    pub requested_cost: f32,
    /// Cost of those that were sent to a server, in tokens.
    pub sent_cost: f32,
    /// Prompt tokens that its requests lately wanted prefilled, each counted by its age (see `fair_share`).
    pub recent_prefill_tokens: f32,
    /// Cost lately sent, counted by age as well.
    pub recent_sent_cost: f32,
}

/// A prompt segment that was sent to a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct PrefixRow {
    /// The hash of the segment's id.
    pub segment: u32,
    /// The server.
    pub server: NameHash,
}

/// What an instance knows of a request under which servers ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SuspectRow {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The workspace that it counts against.
    pub workspace: NameHash,
    /// Starts of servers that ended under it; none if it was answered whole since.
    pub servers: Vec<NameHash>,
    /// How long ago the last of them ended, or it was answered, in milliseconds.
    pub changed_ms_ago: u32,
    /// How long ago it last came, in milliseconds.
    pub seen_ms_ago: u32,
}

impl SuspectRow {
    /// Drops all but so many rows: those with the most ends stay, of these the newest.
    pub fn keep_most_telling(rows: &mut Vec<Self>, count_max: usize) {
        rows.sort_by_key(|row| (Reverse(row.servers.len()), row.changed_ms_ago, row.fingerprint));
        rows.truncate(count_max);
    }
}

/// The load of an instance; each report replaces the one before it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Load by backend server; a server that is not named has none.
    pub servers: Vec<ServerLoadRow>,
    /// Use by workspace; a workspace that is not named has none.
    pub workspaces: Vec<WorkspaceUseRow>,
    /// Segments that were recently sent to a server for the first time, or again after a while.
    pub prefixes: Vec<PrefixRow>,
    /// Requests under which servers ended.
    pub suspects: Vec<SuspectRow>,
}

impl LoadReport {
    /// Returns a copy of the amounts, without the segments: those are news and enter no sum.
    #[must_use]
    pub fn without_prefixes(&self) -> Self {
        Self {
            servers: self.servers.clone(),
            workspaces: self.workspaces.clone(),
            prefixes: Vec::new(),
            suspects: self.suspects.clone(),
        }
    }
}
