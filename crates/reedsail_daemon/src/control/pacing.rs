//! Measures the mean bytes of an exchange, from which the pacer derives the report interval that
//! keeps to the byte budget.

use reedsail_core::TimeMs;
use reedsail_scheduling::SharePolicy;

use super::Control;
use super::thread_time::thread_cpu_s;

/// The minimum time between two measurements of the bytes of an exchange, in milliseconds.
const MEASURE_EVERY_MS: u64 = 1_000;

impl<P: SharePolicy> Control<P> {
    /// Returns the number of peers that reported here within the last two leases, plus the number of other
    /// daemons to which this daemon reported in that time.
    pub(super) fn exchange_pairs(&self, now: TimeMs) -> usize {
        let window_ms = self.shared.settings.control.lease_ms * 2;
        // Time 0 means never.
        let is_recent = |at: TimeMs| at > TimeMs(0) && now.since_ms(at) < window_ms;
        let incoming = self
            .peers
            .values()
            .filter(|peer| is_recent(peer.reported_at))
            .count();
        let outgoing = self
            .peers
            .iter()
            .filter(|(name, peer)| **name != self.own_name && is_recent(peer.sent_at))
            .count();
        incoming + outgoing
    }

    /// Records the mean bytes of an exchange since the last measurement, and updates the metric of this
    /// thread's CPU time.
    pub(super) fn pace(&mut self, now: TimeMs) {
        if now.since_ms(self.paced_at) < MEASURE_EVERY_MS {
            return;
        }
        let bytes = self.shared.bytes.peer_calls.total_bytes() + self.shared.bytes.peer_served.total_bytes();
        let exchanges = self.exchanges - self.paced_exchanges;
        if let Some(exchange_bytes) = (bytes - self.paced_bytes).checked_div(exchanges) {
            self.pacer.record(exchange_bytes);
        }
        if let Some(seconds) = thread_cpu_s() {
            self.shared.metrics.control_cpu.set(seconds);
        }
        self.paced_at = now;
        self.paced_bytes = bytes;
        self.paced_exchanges = self.exchanges;
    }
}
