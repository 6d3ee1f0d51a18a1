//! The headers in which callers and backend servers are spoken to.
//!
//! The adapter of a platform implements the trait; the tests have headers of their own.

use std::net::SocketAddr;

use hyper::HeaderMap;
use hyper::StatusCode;
use hyper::header::HeaderValue;
use reedsail_dispatch::Prompt;
use thiserror::Error;

/// What the head of a caller's request says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallHead {
    /// The caller's id of the request.
    pub request_id: Option<HeaderValue>,
    /// How long the caller waits.
    pub deadline_ms: Option<u64>,
    /// The caller's key.
    pub key: Option<String>,
    /// The prompt, where the request has one.
    pub prompt: Option<Prompt>,
}

/// A header that cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("header `{name}` cannot be read; {allowed}")]
pub struct HeaderFault {
    /// The header.
    pub name: &'static str,
    /// What it may hold.
    pub allowed: &'static str,
}

/// What a daemon tells a backend server along with a request.
#[derive(Clone, Debug)]
pub struct ForwardHead<'a> {
    /// The id of the request.
    pub request_id: &'a HeaderValue,
    /// What is left of the caller's time.
    pub deadline_ms: u64,
    /// The id of the server that is meant.
    pub server_id: &'a str,
    /// The workspace; `None` on a route without keys.
    pub workspace: Option<&'a str>,
    /// A server that keeps what the meant one has not read of the prompt.
    pub cache_source: Option<SocketAddr>,
    /// The last event that the caller has of a stream which is to go on.
    pub resume_after: Option<&'a str>,
}

/// What the head of a server's answer says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerHead {
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
    fn read_call(&self, headers: &HeaderMap) -> Result<CallHead, HeaderFault>;

    /// Changes a caller's headers into those for a backend server.
    fn write_forward(&self, headers: &mut HeaderMap, forward: &ForwardHead<'_>);

    /// Reads the head of the answer to the request with the given id.
    fn read_answer(&self, status: StatusCode, headers: &HeaderMap, request_id: &HeaderValue) -> AnswerHead;

    /// Writes the id of the request into an answer of the daemon's own.
    fn write_own_answer(&self, headers: &mut HeaderMap, request_id: Option<&HeaderValue>);

    /// Writes after which time to come back.
    fn retry_after(&self, after_ms: u64) -> HeaderValue;
}
