//! The load report that an instance sends to its peers: rows by backend server, workspace, prompt segment and
//! suspected request.

use std::cmp::Reverse;
use std::collections::HashMap;

use reedsail_core::NameHash;

use crate::SegmentId;
use crate::SpeedSums;
use crate::StoredState;
use crate::SuspectKey;

/// The load that one instance puts on one backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerLoadRow {
    /// The backend server.
    pub server: NameHash,
    /// Requests that were sent and have not finished.
    pub running: u16,
    /// Failure rate of the latest attempts; 255 stands for a rate of one.
    pub failure_rate: u8,
    /// Prompt tokens that wait for prefill on the server.
    pub prefill_tokens: u32,
    /// Whether nothing listened at the server's address recently.
    pub is_down: bool,
    /// Whether the server announced in an answer that it is draining while its record does not say so.
    pub is_draining: bool,
    /// Whether the server asked for back-off that has not ended.
    pub is_backed_off: bool,
    /// Evidence of the server's speed if it is an engine.
    pub speed: SpeedSums,
    /// Longest present pause of the streams with a gap target on the server, in milliseconds.
    pub pause_ms: u16,
}

/// The use of one workspace on one instance within the fair-share window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkspaceUseRow {
    /// The workspace.
    pub workspace: NameHash,
    /// Cost of its requests, in tokens.
    pub requested_cost: f32,
    /// Cost of the requests that were sent to a server, in tokens.
    pub sent_cost: f32,
    /// Prompt tokens that its recent requests needed prefilled, weighted by age (see `fair_share`).
    pub recent_prefill_tokens: f32,
    /// Cost of the requests recently sent to a server, weighted by age as well.
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

/// The number of ended servers that an answer counts for when a report has no room for all rows: peers must hear of it
/// before the end that would quarantine what it clears.
const ANSWER_ENDS: usize = 2;

/// The end of a server under a suspect.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SuspectEndRow {
    /// The incarnation of the server.
    pub server: NameHash,
    /// Time since the request was sent there, in milliseconds.
    pub sent_ms_ago: u32,
    /// Time since the server ended, in milliseconds.
    pub ended_ms_ago: u32,
    /// The longest time for which an answer had been written there, in milliseconds; zero if no head had arrived.
    pub answered_ms: u32,
    /// Another server that ended at the same time while it ran nothing under the suspect.
    pub beside: Option<NameHash>,
    /// Whether an answer under the suspect that began no later has gone on for clearly longer.
    pub is_outlived: bool,
    /// Whether its observers had not run long enough to know which segments were answered before.
    pub is_early: bool,
}

/// A request or a segment of prompts under which servers ended, as one instance knows it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SuspectRow {
    /// The request or segment.
    pub key: SuspectKey,
    /// The workspace that its requests are charged to.
    pub workspace: NameHash,
    /// Servers that ended under it; empty if it was answered completely since.
    pub ends: Vec<SuspectEndRow>,
    /// Time since the last of these servers ended, or since it was answered, in milliseconds.
    pub changed_ms_ago: u32,
    /// Time since it was last received, in milliseconds.
    pub seen_ms_ago: u32,
    /// Time since it was last answered completely, in milliseconds, or since that answer to a request with a segment began;
    /// `None` if that is not known.
    pub answered_ms_ago: Option<u32>,
    /// Whether a request of any workspace was ever answered completely under it, as far as is known.
    pub was_answered: bool,
    /// What the store is known to hold of it.
    pub stored: StoredState,
    /// Time since that was written, in milliseconds.
    pub stored_ms_ago: u32,
}

impl SuspectRow {
    /// Adds the time since the row was made to all its ages, in milliseconds.
    pub fn add_age(&mut self, age_ms: u32) {
        let older = |ms_ago: &mut u32| *ms_ago = ms_ago.saturating_add(age_ms);
        for end in &mut self.ends {
            older(&mut end.sent_ms_ago);
            older(&mut end.ended_ms_ago);
        }
        older(&mut self.changed_ms_ago);
        older(&mut self.seen_ms_ago);
        self.answered_ms_ago.iter_mut().for_each(older);
        older(&mut self.stored_ms_ago);
    }

    /// Keeps at most `count_max` rows: those with the most ended servers, and of these the newest. The rows of a segment
    /// count together, and an answer as much as [`ANSWER_ENDS`].
    pub fn keep_strongest(rows: &mut Vec<Self>, count_max: usize) {
        let mut ends_by_segment: HashMap<SegmentId, usize> = HashMap::new();
        for row in rows.iter() {
            if let SuspectKey::Segment(key) = row.key {
                *ends_by_segment.entry(key.segment).or_default() += row.ends.len();
            }
        }
        let ends = |row: &Self| match row.key {
            SuspectKey::Request(_) => row.ends.len(),
            SuspectKey::Segment(key) => ends_by_segment[&key.segment],
        };
        let strength = |row: &Self| {
            if row.ends.is_empty() {
                ends(row).max(ANSWER_ENDS)
            } else {
                ends(row)
            }
        };
        rows.sort_by_key(|row| (Reverse(strength(row)), row.changed_ms_ago, row.key));
        rows.truncate(count_max);
    }
}

/// The load of an instance; each report replaces the one before it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Load by backend server; servers without a row have no load.
    pub servers: Vec<ServerLoadRow>,
    /// Use by workspace; workspaces without a row have no use.
    pub workspaces: Vec<WorkspaceUseRow>,
    /// Segments that were recently sent to a server for the first time, or again after some time.
    pub prefixes: Vec<PrefixRow>,
    /// Requests and segments under which servers ended.
    pub suspects: Vec<SuspectRow>,
}

impl LoadReport {
    /// Returns a copy without the segments, which are updates and not part of any sum.
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
