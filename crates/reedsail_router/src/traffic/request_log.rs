//! The log lines and metrics of one request, from its arrival to its end.
//!
//! Owns the count of open requests: a request is open for as long as its log. Field names and outcome
//! names are read by operators and stay as they are, whatever the code calls the same thing.

use std::sync::Arc;

use hyper::StatusCode;
use hyper::header::HeaderValue;
use reedsail_core::ErrorKind;
use reedsail_core::Failure;
use reedsail_core::TimeMs;
use reedsail_dispatch::Placement;
use reedsail_events::EventKind;

use super::call::Call;
use crate::shared::Shared;

/// How a request ended that was sent to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestOutcome {
    /// The caller got a whole answer.
    Answered,
    /// The caller got a server's own failure.
    AnsweredWithFailure,
    /// A stream broke off and could not go on elsewhere.
    BackendBrokeOff,
    /// The caller went away before the end.
    CallerGone,
    /// The caller's time was over, or the route's.
    Deadline,
}

impl RequestOutcome {
    /// Returns the name in log lines and metrics.
    fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::AnsweredWithFailure => "answered_with_failure",
            Self::BackendBrokeOff => "backend_broke_off",
            Self::CallerGone => "caller_gone",
            Self::Deadline => "deadline",
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

/// Writes what is logged and counted of one request. Dropped before an end was recorded, it records that
/// the caller went away.
#[derive(Debug)]
pub(crate) struct RequestLog<H> {
    shared: Arc<Shared<H>>,
    id: String,
    service: String,
    /// The server that was tried last.
    server: String,
    arrived_at: TimeMs,
    first_event_ms: Option<u64>,
    has_ended: bool,
}

impl<H> RequestLog<H> {
    /// Begins the log of a request as it arrives.
    pub(crate) fn begin(shared: &Arc<Shared<H>>, id: Option<&HeaderValue>, arrived_at: TimeMs) -> Self {
        shared.metrics.open_requests.inc();
        let id = id.and_then(|id| id.to_str().ok()).unwrap_or("none");
        Self {
            shared: Arc::clone(shared),
            id: id.to_owned(),
            service: String::new(),
            server: String::new(),
            arrived_at,
            first_event_ms: None,
            has_ended: false,
        }
    }

    /// Records the service, once the request was read.
    pub(crate) fn set_service(&mut self, service: &str) {
        service.clone_into(&mut self.service);
    }

    /// Logs where the request was placed, with what decided it.
    pub(crate) fn placed(&mut self, call: &Call, placement: &Placement) {
        self.set_server(placement);
        let (own, all) = self.shared.dispatcher().running(placement.server);
        let workspace = call.workspace.as_ref();
        let load_age_ms = self.shared.load_age_ms();
        if let Some(age_ms) = load_age_ms {
            let load_age = &self.shared.metrics.load_age;
            load_age
                .with_label_values(&[&call.service_name])
                .observe(age_ms as f64 / 1_000.0);
        }
        let load_age_ms = load_age_ms.map_or("direct".to_owned(), |age_ms| age_ms.to_string());
        let fields = [
            ("service", call.service_name.clone()),
            (
                "workspace",
                workspace.map_or("none".to_owned(), |workspace| workspace.name.clone()),
            ),
            ("configuration", call.configuration_version.to_string()),
            ("server", self.server.clone()),
            ("expected_ms", placement.expected_ms.to_string()),
            ("unread_tokens", placement.prefill_tokens.to_string()),
            ("running_own", own.to_string()),
            ("running_all", all.to_string()),
            ("load_age_ms", load_age_ms),
        ];
        self.emit(EventKind::RequestPlaced, &fields);
    }

    /// Logs and counts that the request is attempted again.
    pub(crate) fn retried(&self, cause: RetryCause) {
        let retries = &self.shared.metrics.retries;
        retries.with_label_values(&[cause.name()]).inc();
        let fields = [
            ("cause", cause.name().to_owned()),
            ("server", self.server.clone()),
        ];
        self.emit(EventKind::RequestRepeated, &fields);
    }

    /// Logs that a stream goes on elsewhere, after the last event that the caller has.
    pub(crate) fn resumed(&mut self, placement: &Placement, last_event: Option<&str>) {
        self.set_server(placement);
        let fields = [
            ("server", self.server.clone()),
            ("after_event", last_event.unwrap_or("").to_owned()),
        ];
        self.emit(EventKind::StreamResumed, &fields);
    }

    /// Records that a piece of the answer goes to the caller; the first one counts.
    pub(crate) fn record_event(&mut self) {
        if self.first_event_ms.is_some() {
            return;
        }
        let first_event_ms = self.waited_ms();
        self.first_event_ms = Some(first_event_ms);
        self.shared
            .metrics
            .first_event
            .with_label_values(&[&self.service])
            .observe(first_event_ms as f64 / 1_000.0);
    }

    /// Records that the request was refused, or failed with an answer of this instance's own.
    pub(crate) fn refuse(mut self, failure: &Failure, expected_ms: Option<String>) {
        self.has_ended = true;
        let kind = failure.kind();
        let answers = &self.shared.metrics.answers;
        answers.with_label_values(&[kind.name()]).inc();
        let mut fields = vec![
            ("kind", kind.name().to_owned()),
            ("ran", failure.ran().as_str().to_owned()),
            ("service", self.service.clone()),
            ("server", self.server.clone()),
            ("waited_ms", self.waited_ms().to_string()),
        ];
        if let Some(after_ms) = failure.retry_after_ms() {
            fields.push(("retry_after_ms", after_ms.to_string()));
        }
        if let Some(expected_ms) = expected_ms {
            fields.push(("expected_ms", expected_ms));
        }
        self.emit(EventKind::RequestRefused, &fields);
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
        let first_event_ms = self
            .first_event_ms
            .map_or("none".to_owned(), |first_ms| first_ms.to_string());
        let mut fields = vec![
            ("outcome", outcome.name().to_owned()),
            ("service", self.service.clone()),
            ("server", self.server.clone()),
            ("first_part_ms", first_event_ms),
            ("took_ms", self.waited_ms().to_string()),
        ];
        fields.extend(status);
        self.emit(EventKind::RequestEnded, &fields);
    }

    fn set_server(&mut self, placement: &Placement) {
        if let Some(server) = self.shared.servers.load().get(&placement.server) {
            self.server.clone_from(&server.id);
        }
    }

    fn waited_ms(&self) -> u64 {
        self.shared.clock.now().since_ms(self.arrived_at)
    }

    fn emit(&self, kind: EventKind, fields: &[(&'static str, String)]) {
        let mut all = vec![("request", self.id.clone())];
        all.extend_from_slice(fields);
        self.shared.emit(kind, &all);
    }
}

impl<H> Drop for RequestLog<H> {
    fn drop(&mut self) {
        self.end(RequestOutcome::CallerGone);
        self.shared.metrics.open_requests.dec();
    }
}
