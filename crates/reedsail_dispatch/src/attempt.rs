//! A request on its way through a backend server.

use reedsail_core::ServerKey;
use reedsail_core::TimeMs;

/// A request that was sent to a server; handed back when it ends.
#[derive(Debug)]
pub struct Attempt {
    pub(crate) number: u64,
    pub(crate) server: ServerKey,
    pub(crate) prefill_tokens: u32,
    pub(crate) expected_ms: u64,
    pub(crate) began_at: TimeMs,
    pub(crate) has_answered: bool,
    pub(crate) has_prompt: bool,
}

impl Attempt {
    /// Returns the backend server.
    pub fn server(&self) -> ServerKey {
        self.server
    }
}

/// What became of a run, as far as it speaks of the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The server answered whole and well.
    Answered,
    /// The server answered with a failure, broke off, or answered wrongly.
    Failed,
    /// The server said that it did not run the request.
    Rejected,
    /// The server could not be reached; no byte was sent.
    Unreachable,
    /// The caller left, or its time was over.
    Abandoned,
}
