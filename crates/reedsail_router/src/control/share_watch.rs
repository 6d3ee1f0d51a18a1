//! Logs when a workspace goes over its fair share, or returns below it.
//!
//! Owns the state that was last logged for each workspace. The shares come from the dispatcher and are the ones that
//! this instance applies to requests.

use std::collections::HashSet;

use reedsail_core::NameHash;
use reedsail_core::TimeMs;
use reedsail_dispatch::WorkspaceShare;
use reedsail_events::EventKind;

use crate::share_fields::share_fields;
use crate::shared::Shared;

/// Interval between two checks, in milliseconds. A workspace at its share crosses it many times a second, so checking
/// on each tick would log many lines.
const CHECK_INTERVAL_MS: u64 = 1_000;

/// The workspaces that were over their share at the last check.
#[derive(Debug, Default)]
pub(crate) struct ShareWatch {
    over_share: HashSet<NameHash>,
    next_check_at: TimeMs,
}

impl ShareWatch {
    /// Checks the workspaces that sent requests to this instance, if a check is due.
    pub(crate) fn tick<H>(&mut self, shared: &Shared<H>, now: TimeMs) {
        if now < self.next_check_at {
            return;
        }
        self.next_check_at = now.plus_ms(CHECK_INTERVAL_MS);
        let workspace_shares = shared.dispatcher().own_workspace_shares(now);
        let active: HashSet<NameHash> = workspace_shares.iter().map(|(workspace, _)| *workspace).collect();
        self.over_share.retain(|workspace| active.contains(workspace));
        for (workspace, share) in workspace_shares {
            let has_crossed = if share.is_exceeded() {
                self.over_share.insert(workspace)
            } else {
                self.over_share.remove(&workspace)
            };
            if has_crossed {
                log_crossing(shared, workspace, &share);
            }
        }
    }
}

fn log_crossing<H>(shared: &Shared<H>, workspace: NameHash, share: &WorkspaceShare) {
    shared.emit_with(EventKind::ShareCrossed, || {
        let routes = shared.routes.load();
        let name = routes.workspace_name(workspace).unwrap_or("none");
        let mut fields = vec![
            ("workspace", name.to_owned()),
            ("is_over", share.is_exceeded().to_string()),
        ];
        fields.extend(share_fields(share));
        fields
    });
}
