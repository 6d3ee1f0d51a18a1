//! Formats a workspace's share for log lines.

use reedsail_dispatch::WorkspaceShare;

/// Returns the log fields of a share, in tokens within the fair-share window. The level is `none` if the capacity is
/// enough for all workspaces.
pub(crate) fn share_fields(share: &WorkspaceShare) -> [(&'static str, String); 3] {
    let level = if share.level_cost.is_finite() {
        format_cost(share.level_cost)
    } else {
        "none".to_owned()
    };
    [
        ("requested_tokens", format_cost(share.requested_cost)),
        ("sent_tokens", format_cost(share.sent_cost)),
        ("level_tokens", level),
    ]
}

fn format_cost(cost: f64) -> String {
    format!("{cost:.0}")
}
