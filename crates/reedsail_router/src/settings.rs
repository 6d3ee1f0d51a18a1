//! The router's settings, parsed from YAML. All faults are reported together. The keys are part of the operators'
//! interface and must not change.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use reedsail_core::NameHash;
use reedsail_dispatch::DispatchSettings;
use reedsail_dispatch::body_memory_default_mb;
use reedsail_dispatch::connections_max;
use reedsail_dispatch::open_requests_max;
use reedsail_document::Fault;
use reedsail_document::Mapping;
use reedsail_document::Value;
use reedsail_document::read_document;

/// Longest duration that a setting may have, in milliseconds: a day.
const SPAN_MAX_MS: u64 = 86_400_000;

/// Memory limit if the settings have none, in megabytes.
const MEMORY_DEFAULT_MB: u64 = 1_024;
/// Largest memory limit, in megabytes.
const MEMORY_MAX_MB: u64 = 1_000_000;
/// Share of a core if the settings have none.
const PROCESSOR_DEFAULT_SHARE: f64 = 1.0;
/// Maximum number of log lines of one kind per second if the settings have none.
const LOG_LINES_DEFAULT_PER_S: u32 = 50;

/// The settings of a router.
#[derive(Clone, Debug, PartialEq)]
pub struct RouterSettings {
    /// The instance's name.
    pub instance: String,
    /// The instance's failure domain.
    pub failure_domain: String,
    /// The region of each failure domain. Requests that are restricted to regions are sent only to servers in failure
    /// domains of these regions.
    pub regions: BTreeMap<String, String>,
    /// The addresses on which it listens.
    pub listen: ListenAddresses,
    /// The path of the balancer's readiness probe.
    pub readiness_path: String,
    /// The address of the platform's store.
    pub store: SocketAddr,
    /// Peers to which load messages are sent before any peer is known. Their ports are replaced by this instance's own
    /// peer port.
    pub seeds: Vec<SocketAddr>,
    /// The time limits of a planned stop.
    pub stop: StopSettings,
    /// The settings of the dispatcher.
    pub dispatch: DispatchSettings,
    /// The memory limit of the process, in megabytes of a million bytes.
    pub memory_mb: u64,
    /// The limit on the memory of bodies of callers and servers, in megabytes of a million bytes.
    pub body_memory_mb: u64,
    /// The share of a core that the process may use.
    pub processor_share: f64,
    /// The maximum number of log lines of one kind per second.
    pub log_lines_per_s: u32,
}

/// The addresses on which the router listens; port 0 selects any free port.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenAddresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For the balancer's readiness probe.
    pub readiness: SocketAddr,
    /// For metrics and status.
    pub admin: SocketAddr,
    /// For peers: UDP for load messages, TCP for whole configurations and server lists.
    pub peers: SocketAddr,
}

/// The time limits of a planned stop, counted from the signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopSettings {
    /// How long every new request is still accepted while callers notice the stop, in milliseconds.
    pub accept_ms: u64,
    /// When the process ends even if requests are still open, in milliseconds from the signal.
    pub end_ms: u64,
}

impl Default for StopSettings {
    fn default() -> Self {
        Self {
            accept_ms: 3_000,
            end_ms: 30_000,
        }
    }
}

impl RouterSettings {
    /// Returns the region of a failure domain, or `None` if the settings have none.
    pub fn region_of(&self, failure_domain: &str) -> Option<NameHash> {
        let region = self.regions.get(failure_domain)?;
        Some(NameHash::of(region))
    }

    /// Returns the number of connections above which callers are asked to close theirs.
    pub fn connections_max(&self) -> u64 {
        connections_max(self.memory_mb)
    }

    /// Returns the maximum number of requests that may be open at once.
    pub fn open_requests_max(&self) -> u64 {
        open_requests_max(self.memory_mb)
    }

    /// Returns the share of a core that the process may use, in thousandths.
    pub fn processor_milli(&self) -> u32 {
        (self.processor_share * 1_000.0) as u32
    }

