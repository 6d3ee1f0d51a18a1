//! The segments of prompts whose requests this instance has seen answered completely.
//!
//! A segment that was answered lately is hardly what ends servers now. Two generations of entries bound the memory: a new
//! generation begins when the current one is full or old, and the one before it is dropped.

use std::collections::HashSet;

use reedsail_core::TimeMs;

use crate::SegmentId;

/// Time after the start of the process until the segments that are used often have been answered again, in milliseconds.
const KNOWN_AFTER_MS: u64 = 10_000;
/// How long a generation takes new entries, in milliseconds. An entry is kept for at least this time.
const GENERATION_MS: u64 = 300_000;
/// Maximum number of entries of a generation: two of them take about 0.3 MB.
const GENERATION_ENTRIES_MAX: usize = 4_096;

/// The segments with a complete answer.
#[derive(Clone, Debug, Default)]
pub(crate) struct AnsweredSegments {
    current: HashSet<SegmentId>,
    previous: HashSet<SegmentId>,
    next_generation_at: TimeMs,
}

impl AnsweredSegments {
    /// Records a complete answer to a request with a segment.
    pub(crate) fn record(&mut self, segment: SegmentId, now: TimeMs) {
        if now >= self.next_generation_at || self.current.len() >= GENERATION_ENTRIES_MAX {
            self.previous = std::mem::take(&mut self.current);
            self.next_generation_at = now.plus_ms(GENERATION_MS);
        }
        self.current.insert(segment);
    }

    /// Returns whether a request with a segment was answered completely.
    pub(crate) fn contains(&self, segment: SegmentId) -> bool {
        self.current.contains(&segment) || self.previous.contains(&segment)
    }

    /// Returns whether the process has not run long enough to know which segments were answered.
    pub(crate) fn is_new(now: TimeMs) -> bool {
        now < TimeMs::PROCESS_START.plus_ms(KNOWN_AFTER_MS)
    }
}
