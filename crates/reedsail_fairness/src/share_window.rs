//! What one workspace requested and got within a window, beside the best served one.

/// Seconds of a window: the users judge fairness over as many.
pub const WINDOW_S: usize = 6;
/// Requests of the workspace's largest size that it may be short of, as the users judge.
const SLACK_REQUESTS: f64 = 3.0;

/// What a workspace got in a window in every second of which one of its requests was refused or late. Costs
/// are in tokens.
#[derive(Clone, Debug, PartialEq)]
pub struct ShareWindow {
    /// The workspace.
    pub workspace: String,
    /// The workspace that got most in the window.
    pub best_workspace: String,
    /// When the window begins, in milliseconds on the clock of the ledger.
    pub from_ms: u64,
    /// Cost of the requests that arrived.
    pub requested_cost: f64,
    /// Cost of those that a server began.
    pub begun_cost: f64,
    /// The same of the best served workspace.
    pub best_begun_cost: f64,
    /// The smaller of what it requested and what the best served one got, second by second, added up.
    pub entitled_cost: f64,
    /// Cost of its largest request.
    pub largest_request_cost: f64,
}

impl ShareWindow {
    /// Returns how near the workspace came to less than half of what it is owed: below one it got less, beyond
    /// a slack of three requests.
    pub fn ratio(&self) -> f64 {
        (2.0 * self.begun_cost + SLACK_REQUESTS * self.largest_request_cost)
            / self.entitled_cost.max(f64::MIN_POSITIVE)
    }
}
