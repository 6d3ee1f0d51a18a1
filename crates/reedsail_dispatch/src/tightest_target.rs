//! Tightest target: the shortest latency target among the prompts that a service got recently.
//!
//! **Rule.** Each arriving prompt records its latency target with its service. The tightest target is the shortest
//! one recorded within [`REMEMBERED_MS`]. Admission bounds the queue that prompts with longer targets may build by a
//! part of the tightest target.
//!
//! **Inputs.** Latency targets of arriving prompts (milliseconds), by service.
//!
//! **Why.** An engine prefills prompts in the order in which they arrive and knows no priorities. A queue that is
//! short enough for a prompt with a long target makes every prompt with a short target miss it, although such prompts
//! are mostly small. An engine that always has some work in its queue prefills as fast as one with a long queue, so a
//! shorter queue costs no throughput.
//!
//! **Tested by** `tests/refusal_order.rs`.

use std::collections::HashMap;

use reedsail_core::NameHash;
use reedsail_core::TimeMs;

/// How long a latency target is remembered after the last prompt with it, in milliseconds. It spans the pauses
/// between the requests of one kind at an instance.
const REMEMBERED_MS: u64 = 4_000;

/// A latency target, with the time until which it is remembered.
#[derive(Clone, Copy, Debug)]
struct RecentTarget {
    target_ms: u64,
    until: TimeMs,
}

/// The recent latency targets of each service.
#[derive(Clone, Debug, Default)]
pub(crate) struct TightestTargets {
    services: HashMap<NameHash, Vec<RecentTarget>>,
}

impl TightestTargets {
    /// Records the latency target of an arriving prompt.
    pub(crate) fn record(&mut self, service: NameHash, target_ms: u64, now: TimeMs) {
        let targets = self.services.entry(service).or_default();
        targets.retain(|known| known.until > now && known.target_ms != target_ms);
        let until = now.plus_ms(REMEMBERED_MS);
        targets.push(RecentTarget { target_ms, until });
    }

    /// Returns the shortest recent latency target of a service, in milliseconds; `None` if there is no recent one.
    pub(crate) fn of(&self, service: NameHash, now: TimeMs) -> Option<u64> {
        let targets = self.services.get(&service)?;
        let recent = targets.iter().filter(|known| known.until > now);
        recent.map(|known| known.target_ms).min()
    }
}
