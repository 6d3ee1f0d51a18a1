//! Shows how many retries each service may still make on this instance.

use reedsail_core::TimeMs;

use crate::shared::Shared;

/// Interval between two updates of the metric, in milliseconds.
const SHOW_INTERVAL_MS: u64 = 1_000;

/// The state of the watch.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RetryWatch {
    next_show_at: TimeMs,
}

impl RetryWatch {
    /// Updates the metric if an update is due.
    pub(crate) fn tick<H>(&mut self, shared: &Shared<H>, now: TimeMs) {
        if now < self.next_show_at {
            return;
        }
        self.next_show_at = now.plus_ms(SHOW_INTERVAL_MS);
        let rooms = shared.dispatcher().retry_rooms(now);
        for (service, room) in rooms {
            let service = shared.servers.service_name(service);
            let gauge = shared.metrics.retries.room.with_label_values(&[&service]);
            gauge.set(room.floor() as i64);
        }
    }
}
