//! The outcome of a failed request; types ensure that a request that may have run is not reported as not run.
//!
//! A request of which no byte was sent is an [`Unsent`]. It becomes a [`Sent`] before the first byte is written, and
//! becomes an [`Unsent`] again only if nothing of it was written. Only an [`Unsent`] can end as "not run".

use crate::ErrorKind;
use crate::RanState;

/// A failure as it is reported to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    kind: ErrorKind,
    ran: RanState,
    retry_after_ms: Option<u64>,
    first_status: Option<u16>,
}

impl Failure {
    /// Returns the error kind.
    pub fn kind(&self) -> ErrorKind {
        self.kind
    }

    /// Returns whether the request ran or may have run.
    pub fn ran(&self) -> RanState {
        self.ran
    }

    /// Returns the delay in milliseconds after which the caller may retry.
    pub fn retry_after_ms(&self) -> Option<u64> {
        self.retry_after_ms
    }

    /// Returns the status of the first run of the same call.
    pub fn first_status(&self) -> Option<u16> {
        self.first_status
    }

    /// Sets the delay in milliseconds after which the caller may retry.
    #[must_use]
    pub fn with_retry_after_ms(self, retry_after_ms: u64) -> Self {
        Self {
            retry_after_ms: Some(retry_after_ms),
            ..self
        }
    }

    /// Adds the status of the first run of the same call.
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

#[allow(clippy::unused_self, reason = "consuming the value uses up the proof")]
impl Unsent {
    /// Begins a request.
    #[allow(
        clippy::new_without_default,
        reason = "a default value would be a proof without a request"
    )]
    pub fn new() -> Self {
        Self(())
    }

    /// Ends the request unsent. The kind determines the reported [`RanState`], which may be that of an earlier call
    /// with the same idempotency key.
    pub fn refuse(self, kind: ErrorKind) -> Failure {
        Failure {
            kind,
            ran: kind.ran(),
            retry_after_ms: kind.retry_after_ms(),
            first_status: None,
        }
    }

    /// Consumes the proof before the first byte is written.
    pub fn send(self) -> Sent {
        Sent(())
    }
}

/// A request of which some bytes may have reached a backend server.
#[derive(Debug)]
pub struct Sent(());

#[allow(clippy::unused_self, reason = "consuming the value uses up the proof")]
impl Sent {
    /// Turns the request back into an unsent one: the connection returned it whole, with nothing of it written.
    pub fn into_unsent(self) -> Unsent {
        Unsent(())
    }

    /// Ends the request, which is never reported as not run.
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
