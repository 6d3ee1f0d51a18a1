//! Prefix cache index: the prompt segments that any instance recently sent to each backend server.
//!
//! The entries are hints. A server may have evicted a segment from its cache, which costs prefilling the
//! segment again. Owns the rows for the next load reports. The caller records segments that are sent and
//! segments that peers report.
//!
//! Tested by `tests/placement.rs` and `tests/decision_trace.rs`.

use std::collections::HashMap;

use reedsail_core::NameHash;
use reedsail_core::ServerKey;
use reedsail_core::TimeMs;
use twox_hash::XxHash64;

use crate::PrefixRow;

/// Maximum number of segments in the table, which bounds its memory to about a megabyte.
const SEGMENTS_MAX: usize = 8_192;
/// How long a server is assumed to keep a cached segment after its last use, in milliseconds.
const CACHE_TTL_MS: u64 = 20_000;
/// Interval at which a segment that stays in use is reported to peers again, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 5_000;
/// Number of reports that include the same row, because a report may be lost.
const REPORTS_PER_ROW: u8 = 2;
/// Maximum number of rows in a report, which keeps a datagram under 4 kB.
const ROWS_MAX: usize = 256;

/// Returns the hash that identifies a segment in load reports.
fn segment_hash(id: u64) -> u32 {
    XxHash64::oneshot(0, &id.to_le_bytes()) as u32
}

#[derive(Clone, Copy, Debug)]
struct Holder {
    server: ServerKey,
    used_at: TimeMs,
    /// When the entry was last reported to peers; zero if never.
    reported_at: TimeMs,
}

/// The servers that recently got each segment, by the segment's hash.
#[derive(Clone, Debug, Default)]
pub(crate) struct PrefixCacheIndex {
    segments: HashMap<u32, Vec<Holder>>,
    /// Rows for the next reports, each with the number of remaining reports that include it.
    unreported: Vec<(PrefixRow, u8)>,
}

impl PrefixCacheIndex {
    /// Records that this instance sent a segment to a server.
    pub(crate) fn record_sent(&mut self, id: u64, server: ServerKey, name: NameHash, now: TimeMs) {
        let segment = segment_hash(id);
        let reported_at = self
            .find_holder(segment, server)
            .map_or(TimeMs(0), |holder| holder.reported_at);
        let is_due = reported_at == TimeMs(0) || now.since_ms(reported_at) >= REPORT_INTERVAL_MS;
        let reported_at = if is_due { now } else { reported_at };
        self.insert(segment, server, reported_at, now);
        if is_due {
            let row = PrefixRow {
                segment,
                server: name,
            };
            self.unreported.push((row, REPORTS_PER_ROW));
        }
    }

    /// Records that a peer reported sending a segment, identified by its hash, to a server.
    pub(crate) fn record_reported(&mut self, segment: u32, server: ServerKey, now: TimeMs) {
        self.insert(segment, server, now, now);
    }

    /// Returns whether a server probably has a segment cached.
    pub(crate) fn has(&self, id: u64, server: ServerKey, now: TimeMs) -> bool {
        self.holders(id, now).any(|holder| holder == server)
    }

    /// Returns the servers that probably have a segment cached.
    pub(crate) fn holders(&self, id: u64, now: TimeMs) -> impl Iterator<Item = ServerKey> {
        self.segments
            .get(&segment_hash(id))
            .into_iter()
            .flatten()
            .filter(move |holder| now.since_ms(holder.used_at) < CACHE_TTL_MS)
            .map(|holder| holder.server)
    }

    /// Returns the rows for the next load report.
    pub(crate) fn report(&mut self) -> Vec<PrefixRow> {
        let count = self.unreported.len().min(ROWS_MAX);
        let rows = self.unreported[..count].iter().map(|(row, _)| *row).collect();
        for (_, reports_left) in &mut self.unreported[..count] {
            *reports_left -= 1;
        }
        self.unreported.retain(|(_, reports_left)| *reports_left > 0);
        rows
    }

    fn find_holder(&self, segment: u32, server: ServerKey) -> Option<&Holder> {
        let holders = self.segments.get(&segment)?;
        holders.iter().find(|holder| holder.server == server)
    }

    fn insert(&mut self, segment: u32, server: ServerKey, reported_at: TimeMs, now: TimeMs) {
        if self.segments.len() >= SEGMENTS_MAX && !self.segments.contains_key(&segment) {
            self.evict(now);
        }
        let holders = self.segments.entry(segment).or_default();
        holders.retain(|holder| holder.server != server && now.since_ms(holder.used_at) < CACHE_TTL_MS);
        holders.push(Holder {
            server,
            used_at: now,
            reported_at,
        });
    }

    /// Evicts segments that no server has cached any more. If none has expired, evicts the least recently
    /// used half. Evicting all segments would make the servers prefill every prompt again at once.
    fn evict(&mut self, now: TimeMs) {
        self.segments.retain(|_, holders| {
            holders
                .iter()
                .any(|holder| now.since_ms(holder.used_at) < CACHE_TTL_MS)
        });
        if self.segments.len() < SEGMENTS_MAX {
            return;
        }
        let last_used_at = |holders: &Vec<Holder>| holders.iter().map(|holder| holder.used_at).max();
        let mut use_times: Vec<Option<TimeMs>> = self.segments.values().map(last_used_at).collect();
        let middle = use_times.len() / 2;
        let (_, median, _) = use_times.select_nth_unstable(middle);
        let median = *median;
        self.segments.retain(|_, holders| last_used_at(holders) > median);
    }
}
