//! What servers say of themselves in their answers: counted, logged and handed to the decisions.
//!
//! Each answer comes through here as soon as its head is read, whatever the request is waiting for: the first attempt,
//! a retry, a stream that is resumed. Relies on the header protocol for what a head says.

use hyper::HeaderMap;
use hyper::StatusCode;
use hyper::header::HeaderValue;
use reedsail_core::ServerKey;
use reedsail_dispatch::ServerNotice;
use reedsail_events::EventKind;

use crate::HeaderProtocol;
use crate::shared::Shared;

/// The head of a server's answer.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServerResponseHead<'a> {
    pub(super) server: ServerKey,
    pub(super) status: StatusCode,
    pub(super) headers: &'a HeaderMap,
    /// The request that it came for, as log lines name it.
    pub(super) request_id: &'a HeaderValue,
}

/// Takes in what an answer says of its server.
pub(super) fn process_notice<H: HeaderProtocol>(shared: &Shared<H>, response_head: &ServerResponseHead<'_>) {
    let notice = shared.protocol.read_notice(response_head.status, response_head.headers);
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
        // A server that is listed no more has no id here, and a request id need not be text.
        let server = view.map(|view| view.id.to_string()).unwrap_or_default();
        let request = response_head.request_id.to_str().unwrap_or_default().to_owned();
        vec![("server", server), ("request", request), field]
    });
}
