//! A client of one HTTP server that sends sequential calls over a persistent connection.
//!
//! Owns the connection and reuses it only after a complete response: otherwise the next bytes on the connection are
//! unknown.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::header::HOST;
use thiserror::Error;

use crate::ByteCounter;
use crate::HttpConnection;

/// The reason why a call got no complete response.
#[derive(Debug, Error)]
#[error("{0}")]
pub struct CallError(String);

impl CallError {
    fn from_display(error: impl std::fmt::Display) -> Self {
        Self(error.to_string())
    }
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct CompleteResponse {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// A client of one server.
#[derive(Debug)]
pub struct PersistentClient {
    server: SocketAddr,
    connect_timeout_ms: u64,
    body_bytes_max: usize,
    connection: Option<HttpConnection>,
}

impl PersistentClient {
    /// Creates a client of a server, with a connect timeout in milliseconds and a maximum response body in bytes.
    pub fn new(server: SocketAddr, connect_timeout_ms: u64, body_bytes_max: usize) -> Self {
        Self {
            server,
            connect_timeout_ms,
            body_bytes_max,
            connection: None,
        }
    }

    /// Sends one `GET` request.
    ///
    /// # Errors
    /// Returns an error if the server is unreachable, the connection fails, or the response body exceeds the limit.
    pub async fn get(&mut self, path: &str) -> Result<CompleteResponse, CallError> {
        self.call(Method::GET, path, Bytes::new()).await
    }

    /// Sends one `POST` request with a body.
    ///
    /// # Errors
    /// Returns the same errors as [`PersistentClient::get`].
    pub async fn post(&mut self, path: &str, body: Bytes) -> Result<CompleteResponse, CallError> {
        self.call(Method::POST, path, body).await
    }

    async fn call(&mut self, method: Method, path: &str, body: Bytes) -> Result<CompleteResponse, CallError> {
        let mut connection = match self.connection.take().filter(HttpConnection::is_ready) {
            Some(connection) => connection,
            None => self.connect().await?,
        };
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, self.server.to_string())
            .body(Full::new(body))
            .map_err(CallError::from_display)?;
        let response = connection.send(request).await.map_err(CallError::from_display)?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, self.body_bytes_max);
        let body = body.collect().await.map_err(CallError::from_display)?.to_bytes();
        self.connection = Some(connection);
        Ok(CompleteResponse {
            status: head.status,
            headers: head.headers,
            body,
        })
    }

    async fn connect(&self) -> Result<HttpConnection, CallError> {
        let opening = HttpConnection::open(self.server, self.connect_timeout_ms, ByteCounter::default());
        let mut connection = opening.await.map_err(CallError::from_display)?;
        if connection.ready().await {
            Ok(connection)
        } else {
            Err(CallError(
                "the server closed the connection before the request was sent".to_owned(),
            ))
        }
    }
}
