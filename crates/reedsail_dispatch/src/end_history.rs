//! The ends of servers that are known of the last minute, whatever ran there.
//!
//! **Inputs.** The ends that this instance has observed, and those under the segments of peers' rows.
//!
//! **Why.** A server that ends without a segment did not end because of it. Where many do, the segment may as well have been
//! present by chance where others ended (`segment_evidence`).
//!
//! **Tested by** `tests/segment_ends.rs`, and `tests/poison_segment.rs` of `reedsail_simulation`.

use std::collections::VecDeque;

use reedsail_core::NameHash;
use reedsail_core::TimeMs;

use crate::recent_ends::TOGETHER_MS;

/// How long an end is kept, in milliseconds: longer than the time between the ends that put a segment in quarantine.
const KEPT_MS: u64 = 60_000;
/// Maximum number of ends that are kept.
const ENDS_MAX: usize = 256;

/// The known ends of servers, in the order in which they became known.
#[derive(Clone, Debug, Default)]
pub(crate) struct EndHistory {
    ends: VecDeque<KnownEnd>,
}

/// The end of a server.
#[derive(Clone, Copy, Debug)]
struct KnownEnd {
    server: NameHash,
    ended_at: TimeMs,
}

impl EndHistory {
    /// Records the end of a server, unless it is known or old.
    pub(crate) fn record(&mut self, server: NameHash, ended_at: TimeMs, now: TimeMs) {
        let is_kept = |end: &KnownEnd| now.since_ms(end.ended_at) < KEPT_MS;
        let end = KnownEnd { server, ended_at };
        if !is_kept(&end) || self.ends.iter().any(|known| known.server == server) {
            return;
        }
        self.ends.retain(is_kept);
        if self.ends.len() >= ENDS_MAX {
            self.ends.pop_front();
        }
        self.ends.push_back(end);
    }

    /// Returns the times at which servers ended that `is_left_out` does not select. Servers that ended together count once.
    pub(crate) fn times_without(&self, is_left_out: impl Fn(NameHash) -> bool) -> Vec<TimeMs> {
        let others = self.ends.iter().filter(|end| !is_left_out(end.server));
        let mut times: Vec<TimeMs> = others.map(|end| end.ended_at).collect();
        times.sort_unstable();
        times.dedup_by(|later, first| later.since_ms(*first) <= TOGETHER_MS);
        times
    }
}
