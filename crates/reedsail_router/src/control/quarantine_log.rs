//! Logs and counts quarantined requests and segments, which are no longer sent because servers ended while they ran, and
//! the calls of the store that keeps them.

use reedsail_core::NameHash;
use reedsail_dispatch::QuarantineChange;
use reedsail_dispatch::QuarantineEvent;
use reedsail_dispatch::SuspectKey;
use reedsail_events::EventKind;

use super::messages::QuarantineCall;
use super::messages::QuarantineCallFailed;
use super::messages::RecordsWritten;
use crate::SavedQuarantine;
use crate::shared::Shared;

/// Logs each request and segment whose quarantine began or ended, and counts the quarantined ones.
pub(crate) fn log_quarantine<H>(shared: &Shared<H>) {
    let (events, requests, segments) = {
        let mut dispatcher = shared.dispatcher();
        let requests = dispatcher.quarantined_requests();
        let segments = dispatcher.quarantined_segments();
        (dispatcher.take_quarantine_events(), requests, segments)
    };
    shared.metrics.quarantine.requests.set(requests as i64);
    shared.metrics.quarantine.segments.set(segments as i64);
    for event in events {
        log_event(shared, &event);
    }
}

/// Logs that records of the store were restored.
pub(crate) fn log_restored<H>(shared: &Shared<H>, saved: &SavedQuarantine) {
    count_call(shared, QuarantineCall::Read, "ok");
    let fields = [
        ("records", saved.rows.len().to_string()),
        ("era", saved.era.to_string()),
    ];
    shared.emit(EventKind::QuarantineRestored, &fields);
}

/// Logs that the store has taken records.
pub(crate) fn log_written<H>(shared: &Shared<H>, written: &RecordsWritten) {
    count_call(shared, QuarantineCall::Write, "ok");
    let withdrawn = written.records.iter().filter(|record| record.row.is_none());
    let fields = [
        ("records", written.records.len().to_string()),
        ("withdrawn", withdrawn.count().to_string()),
        ("era", written.era.to_string()),
    ];
    shared.emit(EventKind::QuarantineWritten, &fields);
}

/// Logs that the store has not answered a call.
pub(crate) fn log_call_failure<H>(shared: &Shared<H>, failed: &QuarantineCallFailed) {
    count_call(shared, failed.call, "failed");
    let fields = [
        ("call", failed.call.name().to_owned()),
        ("fault", failed.fault.clone()),
    ];
    shared.emit(EventKind::QuarantineStoreFailed, &fields);
}

fn count_call<H>(shared: &Shared<H>, call: QuarantineCall, outcome: &str) {
    let calls = &shared.metrics.quarantine.store_calls;
    calls.with_label_values(&[call.name(), outcome]).inc();
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
