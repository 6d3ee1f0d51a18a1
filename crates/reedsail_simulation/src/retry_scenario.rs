//! The scenario of a simulated fleet whose servers fail while instances restart and are partitioned, and its outcome.

use std::ops::Range;

use reedsail_retry_audit::RetryWindow;

/// How instances limit their retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDesign {
    /// By ledgers, with loans between instances. The router does this.
    Ledgers,
    /// By ledgers, without loans.
    LedgersAlone,
    /// By the requests of the window before, so that an instance makes no retry for a window after it has started.
    WindowBefore,
    /// By the requests and retries of the last 10 to 11 s, and an equal share of the slack. Processes of the release
    /// before the ledgers do this.
    SlidingWindow,
}

/// How attempts fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureMode {
    /// The server fails the request, which is retried once.
    Failed,
    /// The server rejects the request, which is retried until it has reached as many servers as the router allows.
    Rejected,
}

/// A span in which attempts fail.
#[derive(Clone, Debug)]
pub struct Failing {
    /// The span, in milliseconds.
    pub span_ms: Range<u64>,
    /// Share of the attempts that fail.
    pub share: f64,
    /// How they fail.
    pub mode: FailureMode,
    /// Share of the retries that reach no server because their connection is reset.
    pub unsent_share: f64,
    /// The instances whose attempts fail.
    pub instances: Range<usize>,
}

/// A restart of instances, all at the same moment.
#[derive(Clone, Debug)]
pub struct Restart {
    /// The instances.
    pub instances: Range<usize>,
    /// When they end, in milliseconds.
    pub at_ms: u64,
    /// Time until they start again, in milliseconds.
    pub down_ms: u64,
    /// How the new processes limit their retries; `None` if like the others of the fleet.
    pub design: Option<RetryDesign>,
}

/// A partition of some instances from all others.
#[derive(Clone, Debug)]
pub struct Partition {
    /// The instances.
    pub instances: Range<usize>,
    /// The span, in milliseconds.
    pub span_ms: Range<u64>,
}

/// A fleet, its traffic and its faults.
#[derive(Clone, Debug)]
pub struct RetryScenario {
    /// Random seed.
    pub seed: u64,
    /// How the first processes limit their retries.
    pub design: RetryDesign,
    /// Number of instances.
    pub instances: usize,
    /// Retries for each request that the whole fleet may make.
    pub ratio: f64,
    /// Retries that the whole fleet may make beyond the ratio.
    pub slack: f64,
    /// Requests a second in the whole fleet.
    pub requests_per_s: u64,
    /// The span in which requests come, in milliseconds.
    pub traffic_ms: Range<u64>,
    /// When attempts fail.
    pub failing: Vec<Failing>,
    /// The restarts.
    pub restarts: Vec<Restart>,
    /// The partitions.
    pub partitions: Vec<Partition>,
}

/// What a simulation of retries observed.
#[derive(Clone, Debug, Default)]
pub struct RetryOutcome {
    /// The window that comes closest to the bound of the fleet; `None` if there was no retry.
    pub worst: Option<RetryWindow>,
    /// First attempts that failed.
    pub failed: usize,
    /// Retries that reached a server.
    pub retries: usize,
    /// Retries that were answered.
    pub answered: usize,
    /// The most bytes that an instance sent within a second for loans, with the headers of its datagrams.
    pub loan_bytes_per_s_max: usize,
}

impl RetryOutcome {
    /// Returns the retries beyond the bound in the worst window; negative if there was room for more.
    pub fn excess(&self) -> f64 {
        self.worst.map_or(f64::NEG_INFINITY, |worst| worst.excess())
    }

    /// Returns the share of the failed first attempts that were followed by a retry.
    pub fn retried_share(&self) -> f64 {
        self.retries as f64 / self.failed.max(1) as f64
    }
}
