//! The router's metrics. docs/ROUTER.md describes each. Operators depend on the names, so these don't change.

use prometheus::Encoder;
use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;
use prometheus::core::Collector;
use reedsail_core::BuildInfo;
use reedsail_dispatch::BodyMemory;

use crate::workspace_tokens::WorkspaceTokens;

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS_S: &[f64] = &[
    0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.2, 2.0, 4.0, 8.0, 16.0,
];

/// Upper bounds of the buckets of an engine's slowness, a ratio.
const SLOWNESS_BUCKETS: &[f64] = &[0.35, 0.5, 0.7, 0.85, 1.0, 1.2, 1.4, 2.0, 2.8, 4.0];

/// Metrics about retries and their budget.
#[derive(Debug)]
pub(crate) struct RetryMetrics {
    /// Retries, by cause.
    pub(crate) retries: IntCounterVec,
    /// Decisions of the retry budget, by service and reason.
    pub(crate) decisions: IntCounterVec,
    /// Retries that each service may still make on this instance, rounded down.
    pub(crate) room: IntGaugeVec,
    /// Messages about loans of retries exchanged with peers, by direction.
    pub(crate) loan_messages: IntCounterVec,
}

impl RetryMetrics {
    fn new(registry: &Registry) -> Self {
        Self {
            retries: counter_vec(registry, "reedsail_router_repeats_total", "Retries.", &["cause"]),
            decisions: counter_vec(
                registry,
                "reedsail_router_retry_decisions_total",
                "Decisions of the retry budget, by service and reason.",
                &["service", "decision"],
            ),
            room: gauge_vec(
                registry,
                "reedsail_router_retry_room",
                "Retries that a service may still make on this instance, rounded down.",
                &["service"],
            ),
            loan_messages: counter_vec(
                registry,
                "reedsail_router_loan_messages_total",
                "Messages about loans of retries exchanged with peers, by direction.",
                &["direction"],
            ),
        }
    }
}

/// Metrics about the software versions of servers and streams.
#[derive(Debug)]
pub(crate) struct VersionMetrics {
    /// Messages about streams' software versions exchanged with peers, by direction.
    pub(crate) messages: IntCounterVec,
    /// Requests that continue a stream, by how the version that began it became known.
    pub(crate) resumptions: IntCounterVec,
    /// Streams that may be continued and are known here, by software version.
    pub(crate) bound_streams: IntGaugeVec,
    /// Listed servers, by service and software version.
    pub(crate) servers: IntGaugeVec,
}

impl VersionMetrics {
    fn new(registry: &Registry) -> Self {
        Self {
            messages: counter_vec(
                registry,
                "reedsail_router_stream_messages_total",
                "Messages about the software versions of streams exchanged with peers, by direction.",
                &["direction"],
            ),
            resumptions: counter_vec(
                registry,
                "reedsail_router_stream_resumptions_total",
                "Requests that continue a stream, by how the version that began it became known.",
                &["version_known_by"],
            ),
            bound_streams: gauge_vec(
                registry,
                "reedsail_router_bound_streams",
                "Streams that may be continued and are known here, by software version.",
                &["version"],
            ),
            servers: gauge_vec(
                registry,
                "reedsail_router_service_versions",
                "Listed backend servers, by service and software version.",
                &["service", "version"],
            ),
        }
    }
}

/// Metrics about the store.
#[derive(Debug)]
pub(crate) struct StoreMetrics {
    /// Reads, by target and outcome.
    pub(crate) reads: IntCounterVec,
    /// The era, which rises each time the store is restored from an older copy.
    pub(crate) era: IntGauge,
    /// Records of a restored store that are ignored because newer ones are known.
    pub(crate) records_withheld: IntGauge,
}

impl StoreMetrics {
    fn new(registry: &Registry) -> Self {
        Self {
            reads: counter_vec(
                registry,
                "reedsail_router_store_reads_total",
                "Reads of the store, by target and outcome.",
                &["what", "outcome"],
            ),
            era: gauge(
                registry,
                "reedsail_router_store_era",
                "Era of the store, which increases by one each time the store is restored from an older copy.",
            ),
            records_withheld: gauge(
                registry,
                "reedsail_router_records_withheld",
                "Records of a restored store that are ignored because newer departures or evacuations are known.",
            ),
        }
    }
}

/// Metrics about quarantined requests and segments, which are no longer sent because servers ended while they ran them.
#[derive(Debug)]
pub(crate) struct QuarantineMetrics {
    /// Quarantined requests.
    pub(crate) requests: IntGauge,
    /// Quarantined segments of prompts.
    pub(crate) segments: IntGauge,
    /// Calls of the store for their records, by call and outcome.
    pub(crate) store_calls: IntCounterVec,
}

