//! The HTTP/1.1 server that every stand-in runs on.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::Either;
use http_body_util::Full;
use http_body_util::channel::Channel;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use reedsail_net::remove_frame;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// A response body: complete or streamed.
pub type Body = Either<Full<Bytes>, Channel<Bytes, StandinError>>;

/// The error with which a handler breaks the connection without an answer.
#[derive(Debug)]
pub struct StandinError;

impl std::fmt::Display for StandinError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("the stand-in broke the connection because of a configured fault")
    }
}

impl std::error::Error for StandinError {}

/// The request handler of a stand-in.
pub trait Handler: Clone + Send + Sync + 'static {
    /// Answers a request, or breaks its connection.
    fn handle(
        &self,
        request: Request<Incoming>,
    ) -> impl Future<Output = Result<Response<Body>, StandinError>> + Send;
}

/// A running server that can break all its connections at once.
#[derive(Debug)]
pub struct HttpServer {
    /// The address at which it accepts requests.
    pub address: SocketAddr,
    task: JoinHandle<()>,
    stopper: Stopper,
}

/// Breaks a server's connections, and stops it from accepting new ones.
#[derive(Clone, Debug)]
pub(crate) struct Stopper {
    disconnect_sender: watch::Sender<u64>,
    is_stopping: watch::Sender<bool>,
}

impl Stopper {
    /// Ends the server as a crashed process ends: its listener closes, then its connections.
    pub(crate) async fn crash(&self) {
        self.is_stopping.send_replace(true);
        self.is_stopping.closed().await;
        self.break_connections();
    }

    fn break_connections(&self) {
        self.disconnect_sender.send_modify(|count| *count += 1);
    }
}

impl HttpServer {
    /// Starts a server on a free loopback port.
    ///
    /// # Errors
    /// Returns the system's error if the port cannot be bound.
    pub async fn start<H: Handler>(handler: H) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (disconnect_sender, disconnects) = watch::channel(0);
        let (is_stopping, stopping) = watch::channel(false);
        let task = tokio::spawn(accept_until_stopped(listener, handler, disconnects, stopping));
        Ok(Self {
            address,
            task,
            stopper: Stopper {
                disconnect_sender,
                is_stopping,
            },
        })
    }

    /// Breaks every open connection. New connections are accepted.
    pub fn break_connections(&self) {
        self.stopper.break_connections();
    }

    pub(crate) fn stopper(&self) -> Stopper {
        self.stopper.clone()
    }

    /// Stops the server and breaks its connections.
    pub fn close(self) {
        self.break_connections();
        self.task.abort();
    }
}

async fn accept_until_stopped<H: Handler>(
    listener: TcpListener,
    handler: H,
    disconnects: watch::Receiver<u64>,
    mut stopping: watch::Receiver<bool>,
) {
    tokio::select! {
        () = accept(listener, handler, disconnects) => {}
        _ = stopping.wait_for(|is_stopping| *is_stopping) => {}
    }
}

async fn accept<H: Handler>(listener: TcpListener, handler: H, disconnects: watch::Receiver<u64>) {
    while let Ok((stream, _)) = listener.accept().await {
        if stream.set_nodelay(true).is_err() {
            continue;
        }
        let handler = handler.clone();
        let mut disconnects = disconnects.clone();
        disconnects.mark_unchanged();
        tokio::spawn(async move {
            let service = service_fn(|request| handler.handle(request));
            let connection = http1::Builder::new()
                .max_buf_size(256 << 10)
                .serve_connection(TokioIo::new(stream), service);
            tokio::select! {
                _ = connection => {}
                _ = disconnects.changed() => {}
            }
        });
    }
}

/// Returns a response with a body that has neither a length nor chunks, and ends with its connection.
pub fn unframed_response(status: StatusCode, body: impl Into<Bytes>) -> Response<Body> {
    let (mut sender, channel) = Channel::new(1);
    sender
        .try_send(Frame::data(body.into()))
        .expect("the channel has room for one frame");
    let mut response = full_response(status, "");
    *response.body_mut() = Either::Right(channel);
    remove_frame(&mut response);
    response
}

/// Returns a response with a complete body.
pub(crate) fn full_response(status: StatusCode, body: impl Into<Bytes>) -> Response<Body> {
    Response::builder()
        .status(status)
        .header("content-type", "application/json")
        .body(Either::Left(Full::new(body.into())))
        .expect("the status and header are valid")
}
