//! Logs and counts quarantined requests, which are no longer sent because servers ended while they ran.

use reedsail_core::NameHash;
use reedsail_dispatch::QuarantineChange;
use reedsail_dispatch::QuarantineEvent;
use reedsail_events::EventKind;

use crate::shared::Shared;

/// Logs each request whose quarantine began or ended, and counts the quarantined requests.
pub(crate) fn log_quarantine<H>(shared: &Shared<H>) {
    let (events, quarantined) = {
        let mut dispatcher = shared.dispatcher();
        (dispatcher.take_quarantine_events(), dispatcher.quarantined())
    };
    shared.metrics.quarantined.set(quarantined as i64);
    for event in events {
        log_event(shared, &event);
    }
}

fn log_event<H>(shared: &Shared<H>, event: &QuarantineEvent) {
    let mut fields = vec![
        ("fingerprint", event.fingerprint.to_string()),
        ("workspace", workspace_name(shared, event.workspace)),
    ];
    let end_reason = match event.change {
        QuarantineChange::Quarantined => {
            shared.emit(EventKind::RequestQuarantined, &fields);
            return;
        }
        QuarantineChange::Cleared => "answered",
        QuarantineChange::Forgotten => "has_not_come",
    };
    fields.push(("reason", end_reason.to_owned()));
    shared.emit(EventKind::QuarantineEnded, &fields);
}

fn workspace_name<H>(shared: &Shared<H>, workspace: NameHash) -> String {
    let routes = shared.routes.load();
    routes.workspace_name(workspace).unwrap_or("none").to_owned()
}
