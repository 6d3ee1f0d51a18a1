//! The outcome of a simulated scenario.

use reedsail_core::ErrorKind;
use reedsail_dispatch::ServerNotice;
use reedsail_dispatch::WorkspaceShare;
use reedsail_fairness::ShareLedger;
use reedsail_fairness::ShareWindow;

/// A decision about a request, and what the instance knew at that time.
#[derive(Clone, Copy, Debug)]
pub struct DecisionRow {
    /// Time of the decision, in milliseconds from the start.
    pub at_ms: u64,
    /// Index of the workspace in the scenario.
    pub workspace: usize,
    /// The instance that decided.
    pub instance: usize,
    /// Cost of the request, in tokens.
    pub cost: f64,
    /// Reason of a refusal; `None` if the request was sent.
    pub refusal: Option<ErrorKind>,
    /// The workspace's share as the instance knew it; `None` if the request was sent.
    pub share: Option<WorkspaceShare>,
    /// Latency target of the request, in milliseconds.
    pub latency_target_ms: u64,
    /// Expected time to the first event, in milliseconds.
    pub expected_ms: u64,
    /// Expected queue time at the chosen engine, in milliseconds.
    pub queue_ms: u64,
}

/// A request that reached an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ArrivalRow {
    /// Time of the arrival, in milliseconds from the start.
    pub at_ms: u64,
    /// The instance that sent it.
    pub instance: usize,
    /// The engine.
    pub engine: usize,
}

/// An answer with a server notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoticeRow {
    /// Time of the answer, in milliseconds from the start.
    pub at_ms: u64,
    /// The instance that received it.
    pub instance: usize,
    /// The engine.
    pub engine: usize,
    /// The server notice.
    pub notice: ServerNotice,
}

/// The outcome of one workspace. Costs are in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkspaceOutcome {
    /// Cost of its requests, including retries after a refusal.
    pub requested_cost: f64,
    /// Cost of its requests that an engine began.
    pub begun_cost: f64,
    /// Number of requests refused because the workspace was over its share.
    pub over_share: u64,
    /// Number of requests refused because they would have missed their latency target.
    pub would_miss_target: u64,
    /// Number of requests whose first event arrived within their latency target.
    pub in_target: u64,
    /// Number of requests whose first event arrived later.
    pub late: u64,
}

/// The outcome of a scenario.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Outcomes of the workspaces, in the order of the scenario.
    pub workspaces: Vec<WorkspaceOutcome>,
    /// Costs over time, in milliseconds from the start. A run counts when an engine begins it.
    pub ledger: ShareLedger,
    /// Costs over time, but a run counts at the time its request was accepted. This shows the instances' decisions
    /// without the time until an engine begins the run.
    pub accepted_ledger: ShareLedger,
    /// All decisions, in order of time.
    pub decisions: Vec<DecisionRow>,
    /// All arrivals of requests at engines, in order of time.
    pub arrivals: Vec<ArrivalRow>,
    /// All server notices of engines, in order of time.
    pub notices: Vec<NoticeRow>,
}

impl Outcome {
    /// Returns the window with the lowest ratio of all workspaces. Returns `None` if no workspace has a window in
    /// each second of which one of its requests was refused or late.
    pub fn worst_window(&self) -> Option<ShareWindow> {
        self.ledger.worst_windows().into_iter().next()
    }

    /// Returns the cost of all requests that engines began, in tokens.
    pub fn begun_cost(&self) -> f64 {
        self.workspaces.iter().map(|workspace| workspace.begun_cost).sum()
    }

    /// Returns the number of requests whose first event arrived within their latency target.
    pub fn in_target(&self) -> u64 {
        self.workspaces.iter().map(|workspace| workspace.in_target).sum()
    }
}
