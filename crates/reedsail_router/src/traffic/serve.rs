//! One request from its head to its answer, and what is logged of it.

use std::convert::Infallible;
use std::sync::Arc;

use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use hyper::header::HeaderValue;
use reedsail_core::ErrorKind;
use reedsail_core::Failure;
use reedsail_core::TimeMs;
use reedsail_core::Unsent;
use reedsail_events::EventKind;

use super::Pool;
use super::answer::AnswerBody;
use super::answer::failure_answer;
use super::call::read_call;
use super::forward::forward;
use crate::HeaderProtocol;
use crate::shared::Shared;

/// Serves one request; every failure becomes an answer.
pub(crate) async fn serve_request<H: HeaderProtocol>(
    shared: Arc<Shared<H>>,
    pool: Arc<Pool>,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody<H>>, Infallible> {
    let arrived_at = shared.clock.now();
    let head = shared.protocol.read_call(request.headers());
    let request_id = head.as_ref().ok().and_then(|head| head.request_id.clone());
    let mut log = RequestLog::begin(&shared, request_id.as_ref(), arrived_at);
    let outcome = match read_call(&*shared, request, head, arrived_at).await {
        Ok(call) => {
            log.service.clone_from(&call.service_name);
            forward(&shared, &pool, call, log).await
        }
        Err(kind) => {
            let failure = Unsent::new().refuse(kind);
            log.refuse(&failure, &[]);
            Err(failure)
        }
    };
    let mut response =
        outcome.unwrap_or_else(|failure| failure_answer(&shared, &failure, request_id.as_ref()));
    if shared.sheds_connection() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    Ok(response)
}

/// Writes what is logged and counted of one request; dropping it unfinished tells that the caller
/// went away.
#[derive(Debug)]
pub(crate) struct RequestLog<H> {
    shared: Arc<Shared<H>>,
    id: String,
    pub(crate) service: String,
    /// The server that was tried last.
    pub(crate) server: String,
    /// The status of a server's answer that is no success.
    pub(crate) failure_status: Option<StatusCode>,
    arrived_at: TimeMs,
    first_part_ms: Option<u64>,
    has_ended: bool,
}

impl<H> RequestLog<H> {
    fn begin(shared: &Arc<Shared<H>>, id: Option<&HeaderValue>, arrived_at: TimeMs) -> Self {
        shared.metrics.open_requests.inc();
        let id = id.and_then(|id| id.to_str().ok()).unwrap_or("none");
        Self {
            shared: Arc::clone(shared),
            id: id.to_owned(),
            service: String::new(),
            server: String::new(),
            failure_status: None,
            arrived_at,
            first_part_ms: None,
            has_ended: false,
        }
    }

    /// Notes a decision on the way.
    pub(crate) fn note(&self, kind: EventKind, fields: &[(&'static str, String)]) {
        let mut all = vec![("request", self.id.clone())];
        all.extend_from_slice(fields);
        self.shared.emit(kind, &all);
    }

    /// Notes a part of the answer.
    pub(crate) fn note_part(&mut self) {
        if self.first_part_ms.is_some() {
            return;
        }
        let first_part_ms = self.shared.clock.now().since_ms(self.arrived_at);
        self.first_part_ms = Some(first_part_ms);
        self.shared
            .metrics
            .first_part
            .with_label_values(&[&self.service])
            .observe(first_part_ms as f64 / 1_000.0);
    }

    /// Notes that the request was refused or failed with an answer of the daemon's own.
    pub(crate) fn refuse(mut self, failure: &Failure, fields: &[(&'static str, String)]) {
        self.has_ended = true;
        let kind: ErrorKind = failure.kind();
        self.shared
            .metrics
            .answers
            .with_label_values(&[kind.name()])
            .inc();
        let waited_ms = self.shared.clock.now().since_ms(self.arrived_at);
        let mut all = vec![
            ("kind", kind.name().to_owned()),
            ("ran", failure.ran().as_str().to_owned()),
            ("service", self.service.clone()),
            ("server", self.server.clone()),
            ("waited_ms", waited_ms.to_string()),
        ];
        if let Some(after_ms) = failure.retry_after_ms() {
            all.push(("retry_after_ms", after_ms.to_string()));
        }
        all.extend_from_slice(fields);
        self.note(EventKind::RequestRefused, &all);
    }

    /// Notes how a request that was sent ended.
    pub(crate) fn end(&mut self, outcome: &'static str) {
        if self.has_ended {
            return;
        }
        self.has_ended = true;
        self.shared.metrics.answers.with_label_values(&[outcome]).inc();
        let took_ms = self.shared.clock.now().since_ms(self.arrived_at);
        let first_part_ms = self
            .first_part_ms
            .map_or("none".to_owned(), |first_ms| first_ms.to_string());
        let mut fields = vec![
            ("outcome", outcome.to_owned()),
            ("service", self.service.clone()),
            ("server", self.server.clone()),
            ("first_part_ms", first_part_ms),
            ("took_ms", took_ms.to_string()),
        ];
        if let Some(status) = self.failure_status {
            fields.push(("status", status.as_u16().to_string()));
        }
        self.note(EventKind::RequestEnded, &fields);
    }
}

impl<H> Drop for RequestLog<H> {
    fn drop(&mut self) {
        self.end("caller_gone");
        self.shared.metrics.open_requests.dec();
    }
}
