//! A client of the platform over HTTP/1.1. Each concurrent call uses a separate connection.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use reedsail_net::ByteCounter;
use reedsail_net::HttpConnection;
use reedsail_net::NetGate;
use reedsail_net::SendError;
use serde::de::DeserializeOwned;
use thiserror::Error;
use tokio::sync::Mutex;
use tokio::time::timeout;

use crate::Appended;
use crate::InstanceList;
use crate::LogPage;

/// Maximum size of a response body, in bytes.
const RESPONSE_BYTES_MAX: usize = 64 << 20;
/// Connect timeout, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 500;

/// The reason why a call to the platform failed.
#[derive(Debug, Error)]
pub enum PlatformError {
    /// The platform was not reached; an append had no effect.
    #[error("the platform at {0} is unreachable")]
    NotReached(SocketAddr),
    /// The platform refused the call temporarily; an append had no effect.
    #[error("the platform temporarily refused the call with status {status}")]
    Refused {
        /// The HTTP status.
        status: u16,
    },
    /// The response was lost; an append may have taken effect.
    #[error("the platform's response was lost: {0}")]
    AnswerLost(String),
}

impl PlatformError {
    /// Returns whether an append may have taken effect despite the error.
    pub fn may_have_taken_effect(&self) -> bool {
        matches!(self, Self::AnswerLost(_))
    }
}

/// A client of one platform endpoint.
#[derive(Debug)]
pub struct PlatformClient {
    address: SocketAddr,
    name: String,
    timeout_ms: u64,
    counter: ByteCounter,
    gate: NetGate,
    idle: Mutex<Vec<HttpConnection>>,
}

impl PlatformClient {
    /// Creates a client. `name` identifies the client to the platform and to fault scripts.
    pub fn new(
        address: SocketAddr,
        name: &str,
        timeout_ms: u64,
        counter: ByteCounter,
        gate: NetGate,
    ) -> Self {
        Self {
            address,
            name: name.to_owned(),
            timeout_ms,
            counter,
            gate,
            idle: Mutex::default(),
        }
    }

    /// Appends a record to a stream.
    ///
    /// # Errors
    /// The error says whether the record may be in the log despite the failure.
    pub async fn append(&self, stream: &str, data: Vec<u8>) -> Result<u64, PlatformError> {
        let appended: Appended = self
            .call(Method::POST, &format!("/v1/log/{stream}"), data, 0)
            .await?;
        Ok(appended.offset)
    }

    /// Reads a stream from an offset, waiting up to `wait_ms` milliseconds for a record.
    ///
    /// # Errors
    /// The platform is unreachable or refuses the call temporarily, or its response is lost.
    pub async fn read(&self, stream: &str, from: u64, wait_ms: u64) -> Result<LogPage, PlatformError> {
        let path = format!("/v1/log/{stream}?from={from}&wait_ms={wait_ms}");
        self.call(Method::GET, &path, Vec::new(), wait_ms).await
    }

    /// Reads what changed in the instance list, waiting up to `wait_ms` milliseconds for a change.
    ///
    /// # Errors
    /// The platform is unreachable or refuses the call temporarily, or its response is lost.
    pub async fn instances(&self, since: u64, wait_ms: u64) -> Result<InstanceList, PlatformError> {
        let path = format!("/v1/instances?since={since}&wait_ms={wait_ms}");
        self.call(Method::GET, &path, Vec::new(), wait_ms).await
    }

    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        data: Vec<u8>,
        wait_ms: u64,
    ) -> Result<T, PlatformError> {
        if self.gate.is_cut(&self.name, "platform") {
            return Err(PlatformError::NotReached(self.address));
        }
        let limit = Duration::from_millis(self.timeout_ms + wait_ms);
        let mut connection = self.connection().await?;
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", self.address.to_string())
            .header("x-instance", &self.name)
            .body(Full::new(Bytes::from(data)))
            .expect("the method, path and headers are valid");
        let exchange = async {
            let response = match connection.send(request).await {
                Ok(response) => response,
                Err(SendError::NotWritten(_)) => return Err(PlatformError::NotReached(self.address)),
                Err(error @ (SendError::AfterWrite(_) | SendError::UntrustedHead(_))) => {
                    return Err(PlatformError::AnswerLost(error.to_string()));
                }
            };
            let status = response.status();
            let body = Limited::new(response.into_body(), RESPONSE_BYTES_MAX)
                .collect()
                .await
                .map_err(|error| PlatformError::AnswerLost(error.to_string()))?
                .to_bytes();
            Ok((status, body))
        };
        let (status, body) = timeout(limit, exchange)
            .await
            .map_err(|_| PlatformError::AnswerLost("the call timed out".to_owned()))??;
        if self.gate.is_cut(&self.name, "platform") {
            return Err(PlatformError::AnswerLost("the link was cut".to_owned()));
        }
        self.idle.lock().await.push(connection);
        if status != StatusCode::OK {
            return Err(PlatformError::Refused {
                status: status.as_u16(),
            });
        }
        serde_json::from_slice(&body).map_err(|error| PlatformError::AnswerLost(error.to_string()))
    }

    async fn connection(&self) -> Result<HttpConnection, PlatformError> {
        while let Some(mut connection) = self.idle.lock().await.pop() {
            if connection.ready().await {
                return Ok(connection);
            }
        }
        HttpConnection::open(self.address, CONNECT_TIMEOUT_MS, self.counter.clone())
            .await
            .map_err(|_| PlatformError::NotReached(self.address))
    }
}
