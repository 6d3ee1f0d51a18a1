//! The headers that callers and backend servers exchange with the router.
//!
//! The adapter of a platform implements the trait; the tests have headers of their own.

use std::net::SocketAddr;

use hyper::HeaderMap;
use hyper::StatusCode;
use hyper::header::HeaderValue;
use reedsail_dispatch::Prompt;
use reedsail_dispatch::ServerNotice;
use thiserror::Error;

/// The head of a caller's request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallHead {
    /// The caller's id of the request.
    pub request_id: Option<HeaderValue>,
    /// How long the caller waits, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// The caller's key.
    pub key: Option<String>,
    /// The prompt, where the request has one.
    pub prompt: Option<Prompt>,
}

/// A header that cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("header `{name}` cannot be read; {expected}")]
pub struct HeaderError {
    /// The header.
    pub name: &'static str,
    /// What it may hold.
    pub expected: &'static str,
}

/// What the router adds to a request for a backend server.
#[derive(Clone, Debug)]
pub struct ForwardHead<'a> {
    /// The id of the request.
    pub request_id: &'a HeaderValue,
    /// What is left of the caller's time, in milliseconds.
    pub deadline_ms: u64,
    /// The id of the chosen server, which refuses the request if it is another one by now.
    pub server_id: &'a str,
    /// The workspace; `None` on a route without keys.
    pub workspace: Option<&'a str>,
    /// A server from which the chosen one is to transfer cached segments of the prompt.
    pub cache_source: Option<SocketAddr>,
    /// The last event that the caller has of a stream that is resumed.
    pub resume_after: Option<&'a str>,
}

/// What the head of a server's answer means for the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseKind {
    /// It belongs to another request.
    Mismatched,
    /// The server did not run the request and never will.
    NotRun,
    /// The server ran the request.
    Ran,
}

/// Reads and writes headers.
pub trait HeaderProtocol: Clone + Send + Sync + 'static {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    /// Names the header that cannot be read.
    fn read_call(&self, headers: &HeaderMap) -> Result<CallHead, HeaderError>;

    /// Changes a caller's headers into those for a backend server.
    fn write_forward(&self, headers: &mut HeaderMap, forward: &ForwardHead<'_>);

    /// Reads the head of the answer to the request with the given id.
    fn classify(&self, status: StatusCode, headers: &HeaderMap, request_id: &HeaderValue) -> ResponseKind;

    /// Reads what the head of an answer says of the server that a request was sent to; nothing if another server
    /// answered in its place.
    fn read_notice(&self, status: StatusCode, headers: &HeaderMap) -> ServerNotice;

    /// Writes the id of the request into an answer of the router's own.
    fn write_router_response(&self, headers: &mut HeaderMap, request_id: Option<&HeaderValue>);

    /// Formats a retry-after, given in milliseconds.
    fn retry_after(&self, after_ms: u64) -> HeaderValue;
}
