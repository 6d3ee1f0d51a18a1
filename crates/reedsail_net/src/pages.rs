//! Serves small pages to readers that are not callers: the balancer, operators, peers.

use std::convert::Infallible;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::task::spawn_local;

/// Answers every request on a listener, on this thread, until the task is dropped. `server` says how
/// connections are served.
pub async fn serve_pages<F, A>(listener: TcpListener, server: http1::Builder, answer: F)
where
    F: Fn(Request<Incoming>) -> A + Clone + 'static,
    A: Future<Output = Result<Response<Full<Bytes>>, Infallible>> + 'static,
{
    loop {
        // A connection that broke before it was taken concerns nobody.
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let connection = server.serve_connection(TokioIo::new(stream), service_fn(answer.clone()));
        // A reader that goes away needs no answer.
        spawn_local(async move { drop(connection.await) });
    }
}
