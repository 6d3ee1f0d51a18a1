//! Addresses, names and settings of a soak's processes.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

use reedsail_platform_standin::ConfigurationSpec;
use reedsail_platform_standin::RouteKind;
use reedsail_platform_standin::RouteSpec;

use crate::CallKind;
use crate::VersionWrite;

/// Number of failure domains of the instances and servers.
const DOMAIN_COUNT: usize = 3;
/// Maximum time that the router holds a request.
pub(crate) const TIMEOUT_MS: u64 = 2_000;
/// Latency target of every route.
const LATENCY_TARGET_MS: u64 = 800;
/// Maximum number of servers that one attempt may be sent to.
pub(crate) const ATTEMPTS_MAX: u32 = 3;
/// Maximum duration of a planned stop.
const STOP_DURATION_MAX_MS: u64 = 6_000;
/// Host of the callers' requests.
pub(crate) const HOST: &str = "soak.example";
/// Host of the probes' requests.
pub(crate) const PROBE_HOST: &str = "probe.example";
/// The workspace whose key changes.
pub(crate) const CHANGING_WORKSPACE: &str = "changing";
/// Service that answers streams.
pub(crate) const ENGINE_SERVICE: &str = "engines";
/// Service that answers all other requests.
pub(crate) const PLAIN_SERVICE: &str = "plain";

/// The addresses of one instance, kept across restarts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct InstanceAddresses {
    pub(crate) callers: SocketAddr,
    pub(crate) readiness: SocketAddr,
    pub(crate) admin: SocketAddr,
    pub(crate) peers: SocketAddr,
}

impl InstanceAddresses {
    /// Returns the addresses of an instance. It has its own loopback address, so that no other program
    /// takes its ports during a restart.
    pub(crate) fn of(instance: usize) -> Self {
        let process_id = std::process::id();
        let address = Ipv4Addr::new(
            127,
            64 + (process_id >> 8) as u8 % 128,
            process_id as u8,
            1 + instance as u8,
        );
        let at = |port| SocketAddr::new(IpAddr::V4(address), port);
        Self {
            callers: at(7_300),
            readiness: at(7_301),
            admin: at(7_302),
            peers: at(7_303),
        }
    }
}

/// Returns the failure domain of the instance or server with the given number.
pub(crate) fn domain(number: usize) -> String {
    format!("domain-{}", number % DOMAIN_COUNT)
}

/// Returns an instance's settings.
pub(crate) fn settings(
    instance: usize,
    store: SocketAddr,
    seeds: &[SocketAddr],
    log_lines_per_s: u32,
) -> String {
    let addresses = InstanceAddresses::of(instance);
    let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
    format!(
        "instance: daemon-{instance}\n\
         failure_domain: {}\n\
         listen:\n  callers: {}\n  readiness: {}\n  admin: {}\n  peers: {}\n\
         readiness_path: /ready\n\
         store: {store}\n\
         seeds: [{}]\n\
         log_lines_per_s: {log_lines_per_s}\n\
         stop:\n  accept_ms: 2000\n  end_ms: {STOP_DURATION_MAX_MS}\n",
        domain(instance),
        addresses.callers,
        addresses.readiness,
        addresses.admin,
        addresses.peers,
        seeds.join(", "),
    )
}

/// Returns the path of requests of the given kind.
pub(crate) fn path(kind: CallKind) -> &'static str {
    match kind {
        CallKind::Lookup => "/lookup/",
        CallKind::Order => "/order/",
        CallKind::Letter => "/letter/",
        CallKind::Chat => "/chat/",
    }
}

/// Returns the path that only the given version routes.
pub(crate) fn probe_path(version: u64) -> String {
    format!("/version-{version}/")
}

/// Returns the key of a workspace with the given number; a key that never changes has number 0.
pub(crate) fn key(workspace: &str, number: u64) -> String {
    format!("key-{workspace}-{number}")
}

/// Returns the version with which a soak begins.
pub(crate) fn first_version() -> VersionWrite {
    VersionWrite {
        version: 1,
        at_ms: 0,
        key: 1,
        without_workspaces: false,
    }
}

/// Returns the configuration of a written version.
pub(crate) fn configuration(write: &VersionWrite) -> ConfigurationSpec {
    let version = write.version;
    let mut routes: Vec<RouteSpec> = CallKind::ALL.into_iter().map(route).collect();
    routes.push(RouteSpec {
        host: PROBE_HOST.to_owned(),
        prefix: probe_path(version),
        kind: RouteKind::Repeatable,
        service: PLAIN_SERVICE.to_owned(),
        is_anonymous: true,
    });
    ConfigurationSpec {
        version,
        timeout_ms: TIMEOUT_MS,
        latency_target_ms: LATENCY_TARGET_MS,
        attempts: ATTEMPTS_MAX,
        routes,
        workspaces: Some(workspaces(write)),
    }
}

/// Returns the workspaces of a version with their keys.
fn workspaces(write: &VersionWrite) -> Vec<(String, Vec<String>)> {
    if write.without_workspaces {
        return Vec::new();
    }
    let numbers = [("large", 0), ("small", 0), (CHANGING_WORKSPACE, write.key)];
    let entry = |(workspace, number)| (str::to_owned(workspace), vec![key(workspace, number)]);
    numbers.into_iter().map(entry).collect()
}

fn route(kind: CallKind) -> RouteSpec {
    RouteSpec {
        host: HOST.to_owned(),
        prefix: path(kind).to_owned(),
        kind: match kind {
            CallKind::Lookup => RouteKind::Repeatable,
            CallKind::Order => RouteKind::Once,
            CallKind::Letter => RouteKind::Stream,
            CallKind::Chat => RouteKind::ResumableStream,
        },
        service: match kind {
            CallKind::Lookup | CallKind::Order => PLAIN_SERVICE.to_owned(),
            CallKind::Letter | CallKind::Chat => ENGINE_SERVICE.to_owned(),
        },
        is_anonymous: false,
    }
}
