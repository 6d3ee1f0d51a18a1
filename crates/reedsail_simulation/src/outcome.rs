//! What came of a simulated scenario.

use reedsail_fairness::ShareLedger;
use reedsail_fairness::ShareWindow;

/// What one workspace asked for and got; in tokens, but for the requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkspaceOutcome {
    /// Cost of its requests, those included that came back after a refusal.
    pub requested: f64,
    /// Cost of those that an engine began.
    pub got: f64,
    /// Requests refused as over its share.
    pub over_share: u64,
    /// Requests refused since they would have been late.
    pub would_miss_target: u64,
    /// Requests whose first event came within the target.
    pub in_target: u64,
    /// Requests whose first event came later.
    pub late: u64,
}

/// What came of a scenario.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// By workspace, in the order of the scenario.
    pub workspaces: Vec<WorkspaceOutcome>,
    /// Everything by moment, in milliseconds from the start.
    pub ledger: ShareLedger,
}

impl Outcome {
    /// Returns the window in which a workspace came nearest to far less than its share; `None` if everyone
    /// was content in some second of each window.
    pub fn worst_window(&self) -> Option<ShareWindow> {
        self.ledger.worst_windows().into_iter().next()
    }

    /// Returns the tokens that engines began.
    pub fn got(&self) -> f64 {
        self.workspaces.iter().map(|workspace| workspace.got).sum()
    }

    /// Returns the requests whose first event came within the target.
    pub fn in_target(&self) -> u64 {
        self.workspaces.iter().map(|workspace| workspace.in_target).sum()
    }
}
