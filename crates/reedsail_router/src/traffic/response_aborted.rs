//! The error that breaks an answer off, so that the caller sees that it is not whole.

use thiserror::Error;

/// The answer cannot be completed.
#[derive(Debug, Error)]
#[error("the backend server's answer broke off")]
pub(crate) struct ResponseAborted;
