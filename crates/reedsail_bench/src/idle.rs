//! Nine real daemon processes with the large bundle: what they cost when nothing happens, and what
//! a change of bundle costs.

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

use anyhow::Context as _;
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
use tokio::time::Instant;
use tokio::time::sleep;

use crate::Fleet;
use crate::FleetSetup;
use crate::slopes::large_bundle;

/// Workspaces of the large bundle.
const WORKSPACES: u32 = 4_600;
/// How long the processes get to be ready.
const READY_LIMIT_S: u64 = 60;

/// What the processes cost.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct IdleReport {
    /// Daemons.
    pub daemons: usize,
    /// For how long they were measured.
    pub measured_s: f64,
    /// Processor time of the control thread, in hundredths of a core: mean and most.
    pub control_cpu_percent: (f64, f64),
    /// Resident memory of the whole process in megabytes: mean and most.
    pub resident_mb: (f64, f64),
    /// Resident memory with the small bundle of the start, in megabytes: mean.
    pub resident_small_mb: f64,
    /// Control bytes a second, both directions: mean and most.
    pub control_bytes_per_s: (f64, f64),
    /// Bytes that a daemon received for one change of the large bundle: most.
    pub change_received_bytes: f64,
    /// How long the change took to be in force on all.
    pub change_in_force_ms: u64,
}

/// One process.
struct Process {
    child: Child,
    admin: SocketAddr,
}

/// What one process says of itself.
#[derive(Clone, Copy, Debug, Default)]
struct Reading {
    control_cpu_s: f64,
    resident_bytes: f64,
    control_bytes: f64,
    received_bytes: f64,
    version: f64,
}