impl QuarantineMetrics {
    fn new(registry: &Registry) -> Self {
        Self {
            requests: gauge(
                registry,
                "reedsail_router_quarantined_requests",
                "Quarantined requests, which are no longer sent because servers ended while they ran them.",
            ),
            segments: gauge(
                registry,
                "reedsail_router_quarantined_segments",
                "Quarantined segments of prompts: requests with them are no longer sent because servers ended under them.",
            ),
            store_calls: counter_vec(
                registry,
                "reedsail_router_quarantine_store_calls_total",
                "Calls of the store for records of quarantined requests and segments.",
                &["call", "outcome"],
            ),
        }
    }
}

/// Metrics about the memory of bodies.
#[derive(Debug)]
pub(crate) struct BodyMetrics {
    /// Bytes that are held, by whose body they belong to.
    held: IntGaugeVec,
    /// Bytes that may be held.
    limit: IntGauge,
}

impl BodyMetrics {
    fn new(registry: &Registry) -> Self {
        Self {
            held: gauge_vec(
                registry,
                "reedsail_router_body_bytes",
                "Bytes of bodies in memory, of requests and of responses; small bodies do not count.",
                &["body"],
            ),
            limit: gauge(
                registry,
                "reedsail_router_body_bytes_limit",
                "Bytes of bodies that may be in memory.",
            ),
        }
    }

    /// Copies the state of the account.
    pub(crate) fn set(&self, memory: &BodyMemory) {
        let held = memory.held();
        let kinds = [("request", held.request_bytes), ("response", held.response_bytes)];
        for (kind, bytes) in kinds {
            self.held.with_label_values(&[kind]).set(bytes as i64);
        }
        self.limit.set(memory.limit_bytes() as i64);
    }
}

/// The router's counters, gauges and histograms.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    /// Requests, by outcome: `answered`, another way in which a sent request ended, or the error kind.
    pub(crate) answers: IntCounterVec,
    /// Response bodies of servers that were read to their end without an error, by how they ended.
    pub(crate) response_ends: IntCounterVec,
    /// Time from a request's arrival to the first event of its response, by service.
    pub(crate) first_event: HistogramVec,
    /// Longest pause between two events of each stream, by service.
    pub(crate) longest_gap: HistogramVec,
    /// Slowness of the engines that requests are sent to, by service, while the engines of the service differ in speed.
    pub(crate) engine_slowness: HistogramVec,
    /// Age of the known load of other instances at the time a server is chosen, by service.
    pub(crate) load_age: HistogramVec,
    /// Retries and their budget.
    pub(crate) retries: RetryMetrics,
    /// Connections opened to backend servers, by outcome.
    pub(crate) connects: IntCounterVec,
    /// Tokens of requests, by workspace and stage.
    pub(crate) workspace_tokens: WorkspaceTokens,
    /// Reads and state of the store.
    pub(crate) store: StoreMetrics,
    /// Load messages exchanged with peers, by direction.
    pub(crate) peer_messages: IntCounterVec,
    /// Software versions of servers and streams.
    pub(crate) versions: VersionMetrics,
    /// Servers that ended while requests of this instance ran on them.
    pub(crate) server_ends: IntCounter,
    /// Notices (draining, back-off) in servers' responses, by kind.
    pub(crate) server_notices: IntCounterVec,
    /// Servers whose requested back-off towards this instance has not ended.
    pub(crate) servers_backed_off: IntGauge,
    /// Quarantined requests and segments.
    pub(crate) quarantine: QuarantineMetrics,
    /// Suspensions of the machine.
    pub(crate) suspensions: IntCounter,
    /// Memory of bodies.
    pub(crate) bodies: BodyMetrics,
    /// Open requests.
    pub(crate) open_requests: IntGauge,
    /// The version of the configuration in force.
    pub(crate) configuration_version: IntGauge,
    /// Number of live peers.
    pub(crate) peers_alive: IntGauge,
}

