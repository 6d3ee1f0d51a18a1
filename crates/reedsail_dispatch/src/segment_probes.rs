//! Probes: which requests with a quarantined segment are sent to see whether it still ends servers.
//!
//! Each instance sends one some time after the last end, and later at most one in [`PROBE_INTERVAL_MS`]. The instances of a
//! fleet spread their first probes, so that the end of a server under one holds the others back.

use std::collections::HashMap;

use reedsail_core::NameHash;
use reedsail_core::TimeMs;

use crate::SegmentId;

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
    probed_at: HashMap<SegmentId, TimeMs>,
}

impl SegmentProbes {
    /// Returns whether the instance `own` may send a request with a segment under which the last server ended at
    /// `last_ended_at`.
    pub(crate) fn is_due(
        &self,
        segment: SegmentId,
        last_ended_at: TimeMs,
        own: NameHash,
        now: TimeMs,
    ) -> bool {
        let mixed = (u64::from(own.0) ^ segment.id).wrapping_mul(PROBE_HASH_FACTOR);
        let spread_ms = mixed % PROBE_SPREAD_MS;
        if now < last_ended_at.plus_ms(PROBE_AFTER_MS + spread_ms) {
            return false;
        }
        let probed_at = self.probed_at.get(&segment);
        probed_at.is_none_or(|probed_at| now >= probed_at.plus_ms(PROBE_INTERVAL_MS))
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
