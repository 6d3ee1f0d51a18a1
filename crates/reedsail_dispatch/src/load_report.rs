//! What a daemon tells its peers of its load.

use reedsail_core::NameHash;

/// The load that one daemon puts on one backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerLoadRow {
    /// The backend server.
    pub server: NameHash,
    /// Requests sent and not ended.
    pub running: u16,
    /// Failures among the latest requests, 255 for all.
    pub failure_rate: u8,
    /// Prompt tokens that wait to be read there.
    pub prefill_tokens: u32,
}

/// What one workspace asked of one daemon, and got, within the window of shares.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkspaceUseRow {
    /// The workspace.
    pub workspace: NameHash,
    /// Cost of its requests.
    pub requested_cost: f32,
    /// Cost of those that were sent to a server.
    pub sent_cost: f32,
}

/// A prompt part that was sent to a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PrefixRow {
    /// The hash of the part's identity.
    pub part: u32,
    /// The server.
    pub server: NameHash,
}

/// A daemon's load; each report replaces the one before it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Load by backend server; a server that is not named has none.
    pub servers: Vec<ServerLoadRow>,
    /// Use by workspace; a workspace that is not named has none.
    pub workspaces: Vec<WorkspaceUseRow>,
    /// Prompt parts that were lately sent to a server for the first time, or again after a while.
    pub parts: Vec<PrefixRow>,
}
