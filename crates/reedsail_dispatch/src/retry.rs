//! Retry: whether a failed attempt may be followed by another one.
//!
//! **Rule.** An attempt that was never sent may be repeated for free. An attempt that the server rejected
//! without running it may be repeated within the budget. An attempt that may have run is retried only on a
//! repeatable route, up to the route's attempts, within the budget. A broken stream is resumed on another
//! server only on a resumable route, up to as many servers as the route has attempts, within the budget.
//!
//! **Inputs.** The failure of the last attempt; the route's policy. `retry_budget` decides what is within the budget.
//!
//! **Tested by** `tests/retry.rs`.

use crate::RetryPurpose;

/// Maximum number of attempts of a request, including those that reached no server.
pub const ATTEMPTS_MAX: usize = 6;
/// Maximum number of times that a stream is resumed on another server.
pub const RESUMES_MAX: usize = 3;

/// Retries that a route allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryPolicy {
    /// Whether a request that may have run may run again, or its stream may resume on another server.
    pub is_repeatable: bool,
    /// Maximum number of servers that a request may run on.
    pub attempts_max: u32,
}

/// How the last attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// No byte was sent.
    NotSent,
    /// The server reported that it did not run the request.
    Rejected,
    /// The attempt may have run.
    MayHaveRun {
        /// Number of attempts of this request that may have run, this one included.
        attempts: u32,
    },
    /// A stream broke after it had begun.
    StreamBroken {
        /// Number of servers that were tried for this request.
        servers_tried: usize,
    },
}

/// Whether another attempt is allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryVerdict {
    /// Not allowed.
    Never,
    /// Allowed without using the retry budget.
    Free,
    /// Allowed if the retry budget has room.
    WithinBudget,
}

impl RetryPolicy {
    /// Returns whether another attempt is allowed after a failed one.
    pub fn after(self, failure: AttemptFailure) -> RetryVerdict {
        let is_allowed = match failure {
            AttemptFailure::NotSent => return RetryVerdict::Free,
            AttemptFailure::Rejected => true,
            AttemptFailure::MayHaveRun { attempts } => self.is_repeatable && attempts < self.attempts_max,
            AttemptFailure::StreamBroken { servers_tried } => {
                self.is_repeatable && servers_tried < self.attempts_max.max(1) as usize
            }
        };
        if is_allowed {
            RetryVerdict::WithinBudget
        } else {
            RetryVerdict::Never
        }
    }
}

impl AttemptFailure {
    /// Returns the purpose of the next attempt; `None` if this one did not reach a server, and so changes nothing.
    pub fn retry_purpose(self) -> Option<RetryPurpose> {
        match self {
            Self::NotSent => None,
            Self::Rejected => Some(RetryPurpose::RepeatRejected),
            Self::MayHaveRun { .. } => Some(RetryPurpose::RepeatFailed),
            Self::StreamBroken { .. } => Some(RetryPurpose::ContinueStream),
        }
    }
}
