//! Paces reports to the byte budget by measuring the bytes of an exchange.

use reedsail_core::TimeMs;
use reedsail_scheduling::SharePolicy;

use super::Control;
use super::thread_time::thread_cpu_s;

/// The interval at which the bytes of an exchange are measured, in milliseconds.
const PACE_EVERY_MS: u64 = 1_000;

impl<P: SharePolicy> Control<P> {
    pub(super) fn exchange_pairs(&self, now: TimeMs) -> usize {
        let window_ms = self.shared.settings.control.lease_ms * 2;
        let recent = |at: TimeMs| at > TimeMs(0) && now.since_ms(at) < window_ms;
        let incoming = self
            .peers
            .values()
            .filter(|peer| recent(peer.reported_at))
            .count();
        let outgoing = self
            .peers
            .iter()
            .filter(|(name, peer)| **name != self.own_name && recent(peer.sent_at))
            .count();
        incoming + outgoing
    }

    pub(super) fn pace(&mut self, now: TimeMs) {
        if now.since_ms(self.paced_at) < PACE_EVERY_MS {
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
