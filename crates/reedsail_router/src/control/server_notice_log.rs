//! Logs the servers that peers report as draining, and counts the servers that are backed off.
//!
//! Notices that this instance receives in a server's answer are logged where the answer is read.

use reedsail_core::TimeMs;
use reedsail_events::EventKind;

use super::messages::Origin;
use crate::shared::Shared;

/// Logs each server that a peer newly reported as draining, and counts the servers whose back-off is not over.
pub(crate) fn log_server_notices<H>(shared: &Shared<H>, now: TimeMs) {
    let (draining_keys, backed_off) = {
        let mut dispatcher = shared.dispatcher();
        (dispatcher.take_draining_from_peers(), dispatcher.backed_off(now))
    };
    shared.metrics.servers_backed_off.set(backed_off as i64);
    for key in draining_keys {
        // A server that is no longer listed has its own log line.
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
