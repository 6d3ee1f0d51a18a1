//! The ends of servers that this instance has observed lately, and which of them happened together.
//!
//! **Rule.** An end counts against the segments of all requests that ran at the server, whether their answers had begun or
//! not, [`TOGETHER_MS`] after it. If another server ended within that time while it ran no request of this instance with the
//! segment, the end names that server.
//!
//! **Why.** Servers that end together have a common cause. A segment that was present at some of these ends only is not
//! that cause. A peer may know of requests with the segment at the other server, so the evidence of all peers decides
//! (`segment_evidence`).
//!
//! **Tested by** `tests/segment_ends.rs` and `tests/segment_quarantine.rs`, and `tests/poison_segment.rs` of `reedsail_simulation`.

use std::collections::BTreeMap;

use reedsail_core::TimeMs;

use crate::BrokenRequest;
use crate::SegmentId;
use crate::SegmentKey;
use crate::ServerEnd;
use crate::suspect::SuspectEnd;

/// Time within which servers end together, in milliseconds: a crash of several servers is seen by one instance within it.
pub(crate) const TOGETHER_MS: u64 = 100;
/// How long an end is kept, in milliseconds: until no other end can have happened together with it.
const KEPT_MS: u64 = 1_000;

/// The end of a server under the requests of one workspace with a segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SegmentEnd {
    pub(crate) key: SegmentKey,
    pub(crate) end: SuspectEnd,
    /// The longest time for which such an answer had been written, in milliseconds; `None` if no head had arrived.
    pub(crate) answered_ms: Option<u64>,
}

/// The ends that this instance has observed lately.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentEnds {
    ends: Vec<RecentEnd>,
}

#[derive(Clone, Debug)]
struct RecentEnd {
    end: ServerEnd,
    ended_at: TimeMs,
    /// Whether it was counted against its segments.
    is_settled: bool,
}

impl RecentEnd {
    fn has_segment(&self, segment: SegmentId) -> bool {
        let mut requests = self.end.requests.iter();
        requests.any(|request| request.service == segment.service && request.segments.contains(&segment.id))
    }

    fn is_together_with(&self, other: &Self) -> bool {
        self.end.name != other.end.name && self.ended_at.0.abs_diff(other.ended_at.0) <= TOGETHER_MS
    }
}

impl RecentEnds {
    /// Adds the end of a server.
    pub(crate) fn add(&mut self, end: ServerEnd) {
        self.ends.push(RecentEnd {
            ended_at: end.ended_at(),
            end,
            is_settled: false,
        });
    }

    /// Returns what counts from now on: each end with each segment of the requests that ran there.
    pub(crate) fn take_settled(&mut self, now: TimeMs) -> Vec<SegmentEnd> {
        let is_due = |end: &RecentEnd| !end.is_settled && now >= end.ended_at.plus_ms(TOGETHER_MS);
        let due = self.ends.iter().filter(|end| is_due(end));
        let settled: Vec<SegmentEnd> = due.flat_map(|end| self.segment_ends(end)).collect();
        for end in &mut self.ends {
            end.is_settled |= is_due(end);
        }
        self.ends
            .retain(|end| !end.is_settled || now < end.ended_at.plus_ms(KEPT_MS));
        settled
    }

    fn segment_ends(&self, recent: &RecentEnd) -> Vec<SegmentEnd> {
        let mut ends: BTreeMap<SegmentKey, SegmentEnd> = BTreeMap::new();
        for request in &recent.end.requests {
            for id in &request.segments {
                let segment = SegmentId {
                    service: request.service,
                    id: *id,
                };
                let workspace = request.workspace;
                let key = SegmentKey { segment, workspace };
                let end = ends
                    .entry(key)
                    .or_insert_with(|| self.segment_end(recent, key, request));
                end.end.sent_at = end.end.sent_at.max(request.sent_at);
                end.answered_ms = end.answered_ms.max(request.answered_ms);
                end.end.answered_ms = end.answered_ms.unwrap_or(0);
            }
        }
        ends.into_values().collect()
    }

    fn segment_end(&self, recent: &RecentEnd, key: SegmentKey, request: &BrokenRequest) -> SegmentEnd {
        let mut others = self.ends.iter();
        let beside = others.find(|other| other.is_together_with(recent) && !other.has_segment(key.segment));
        SegmentEnd {
            key,
            end: SuspectEnd {
                server: recent.end.name,
                sent_at: request.sent_at,
                ended_at: recent.ended_at,
                answered_ms: 0,
                beside: beside.map(|other| other.end.name),
                is_outlived: false,
                is_early: false,
            },
            answered_ms: request.answered_ms,
        }
    }
}
