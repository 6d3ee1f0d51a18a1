//! Serves small pages to clients that are not callers: the load balancer, operators, peers.

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

/// Answers every request on a listener, on the current thread, until the task is dropped. `http` configures the
/// connections.
pub async fn serve_pages<F, A>(listener: TcpListener, http: http1::Builder, answer: F)
where
    F: Fn(Request<Incoming>) -> A + Clone + 'static,
    A: Future<Output = Result<Response<Full<Bytes>>, Infallible>> + 'static,
{
    loop {
        // A connection that failed before it was accepted needs no handling.
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let connection = http.serve_connection(TokioIo::new(stream), service_fn(answer.clone()));
        // A client that disconnected needs no response.
        spawn_local(async move { drop(connection.await) });
    }
}
