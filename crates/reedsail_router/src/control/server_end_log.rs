//! Logs and counts the servers that ended while requests of this instance ran there.

use std::collections::BTreeSet;

use reedsail_dispatch::BrokenRequest;
use reedsail_dispatch::ServerEnd;
use reedsail_events::EventKind;

use crate::shared::Shared;

/// Maximum number of segments in one log line.
const SEGMENTS_MAX: usize = 32;
/// Maximum number of fingerprints in one log line.
const FINGERPRINTS_MAX: usize = 8;

/// Logs each server that was found to have ended, with the requests that it interrupted.
pub(crate) fn log_server_ends<H>(shared: &Shared<H>) {
    let ends = shared.dispatcher().take_server_ends();
    for end in ends {
        shared.metrics.server_ends.inc();
        let fields = [
            ("server", server_id(shared, &end)),
            ("requests", end.requests.len().to_string()),
            ("fingerprints", fingerprints(&end)),
            ("segments", segments(&end)),
            ("answers", answers(&end)),
        ];
        shared.emit(EventKind::ServerEnded, &fields);
    }
}

/// Returns the server's id, or the hash of its name if it is no longer listed.
fn server_id<H>(shared: &Shared<H>, end: &ServerEnd) -> String {
    let view = shared.servers.get(end.server);
    view.map_or_else(|| format!("{:08x}", end.name.0), |view| view.id.to_string())
}

/// Returns the ids of the segments of the prompts, in hexadecimal digits.
fn segments(end: &ServerEnd) -> String {
    let requests = end.requests.iter();
    let ids: BTreeSet<u64> = requests
        .flat_map(|request| request.segments.iter().copied())
        .collect();
    let shown: Vec<String> = ids
        .iter()
        .take(SEGMENTS_MAX)
        .map(|id| format!("{id:x}"))
        .collect();
    shown.join(" ")
}

/// Returns how far the answers were, in the order of the fingerprints: the number of events and the milliseconds since the
/// head.
fn answers(end: &ServerEnd) -> String {
    let shown = end.requests.iter().take(FINGERPRINTS_MAX);
    let answer = |request: &BrokenRequest| {
        request
            .answered_ms
            .map_or("none".to_owned(), |ms| format!("{}@{ms}", request.events))
    };
    let shown: Vec<String> = shown.map(answer).collect();
    shown.join(" ")
}

fn fingerprints(end: &ServerEnd) -> String {
    let shown = end.requests.iter().take(FINGERPRINTS_MAX);
    let shown: Vec<String> = shown.map(|request| request.fingerprint.to_string()).collect();
    shown.join(" ")
}
