//! The log lines and metrics of one request, from its arrival to its end.
//!
//! Owns the count of open requests: a request is open for as long as its log. Field names and outcome
//! names are read by operators and stay as they are, whatever the code calls the same thing.

use std::sync::Arc;

use hyper::StatusCode;
use reedsail_core::ErrorKind;
use reedsail_core::Failure;
use reedsail_core::Fingerprint;
use reedsail_core::TimeMs;
use reedsail_dispatch::Placement;
use reedsail_dispatch::request_cost;
use reedsail_events::EventKind;

use super::call::Call;
use crate::CallHead;
use crate::route_table::WorkspaceEntry;
use crate::share_fields::share_fields;
use crate::shared::Shared;
use crate::workspace_tokens::TokenStage;

/// How a request ended that was sent to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestOutcome {
    /// The caller got a whole answer.
    Answered,
    /// The caller got a server's own failure.
    AnsweredWithFailure,
    /// A stream broke off and could not go on elsewhere.
    BackendBrokeOff,
    /// The answer broke off since the caller had stopped reading.
    CallerStalled,
    /// The caller went away before the end.
    CallerGone,
    /// The caller's time was over, or the route's.
    Deadline,
    /// The code that served it panicked.
    Panicked,
}

impl RequestOutcome {
    /// Returns the name in log lines and metrics.
    fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::AnsweredWithFailure => "answered_with_failure",
            Self::BackendBrokeOff => "backend_broke_off",
            Self::CallerStalled => "caller_stalled",
            Self::CallerGone => "caller_gone",
            Self::Deadline => "deadline",
            Self::Panicked => "panicked",
        }
    }
}

/// Why a request is attempted again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RetryCause {
    /// No byte of the last attempt was sent.
    NotSent,
    /// The server did not run it.
    Rejected,
    /// The server answered with a failure of its own.
    ServerFailure,
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
            Self::Failed(kind) => kind.name(),
        }
    }
}

