//! Counts tokens by workspace: what was requested, sent, begun and refused.
//!
//! Owns the bound on how many workspaces have counters of their own, so that the metrics page of an instance
//! before thousands of workspaces stays small. Relies on `request_log` for what to count.

use std::collections::HashSet;
use std::sync::Mutex;
use std::sync::PoisonError;

use prometheus::IntCounterVec;

/// Workspaces with counters of their own, the first that come; the others are counted together. Four counters of
/// each are some 40 kB of a metrics page.
const NAMED_WORKSPACES_MAX: usize = 64;
/// The label of the workspaces that are counted together.
const OTHER_LABEL: &str = "other";

/// What became of the tokens of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TokenStage {
    /// A request that arrived.
    Requested,
    /// An attempt that was sent to a server.
    Sent,
    /// A request whose server has begun to answer.
    Begun,
    /// A request that was refused.
    Refused,
}

impl TokenStage {
    /// Returns the value of the label.
    fn name(self) -> &'static str {
        match self {
            Self::Requested => "requested",
            Self::Sent => "sent",
            Self::Begun => "begun",
            Self::Refused => "refused",
        }
    }
}

/// The counters of tokens.
#[derive(Debug)]
pub(crate) struct WorkspaceTokens {
    counters: IntCounterVec,
    named: Mutex<HashSet<String>>,
}

impl WorkspaceTokens {
    /// Counts with `counters`, whose labels are the workspace and what became of the tokens.
    pub(crate) fn new(counters: IntCounterVec) -> Self {
        Self {
            counters,
            named: Mutex::new(HashSet::new()),
        }
    }

    /// Adds the tokens of one request.
    pub(crate) fn add(&self, workspace: &str, stage: TokenStage, tokens: u64) {
        let label = if self.reserve_label(workspace) {
            workspace
        } else {
            OTHER_LABEL
        };
        self.counters
            .with_label_values(&[label, stage.name()])
            .inc_by(tokens);
    }

    /// Tells whether a workspace has counters of its own, and gives it some while there is room.
    fn reserve_label(&self, workspace: &str) -> bool {
        let mut named = self.named.lock().unwrap_or_else(PoisonError::into_inner);
        if named.contains(workspace) {
            return true;
        }
        let has_room = named.len() < NAMED_WORKSPACES_MAX;
        if has_room {
            named.insert(workspace.to_owned());
        }
        has_room
    }
}