/// Runs the processes for `seconds`. The daemon's program must stand beside this one.
///
/// # Errors
/// A process cannot be started or does not get ready.
pub async fn measure_idle(seconds: u64, progress: impl Fn(&str)) -> anyhow::Result<IdleReport> {
    let setup = FleetSetup {
        name: "idle".to_owned(),
        daemons: Vec::new(),
        services: Vec::new(),
        workspaces: Vec::new(),
    };
    let mut fleet = Fleet::start_empty(setup, PolicyChoice::Fleet, PlatformConfig::default()).await?;
    fleet.publish_text(&large_bundle(1, 16)).await?;
    let folder = std::env::temp_dir().join(format!("reedsail-idle-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let mut processes = Vec::new();
    for index in 0..9 {
        let domain = format!("domain-{}", index / 3);
        processes.push(start_process(&fleet, &folder, &format!("edge-{index}"), &domain)?);
    }
    let outcome = measure(&mut fleet, &processes, seconds, &progress).await;
    for process in &mut processes {
        let _ = process.child.kill();
        let _ = process.child.wait();
    }
    std::fs::remove_dir_all(&folder)?;
    fleet.close().await;
    outcome
}

async fn measure(
    fleet: &mut Fleet,
    processes: &[Process],
    seconds: u64,
    progress: &impl Fn(&str),
) -> anyhow::Result<IdleReport> {
    wait_for(processes, 1.0).await?;
    sleep(Duration::from_secs(3)).await;
    let small = read_all(processes).await?;
    fleet.publish_text(&large_bundle(2, WORKSPACES)).await?;
    wait_for(processes, 2.0).await?;
    sleep(Duration::from_secs(3)).await;
    progress("the large bundle is in force; measuring");
    let before = read_all(processes).await?;
    let begun = Instant::now();
    sleep(Duration::from_secs(seconds)).await;
    let after = read_all(processes).await?;
    let measured_s = begun.elapsed().as_secs_f64();
    let next = large_bundle(3, WORKSPACES).replacen(
        "name: workspace-7, weight: 4",
        "name: workspace-7, weight: 9",
        1,
    );
    let published = Instant::now();
    fleet.publish_text(&next).await?;
    let change_in_force_ms = {
        wait_for(processes, 3.0).await?;
        published.elapsed().as_millis() as u64
    };
    let changed = read_all(processes).await?;
    let rates = |pick: fn(&Reading) -> f64| -> Vec<f64> {
        let pairs = before.iter().zip(&after);
        pairs
            .map(|(before, after)| (pick(after) - pick(before)) / measured_s)
            .collect()
    };
    let idle_received = rates(|reading| reading.received_bytes);
    let change_s = published.elapsed().as_secs_f64();
    let change_received_bytes = after
        .iter()
        .zip(&changed)
        .zip(&idle_received)
        .map(|((after, changed), idle)| changed.received_bytes - after.received_bytes - idle * change_s)
        .fold(0.0, f64::max);
    Ok(IdleReport {
        daemons: processes.len(),
        measured_s,
        control_cpu_percent: mean_and_most(rates(|reading| reading.control_cpu_s * 100.0)),
        resident_mb: mean_and_most(after.iter().map(|reading| reading.resident_bytes / 1e6).collect()),
        resident_small_mb: mean_and_most(small.iter().map(|reading| reading.resident_bytes / 1e6).collect())
            .0,
        control_bytes_per_s: mean_and_most(rates(|reading| reading.control_bytes)),
        change_received_bytes,
        change_in_force_ms,
    })
}

fn mean_and_most(values: Vec<f64>) -> (f64, f64) {
    let count = values.len().max(1) as f64;
    let most = values.iter().copied().fold(0.0, f64::max);
    (values.into_iter().sum::<f64>() / count, most)
}

fn start_process(
    fleet: &Fleet,
    folder: &std::path::Path,
    instance: &str,
    domain: &str,
) -> anyhow::Result<Process> {
    let program = std::env::current_exe()?.with_file_name("reedsaild");
    let file = folder.join(format!("{instance}.yaml"));
    std::fs::write(&file, fleet.settings_yaml(instance, domain))?;
    let mut child = Command::new(&program)
        .arg("--config")
        .arg(&file)
        .env("RUST_LOG", "error")
        .stdout(Stdio::piped())
        .spawn()
        .with_context(|| {
            format!(
                "cannot start {}; build the whole workspace first",
                program.display()
            )
        })?;
    let stdout = child.stdout.take().context("the daemon has no output")?;
    let mut line = String::new();
    BufReader::new(stdout).read_line(&mut line)?;
    let address = |key: &str| -> anyhow::Result<SocketAddr> {
        let text = line
            .split(key)
            .nth(1)
            .and_then(|rest| rest.split_whitespace().next());
        Ok(text.context("the daemon did not tell its ports")?.parse()?)
    };
    fleet.set_instance(
        instance,
        reedsail_platform::InstanceKind::Daemon,
        domain,
        address("peers=")?,
        reedsail_platform::InstanceState::Live,
    );
    let admin = address("admin=")?;
    Ok(Process { child, admin })
}

async fn wait_for(processes: &[Process], version: f64) -> anyhow::Result<()> {
    let deadline = Instant::now() + Duration::from_secs(READY_LIMIT_S);
    loop {
        let readings = read_all(processes).await?;
        if readings.iter().all(|reading| reading.version >= version) {
            return Ok(());
        }
        anyhow::ensure!(
            Instant::now() < deadline,
            "version {version} is not in force everywhere"
        );
        sleep(Duration::from_millis(20)).await;
    }
}

async fn read_all(processes: &[Process]) -> anyhow::Result<Vec<Reading>> {
    let mut readings = Vec::new();
    for process in processes {
        readings.push(read_metrics(process.admin).await?);
    }
    Ok(readings)
}

async fn read_metrics(admin: SocketAddr) -> anyhow::Result<Reading> {
    let mut connection = HttpConnection::open(admin, 5_000, ByteCounter::default()).await?;
    connection.ready().await;
    let request = Request::builder()
        .uri("/metrics")
        .header("host", "bench")
        .body(Full::<Bytes>::default())?;
    let response = connection.send(request).await?;
    let body = response.into_body().collect().await?.to_bytes();
    let mut reading = Reading::default();
    for line in String::from_utf8_lossy(&body)
        .lines()
        .filter(|line| !line.starts_with('#'))
    {
        let Some((name, value)) = line.rsplit_once(' ') else {
            continue;
        };
        let value: f64 = value.parse().unwrap_or(0.0);
        match name {
            "reedsail_control_cpu_seconds_total" => reading.control_cpu_s = value,
            "reedsail_resident_memory_bytes" => reading.resident_bytes = value,
            "reedsail_bundle_version" => reading.version = value,
            _ if name.starts_with("reedsail_control_bytes_total") => {
                reading.control_bytes += value;
                if name.contains("received") {
                    reading.received_bytes += value;
                }
            }
            _ => {}
        }
    }
    Ok(reading)
}
