//! The segments of prompts whose requests this instance has seen answered completely.
//!
//! A segment that was answered lately is hardly what ends servers now. Two generations of entries bound the memory: a new
//! generation begins when the current one is full or old, and the one before it is dropped. A workspace whose prompts have
//! many segments fills its own part of a generation only.

use std::collections::HashMap;
use std::collections::HashSet;

use reedsail_core::NameHash;
use reedsail_core::TimeMs;

use crate::SegmentId;
use crate::SegmentKey;

/// Time after the start of the process until the segments that are used often have been answered again, in milliseconds.
const KNOWN_AFTER_MS: u64 = 10_000;
/// How long a generation takes new entries, in milliseconds.
const GENERATION_MS: u64 = 300_000;
/// Maximum number of entries of a generation: two of them take about 0.3 MB.
const GENERATION_ENTRIES_MAX: usize = 4_096;
/// Maximum number of entries of a generation that the requests of one workspace add.
const WORKSPACE_ENTRIES_MAX: usize = 512;

/// The segments with a complete answer.
#[derive(Clone, Debug, Default)]
pub(crate) struct AnsweredSegments {
    current: Generation,
    previous: Generation,
    next_generation_at: TimeMs,
}

#[derive(Clone, Debug, Default)]
struct Generation {
    segments: HashSet<SegmentId>,
    /// The number of entries that each workspace has added.
    added: HashMap<NameHash, usize>,
}

impl Generation {
    fn add(&mut self, key: SegmentKey) {
        if self.segments.contains(&key.segment) {
            return;
        }
        let added = self.added.entry(key.workspace).or_default();
        if *added < WORKSPACE_ENTRIES_MAX {
            *added += 1;
            self.segments.insert(key.segment);
        }
    }
}

impl AnsweredSegments {
    /// Records a complete answer to a request with a segment.
    pub(crate) fn record(&mut self, key: SegmentKey, now: TimeMs) {
        let is_full = self.current.segments.len() >= GENERATION_ENTRIES_MAX;
        if now >= self.next_generation_at || is_full {
            self.previous = std::mem::take(&mut self.current);
            self.next_generation_at = now.plus_ms(GENERATION_MS);
        }
        self.current.add(key);
    }

    /// Returns whether a request with a segment was answered completely.
    pub(crate) fn contains(&self, segment: SegmentId) -> bool {
        self.current.segments.contains(&segment) || self.previous.segments.contains(&segment)
    }

    /// Returns whether the process has not run long enough to know which segments were answered.
    pub(crate) fn is_new(now: TimeMs) -> bool {
        now < TimeMs::PROCESS_START.plus_ms(KNOWN_AFTER_MS)
    }
}
