//! A workspace's share as log lines show it.

use reedsail_dispatch::WorkspaceShare;

/// Returns the fields of a share, in tokens within the fair-share window; the level is `none` where there is
/// enough for all.
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
