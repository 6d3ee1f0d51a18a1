//! One HTTP/1.1 connection to a server, used for one request at a time.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::time::timeout;

use crate::ByteCounter;
use crate::connect;

/// Why a request got no answer.
#[derive(Debug, Error)]
pub enum SendError {
    /// No byte of the request was written; it is handed back.
    #[error("the connection was closed before the request was written")]
    NotWritten(Box<Request<Full<Bytes>>>),
    /// The request may have been read by the server.
    #[error("the connection failed after the request was written: {0}")]
    AfterWrite(hyper::Error),
}

/// A connection that is dropped, and never used again, unless its answer was read to the end.
#[derive(Debug)]
pub struct HttpConnection {
    sender: http1::SendRequest<Full<Bytes>>,
}

impl HttpConnection {
    /// Connects within `limit_ms` milliseconds.
    ///
    /// # Errors
    /// The system's, or `TimedOut`.
    pub async fn open(address: SocketAddr, limit_ms: u64, counter: ByteCounter) -> io::Result<Self> {
        let stream = connect(address, limit_ms, counter).await?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        tokio::spawn(async move {
            // Its error shows at the request that met it.
            let _ = connection.await;
        });
        Ok(Self { sender })
    }

    /// Connects within `limit_ms` milliseconds, until a request can be sent.
    ///
    /// # Errors
    /// The system's; `TimedOut`; `ConnectionReset` if the server closed the connection at once.
    pub async fn open_ready(address: SocketAddr, limit_ms: u64) -> io::Result<Self> {
        let opening = async {
            let mut connection = Self::open(address, limit_ms, ByteCounter::default()).await?;
            if connection.ready().await {
                Ok(connection)
            } else {
                Err(io::ErrorKind::ConnectionReset.into())
            }
        };
        let timed_out = |_| Err(io::ErrorKind::TimedOut.into());
        timeout(Duration::from_millis(limit_ms), opening)
            .await
            .unwrap_or_else(timed_out)
    }

    /// Tells whether the connection can take a request now.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Waits until the connection can take a request; `false` if it is closed.
    pub async fn ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Sends a request and returns the answer's head.
    ///
    /// # Errors
    /// Tells whether any byte of the request may have reached the server.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, SendError> {
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            Err(mut error) => match error.take_message() {
                Some(request) => Err(SendError::NotWritten(Box::new(request))),
                None => Err(SendError::AfterWrite(error.into_error())),
            },
        }
    }
}
