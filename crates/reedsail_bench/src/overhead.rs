//! What the daemon adds to a plain call: direct and through it, in one run.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use reedsail_daemon::PolicyChoice;
use reedsail_net::ByteCounter;
use reedsail_net::HttpConnection;
use reedsail_standin::PlatformConfig;
use serde::Deserialize;
use serde::Serialize;
use tokio::task::JoinSet;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;

use crate::DaemonSetup;
use crate::Fleet;
use crate::FleetSetup;
use crate::LatencyFigures;
use crate::ServiceSetup;
use crate::WorkspacePlan;

/// Keep-alive connections.
const CONNECTIONS: usize = 64;
/// How long each part is measured.
const MEASURE_S: u64 = 5;
/// Requests a second of all connections in the parts below saturation.
const PACED_PER_S: u64 = 2_000;

/// What the daemon adds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OverheadReport {
    /// Requests a second straight to the backend server, as fast as they go.
    pub direct_per_s: f64,
    /// Requests a second through the daemon, as fast as they go.
    pub routed_per_s: f64,
    /// Latency straight to the backend server, below saturation.
    pub direct_ms: LatencyFigures,
    /// Latency through the daemon, below saturation.
    pub routed_ms: LatencyFigures,
    /// What the daemon adds to the median.
    pub added_p50_ms: f64,
    /// What the daemon adds to the 99th percentile.
    pub added_p99_ms: f64,
}

/// Measures one daemon before one plain backend server.
///
/// # Errors
/// The fleet cannot be started.
pub async fn measure_overhead(traffic_threads: usize) -> anyhow::Result<OverheadReport> {
    let fleet = Fleet::start(
        setup(),
        PolicyChoice::Fleet,
        PlatformConfig::default(),
        |settings| {
            settings.traffic_threads = traffic_threads;
            settings.timeline.requests = false;
        },
    )
    .await?;
    // The first report to itself leases the daemon every slot.
    tokio::time::sleep(Duration::from_millis(500)).await;
    let direct = fleet
        .plains
        .values()
        .next()
        .map(reedsail_standin::PlainStandin::address);
    let direct = direct.ok_or_else(|| anyhow::anyhow!("the backend server is missing"))?;
    let routed = fleet.callers["edge-1"];
    let (_, direct_ms) = drive(direct, Some(PACED_PER_S)).await;
    let (_, routed_ms) = drive(routed, Some(PACED_PER_S)).await;
    let (direct_per_s, _) = drive(direct, None).await;
    let (routed_per_s, _) = drive(routed, None).await;
    fleet.close().await;
    Ok(OverheadReport {
        direct_per_s,
        routed_per_s,
        added_p50_ms: routed_ms.p50 - direct_ms.p50,
        added_p99_ms: routed_ms.p99 - direct_ms.p99,
        direct_ms,
        routed_ms,
    })
}

fn setup() -> FleetSetup {
    FleetSetup {
        name: "overhead".to_owned(),
        daemons: vec![DaemonSetup {
            instance: "edge-1".to_owned(),
            failure_domain: "hall-a".to_owned(),
        }],
        services: vec![ServiceSetup {
            name: "plain".to_owned(),
            model: None,
            path_prefix: Some("/plain/".to_owned()),
            keyed_prefix: None,
            servers_by_domain: [("hall-a".to_owned(), 1)].into(),
            slots: 256,
            token_interval_ms: 0,
        }],
        workspaces: vec![WorkspacePlan {
            name: "only".to_owned(),
            weight: 1.0,
            queued_max: None,
        }],
    }
}

/// Sends requests on every connection, one at a time each; returns the rate and the times.
async fn drive(address: SocketAddr, paced_per_s: Option<u64>) -> (f64, LatencyFigures) {
    let mut callers = JoinSet::new();
    let started = Instant::now();
    for number in 0..CONNECTIONS {
        callers.spawn(drive_one(address, number, paced_per_s));
    }
    let times_ms: Vec<f64> = callers.join_all().await.concat();
    let per_s = times_ms.len() as f64 / started.elapsed().as_secs_f64();
    (per_s, LatencyFigures::of(&times_ms))
}

async fn drive_one(address: SocketAddr, number: usize, paced_per_s: Option<u64>) -> Vec<f64> {
    let Ok(mut connection) = HttpConnection::open(address, 5_000, ByteCounter::default()).await else {
        return Vec::new();
    };
    let spacing_us = paced_per_s.map(|per_s| CONNECTIONS as u64 * 1_000_000 / per_s);
    let mut ticks = spacing_us.map(|spacing_us| {
        let mut ticks = interval(Duration::from_micros(spacing_us));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        ticks
    });
    if let Some(spacing_us) = spacing_us {
        let offset_us = spacing_us * number as u64 / CONNECTIONS as u64;
        tokio::time::sleep(Duration::from_micros(offset_us)).await;
    }
    let end = Instant::now() + Duration::from_secs(MEASURE_S);
    let mut times_ms = Vec::new();
    while Instant::now() < end {
        if let Some(ticks) = &mut ticks {
            ticks.tick().await;
        }
        let request = Request::builder()
            .uri("/plain/small")
            .header("host", "bench")
            .header(
                "authorization",
                format!("Bearer {}", WorkspacePlan::caller_key("only")),
            )
            .body(Full::<Bytes>::default())
            .expect("the path and headers are valid");
        if !connection.ready().await {
            break;
        }
        let sent = Instant::now();
        let Ok(response) = connection.send(request).await else {
            break;
        };
        if response.into_body().collect().await.is_err() {
            break;
        }
        times_ms.push(sent.elapsed().as_secs_f64() * 1_000.0);
    }
    times_ms
}
