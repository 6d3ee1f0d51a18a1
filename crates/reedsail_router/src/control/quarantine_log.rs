//! Logs and counts quarantined requests and segments, which are no longer sent because servers ended while they ran.

use reedsail_core::NameHash;
use reedsail_dispatch::QuarantineChange;
use reedsail_dispatch::QuarantineEvent;
use reedsail_dispatch::SuspectKey;
use reedsail_events::EventKind;

use crate::shared::Shared;

/// Logs each request and segment whose quarantine began or ended, and counts the quarantined ones.
pub(crate) fn log_quarantine<H>(shared: &Shared<H>) {
    let (events, requests, segments) = {
        let mut dispatcher = shared.dispatcher();
        let requests = dispatcher.quarantined_requests();
        let segments = dispatcher.quarantined_segments();
        (dispatcher.take_quarantine_events(), requests, segments)
    };
    shared.metrics.quarantined_requests.set(requests as i64);
    shared.metrics.quarantined_segments.set(segments as i64);
    for event in events {
        log_event(shared, &event);
    }
}

fn log_event<H>(shared: &Shared<H>, event: &QuarantineEvent) {
    let (begun, ended, subject) = match event.key {
        SuspectKey::Request(fingerprint) => (
            EventKind::RequestQuarantined,
            EventKind::QuarantineEnded,
            ("fingerprint", fingerprint.to_string()),
        ),
        SuspectKey::Segment(key) => (
            EventKind::SegmentQuarantined,
            EventKind::SegmentQuarantineEnded,
            ("segment", format!("{:x}", key.segment.id)),
        ),
    };
    let mut fields = vec![subject, ("workspace", workspace_name(shared, event.workspace))];
    let end_reason = match event.change {
        QuarantineChange::Quarantined => {
            shared.emit(begun, &fields);
            return;
        }
        QuarantineChange::Cleared => "answered",
        QuarantineChange::Forgotten => "has_not_come",
    };
    fields.push(("reason", end_reason.to_owned()));
    shared.emit(ended, &fields);
}

fn workspace_name<H>(shared: &Shared<H>, workspace: NameHash) -> String {
    let routes = shared.routes.load();
    routes.workspace_name(workspace).unwrap_or("none").to_owned()
}
