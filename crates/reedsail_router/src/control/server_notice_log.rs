//! Logs and counts what peers told of servers' answers, and the servers that asked this instance for time.
//!
//! What servers tell this instance itself is logged where the answer comes in.

use reedsail_core::TimeMs;
use reedsail_events::EventKind;

use super::messages::Origin;
use crate::shared::Shared;

/// Logs each server that peers told to drain, and counts those that asked for time that is not over.
pub(crate) fn log_server_notices<H>(shared: &Shared<H>, now: TimeMs) {
    let (told, backed_off) = {
        let mut dispatcher = shared.dispatcher();
        (dispatcher.take_draining_from_peers(), dispatcher.backed_off(now))
    };
    shared.metrics.servers_backed_off.set(backed_off as i64);
    for key in told {
        // A server that is listed no more has a line of its own by then.
        let Some(view) = shared.servers.get(key) else {
            continue;
        };
        let fields = [
            ("server", view.id.to_string()),
            ("origin", Origin::Peer.name().to_owned()),
        ];
        shared.emit(EventKind::ServerDraining, &fields);
    }
}
