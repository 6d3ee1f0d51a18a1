//! Flood headroom: how far above their share workspaces are paced that request more than their share.
//!
//! **Rule.** An instance counts, for each service, the prompts of workspaces within their share and how many of them
//! it refused because they would miss their target. While none is refused, workspaces over the level are paced at
//! [`HEADROOM_MAX_RATIO`] of their share. The ratio falls in proportion to the refused fraction, down to
//! [`HEADROOM_MIN_RATIO`] from [`REFUSED_FRACTION_FULL`] on, and the more a workspace requests, up to [`FLOOD_RATIO`]
//! times the level.
//!
//! **Inputs.** Decisions about prompts of workspaces within their share, by service.
//!
//! **Why.** The share of a workspace follows from estimated speeds, so pacing has headroom that keeps engines busy.
//! An engine that prefills without a pause delays the first events and the events of all its streams. When callers
//! within their share are refused, that headroom is taken from them.
//!
//! **Tested by** `tests/refusal_order.rs`, `tests/flood.rs`.

use reedsail_core::TimeMs;

use crate::decaying_sum::DecayingSum;

/// Time constant of the counts, in milliseconds: long enough for some tens of prompts at an instance, and short
/// against a flood.
const COUNT_MS: u64 = 2_000;
/// Pacing rate of a workspace over the level while nobody within the level is refused, as a ratio of its share.
const HEADROOM_MAX_RATIO: f64 = 1.5;
/// Pacing rate of a workspace over the level while many within the level are refused, as a ratio of its share.
const HEADROOM_MIN_RATIO: f64 = 0.7;
/// Refused fraction from which the pacing rate is the smallest: callers within their share expect to be served, and
/// one refusal in twenty is noticed.
const REFUSED_FRACTION_FULL: f64 = 0.05;
/// Ratio of what a workspace requests to the level from which it is paced by the full reduction. A workspace that
/// requests little more than the level is no flood.
const FLOOD_RATIO: f64 = 2.0;
/// Number of prompts that count as sent in addition, so that a single refusal at a quiet instance decides little.
const PRIOR_PROMPTS: f64 = 10.0;

/// The recent decisions about prompts of workspaces within their share.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FloodHeadroom {
    prompts: DecayingSum<COUNT_MS>,
    refused: DecayingSum<COUNT_MS>,
}

impl FloodHeadroom {
    /// Records the decision about a prompt of a workspace within its share.
    pub(crate) fn record(&mut self, is_refused: bool, now: TimeMs) {
        self.prompts.add(1.0, now);
        if is_refused {
            self.refused.add(1.0, now);
        }
    }

    /// Returns the pacing rate of a workspace over the level, as a ratio of its share, given the ratio of what it
    /// requests to the level.
    pub(crate) fn ratio(&self, requested_ratio: f64, now: TimeMs) -> f64 {
        let fraction = self.refused.value_at(now) / (self.prompts.value_at(now) + PRIOR_PROMPTS);
        let flood = ((requested_ratio - 1.0) / (FLOOD_RATIO - 1.0)).clamp(0.0, 1.0);
        let taken = flood * (fraction / REFUSED_FRACTION_FULL).min(1.0);
        HEADROOM_MAX_RATIO - taken * (HEADROOM_MAX_RATIO - HEADROOM_MIN_RATIO)
    }
}
