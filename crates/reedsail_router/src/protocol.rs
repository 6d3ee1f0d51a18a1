//! The headers that callers and backend servers exchange with the router.
//!
//! A platform's adapter implements [`HeaderProtocol`]. The tests implement it with their own headers.

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
    /// The request id that the caller chose.
    pub request_id: Option<HeaderValue>,
    /// The time until the caller's deadline, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// The caller's key.
    pub key: Option<String>,
    /// The prompt, if the request has one.
    pub prompt: Option<Prompt>,
    /// The earlier stream that the request continues, if it does.
    pub resumption: Option<ResumptionHead>,
}

/// The headers with which a caller continues a stream that an earlier attempt began.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResumptionHead {
    /// The id of the attempt that brought the stream's first event; `None` if the caller names none, or several.
    pub first_attempt: Option<HeaderValue>,
    /// The last event that the caller has received.
    pub last_event_id: Option<HeaderValue>,
}

/// A header with an invalid value.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("invalid header `{name}`: expected {expected}")]
pub struct HeaderError {
    /// The name of the header.
    pub name: &'static str,
    /// The valid form of its value.
    pub expected: &'static str,
}

/// What the router adds to a request for a backend server.
#[derive(Clone, Debug)]
pub struct ForwardHead<'a> {
    /// The id of the request.
    pub request_id: &'a HeaderValue,
    /// The time left until the deadline, in milliseconds.
    pub deadline_ms: u64,
    /// The id of the chosen server. A different server at the same address refuses the request.
    pub server_id: &'a str,
    /// The workspace, or `None` on a route without keys.
    pub workspace: Option<&'a str>,
    /// A server from which the chosen one should copy cached segments of the prompt.
    pub cache_source: Option<SocketAddr>,
    /// The last event that the caller has received, if the request resumes a stream.
    pub resume_after: Option<&'a str>,
}

/// What the head of a server's response means for the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseKind {
    /// The response belongs to another request.
    Mismatched,
    /// The server did not run the request and never will.
    NotRun,
    /// The server ran the request.
    Ran,
}

/// Reads and writes the headers of one platform.
pub trait HeaderProtocol: Clone + Send + Sync + 'static {
    /// The path at which a server tells when it started.
    const START_PATH: &'static str;

    /// Reads the head of a caller's request.
    ///
    /// # Errors
    /// Returns the header with an invalid value.
    fn read_call(&self, headers: &HeaderMap) -> Result<CallHead, HeaderError>;

    /// Changes the caller's headers to those for a backend server.
    fn write_forward(&self, headers: &mut HeaderMap, forward: &ForwardHead<'_>);

    /// Classifies the head of the response to the request with the given id.
    fn classify(&self, status: StatusCode, headers: &HeaderMap, request_id: &HeaderValue) -> ResponseKind;

    /// Reads the notice of a server (draining, back-off) from the head of its response. The notice is empty if another
    /// server responded in place of the one that the request was sent to.
    fn read_notice(&self, status: StatusCode, headers: &HeaderMap) -> ServerNotice;

    /// Reads the time of a server's start from its answer, in milliseconds of Unix time; `None` if the answer lacks it.
    fn read_start_ms(&self, body: &[u8]) -> Option<u64>;

    /// Writes the id of the request into a response that the router itself generates.
    fn write_router_response(&self, headers: &mut HeaderMap, request_id: Option<&HeaderValue>);

    /// Formats a `retry-after` value from milliseconds.
    fn retry_after(&self, after_ms: u64) -> HeaderValue;
}
