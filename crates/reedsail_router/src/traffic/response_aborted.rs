//! The error that aborts a response body, so that the caller sees that the response is incomplete.

use thiserror::Error;

/// The response cannot be completed.
#[derive(Debug, Error)]
#[error("the backend server's response ended early")]
pub(crate) struct ResponseAborted;
