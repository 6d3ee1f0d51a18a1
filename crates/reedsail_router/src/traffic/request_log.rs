//! The log lines and metrics of one request, from its arrival to its end.
//!
//! Owns the count of open requests: a request is open while its `RequestLog` exists. Operators read the field names
//! and outcome names, so these stay unchanged even where the code has another name for the same thing.

use std::sync::Arc;

use hyper::StatusCode;
use hyper::header::HeaderValue;
use reedsail_core::ErrorKind;
use reedsail_core::Failure;
use reedsail_core::Fingerprint;
use reedsail_core::TimeMs;
use reedsail_dispatch::EventGaps;
use reedsail_dispatch::NoBodyRoom;
use reedsail_dispatch::Placement;
use reedsail_dispatch::RetryDecision;
use reedsail_dispatch::request_cost;
use reedsail_events::EventKind;

use super::call::Call;
use super::response_end::ResponseEnd;
use super::stream_version::VersionSource;
use crate::CallHead;
use crate::ResumptionHead;
use crate::route_table::WorkspaceEntry;
use crate::share_fields::share_fields;
use crate::shared::Shared;
use crate::workspace_tokens::TokenStage;

/// How a request that was sent to a server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestOutcome {
    /// The caller got a complete response.
    Answered,
    /// The caller got a server error from a backend server.
    AnsweredWithFailure,
    /// A stream broke and could not resume on another server.
    BackendBrokeOff,
    /// A stream broke, and no server runs the software version that began it.
    VersionGone,
    /// The response broke because the caller had stopped reading.
    CallerStalled,
    /// The caller disconnected before the end.
    CallerGone,
    /// The caller's deadline or the route's timeout expired.
    Deadline,
    /// The task that served the request panicked.
    Panicked,
}

impl RequestOutcome {
    /// Returns the name in log lines and metrics.
    fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::AnsweredWithFailure => "answered_with_failure",
            Self::BackendBrokeOff => "backend_broke_off",
            Self::VersionGone => "version_gone",
            Self::CallerStalled => "caller_stalled",
            Self::CallerGone => "caller_gone",
            Self::Deadline => "deadline",
            Self::Panicked => "panicked",
        }
    }
}

/// Why a request is retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RetryCause {
    /// No byte of the last attempt was sent.
    NotSent,
    /// The server did not run the request.
    Rejected,
    /// The server responded with a server error.
    ServerFailure,
    /// The server's stream broke after it had begun.
    StreamBroken,
    /// The attempt failed in another way.
    Failed(ErrorKind),
}

impl RetryCause {
    /// Returns the name in log lines and metrics.
    fn name(self) -> &'static str {
        match self {
            Self::NotSent => "not_sent",
            Self::Rejected => "rejected",
            Self::ServerFailure => "server_failure",
            Self::StreamBroken => "stream_broken",
            Self::Failed(kind) => kind.name(),
        }
    }
}

