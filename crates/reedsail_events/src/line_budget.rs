//! Limits how many events of one kind are reported per second.

use std::collections::HashMap;

use crate::EventKind;

/// The reported and omitted events of one kind in the current second.
#[derive(Clone, Copy, Debug, Default)]
struct KindUsage {
    second: u64,
    reported: u32,
    left_out: u64,
}

/// Whether an event is reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BudgetDecision {
    /// The event is reported, after `left_out` omitted events of its kind.
    Report { left_out: u64 },
    /// The event is only counted.
    LeaveOut,
}

/// The events reported so far, by kind and second.
#[derive(Debug)]
pub(crate) struct LineBudget {
    per_s_max: u32,
    kinds: HashMap<EventKind, KindUsage>,
}

impl LineBudget {
    pub(crate) fn new(per_s_max: u32) -> Self {
        Self {
            per_s_max,
            kinds: HashMap::new(),
        }
    }

    pub(crate) fn count(&mut self, kind: EventKind, unix_ms: u64) -> BudgetDecision {
        let second = unix_ms / 1_000;
        let usage = self.kinds.entry(kind).or_default();
        if usage.second != second {
            usage.second = second;
            usage.reported = 0;
        }
        if usage.reported >= self.per_s_max {
            usage.left_out += 1;
            return BudgetDecision::LeaveOut;
        }
        usage.reported += 1;
        BudgetDecision::Report {
            left_out: std::mem::take(&mut usage.left_out),
        }
    }
}
