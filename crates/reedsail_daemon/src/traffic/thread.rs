//! Accepts callers' connections on one thread.

use std::sync::Arc;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use reedsail_net::ResetOnClose;
use reedsail_net::ResettableStream;
use reedsail_scheduling::SharePolicy;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;

use super::Pool;
use super::serve::CallerConnection;
use super::serve::serve_request;
use crate::shared::Shared;
use crate::stage::Stage;

/// The inputs of a traffic thread.
pub(crate) struct TrafficThread<P: SharePolicy> {
    pub(crate) shared: Arc<Shared<P>>,
    pub(crate) listener: std::net::TcpListener,
    /// Notifies of changes of the daemon's stage.
    pub(crate) stage_changed: watch::Receiver<Stage>,
}

/// The maximum number of idle connections to one server.
const IDLE_CONNECTIONS_MAX: usize = 256;

/// Serves callers until the daemon is closing.
///
/// # Errors
/// Returns the I/O error if the listener cannot be used.
pub(crate) async fn run_traffic<P: SharePolicy>(thread: TrafficThread<P>) -> std::io::Result<()> {
    let listener = TcpListener::from_std(thread.listener)?;
    let pool = Arc::new(Pool::new(IDLE_CONNECTIONS_MAX));
    let mut closing = thread.stage_changed.clone();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    let shared = Arc::clone(&thread.shared);
                    let pool = Arc::clone(&pool);
                    tokio::spawn(serve_connection(shared, pool, stream, thread.stage_changed.clone()));
                }
            }
            changed = closing.wait_for(|stage| *stage == Stage::Closing) => {
                let _ = changed;
                break;
            }
        }
    }
    drop(listener);
    // The open connections have tasks of their own, and the daemon waits for their requests.
    std::future::pending().await
}

/// Serves one connection. When the daemon is closing, the current request is the last.
async fn serve_connection<P: SharePolicy>(
    shared: Arc<Shared<P>>,
    pool: Arc<Pool>,
    stream: TcpStream,
    mut stage_changed: watch::Receiver<Stage>,
) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let header_bytes_max = shared.settings.limits.header_bytes_max;
    let reset = ResetOnClose::default();
    let writes = shared.unwritten_responses.track();
    let stream = ResettableStream::new(stream, reset.clone(), writes.clone());
    let connection = CallerConnection { reset, writes };
    let service = service_fn(|request| {
        serve_request(
            Arc::clone(&shared),
            Arc::clone(&pool),
            request,
            connection.clone(),
        )
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .max_buf_size(header_bytes_max.max(8_192) * 2)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        // The requests of a failed connection report the failure.
        _ = connection.as_mut() => return,
        changed = stage_changed.wait_for(|stage| *stage == Stage::Closing) => {
            let _ = changed;
        }
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}
