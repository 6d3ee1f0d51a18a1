//! Bounds how many events of one kind are reported in a second.

use std::collections::HashMap;

use crate::EventKind;

/// What one kind has used of the present second.
#[derive(Clone, Copy, Debug, Default)]
struct Used {
    second: u64,
    reported: u32,
    left_out: u64,
}

/// Whether an event is reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// It is, and so many of its kind were left out before it.
    Report { left_out: u64 },
    /// It is counted only.
    LeaveOut,
}

/// Counts events by kind and second.
#[derive(Debug)]
pub(crate) struct LineBudget {
    per_s_max: u32,
    kinds: HashMap<EventKind, Used>,
}

impl LineBudget {
    pub(crate) fn new(per_s_max: u32) -> Self {
        Self {
            per_s_max,
            kinds: HashMap::new(),
        }
    }

    pub(crate) fn take(&mut self, kind: EventKind, unix_ms: u64) -> Verdict {
        let second = unix_ms / 1_000;
        let used = self.kinds.entry(kind).or_default();
        if used.second != second {
            used.second = second;
            used.reported = 0;
        }
        if used.reported >= self.per_s_max {
            used.left_out += 1;
            return Verdict::LeaveOut;
        }
        used.reported += 1;
        Verdict::Report {
            left_out: std::mem::take(&mut used.left_out),
        }
    }
}
