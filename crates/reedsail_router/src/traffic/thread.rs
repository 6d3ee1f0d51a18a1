//! The traffic thread: accepts callers' connections, sweeps the connection pool, and measures its own overload.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use reedsail_dispatch::OverloadSample;
use reedsail_events::EventKind;
use reedsail_net::ByteCounter;
use reedsail_net::CountedStream;
use reedsail_net::ResetOnClose;
use reedsail_net::ResettableStream;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::sleep;

use super::Pool;
use super::serve::CallerConnection;
use super::serve::serve_request;
use super::server_check::check_servers;
use crate::HeaderProtocol;
use crate::shared::Shared;

/// Maximum number of idle connections to one server.
const IDLE_CONNECTIONS_MAX: usize = 32;
/// Interval between two sweeps of the pool, which close connections that were idle too long, in milliseconds.
const POOL_SWEEP_INTERVAL_MS: u64 = 2_000;
/// Delay before the next accept after a failed one, in milliseconds.
const ACCEPT_RETRY_DELAY_MS: u64 = 10;
/// Interval between two overload samples, in milliseconds.
const OVERLOAD_SAMPLE_INTERVAL_MS: u64 = 100;
/// Minimum size of a connection's buffer, in bytes.
const BUFFER_BYTES_MIN: usize = 16 << 10;

/// The inputs of a traffic thread.
pub(crate) struct TrafficThread<H> {
    pub(crate) shared: Arc<Shared<H>>,
    pub(crate) listener: std::net::TcpListener,
}

/// Serves callers until the instance ends.
///
/// # Errors
/// Returns the error of the operating system if the listener cannot be used.
pub(crate) async fn run_traffic<H: HeaderProtocol>(thread: TrafficThread<H>) -> std::io::Result<()> {
    let listener = TcpListener::from_std(thread.listener)?;
    let shared = thread.shared;
    let pool = Arc::new(Pool::new(IDLE_CONNECTIONS_MAX));
    tokio::spawn(sample_overload(Arc::clone(&shared)));
    tokio::spawn(check_servers(Arc::clone(&shared), Arc::clone(&pool)));
    tokio::spawn(sweep_pool(Arc::clone(&shared), Arc::clone(&pool)));
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve_connection(Arc::clone(&shared), Arc::clone(&pool), stream));
            }
            // Most likely, the process is out of file descriptors. Open connections end in time, and the waiting
            // ones are accepted then. One log line for each failed accept would flood the log.
            Err(_) => sleep(Duration::from_millis(ACCEPT_RETRY_DELAY_MS)).await,
        }
    }
}

/// Samples the overload while the instance runs.
async fn sample_overload<H>(shared: Arc<Shared<H>>) {
    loop {
        let due_at = shared.clock.now().plus_ms(OVERLOAD_SAMPLE_INTERVAL_MS);
        sleep(Duration::from_millis(OVERLOAD_SAMPLE_INTERVAL_MS)).await;
        let now = shared.clock.now();
        let sample = OverloadSample {
            late_ms: now.since_ms(due_at),
            open_requests: shared.metrics.open_requests.get() as u64,
            open_requests_max: shared.settings.open_requests_max(),
        };
        if shared.overload.record(sample, now) {
            let fields = [
                ("lag_ms", shared.overload.lag_ms().to_string()),
                ("open_requests", sample.open_requests.to_string()),
            ];
            shared.emit(EventKind::CallersShed, &fields);
        }
    }
}

async fn sweep_pool<H: HeaderProtocol>(shared: Arc<Shared<H>>, pool: Arc<Pool>) {
    loop {
        sleep(Duration::from_millis(POOL_SWEEP_INTERVAL_MS)).await;
        pool.drop_old(|server| shared.servers.get(server).is_some(), shared.clock.now());
    }
}

async fn serve_connection<H: HeaderProtocol>(shared: Arc<Shared<H>>, pool: Arc<Pool>, stream: TcpStream) {
    let Ok(stream) = CountedStream::new(stream, ByteCounter::default()) else {
        return;
    };
    let _guard = OpenConnectionGuard::begin(&shared);
    let limits = shared.routes.load().configuration.limits;
    // This timeout starts at the last response, so it also limits how long a connection is idle.
    let header_timeout_ms = limits.idle_ms.max(limits.header_ms);
    let reset = ResetOnClose::default();
    let frames = stream.frame_limit();
    let writes = shared.unwritten_responses.track();
    let stream = ResettableStream::new(stream, reset.clone(), writes.clone());
    let connection = CallerConnection {
        reset,
        frames,
        writes,
    };
    let service = service_fn(|request| {
        serve_request(
            Arc::clone(&shared),
            Arc::clone(&pool),
            request,
            connection.clone(),
        )
    });
    // An error of the connection ends its requests, and the end of each request is logged.
    let _ = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(header_timeout_ms))
        .auto_date_header(false)
        .max_buf_size((limits.header_bytes_max * 2).max(BUFFER_BYTES_MIN))
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

/// Counts a caller's connection while it is open.
struct OpenConnectionGuard<H>(Arc<Shared<H>>);

impl<H> OpenConnectionGuard<H> {
    fn begin(shared: &Arc<Shared<H>>) -> Self {
        shared.connections.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(shared))
    }
}

impl<H> Drop for OpenConnectionGuard<H> {
    fn drop(&mut self) {
        self.0.connections.fetch_sub(1, Ordering::Relaxed);
    }
}
