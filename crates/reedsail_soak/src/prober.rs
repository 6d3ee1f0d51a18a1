//! Periodically probes each instance's readiness and the configuration version that it has in force.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::StatusCode;
use hyper::header::HOST;
use reedsail_net::ByteCounter;
use reedsail_net::HttpConnection;
use reedsail_platform_standin::CallerHead;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::Probe;
use crate::fleet::Fleet;
use crate::layout;
use crate::layout::InstanceAddresses;
use crate::layout::PROBE_HOST;
use crate::soak_clock::SoakClock;

/// Interval between two probes of an instance.
const PROBE_INTERVAL_MS: u64 = 200;
/// Timeout of a probe request.
const PROBE_TIMEOUT_MS: u64 = 700;
/// Number of probes so far, from which each takes its id.
static PROBE_COUNT: AtomicU64 = AtomicU64::new(0);

/// Probes one instance until the task is dropped.
pub(crate) async fn run_prober(
    fleet: Arc<Fleet>,
    instance: usize,
    newest_version: Arc<AtomicU64>,
    clock: SoakClock,
    probes: UnboundedSender<Probe>,
) {
    let addresses = InstanceAddresses::of(instance);
    let mut last_seen = (0, 0);
    loop {
        sleep(Duration::from_millis(PROBE_INTERVAL_MS)).await;
        let state = &fleet.instances[instance];
        let status = get(addresses.readiness, "localhost", "/ready").await;
        state
            .is_ready
            .store(status == Some(StatusCode::OK), Ordering::Relaxed);
        let start_count = state.start_count();
        if last_seen.0 != start_count {
            last_seen = (start_count, 1);
        }
        let began_ms = clock.now_ms();
        let newest = newest_version.load(Ordering::Relaxed);
        let found = find_version(addresses.callers, last_seen.1, newest).await;
        let Some(version) = found.filter(|_| state.start_count() == start_count) else {
            continue;
        };
        last_seen.1 = version;
        let probe = Probe {
            daemon: instance,
            life: start_count,
            began_ms,
            ended_ms: clock.now_ms(),
            version,
        };
        // The receiver is dropped when the soak has ended.
        let _ = probes.send(probe);
    }
}

/// Finds the version whose path is routed: tries the known version, then newer ones, then older ones.
async fn find_version(callers: SocketAddr, known: u64, newest: u64) -> Option<u64> {
    for version in (known..=newest).chain(1..known) {
        let status = get(callers, PROBE_HOST, &layout::probe_path(version)).await?;
        match status {
            StatusCode::NOT_FOUND => {}
            // The instance has no configuration yet, or no server is available.
            StatusCode::SERVICE_UNAVAILABLE => return None,
            _ => return Some(version),
        }
    }
    None
}

/// Sends a request on a new connection; returns `None` if no answer arrives in time.
async fn get(address: SocketAddr, host: &str, path: &str) -> Option<StatusCode> {
    let number = PROBE_COUNT.fetch_add(1, Ordering::Relaxed);
    let request_id = format!("probe-{number}");
    let exchange = async {
        let connecting = HttpConnection::open(address, PROBE_TIMEOUT_MS, ByteCounter::default());
        let mut connection = connecting.await.ok()?;
        let mut request = Request::get(path)
            .header(HOST, host)
            .body(Full::<Bytes>::default())
            .ok()?;
        let head = CallerHead {
            request_id: &request_id,
            deadline_ms: PROBE_TIMEOUT_MS,
            key: None,
            resumes: None,
            prompt: None,
            second_part: None,
        };
        head.write(request.headers_mut());
        let response = connection.send(request).await.ok()?;
        let status = response.status();
        response.into_body().collect().await.ok()?;
        Some(status)
    };
    timeout(Duration::from_millis(PROBE_TIMEOUT_MS), exchange)
        .await
        .ok()?
}