/// A field of a log line: its name and its value as text.
type Field = (&'static str, String);

/// Writes the log lines and metrics of one request. If it is dropped before an end was recorded, it records that the
/// caller disconnected, or that the task panicked.
#[derive(Debug)]
pub(crate) struct RequestLog<H> {
    shared: Arc<Shared<H>>,
    id: String,
    service: String,
    /// Identifies retries by the caller. Zero until the request was read.
    fingerprint: Fingerprint,
    workspace: Option<Arc<WorkspaceEntry>>,
    configuration_version: u64,
    /// The request's cost for its workspace, in tokens.
    cost_tokens: u64,
    /// The route's target for the time to the first event, in milliseconds. Zero until the request was read.
    latency_target_ms: u64,
    /// The route's target for the longest pause between two events, in milliseconds, if it has one.
    gap_target_ms: Option<u64>,
    /// The earlier stream that the request continues.
    resumption: Option<ResumptionHead>,
    /// How the version that began that stream became known.
    version_source: Option<VersionSource>,
    /// The server of the last attempt, or the one chosen when the request was refused.
    server: String,
    /// The software version of that server.
    version: Arc<str>,
    arrived_at: TimeMs,
    first_event_ms: Option<u64>,
    gaps: EventGaps,
    /// How the last response body ended that was read without an error.
    response_end: Option<ResponseEnd>,
    /// Whether the response is relayed as it arrives because there is no room for it.
    is_unbuffered: bool,
    /// The segment of the prompt for which the request is refused.
    quarantined_segment: Option<u64>,
    has_ended: bool,
}

impl<H> RequestLog<H> {
    /// Begins the log of a request on arrival. Until the request was read, the log takes the workspace from the key in
    /// the request head, so that a request refused before that is logged with a workspace too.
    pub(crate) fn begin(shared: &Arc<Shared<H>>, head: Option<&CallHead>, arrived_at: TimeMs) -> Self {
        shared.metrics.open_requests.inc();
        let id = head.and_then(|head| head.request_id.as_ref());
        let id = id.and_then(|id| id.to_str().ok()).unwrap_or("none");
        let key = head.and_then(|head| head.key.as_deref());
        let routes = shared.routes.load();
        let log = Self {
            shared: Arc::clone(shared),
            id: id.to_owned(),
            service: String::new(),
            fingerprint: Fingerprint::default(),
            workspace: key.and_then(|key| routes.workspace(key)).cloned(),
            configuration_version: routes.version(),
            cost_tokens: request_cost(head.and_then(|head| head.prompt.as_ref())) as u64,
            latency_target_ms: 0,
            gap_target_ms: None,
            resumption: None,
            version_source: None,
            server: String::new(),
            version: Arc::from(""),
            arrived_at,
            first_event_ms: None,
            gaps: EventGaps::default(),
            response_end: None,
            is_unbuffered: false,
            quarantined_segment: None,
            has_ended: false,
        };
        log.count_tokens(TokenStage::Requested);
        log
    }

    /// Records the service and the workspace of the request, once it was read.
    pub(crate) fn set_call(&mut self, call: &Call) {
        self.service.clone_from(&call.service_name);
        self.fingerprint = call.fingerprint;
        self.workspace.clone_from(&call.workspace);
        self.configuration_version = call.configuration_version;
        self.latency_target_ms = call.route.latency_target_ms;
        self.gap_target_ms = call.route.gap_target_ms;
        self.resumption.clone_from(&call.resumption);
    }

    /// Records that the response is relayed as it arrives because there is no room for it.
    pub(crate) fn set_unbuffered(&mut self) {
        self.is_unbuffered = true;
    }

    /// Records the segment of the prompt for which the request is refused.
    pub(crate) fn set_quarantined_segment(&mut self, segment: Option<u64>) {
        self.quarantined_segment = segment;
    }

    /// Records how the version that began the stream became known, if the request continues one.
    pub(crate) fn set_version_source(&mut self, source: Option<VersionSource>) {
        self.version_source = source;
    }

    /// Logs the server that was chosen for the request, with the inputs of the decision.
    pub(crate) fn record_placement(&mut self, placement: &Placement) {
        self.set_server(placement);
        self.count_tokens(TokenStage::Sent);
        if let Some(age_ms) = self.shared.load_age_ms() {
            let load_age = &self.shared.metrics.load_age;
            load_age
                .with_label_values(&[&self.service])
                .observe(age_ms as f64 / 1_000.0);
        }
        let slowness = self.shared.dispatcher().relative_slowness(placement.server);
        if let Some(slowness) = slowness {
            let engine_slowness = &self.shared.metrics.engine_slowness;
            engine_slowness
                .with_label_values(&[&self.service])
                .observe(slowness);
        }
        self.emit(EventKind::RequestPlaced, || {
            let mut fields = self.placement_fields(placement);
            fields.push(("unread_tokens", placement.prefill_tokens.to_string()));
            fields.extend(slowness.and_then(slowness_field));
            fields.push(("configuration", self.configuration_version.to_string()));
            fields.push(("version", self.version.to_string()));
            fields.extend(self.request_fields());
            fields.extend(self.resumption_fields());
            fields.extend(self.decision_fields());
            fields
        });
    }

    /// Logs and counts a retry, or that the retry budget refused it.
    pub(crate) fn record_retry(&self, cause: RetryCause, decision: &RetryDecision) {
        let metrics = &self.shared.metrics.retries;
        metrics
            .decisions
            .with_label_values(&[&self.service, decision.reason.name()])
            .inc();
        let kind = if decision.is_granted() {
            metrics.retries.with_label_values(&[cause.name()]).inc();
            EventKind::RequestRepeated
        } else {
            EventKind::RetryRefused
        };
        self.emit(kind, || {
            vec![
                ("cause", cause.name().to_owned()),
                ("server", self.server.clone()),
                ("service", self.service.clone()),
                ("budget", decision.reason.name().to_owned()),
                ("room", format!("{:.2}", decision.room)),
                ("slack", format!("{:.2}", decision.slack)),
            ]
        });
    }

    /// Logs that a stream resumes on another server, after the last event that the caller has received.
    pub(crate) fn record_resume(&mut self, placement: &Placement, last_event_id: Option<&str>) {
        let broken_server = std::mem::take(&mut self.server);
        let broken_version = std::mem::replace(&mut self.version, Arc::from(""));
        self.set_server(placement);
        self.count_tokens(TokenStage::Sent);
        self.emit(EventKind::StreamResumed, || {
            vec![
                ("server", self.server.clone()),
                ("version", self.version.to_string()),
                ("broken_server", broken_server),
                ("broken_version", broken_version.to_string()),
                ("after_event", last_event_id.unwrap_or("").to_owned()),
            ]
        });
    }

    /// Records the time to the first event of the response. Later calls do nothing.
    pub(crate) fn record_first_event(&mut self) {
        if self.first_event_ms.is_some() {
            return;
        }
        let first_event_ms = self.elapsed_ms();
        self.first_event_ms = Some(first_event_ms);
        self.count_tokens(TokenStage::Begun);
        self.shared
            .metrics
            .first_event
            .with_label_values(&[&self.service])
            .observe(first_event_ms as f64 / 1_000.0);
    }

    /// Records an event of a stream.
    pub(crate) fn record_event(&mut self, now: TimeMs) {
        self.record_first_event();
        self.gaps.record_event(now);
    }

    /// Records that the caller has room for the next event of a stream.
    pub(crate) fn record_writable(&mut self, now: TimeMs) {
        self.gaps.record_writable(now);
    }

    /// Records how a server's response body ended, if reading it brought no error.
    pub(crate) fn record_response_end(&mut self, end: ResponseEnd) {
        self.response_end = Some(end);
        let response_ends = &self.shared.metrics.response_ends;
        response_ends.with_label_values(&[end.name()]).inc();
    }

    /// Records that the request was refused before a server was chosen. `no_room` has the inputs of the decision if there
    /// is no room for its body.
    pub(crate) fn record_unplaced_refusal(self, failure: &Failure, no_room: Option<&NoBodyRoom>) {
        self.end_with_refusal(failure, |_| no_room.map_or_else(Vec::new, no_room_fields));
    }

    /// Records that the request was refused, or that it failed and this instance itself responds to the caller.
    /// `placement` is the one that was refused, if there was one.
    pub(crate) fn record_refusal(mut self, failure: &Failure, placement: Option<&Placement>) {
        if let Some(placement) = placement {
            self.set_server(placement);
        }
        self.end_with_refusal(failure, |log| {
            let expected_ms = ("expected_ms", "unknown".to_owned());
            let mut fields = placement.map_or(vec![expected_ms], |placement| log.placement_fields(placement));
            fields.extend(log.decision_fields());
            fields
        });
    }

    fn end_with_refusal(mut self, failure: &Failure, extra_fields: impl FnOnce(&Self) -> Vec<Field>) {
        self.has_ended = true;
        let kind = failure.kind();
        let answers = &self.shared.metrics.answers;
        answers.with_label_values(&[kind.name()]).inc();
        self.count_tokens(TokenStage::Refused);
        self.emit(EventKind::RequestRefused, || {
            let mut fields = vec![
                ("kind", kind.name().to_owned()),
                ("ran", failure.ran().as_str().to_owned()),
                ("waited_ms", self.elapsed_ms().to_string()),
            ];
            if let Some(after_ms) = failure.retry_after_ms() {
                fields.push(("retry_after_ms", after_ms.to_string()));
            }
            fields.extend(self.request_fields());
            fields.extend(self.resumption_fields());
            fields.push(self.fingerprint_field());
            fields.extend(self.quarantined_segment.map(|id| ("segment", format!("{id:x}"))));
            fields.push(("configuration", self.configuration_version.to_string()));
            fields.extend(extra_fields(&self));
            fields
        });
    }

    /// Records that a backend server's error response goes to the caller.
    pub(crate) fn end_with_failure(&mut self, status: StatusCode) {
        let status = ("status", status.as_u16().to_string());
        self.end_with(RequestOutcome::AnsweredWithFailure, Some(status));
    }

    /// Records how a request that was sent ended. Later calls do nothing.
    pub(crate) fn end(&mut self, outcome: RequestOutcome) {
        self.end_with(outcome, None);
    }

    fn end_with(&mut self, outcome: RequestOutcome, status: Option<(&'static str, String)>) {
        if self.has_ended {
            return;
        }
        self.has_ended = true;
        let answers = &self.shared.metrics.answers;
        answers.with_label_values(&[outcome.name()]).inc();
        self.observe_longest_gap();
        self.emit(EventKind::RequestEnded, || {
            let first_event_ms = self
                .first_event_ms
                .map_or("none".to_owned(), |first_ms| first_ms.to_string());
            let mut fields = vec![
                ("outcome", outcome.name().to_owned()),
                ("first_part_ms", first_event_ms),
                ("took_ms", self.elapsed_ms().to_string()),
            ];
            fields.extend(self.request_fields());
            fields.extend(self.gap_fields());
            fields.extend(status);
            fields.extend(
                self.response_end
                    .map(|end| ("response_end", end.name().to_owned())),
            );
            fields.extend(self.is_unbuffered.then(|| ("unbuffered", "true".to_owned())));
            fields.push(self.fingerprint_field());
            fields
        });
    }

    fn observe_longest_gap(&self) {
        let Some(longest_ms) = self.gaps.longest_ms() else {
            return;
        };
        let longest_gap = &self.shared.metrics.longest_gap;
        longest_gap
            .with_label_values(&[&self.service])
            .observe(longest_ms as f64 / 1_000.0);
    }

    /// Returns the longest pause of a stream and the route's target for it, if known.
    fn gap_fields(&self) -> impl Iterator<Item = Field> {
        let fields = [
            ("longest_gap_ms", self.gaps.longest_ms()),
            ("gap_target_ms", self.gap_target_ms),
        ];
        let known = |(name, value): (&'static str, Option<u64>)| Some((name, value?.to_string()));
        fields.into_iter().filter_map(known)
    }

    /// Returns the fields that describe the request.
    fn request_fields(&self) -> [Field; 5] {
        [
            ("service", self.service.clone()),
            ("workspace", self.workspace_name().to_owned()),
            ("tokens", self.cost_tokens.to_string()),
            ("target_ms", self.latency_target_ms.to_string()),
            ("server", self.server.clone()),
        ]
    }

    /// Returns the attempt that began the stream which the request continues, and the last event that its caller has
    /// received. Empty for a request that continues none.
    fn resumption_fields(&self) -> Vec<Field> {
        let Some(resumption) = &self.resumption else {
            return Vec::new();
        };
        vec![
            ("resumes", header_text(resumption.first_attempt.as_ref())),
            ("after_event", header_text(resumption.last_event_id.as_ref())),
            (
                "version_known_by",
                self.version_source.map_or("", VersionSource::name).to_owned(),
            ),
        ]
    }

    /// Returns the field that identifies retries by the caller.
    fn fingerprint_field(&self) -> Field {
        ("fingerprint", self.fingerprint.to_string())
    }

    /// Returns the expected latency and the load of the chosen server.
    fn placement_fields(&self, placement: &Placement) -> Vec<Field> {
        let (own, all) = self.shared.dispatcher().running(placement.server);
        vec![
            ("rank", placement.rank.to_string()),
            ("expected_ms", placement.expected_ms.to_string()),
            ("queue_ms", placement.queue_ms.to_string()),
            ("pause_excess_ms", placement.pause_excess_ms.to_string()),
            ("running_own", own.to_string()),
            ("running_all", all.to_string()),
        ]
    }

    /// Returns the workspace's share at the time of the decision, and the age of the load data behind it.
    fn decision_fields(&self) -> Vec<Field> {
        let load_age_ms = self.shared.load_age_ms();
        let workspace = self.workspace.as_ref().map(|workspace| workspace.hash);
        let now = self.shared.clock.now();
        let share = self
            .shared
            .dispatcher()
            .workspace_share(workspace.unwrap_or_default(), now);
        let mut fields = share_fields(&share).to_vec();
        let age = load_age_ms.map_or("direct".to_owned(), |age_ms| age_ms.to_string());
        fields.push(("load_age_ms", age));
        fields
    }

    fn workspace_name(&self) -> &str {
        self.workspace
            .as_ref()
            .map_or("none", |workspace| &workspace.name)
    }

    fn count_tokens(&self, stage: TokenStage) {
        let tokens = &self.shared.metrics.workspace_tokens;
        tokens.add(self.workspace_name(), stage, self.cost_tokens);
    }

    fn set_server(&mut self, placement: &Placement) {
        if let Some(server) = self.shared.servers.get(placement.server) {
            self.server = server.id.to_string();
            self.version = server.software_version;
        }
    }

    fn elapsed_ms(&self) -> u64 {
        self.shared.clock.now().since_ms(self.arrived_at)
    }

    fn emit(&self, kind: EventKind, fields: impl FnOnce() -> Vec<Field>) {
        self.shared.emit_with(kind, || {
            let mut all_fields = fields();
            all_fields.push(("request", self.id.clone()));
            all_fields
        });
    }
}

/// Returns the fields of a decision that there is no room for a body, in bytes.
fn no_room_fields(no_room: &NoBodyRoom) -> Vec<Field> {
    let fields = [
        ("body_bytes", no_room.body_bytes),
        ("workspace_bytes", no_room.workspace_bytes),
        ("held_bytes", no_room.held_bytes),
        ("limit_bytes", no_room.limit_bytes),
    ];
    let text = |(name, bytes): (&'static str, u64)| (name, bytes.to_string());
    fields.map(text).to_vec()
}

/// Returns a header value for a log line; a missing value and one that is not text are empty.
fn header_text(value: Option<&HeaderValue>) -> String {
    let text = value.and_then(|value| value.to_str().ok());
    text.unwrap_or_default().to_owned()
}

/// Returns the field of an engine's slowness if it differs from the mean of the service.
fn slowness_field(slowness: f64) -> Option<Field> {
    let text = format!("{slowness:.2}");
    (text != "1.00").then_some(("slowness", text))
}

impl<H> Drop for RequestLog<H> {
    fn drop(&mut self) {
        // A panic ends only the task of this request. Without its own outcome it would look like a disconnected caller.
        let outcome = if std::thread::panicking() {
            RequestOutcome::Panicked
        } else {
            RequestOutcome::CallerGone
        };
        self.end(outcome);
        self.shared.metrics.open_requests.dec();
    }
}
