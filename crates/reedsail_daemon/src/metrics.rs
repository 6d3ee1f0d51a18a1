//! The daemon's metrics. docs/reedsaild/METRICS.md describes each of them.
//!
//! The number of label values is bounded: error kinds, classes and kinds of traffic are closed lists, and a
//! scrape shows only workspaces that have received cost since the start, the largest first.

use prometheus::Encoder;
use prometheus::Gauge;
use prometheus::GaugeVec;
use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;

use crate::BUILD;

/// The maximum number of workspaces in one scrape.
pub(crate) const WORKSPACES_SHOWN_MAX: usize = 64;

/// The name, help text and labels of every metric, in the order of the documentation.
pub(crate) const CATALOGUE: &[(&str, &str, &[&str])] = &[
    (
        "reedsail_requests_total",
        "Requests taken in, by service and class.",
        &["service", "class"],
    ),
    (
        "reedsail_answers_total",
        "Answers by outcome: answered, or the error kind.",
        &["outcome"],
    ),
    (
        "reedsail_queue_wait_seconds",
        "Time from admission to a slot.",
        &["service", "class"],
    ),
    (
        "reedsail_first_byte_seconds",
        "Time from admission to the first byte of the answer.",
        &["service", "class"],
    ),
    (
        "reedsail_retries_total",
        "Requests tried again, by cause.",
        &["cause"],
    ),
    ("reedsail_claims_total", "Claims by verdict.", &["verdict"]),
    (
        "reedsail_control_bytes_total",
        "Bytes sent and received that serve no caller, by kind.",
        &["kind", "direction"],
    ),
    (
        "reedsail_queued_requests",
        "Requests waiting, by service.",
        &["service"],
    ),
    (
        "reedsail_slots",
        "Slots, by service and state: leased or in use.",
        &["service", "state"],
    ),
    (
        "reedsail_workspace_cost",
        "Cost received here by the busiest workspaces.",
        &["workspace"],
    ),
    (
        "reedsail_bundle_version",
        "The version of the bundle in force.",
        &[],
    ),
    ("reedsail_open_requests", "Requests open at this daemon.", &[]),
    (
        "reedsail_members",
        "Members that this daemon leases slots to.",
        &[],
    ),
    (
        "reedsail_control_cpu_seconds_total",
        "Processor time of the control thread.",
        &[],
    ),
    (
        "reedsail_resident_memory_bytes",
        "Resident memory of the process.",
        &[],
    ),
    (
        "reedsail_platform_reachable",
        "1 while the platform answers.",
        &[],
    ),
    (
        "reedsail_build_info",
        "What the program was built from; the value is 1.",
        &["version", "sources"],
    ),
];

/// The registered metrics.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    pub(crate) requests: IntCounterVec,
    pub(crate) answers: IntCounterVec,
    pub(crate) queue_wait: HistogramVec,
    pub(crate) first_byte: HistogramVec,
    pub(crate) retries: IntCounterVec,
    pub(crate) claims: IntCounterVec,
    pub(crate) control_bytes: IntGaugeVec,
    pub(crate) queued: IntGaugeVec,
    pub(crate) slots: IntGaugeVec,
    pub(crate) workspace_cost: GaugeVec,
    pub(crate) bundle_version: IntGauge,
    pub(crate) open_requests: IntGauge,
    pub(crate) members: IntGauge,
    pub(crate) control_cpu: Gauge,
    pub(crate) resident_bytes: IntGauge,
    pub(crate) platform_reachable: IntGauge,
}

/// The bucket bounds of the histograms, in seconds.
const SECONDS_BUCKETS: &[f64] = &[
    0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 0.69, 1.0, 3.0, 10.0, 30.0, 100.0,
];

fn entry(name: &str) -> (Opts, &'static [&'static str]) {
    let (name, help, labels) = CATALOGUE
        .iter()
        .find(|(known, _, _)| *known == name)
        .expect("every metric is in the catalogue");
    (Opts::new(*name, *help), labels)
}

fn register<C: prometheus::core::Collector + Clone + 'static>(
    registry: &Registry,
    metric: prometheus::Result<C>,
) -> C {
    let metric = metric.expect("the catalogue's names and labels are valid");
    registry
        .register(Box::new(metric.clone()))
        .expect("each metric is registered once");
    metric
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let registry = Registry::new();
        let counter = |name: &str| {
            let (opts, labels) = entry(name);
            register(&registry, IntCounterVec::new(opts, labels))
        };
        let gauge = |name: &str| {
            let (opts, labels) = entry(name);
            register(&registry, IntGaugeVec::new(opts, labels))
        };
        let unlabelled_gauge = |name: &str| register(&registry, IntGauge::with_opts(entry(name).0));
        let float_gauge = |name: &str| {
            let (opts, labels) = entry(name);
            register(&registry, GaugeVec::new(opts, labels))
        };
        let histogram = |name: &str| {
            let (opts, labels) = entry(name);
            let opts = HistogramOpts::from(opts).buckets(SECONDS_BUCKETS.to_vec());
            register(&registry, HistogramVec::new(opts, labels))
        };
        gauge("reedsail_build_info")
            .with_label_values(&[BUILD.version, BUILD.sources])
            .set(1);
        Self {
            requests: counter("reedsail_requests_total"),
            answers: counter("reedsail_answers_total"),
            queue_wait: histogram("reedsail_queue_wait_seconds"),
            first_byte: histogram("reedsail_first_byte_seconds"),
            retries: counter("reedsail_retries_total"),
            claims: counter("reedsail_claims_total"),
            control_bytes: gauge("reedsail_control_bytes_total"),
            queued: gauge("reedsail_queued_requests"),
            slots: gauge("reedsail_slots"),
            workspace_cost: float_gauge("reedsail_workspace_cost"),
            bundle_version: unlabelled_gauge("reedsail_bundle_version"),
            open_requests: unlabelled_gauge("reedsail_open_requests"),
            members: unlabelled_gauge("reedsail_members"),
            control_cpu: register(
                &registry,
                Gauge::with_opts(entry("reedsail_control_cpu_seconds_total").0),
            ),
            resident_bytes: unlabelled_gauge("reedsail_resident_memory_bytes"),
            platform_reachable: unlabelled_gauge("reedsail_platform_reachable"),
            registry,
        }
    }

    /// Returns all metrics in the Prometheus text format.
    pub(crate) fn render(&self) -> String {
        let mut bytes = Vec::new();
        let families = self.registry.gather();
        if TextEncoder::new().encode(&families, &mut bytes).is_err() {
            return String::new();
        }
        String::from_utf8(bytes).unwrap_or_default()
    }
}
