//! How an HTTP/1.1 response delimits its body.

use hyper::HeaderMap;
use hyper::body::Body;
use hyper::header::CONTENT_LENGTH;
use hyper::header::TRANSFER_ENCODING;

/// How a response delimits its body (RFC 9112, 6.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// By a length, by chunks, or because it has none. Reading to its end without an error proves that it is whole.
    Framed,
    /// By the end of the connection. A body that was cut looks like a whole one.
    ConnectionEnd,
}

impl BodyFraming {
    /// Returns the framing of a response whose head can be trusted and whose body was not read yet.
    pub fn of(headers: &HeaderMap, body: &impl Body) -> Self {
        // Responses to HEAD, and those with status 204 or 304, have no body whatever their headers say.
        if body.is_end_stream() {
            return Self::Framed;
        }
        if headers.contains_key(TRANSFER_ENCODING) || headers.contains_key(CONTENT_LENGTH) {
            Self::Framed
        } else {
            Self::ConnectionEnd
        }
    }
}
