//! The bounds on what a caller may send, measured alike by both programs.

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::HeaderMap;
use hyper::body::Incoming;
use reedsail_core::ErrorKind;

/// Bytes of a header line besides its name and value: a colon, a space and the line's end.
const LINE_BYTES: usize = 4;

/// Returns the size of a header section in bytes.
pub fn header_bytes(headers: &HeaderMap) -> usize {
    headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + LINE_BYTES)
        .sum()
}

/// Reads a body of at most `bytes_max` bytes.
///
/// # Errors
/// `BodyTooLarge`, or `BodyIncomplete` for one that ends early.
pub async fn read_body(body: Incoming, bytes_max: usize) -> Result<Bytes, ErrorKind> {
    match Limited::new(body, bytes_max).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(ErrorKind::BodyTooLarge),
        Err(_broken) => Err(ErrorKind::BodyIncomplete),
    }
}
