//! The decision of the retry budget on one retry, with what decided it.

use crate::RetryPermit;

/// What decided on a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryReason {
    /// The retry needs no budget: the attempt before it was not sent, or an earlier permit is still valid.
    Free,
    /// The budget of the service on this instance had room.
    Room,
    /// Peers lent the retry, or a part of it.
    Borrowed,
    /// What is left is kept for retries that help more.
    Reserved,
    /// The budget has no room, and no peer lends.
    Exhausted,
}

impl RetryReason {
    /// Returns the name in log lines and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Free => "free",
            Self::Room => "room",
            Self::Borrowed => "borrowed",
            Self::Reserved => "reserved",
            Self::Exhausted => "exhausted",
        }
    }
}

/// The decision of the retry budget on one retry.
#[derive(Debug, PartialEq)]
pub struct RetryDecision {
    /// What decided.
    pub reason: RetryReason,
    /// The permit for the retry; `None` if it is refused, or needs none.
    pub permit: Option<RetryPermit>,
    /// Retries of the service that this instance may still make now, borrowed ones included.
    pub room: f64,
    /// This instance's share of the slack, in retries.
    pub slack: f64,
}

impl RetryDecision {
    /// The decision on a retry that needs no budget.
    pub const FREE: Self = Self {
        reason: RetryReason::Free,
        permit: None,
        room: 0.0,
        slack: 0.0,
    };

    /// Returns whether the retry may be made.
    pub fn is_granted(&self) -> bool {
        match self.reason {
            RetryReason::Free | RetryReason::Room | RetryReason::Borrowed => true,
            RetryReason::Reserved | RetryReason::Exhausted => false,
        }
    }
}
