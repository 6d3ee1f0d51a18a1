//! Checks the head of a response before anything in it is believed.
//!
//! **Rule.** A head that is spoilt in one place may be spoilt in any other, so the response counts as none: its status, its
//! promises and its body are not used.

use hyper::Response;
use hyper::StatusCode;
use thiserror::Error;

/// Why the head of a response cannot be trusted.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum HeadError {
    /// The status is no final status (RFC 9110, 15), or switches to a protocol that no request asks for.
    #[error("{0} is no final status")]
    Status(StatusCode),
}

/// Checks the head of a response to a request.
///
/// # Errors
/// Returns the reason why the head cannot be trusted.
pub(crate) fn check_head<B>(response: &Response<B>) -> Result<(), HeadError> {
    check_status(response.status())
}

fn check_status(status: StatusCode) -> Result<(), HeadError> {
    let is_final = status.is_success()
        || status.is_redirection()
        || status.is_client_error()
        || status.is_server_error();
    if is_final {
        Ok(())
    } else {
        Err(HeadError::Status(status))
    }
}
