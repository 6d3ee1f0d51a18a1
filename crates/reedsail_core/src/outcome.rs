//! What may be said of a request that failed, kept straight by types.
//!
//! A request that has sent no byte is an [`Unsent`]; once it tries to send it becomes a [`Sent`],
//! and nothing turns it back. Only an [`Unsent`] can end as "not run".

use crate::ErrorKind;
use crate::RanState;

/// A failure as the caller is told of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    kind: ErrorKind,
    ran: RanState,
    retry_after_ms: Option<u64>,
    first_status: Option<u16>,
}

impl Failure {
    /// Returns the kind from the closed list.
    pub fn kind(&self) -> ErrorKind {
        self.kind
    }

    /// Tells whether the request may have run.
    pub fn ran(&self) -> RanState {
        self.ran
    }

    /// Returns after how many milliseconds the caller is told to come back.
    pub fn retry_after_ms(&self) -> Option<u64> {
        self.retry_after_ms
    }

    /// Returns the status with which the same call ended earlier.
    pub fn first_status(&self) -> Option<u16> {
        self.first_status
    }

    /// Tells the caller when to come back, in milliseconds.
    #[must_use]
    pub fn with_retry_after_ms(self, retry_after_ms: u64) -> Self {
        Self {
            retry_after_ms: Some(retry_after_ms),
            ..self
        }
    }

    /// Adds the status with which the same call ended earlier.
    #[must_use]
    pub fn with_first_status(self, status: u16) -> Self {
        Self {
            first_status: Some(status),
            ..self
        }
    }
}

/// Proof that no byte of the request has reached a backend server.
#[derive(Debug)]
pub struct Unsent(());

#[allow(clippy::unused_self, reason = "the proof is used up by being consumed")]
impl Unsent {
    /// Begins a request.
    #[allow(clippy::new_without_default, reason = "a proof is never made by default")]
    pub fn new() -> Self {
        Self(())
    }

    /// Ends the request without having sent it. What the kind says of an earlier call with the same
    /// key stands.
    pub fn refuse(self, kind: ErrorKind) -> Failure {
        Failure {
            kind,
            ran: kind.ran(),
            retry_after_ms: kind.retry_after_ms(),
            first_status: None,
        }
    }

    /// Gives the proof up, before the first byte is written.
    pub fn send(self) -> Sent {
        Sent(())
    }
}

/// A request of which bytes may have reached a backend server.
#[derive(Debug)]
pub struct Sent(());

#[allow(clippy::unused_self, reason = "the proof is used up by being consumed")]
impl Sent {
    /// The connection handed the whole request back: nothing of it was written.
    pub fn into_unsent(self) -> Unsent {
        Unsent(())
    }

    /// Ends the request; it can no longer be said not to have run.
    pub fn fail(self, kind: ErrorKind) -> Failure {
        let ran = match kind.ran() {
            RanState::Ran => RanState::Ran,
            RanState::Unknown | RanState::NotRun => RanState::Unknown,
        };
        Failure {
            kind,
            ran,
            retry_after_ms: kind.retry_after_ms(),
            first_status: None,
        }
    }
}
