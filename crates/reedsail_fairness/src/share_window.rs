//! What one workspace requested and what servers began for it within a window, next to the best served workspace.

/// Length of a window, in seconds: the users judge fairness over this time.
pub const WINDOW_S: usize = 6;
/// Slack that the users allow a workspace, in requests of the workspace's largest size.
const SLACK_REQUESTS: f64 = 3.0;

/// A window in each second of which a request of the workspace was refused or late. Costs are in tokens.
#[derive(Clone, Debug, PartialEq)]
pub struct ShareWindow {
    /// The workspace.
    pub workspace: String,
    /// The best served workspace: the one for which servers began the most cost in the window.
    pub best_workspace: String,
    /// The start of the window, in milliseconds on the ledger's clock.
    pub from_ms: u64,
    /// Cost of the workspace's requests that arrived.
    pub requested_cost: f64,
    /// Cost of the workspace's requests that a server began.
    pub begun_cost: f64,
    /// Cost of the best served workspace's requests that a server began.
    pub best_begun_cost: f64,
    /// The sum over the window's seconds of the smaller of two costs: what the workspace requested, and what servers
    /// began for the best served workspace.
    pub entitled_cost: f64,
    /// Cost of the workspace's largest request.
    pub largest_request_cost: f64,
}

impl ShareWindow {
    /// Returns how near the workspace came to getting less than half of its entitled cost. Below one it got less,
    /// even with a slack of three requests.
    pub fn ratio(&self) -> f64 {
        (2.0 * self.begun_cost + SLACK_REQUESTS * self.largest_request_cost)
            / self.entitled_cost.max(f64::MIN_POSITIVE)
    }
}