impl Metrics {
    pub(crate) fn new(build: BuildInfo) -> Self {
        let registry = Registry::new();
        register_build_info(&registry, build);
        Self {
            answers: counter_vec(
                &registry,
                "reedsail_router_answers_total",
                "Requests.",
                &["outcome"],
            ),
            response_ends: counter_vec(
                &registry,
                "reedsail_router_response_ends_total",
                "Response bodies of backend servers that were read to their end without an error, by how they ended.",
                &["end"],
            ),
            first_event: latency_histograms(
                &registry,
                "reedsail_router_first_part_seconds",
                "Time from a request's arrival to the first event of its response.",
            ),
            longest_gap: latency_histograms(
                &registry,
                "reedsail_router_longest_gap_seconds",
                "Longest pause between two events of a stream, while its caller has room.",
            ),
            engine_slowness: histograms(
                &registry,
                "reedsail_router_engine_slowness",
                "Slowness of the engines that requests are sent to, relative to the mean of their service.",
                SLOWNESS_BUCKETS,
            ),
            load_age: latency_histograms(
                &registry,
                "reedsail_router_load_age_seconds",
                "Age of the known load of other instances at the time a server is chosen.",
            ),
            retries: RetryMetrics::new(&registry),
            connects: counter_vec(
                &registry,
                "reedsail_router_connects_total",
                "Connections opened to backend servers, by outcome.",
                &["outcome"],
            ),
            workspace_tokens: WorkspaceTokens::new(counter_vec(
                &registry,
                "reedsail_router_workspace_tokens_total",
                "Tokens of requests, by workspace and stage.",
                &["workspace", "what"],
            )),
            store: StoreMetrics::new(&registry),
            peer_messages: counter_vec(
                &registry,
                "reedsail_router_peer_messages_total",
                "Load messages exchanged with peers, by direction.",
                &["direction"],
            ),
            versions: VersionMetrics::new(&registry),
            server_ends: counter(
                &registry,
                "reedsail_router_server_ends_total",
                "Backend servers that ended while requests of this instance ran on them.",
            ),
            server_notices: counter_vec(
                &registry,
                "reedsail_router_server_notices_total",
                "Responses in which a backend server announced that it drains or asked this instance to back off.",
                &["notice"],
            ),
            servers_backed_off: gauge(
                &registry,
                "reedsail_router_servers_backed_off",
                "Backend servers whose requested back-off towards this instance has not ended.",
            ),
            quarantine: QuarantineMetrics::new(&registry),
            suspensions: counter(
                &registry,
                "reedsail_router_suspensions_total",
                "Suspensions of the machine since the process started.",
            ),
            bodies: BodyMetrics::new(&registry),
            open_requests: gauge(&registry, "reedsail_router_open_requests", "Open requests."),
            configuration_version: gauge(
                &registry,
                "reedsail_router_configuration_version",
                "The version of the configuration in force.",
            ),
            peers_alive: gauge(&registry, "reedsail_router_peers_alive", "Number of live peers."),
            registry,
        }
    }

    /// Writes all metrics in the text format of Prometheus.
    pub(crate) fn render(&self) -> Vec<u8> {
        let mut text = Vec::new();
        // Encoding into memory fails only for a metric without a name.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        text
    }
}

/// Registers a gauge of 1 whose labels say what the program was built from.
fn register_build_info(registry: &Registry, build: BuildInfo) {
    let gauges = gauge_vec(
        registry,
        "reedsail_router_build_info",
        "What the program was built from; the value is 1.",
        &["version", "sources"],
    );
    gauges.with_label_values(&[build.version, build.sources]).set(1);
}

/// Creates and registers a counter with labels. Names, labels and buckets are constants of this file, so this and the
/// functions below cannot panic once the tests have created all metrics.
fn counter_vec(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    let counters = IntCounterVec::new(Opts::new(name, help), labels).expect("the name and labels are valid");
    register(registry, counters.clone());
    counters
}

fn gauge_vec(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntGaugeVec {
    let gauges = IntGaugeVec::new(Opts::new(name, help), labels).expect("the name and labels are valid");
    register(registry, gauges.clone());
    gauges
}

fn counter(registry: &Registry, name: &str, help: &str) -> IntCounter {
    let counter = IntCounter::new(name, help).expect("the name is valid");
    register(registry, counter.clone());
    counter
}

fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    let gauge = IntGauge::new(name, help).expect("the name is valid");
    register(registry, gauge.clone());
    gauge
}

fn latency_histograms(registry: &Registry, name: &str, help: &str) -> HistogramVec {
    histograms(registry, name, help, LATENCY_BUCKETS_S)
}

fn histograms(registry: &Registry, name: &str, help: &str, buckets: &[f64]) -> HistogramVec {
    let options = HistogramOpts::new(name, help).buckets(buckets.to_vec());
    let histograms = HistogramVec::new(options, &["service"]).expect("the name and labels are valid");
    register(registry, histograms.clone());
    histograms
}

fn register(registry: &Registry, metric: impl Collector + 'static) {
    registry
        .register(Box::new(metric))
        .expect("each metric is registered once");
}