/// A field of a line: its name, and its value as text.
type Field = (&'static str, String);

/// Writes what is logged and counted of one request. Dropped before an end was recorded, it records that
/// the caller went away.
#[derive(Debug)]
pub(crate) struct RequestLog<H> {
    shared: Arc<Shared<H>>,
    id: String,
    service: String,
    /// By what its returns are known; zero until the request was read.
    fingerprint: Fingerprint,
    workspace: Option<Arc<WorkspaceEntry>>,
    configuration_version: u64,
    /// What it counts against its workspace, in tokens.
    cost_tokens: u64,
    /// Its route's target for the first event, in milliseconds; zero until the request was read.
    latency_target_ms: u64,
    /// The server that was tried last, or chosen when the request was refused.
    server: String,
    arrived_at: TimeMs,
    first_event_ms: Option<u64>,
    has_ended: bool,
}

impl<H> RequestLog<H> {
    /// Begins the log of a request as it arrives. What its head says of its workspace is taken at its word
    /// until the request was read, so that one refused unread has a workspace as well.
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
            server: String::new(),
            arrived_at,
            first_event_ms: None,
            has_ended: false,
        };
        log.count_tokens(TokenStage::Requested);
        log
    }

    /// Records what the request calls and whom it counts against, once it was read.
    pub(crate) fn set_call(&mut self, call: &Call) {
        self.service.clone_from(&call.service_name);
        self.fingerprint = call.fingerprint;
        self.workspace.clone_from(&call.workspace);
        self.configuration_version = call.configuration_version;
        self.latency_target_ms = call.route.latency_target_ms;
    }

    /// Logs where the request was placed, with what decided it.
    pub(crate) fn record_placement(&mut self, placement: &Placement) {
        self.set_server(placement);
        self.count_tokens(TokenStage::Sent);
        if let Some(age_ms) = self.shared.load_age_ms() {
            let load_age = &self.shared.metrics.load_age;
            load_age
                .with_label_values(&[&self.service])
                .observe(age_ms as f64 / 1_000.0);
        }
        self.emit(EventKind::RequestPlaced, || {
            let mut fields = self.placement_fields(placement);
            fields.push(("unread_tokens", placement.prefill_tokens.to_string()));
            fields.push(("configuration", self.configuration_version.to_string()));
            fields.extend(self.request_fields());
            fields.extend(self.decision_fields());
            fields
        });
    }

    /// Logs and counts that the request is attempted again.
    pub(crate) fn record_retry(&self, cause: RetryCause) {
        let retries = &self.shared.metrics.retries;
        retries.with_label_values(&[cause.name()]).inc();
        self.emit(EventKind::RequestRepeated, || {
            vec![
                ("cause", cause.name().to_owned()),
                ("server", self.server.clone()),
            ]
        });
    }

    /// Logs that a stream goes on elsewhere, after the last event that the caller has.
    pub(crate) fn record_resume(&mut self, placement: &Placement, last_event: Option<&str>) {
        self.set_server(placement);
        self.count_tokens(TokenStage::Sent);
        self.emit(EventKind::StreamResumed, || {
            vec![
                ("server", self.server.clone()),
                ("after_event", last_event.unwrap_or("").to_owned()),
            ]
        });
    }

    /// Records that a piece of the answer goes to the caller; the first one counts.
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

    /// Records that the request was refused before a server was chosen.
    pub(crate) fn record_unplaced_refusal(self, failure: &Failure) {
        self.end_with_refusal(failure, |_| Vec::new());
    }

    /// Records that the request was refused, or failed with an answer of this instance's own; `placement` is
    /// where it would have gone when that was decided.
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
            fields.push(self.fingerprint_field());
            fields.push(("configuration", self.configuration_version.to_string()));
            fields.extend(extra_fields(&self));
            fields
        });
    }

    /// Records that the caller gets a server's own failure.
    pub(crate) fn end_with_failure(&mut self, status: StatusCode) {
        let status = ("status", status.as_u16().to_string());
        self.end_with(RequestOutcome::AnsweredWithFailure, Some(status));
    }

    /// Records how a request that was sent ended; later ends do not count.
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
            fields.extend(status);
            if outcome != RequestOutcome::Answered {
                fields.push(self.fingerprint_field());
            }
            fields
        });
    }

    /// Returns what every end of a request says of it.
    fn request_fields(&self) -> [Field; 5] {
        [
            ("service", self.service.clone()),
            ("workspace", self.workspace_name().to_owned()),
            ("tokens", self.cost_tokens.to_string()),
            ("target_ms", self.latency_target_ms.to_string()),
            ("server", self.server.clone()),
        ]
    }

    /// Returns by what the request's returns are known. Lines of answered requests do without it, which
    /// spares processor time.
    fn fingerprint_field(&self) -> Field {
        ("fingerprint", self.fingerprint.to_string())
    }

    /// Returns what was expected of the server that was chosen.
    fn placement_fields(&self, placement: &Placement) -> Vec<Field> {
        let (own, all) = self.shared.dispatcher().running(placement.server);
        vec![
            ("expected_ms", placement.expected_ms.to_string()),
            ("queue_ms", placement.queue_ms.to_string()),
            ("running_own", own.to_string()),
            ("running_all", all.to_string()),
        ]
    }

    /// Returns what a decision knew of the workspace's share, and how old that was.
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
        }
    }

    fn elapsed_ms(&self) -> u64 {
        self.shared.clock.now().since_ms(self.arrived_at)
    }

    fn emit(&self, kind: EventKind, fields: impl FnOnce() -> Vec<Field>) {
        self.shared.emit_with(kind, || {
            let mut all = fields();
            all.push(("request", self.id.clone()));
            all
        });
    }
}

impl<H> Drop for RequestLog<H> {
    fn drop(&mut self) {
        // A panic ends the task of this request alone; without its own outcome it would look like a caller that left.
        let outcome = if std::thread::panicking() {
            RequestOutcome::Panicked
        } else {
            RequestOutcome::CallerGone
        };
        self.end(outcome);
        self.shared.metrics.open_requests.dec();
    }
}
