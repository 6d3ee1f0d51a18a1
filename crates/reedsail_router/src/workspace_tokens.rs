//! Counts tokens by workspace: requested, sent, begun and refused.
//!
//! Limits how many workspaces have their own counters, so that the metrics page of an instance with thousands of
//! workspaces stays small. `request_log` calls the counters.

use std::collections::HashSet;
use std::sync::Mutex;
use std::sync::PoisonError;

use prometheus::IntCounterVec;

/// Maximum number of workspaces with their own counters. The first ones to send a request get them, and the others are
/// counted together. The four counters of all these workspaces take about 40 kB of a metrics page.
const NAMED_WORKSPACES_MAX: usize = 64;
/// The label of the workspaces that are counted together.
const OTHER_LABEL: &str = "other";

/// The stage of a request at which its tokens are counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TokenStage {
    /// The request arrived.
    Requested,
    /// An attempt was sent to a server.
    Sent,
    /// A server began to respond.
    Begun,
    /// The request was refused.
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

/// The token counters.
#[derive(Debug)]
pub(crate) struct WorkspaceTokens {
    counters: IntCounterVec,
    named: Mutex<HashSet<String>>,
}

impl WorkspaceTokens {
    /// Wraps `counters`, whose labels are the workspace and the stage.
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

    /// Returns whether a workspace has its own counters. Reserves them for a new workspace while there is room.
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
