//! Counts and logs the notices in servers' responses (draining, back-off), and passes them to the dispatcher.
//!
//! Every response is processed here as soon as its head is read: of a first attempt, of a retry, and of a resumed
//! stream. The header protocol reads the notices from the head.

use hyper::HeaderMap;
use hyper::StatusCode;
use hyper::header::HeaderValue;
use reedsail_core::ServerKey;
use reedsail_dispatch::ServerNotice;
use reedsail_events::EventKind;

use crate::HeaderProtocol;
use crate::shared::Shared;

/// The head of a server's response.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServerResponseHead<'a> {
    pub(super) server: ServerKey,
    pub(super) status: StatusCode,
    pub(super) headers: &'a HeaderMap,
    /// The id of the request, as log lines show it.
    pub(super) request_id: &'a HeaderValue,
}

/// Records the notice about the server that a response carries, if there is one.
pub(super) fn process_notice<H: HeaderProtocol>(shared: &Shared<H>, response_head: &ServerResponseHead<'_>) {
    let notice = shared
        .protocol
        .read_notice(response_head.status, response_head.headers);
    if notice.is_empty() {
        return;
    }
    count_notice(shared, notice);
    let new_notice = shared
        .dispatcher()
        .record_notice(response_head.server, notice, shared.clock.now());
    if new_notice.is_draining {
        log_notice(
            shared,
            response_head,
            EventKind::ServerDraining,
            ("origin", "answer".to_owned()),
        );
    }
    if let Some(backoff_ms) = new_notice.backoff_ms {
        let field = ("backoff_ms", backoff_ms.to_string());
        log_notice(shared, response_head, EventKind::ServerBackedOff, field);
    }
}

fn count_notice<H>(shared: &Shared<H>, notice: ServerNotice) {
    let notices = &shared.metrics.server_notices;
    if notice.is_draining {
        notices.with_label_values(&["drain"]).inc();
    }
    if notice.backoff_ms.is_some() {
        notices.with_label_values(&["backoff"]).inc();
    }
}

fn log_notice<H>(
    shared: &Shared<H>,
    response_head: &ServerResponseHead<'_>,
    kind: EventKind,
    field: (&'static str, String),
) {
    shared.emit_with(kind, || {
        let view = shared.servers.get(response_head.server);
        // A server that is no longer listed has no view and hence no id, and a request id may not be valid text.
        let server = view.map(|view| view.id.to_string()).unwrap_or_default();
        let request = response_head.request_id.to_str().unwrap_or_default().to_owned();
        vec![("server", server), ("request", request), field]
    });
}
