//! Size limits for requests of callers. Both programs measure sizes in the same way.

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::HeaderMap;
use hyper::body::Body;
use reedsail_core::ErrorKind;

/// Bytes of a header line other than its name and value: a colon, a space and the line ending.
const HEADER_LINE_OVERHEAD_BYTES: usize = 4;

/// Returns the size of a header section in bytes.
pub fn header_bytes(headers: &HeaderMap) -> usize {
    headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + HEADER_LINE_OVERHEAD_BYTES)
        .sum()
}

/// Reads a body of at most `bytes_max` bytes.
///
/// # Errors
/// Returns `BodyTooLarge`, or `BodyIncomplete` if the body ends early.
pub async fn read_body<B>(body: B, bytes_max: usize) -> Result<Bytes, ErrorKind>
where
    B: Body<Data = Bytes, Error = hyper::Error>,
{
    match Limited::new(body, bytes_max).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(ErrorKind::BodyTooLarge),
        Err(_broken) => Err(ErrorKind::BodyIncomplete),
    }
}
