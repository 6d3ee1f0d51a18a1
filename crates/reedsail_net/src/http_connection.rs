//! One HTTP/1.1 connection to a server, used for one request at a time.

use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use thiserror::Error;

use crate::ByteCounter;
use crate::FrameLimit;
use crate::FrameLimitedBody;
use crate::HeadError;
use crate::ReceivedBody;
use crate::connect;
use crate::head_lines::HeadLines;
use crate::response_head::check_head;
use crate::trailing_bytes::TrailingBytes;

/// Maximum size of the buffer of what was read and not taken yet, and of a response head, in bytes.
const READ_BUFFER_BYTES_MAX: usize = 64 << 10;

/// The reason why a request got no response.
#[derive(Debug, Error)]
pub enum SendError {
    /// No byte of the request was written. The request is returned to the caller.
    #[error("the connection was closed before the request was written")]
    NotWritten(Box<Request<Full<Bytes>>>),
    /// The request may have been read by the server.
    #[error("the connection failed after the request was written: {0}")]
    AfterWrite(hyper::Error),
    /// The server has read the request, and the head of its response cannot be trusted.
    #[error("the head of the response cannot be trusted: {0}")]
    UntrustedHead(#[from] HeadError),
}

/// A connection to a server. It must be dropped unless its last response was read completely.
#[derive(Debug)]
pub struct HttpConnection {
    sender: http1::SendRequest<Full<Bytes>>,
    limit: FrameLimit,
    head_lines: HeadLines,
    trailing: TrailingBytes,
    /// What identifies the process at the other end, if it has told that on this connection.
    identity: Option<u64>,
}

impl HttpConnection {
    /// Connects to a server within `limit_ms` milliseconds. The first request can be sent at once.
    ///
    /// # Errors
    /// Returns the system's error, or `TimedOut`.
    pub async fn open(address: SocketAddr, limit_ms: u64, counter: ByteCounter) -> io::Result<Self> {
        let stream = connect(address, limit_ms, counter).await?;
        let limit = stream.frame_limit();
        let head_lines = stream.head_lines();
        let trailing = TrailingBytes::default();
        let (sender, mut connection) = http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES_MAX)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        let recorded = trailing.clone();
        tokio::spawn(async move {
            // The affected request returns the error.
            let _ = poll_fn(|context| connection.poll_without_shutdown(context)).await;
            recorded.record(&connection.into_parts().read_buf);
        });
        Ok(Self {
            sender,
            limit,
            head_lines,
            trailing,
            identity: None,
        })
    }

    /// Records what identifies the process at the other end. It serves the connection to its end.
    pub fn set_identity(&mut self, identity: u64) {
        self.identity = Some(identity);
    }

    /// Returns what identifies the process at the other end, if that was recorded.
    pub fn identity(&self) -> Option<u64> {
        self.identity
    }

    /// Returns whether the connection can accept a request now.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Waits until the connection can accept a request. Returns `false` if it is closed.
    pub async fn ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Sends a request and returns the response if its head can be trusted.
    ///
    /// # Errors
    /// The variant says whether any byte of the request may have reached the server.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> Result<Response<ReceivedBody>, SendError> {
        self.limit.begin_part();
        self.head_lines.begin();
        let response = self.sender.try_send_request(request).await;
        self.limit.lift();
        let has_bare_line_feed = self.head_lines.end();
        match response {
            Ok(response) => {
                if has_bare_line_feed {
                    return Err(HeadError::BareLineFeed.into());
                }
                check_head(&response)?;
                Ok(self.receive(response))
            }
            Err(mut error) => match error.take_message() {
                Some(request) => Err(SendError::NotWritten(Box::new(request))),
                None => Err(SendError::AfterWrite(error.into_error())),
            },
        }
    }

    fn receive(&self, response: Response<Incoming>) -> Response<ReceivedBody> {
        let (head, body) = response.into_parts();
        let body = FrameLimitedBody::new(body, self.limit.clone());
        let body = ReceivedBody::new(body, &head.headers, &self.trailing);
        Response::from_parts(head, body)
    }
}
