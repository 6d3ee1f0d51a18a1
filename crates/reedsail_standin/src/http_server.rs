//! The HTTP/1.1 server that every stand-in runs on.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::Either;
use http_body_util::Full;
use http_body_util::channel::Channel;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// A body that is whole or comes in parts.
pub type Body = Either<Full<Bytes>, Channel<Bytes, StandinError>>;

/// Breaks the connection without an answer.
#[derive(Debug)]
pub struct StandinError;

impl std::fmt::Display for StandinError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("the stand-in breaks the connection, as it was told to")
    }
}

impl std::error::Error for StandinError {}

/// What a stand-in does with a request.
pub trait Handler: Clone + Send + Sync + 'static {
    /// Answers a request, or breaks its connection.
    fn handle(
        &self,
        request: Request<Incoming>,
    ) -> impl Future<Output = Result<Response<Body>, StandinError>> + Send;
}

/// A running server, whose connections can all be broken at once.
#[derive(Debug)]
pub struct HttpServer {
    /// Where it takes requests.
    pub address: SocketAddr,
    task: JoinHandle<()>,
    breaker: watch::Sender<u64>,
}

impl HttpServer {
    /// Serves on a free loopback port.
    ///
    /// # Errors
    /// The system's, when no port is to be had.
    pub async fn start<H: Handler>(handler: H) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (breaker, broken) = watch::channel(0);
        let task = tokio::spawn(accept(listener, handler, broken));
        Ok(Self {
            address,
            task,
            breaker,
        })
    }

    /// Breaks every open connection; new ones are taken.
    pub fn break_connections(&self) {
        self.breaker.send_modify(|count| *count += 1);
    }

    /// Stops the server and breaks its connections.
    pub fn close(self) {
        self.break_connections();
        self.task.abort();
    }
}

async fn accept<H: Handler>(listener: TcpListener, handler: H, broken: watch::Receiver<u64>) {
    while let Ok((stream, _)) = listener.accept().await {
        if stream.set_nodelay(true).is_err() {
            continue;
        }
        let handler = handler.clone();
        let mut broken = broken.clone();
        broken.mark_unchanged();
        tokio::spawn(async move {
            let service = service_fn(|request| handler.handle(request));
            let connection = http1::Builder::new()
                .max_buf_size(256 << 10)
                .serve_connection(TokioIo::new(stream), service);
            tokio::select! {
                _ = connection => {}
                _ = broken.changed() => {}
            }
        });
    }
}

/// Makes a whole answer.
pub(crate) fn whole(status: StatusCode, body: impl Into<Bytes>) -> Response<Body> {
    Response::builder()
        .status(status)
        .header("content-type", "application/json")
        .body(Either::Left(Full::new(body.into())))
        .expect("the status and header are valid")
}
