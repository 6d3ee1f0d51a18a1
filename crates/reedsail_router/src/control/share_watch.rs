//! Logs when a workspace goes over its fair share, or comes back under it.
//!
//! Owns what was logged last of each workspace. Relies on the dispatcher for the shares, which are those that
//! requests are judged by on this instance.

use std::collections::HashSet;

use reedsail_core::NameHash;
use reedsail_core::TimeMs;
use reedsail_dispatch::WorkspaceShare;
use reedsail_events::EventKind;

use crate::share_fields::share_fields;
use crate::shared::Shared;

/// Interval between two looks, in milliseconds: a workspace at its level crosses it many times a second.
const LOOK_EVERY_MS: u64 = 1_000;

/// The workspaces that were over their share at the last look.
#[derive(Debug, Default)]
pub(crate) struct ShareWatch {
    over: HashSet<NameHash>,
    next_look_at: TimeMs,
}

impl ShareWatch {
    /// Looks at the workspaces that sent requests here, if it is time to.
    pub(crate) fn tick<H>(&mut self, shared: &Shared<H>, now: TimeMs) {
        if now < self.next_look_at {
            return;
        }
        self.next_look_at = now.plus_ms(LOOK_EVERY_MS);
        let by_workspace = shared.dispatcher().own_workspace_shares(now);
        let asking: HashSet<NameHash> = by_workspace.iter().map(|(workspace, _)| *workspace).collect();
        self.over.retain(|workspace| asking.contains(workspace));
        for (workspace, share) in by_workspace {
            let has_crossed = if share.is_exceeded() {
                self.over.insert(workspace)
            } else {
                self.over.remove(&workspace)
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