    /// Parses and validates settings.
    ///
    /// # Errors
    /// Returns all faults, each with its line, key, value and the allowed values.
    pub fn read(text: &str) -> Result<Self, Vec<Fault>> {
        read_document(text, |top| {
            let instance = top.required("instance").and_then(|value| value.name());
            let failure_domain = top.required("failure_domain").and_then(|value| value.name());
            let regions = top
                .optional("regions")
                .map_or_else(|| Some(BTreeMap::new()), |value| read_regions(&value));
            let listen = top.required("listen").and_then(|value| read_listen(&value));
            let readiness_path = top.required("readiness_path").and_then(|value| value.text());
            let store = top.required("store").and_then(|value| value.socket_address());
            let seeds = top.optional("seeds").map_or_else(Vec::new, |value| {
                let addresses = value.list();
                addresses.iter().filter_map(Value::socket_address).collect()
            });
            let stop = top
                .optional("stop")
                .map_or_else(|| Some(StopSettings::default()), |value| read_stop(&value));
            let dispatch = top.optional("dispatch").map_or_else(
                || Some(DispatchSettings::default()),
                |value| read_dispatch(&value),
            );
            let log_lines_per_s = top
                .optional("log_lines_per_s")
                .map_or(Some(LOG_LINES_DEFAULT_PER_S), |value| value.number(1..=100_000));
            let memory_mb = top
                .optional("memory_mb")
                .map_or(Some(MEMORY_DEFAULT_MB), |value| value.number(32..=MEMORY_MAX_MB));
            let body_memory_mb = read_body_memory_mb(top, memory_mb);
            let processor_share = top
                .optional("processor_share")
                .map_or(Some(PROCESSOR_DEFAULT_SHARE), |value| {
                    value.number(0.001..=1_000.0)
                });
            Some(Self {
                instance: instance?,
                failure_domain: failure_domain?,
                regions: regions?,
                listen: listen?,
                readiness_path: readiness_path?,
                store: store?,
                seeds,
                stop: stop?,
                dispatch: dispatch?,
                memory_mb: memory_mb?,
                body_memory_mb: body_memory_mb?,
                processor_share: processor_share?,
                log_lines_per_s: log_lines_per_s?,
            })
        })
    }
}

/// Reads the limit on the memory of bodies. It is less than the memory of the process.
fn read_body_memory_mb(top: &mut Mapping<'_>, memory_mb: Option<u64>) -> Option<u64> {
    match top.optional("body_memory_mb") {
        Some(value) => value.number(1..=memory_mb.unwrap_or(MEMORY_MAX_MB)),
        None => memory_mb.map(body_memory_default_mb),
    }
}

fn read_regions(value: &Value<'_>) -> Option<BTreeMap<String, String>> {
    let mut map = value.mapping()?;
    let entries = map.entries();
    let regions = entries.into_iter().map(|(failure_domain, region)| {
        let region = region.name()?;
        Some((failure_domain, region))
    });
    regions.collect()
}

fn read_listen(value: &Value<'_>) -> Option<ListenAddresses> {
    let mut map = value.mapping()?;
    let callers = map.required("callers").and_then(|value| value.socket_address());
    let readiness = map.required("readiness").and_then(|value| value.socket_address());
    let admin = map.required("admin").and_then(|value| value.socket_address());
    let peers = map.required("peers").and_then(|value| value.socket_address());
    map.close();
    Some(ListenAddresses {
        callers: callers?,
        readiness: readiness?,
        admin: admin?,
        peers: peers?,
    })
}

fn read_stop(value: &Value<'_>) -> Option<StopSettings> {
    let mut map = value.mapping()?;
    let mut stop = StopSettings::default();
    set_duration(&mut map, "accept_ms", &mut stop.accept_ms);
    set_duration(&mut map, "end_ms", &mut stop.end_ms);
    if stop.accept_ms > stop.end_ms {
        map.fault("`accept_ms` must not be greater than `end_ms`");
    }
    map.close();
    Some(stop)
}

fn read_dispatch(value: &Value<'_>) -> Option<DispatchSettings> {
    let mut map = value.mapping()?;
    let mut dispatch = DispatchSettings::default();
    set_amount(&mut map, "repeat_ratio", &mut dispatch.retry_ratio);
    set_duration(&mut map, "repeat_window_ms", &mut dispatch.retry_window_ms);
    set_amount(&mut map, "repeat_slack", &mut dispatch.retry_slack);
    set_duration(&mut map, "share_window_ms", &mut dispatch.share_window_ms);
    set_duration(&mut map, "report_valid_ms", &mut dispatch.report_valid_ms);
    map.close();
    Some(dispatch)
}

fn set_duration(map: &mut Mapping<'_>, key: &'static str, target: &mut u64) {
    if let Some(duration_ms) = map.optional(key).and_then(|value| value.number(1..=SPAN_MAX_MS)) {
        *target = duration_ms;
    }
}

fn set_amount(map: &mut Mapping<'_>, key: &'static str, target: &mut f64) {
    if let Some(amount) = map.optional(key).and_then(|value| value.number(0.0..=1e9)) {
        *target = amount;
    }
}
