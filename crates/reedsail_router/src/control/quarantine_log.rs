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
    let mut fields = vec![
        subject(event.key),
        ("workspace", workspace_name(shared, event.workspace)),
        ("ends", event.ends.to_string()),
    ];
    let is_segment = matches!(event.key, SuspectKey::Segment(_));
    let (quarantined, ended) = if is_segment {
        (EventKind::SegmentQuarantined, EventKind::SegmentQuarantineEnded)
    } else {
        (EventKind::RequestQuarantined, EventKind::QuarantineEnded)
    };
    let (kind, reason) = match event.change {
        QuarantineChange::EndCounted => (EventKind::SegmentEndCounted, None),
        QuarantineChange::EndsCleared => (EventKind::SegmentEndsCleared, Some("answered")),
        QuarantineChange::EndsOutlived => (EventKind::SegmentEndsCleared, Some("goes_on")),
        QuarantineChange::Quarantined => (quarantined, None),
        QuarantineChange::Cleared => (ended, Some("answered")),
        QuarantineChange::Forgotten => (ended, Some("has_not_come")),
    };
    fields.extend(reason.map(|reason| ("reason", reason.to_owned())));
    if event.change.is_of_evidence() {
        let answered_ms = event.answered_ms.map_or("none".to_owned(), |ms| ms.to_string());
        fields.push(("answered_ms", answered_ms));
    }
    shared.emit(kind, &fields);
}

/// Returns the field that names the request or the segment.
fn subject(key: SuspectKey) -> (&'static str, String) {
    match key {
        SuspectKey::Request(fingerprint) => ("fingerprint", fingerprint.to_string()),
        SuspectKey::Segment(key) => ("segment", format!("{:x}", key.segment.id)),
    }
}

fn workspace_name<H>(shared: &Shared<H>, workspace: NameHash) -> String {
    let routes = shared.routes.load();
    routes.workspace_name(workspace).unwrap_or("none").to_owned()
}
