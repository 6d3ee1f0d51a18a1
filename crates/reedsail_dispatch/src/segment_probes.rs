//! Probes: which requests with a quarantined segment are sent to see whether it still ends servers.
//!
//! **Rule.** While fewer than [`SERVERS_TOLERATED`] servers have ended, a request is sent soon after the last end: the
//! instances of the fleet take turns, until one of them has such a request. An instance that has started since the first end
//! does not take part, as it may not know all ends. Once a server has ended under such a probe, or so many have ended, each
//! instance sends one request [`PROBE_AFTER_MS`] or more after the last end, and later at most one in
//! [`PROBE_INTERVAL_MS`]. The end of a server under the probe of one instance holds the others back.
//!
//! **Why.** Servers that crash by themselves may put a sound segment in quarantine. Its next answer clears it.
//!
//! **Tested by** `tests/segment_probes.rs`, and `tests/poison_segment.rs` of `reedsail_simulation`.

use std::collections::HashMap;

use reedsail_core::NameHash;
use reedsail_core::TimeMs;

use crate::SegmentId;
use crate::segment_evidence::EndsSummary;

/// Number of servers that may end under a segment before users count what is sent later.
const SERVERS_TOLERATED: usize = 5;
/// Time after the last end until the instance whose turn is first sends an early probe, in milliseconds.
pub(crate) const EARLY_PROBE_AFTER_MS: u64 = 10_000;
/// Time between the turns of two instances, in milliseconds, beside the time in which an answer shows whether its server
/// survives it.
const EARLY_PROBE_TURN_MS: u64 = 2_000;
/// Time after the last end until a request with a quarantined segment is sent to see whether it still ends servers, in
/// milliseconds.
const PROBE_AFTER_MS: u64 = 600_000;
/// Time over which the instances of a fleet spread these probes, in milliseconds: the end of the first one holds the
/// others back.
const PROBE_SPREAD_MS: u64 = 600_000;
/// Odd factor that spreads the names of instances and segments over the time of the probes (Fibonacci hashing).
const PROBE_HASH_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;
/// Time in which an instance sends at most one such request, in milliseconds.
const PROBE_INTERVAL_MS: u64 = 60_000;

/// When the last request with each quarantined segment was sent.
#[derive(Clone, Debug, Default)]
pub(crate) struct SegmentProbes {
    /// The number of instances whose turn is before that of this one; `None` until it is known.
    position: Option<usize>,
    probed_at: HashMap<SegmentId, TimeMs>,
}

impl SegmentProbes {
    /// Sets the number of instances whose turn is before that of this one.
    pub(crate) fn set_position(&mut self, position: usize) {
        self.position = Some(position);
    }

    /// Returns whether the instance `own` may send a request with a segment under which servers have ended.
    pub(crate) fn is_due(&self, segment: SegmentId, ends: &EndsSummary, own: NameHash, now: TimeMs) -> bool {
        let mixed = (u64::from(own.0) ^ segment.id).wrapping_mul(PROBE_HASH_FACTOR);
        let late_probe_ms = PROBE_AFTER_MS + mixed % PROBE_SPREAD_MS;
        let after_ms = self.early_probe_ms(ends).unwrap_or(late_probe_ms);
        if now < ends.last_ended_at.plus_ms(after_ms) {
            return false;
        }
        let probed_at = self.probed_at.get(&segment);
        probed_at.is_none_or(|probed_at| now >= probed_at.plus_ms(PROBE_INTERVAL_MS))
    }

    /// Returns how long after the last end this instance sends an early probe, in milliseconds; `None` if it sends none.
    fn early_probe_ms(&self, ends: &EndsSummary) -> Option<u64> {
        let knows_all = ends.first_ended_at >= TimeMs::PROCESS_START;
        if ends.was_probed || ends.servers >= SERVERS_TOLERATED || !knows_all {
            return None;
        }
        let turn_ms = EARLY_PROBE_TURN_MS + ends.longest_answered_ms;
        Some(EARLY_PROBE_AFTER_MS + self.position? as u64 * turn_ms)
    }

    /// Records that a request with these segments is sent.
    pub(crate) fn record(&mut self, segments: impl IntoIterator<Item = SegmentId>, now: TimeMs) {
        let probes = segments.into_iter().map(|segment| (segment, now));
        self.probed_at.extend(probes);
    }

    /// Forgets the probes of a segment whose quarantine has ended.
    pub(crate) fn forget(&mut self, segment: SegmentId) {
        self.probed_at.remove(&segment);
    }
}
