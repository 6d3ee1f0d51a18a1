//! A client of one HTTP server that makes one call after the other over a connection that it keeps.
//!
//! Owns the connection, which is kept only after a whole answer: after anything else nobody knows what comes next on
//! it.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::HeaderMap;
use hyper::Request;
use hyper::StatusCode;
use hyper::header::HOST;
use thiserror::Error;

use crate::ByteCounter;
use crate::HttpConnection;

/// Why a call had no whole answer.
#[derive(Debug, Error)]
#[error("{0}")]
pub struct CallError(String);

impl CallError {
    fn of(error: impl std::fmt::Display) -> Self {
        Self(error.to_string())
    }
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct CompleteResponse {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

/// The client.
#[derive(Debug)]
pub struct PersistentClient {
    server: SocketAddr,
    connect_limit_ms: u64,
    body_bytes_max: usize,
    connection: Option<HttpConnection>,
}

impl PersistentClient {
    /// Makes a client of a server, with limits for connecting, in milliseconds, and for an answer, in bytes.
    pub fn new(server: SocketAddr, connect_limit_ms: u64, body_bytes_max: usize) -> Self {
        Self {
            server,
            connect_limit_ms,
            body_bytes_max,
            connection: None,
        }
    }

    /// Makes one call without a body.
    ///
    /// # Errors
    /// The server could not be reached, broke off, or answered with more than the limit.
    pub async fn get(&mut self, path: &str) -> Result<CompleteResponse, CallError> {
        let mut connection = match self.connection.take().filter(HttpConnection::is_ready) {
            Some(connection) => connection,
            None => self.connect().await?,
        };
        let request = Request::builder()
            .uri(path)
            .header(HOST, self.server.to_string())
            .body(Full::<Bytes>::default())
            .map_err(CallError::of)?;
        let response = connection.send(request).await.map_err(CallError::of)?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, self.body_bytes_max);
        let body = body.collect().await.map_err(CallError::of)?.to_bytes();
        self.connection = Some(connection);
        Ok(CompleteResponse {
            status: head.status,
            headers: head.headers,
            body,
        })
    }

    async fn connect(&self) -> Result<HttpConnection, CallError> {
        let opening = HttpConnection::open(self.server, self.connect_limit_ms, ByteCounter::default());
        let mut connection = opening.await.map_err(CallError::of)?;
        if connection.ready().await {
            Ok(connection)
        } else {
            Err(CallError("the connection was closed".to_owned()))
        }
    }
}
