//! What came of a simulated scenario.

use reedsail_core::ErrorKind;
use reedsail_dispatch::ServerNotice;
use reedsail_dispatch::WorkspaceShare;
use reedsail_fairness::ShareLedger;
use reedsail_fairness::ShareWindow;

/// One decision about a request, and what the instance knew when it made it.
#[derive(Clone, Copy, Debug)]
pub struct DecisionRow {
    /// When, in milliseconds from the start.
    pub at_ms: u64,
    /// The workspace, by its place in the scenario.
    pub workspace: usize,
    /// The instance that decided.
    pub instance: usize,
    /// Cost of the request, in tokens.
    pub cost: f64,
    /// Why it was refused; `None` if it was sent.
    pub refusal: Option<ErrorKind>,
    /// The workspace's share as the instance knew it, where the request was refused.
    pub share: Option<WorkspaceShare>,
    /// Latency target of the request, in milliseconds.
    pub latency_target_ms: u64,
    /// Expected time to the first event, in milliseconds.
    pub expected_ms: u64,
    /// For how long the chosen engine was thought to be busy, in milliseconds.
    pub queue_ms: u64,
}

/// A request that reached an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ArrivalRow {
    /// When, in milliseconds from the start.
    pub at_ms: u64,
    /// The instance that sent it.
    pub instance: usize,
    /// The engine.
    pub engine: usize,
}

/// An answer in which an engine said something of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoticeRow {
    /// When, in milliseconds from the start.
    pub at_ms: u64,
    /// The instance that got it.
    pub instance: usize,
    /// The engine.
    pub engine: usize,
    /// What it said.
    pub notice: ServerNotice,
}

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
    /// The same with runs counted when their request was accepted: what the instances decide at once, without the
    /// time in which an engine begins it.
    pub accepted: ShareLedger,
    /// Every decision, in the order of time.
    pub decisions: Vec<DecisionRow>,
    /// Every request that reached an engine, in the order of time.
    pub arrivals: Vec<ArrivalRow>,
    /// What engines said of themselves, in the order of time.
    pub notices: Vec<NoticeRow>,
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
