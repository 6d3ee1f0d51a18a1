//! Checks the head of a response before anything in it is believed.
//!
//! **Rule.** A head that is spoilt in one place may be spoilt in any other, so the response counts as none: its status, its
//! promises and its body are not used.

use hyper::HeaderMap;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::CONTENT_LENGTH;
use hyper::header::HeaderValue;
use hyper::header::TRANSFER_ENCODING;
use thiserror::Error;

/// Why the head of a response cannot be trusted.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum HeadError {
    /// The status is no final status (RFC 9110, 15), or switches to a protocol that no request asks for.
    #[error("{0} is no final status")]
    Status(StatusCode),
    /// The transfer coding is not `chunked` alone. No request asks for another, and a caller would get a coded body without
    /// its coding.
    #[error("the transfer coding {0:?} is not `chunked` alone")]
    TransferCoding(HeaderValue),
    /// The body is delimited in two ways (RFC 9112, 6.3, rule 3).
    #[error("the body has both a length and chunks")]
    LengthAndChunks,
    /// A line of the head ends by a line feed alone, as no server ends one. The head may go on after what was read as its
    /// end.
    #[error("a line of the head ends by a line feed alone")]
    BareLineFeed,
}

/// Checks the head of a response to a request.
///
/// # Errors
/// Returns the reason why the head cannot be trusted.
pub(crate) fn check_head<B>(response: &Response<B>) -> Result<(), HeadError> {
    check_status(response.status())?;
    check_framing(response.headers())
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

fn check_framing(headers: &HeaderMap) -> Result<(), HeadError> {
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    let first = codings.next();
    let refused = first.filter(|coding| !is_chunked(coding)).or(codings.next());
    if let Some(coding) = refused {
        return Err(HeadError::TransferCoding(coding.clone()));
    }
    if first.is_some() && headers.contains_key(CONTENT_LENGTH) {
        return Err(HeadError::LengthAndChunks);
    }
    Ok(())
}

fn is_chunked(coding: &HeaderValue) -> bool {
    coding.as_bytes().trim_ascii().eq_ignore_ascii_case(b"chunked")
}
