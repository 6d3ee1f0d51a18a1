//! Pacing: how fast prompts are sent for a workspace that requests more than its share.
//!
//! **Rule.** Each instance has a token bucket for every workspace that requested more than the max-min level.
//! The bucket counts prompt tokens: it refills at the workspace's rate, and each prompt that is sent is taken
//! from it. The rate is [`HEADROOM_RATIO`] times the workspace's max-min share, by recent demand, of the
//! engines' prefill rate that the other workspaces leave, multiplied by the fraction of the workspace's
//! requests that arrive at this instance. It is raised for a workspace that was recently sent less than the
//! other paced ones, and lowered for one that was sent more.
//!
//! **Inputs.** Recent prefill tokens and sent cost of workspaces, from this instance and from peers' reports
//! (tokens); the rate at which the engines of all services prefill (tokens per millisecond).
//!
//! **Why.** Peers learn of a queue about 60 ms late, and during that time all instances see the same short
//! queue. If each instance admits a flood into that queue, the queue becomes longer than the target of all
//! other workspaces, and the workspace that requests most gets most. A rate that follows from the demand
//! needs no knowledge of what other instances just sent. The rate has headroom because the speed of engines
//! is an estimate. Pacing at the share itself, combined with longer queues for workspaces within their share,
//! also contained a flood but left engines idle (docs/design/SHIFTED-WORK.md).
//!
//! **Tested by** `tests/shares.rs`, and `tests/starved_workspace.rs` of `reedsail_simulation`.

use std::collections::HashMap;

use reedsail_core::NameHash;
use reedsail_core::TimeMs;

use crate::fair_share::CappedWorkspace;

/// Rate of a paced workspace, as a ratio of its share.
const HEADROOM_RATIO: f64 = 1.5;
/// Amount by which the rate of a workspace that was recently sent nothing is raised, as a ratio of the rate.
const CORRECTION_GAIN: f64 = 3.0;
/// Capacity of a token bucket, as its refill in this many milliseconds.
const BUCKET_CAPACITY_MS: f64 = 100.0;
/// Minimum capacity of a token bucket, in prompts of the size of the current one. Requests of a small
/// workspace arrive at random, and two of them in quick succession are no flood.
const BUCKET_CAPACITY_PROMPTS: f64 = 3.0;
/// Minimum fraction of the engines' prefill rate that remains for workspaces over the level, so that an
/// overestimated demand of the others blocks no workspace.
const SPARE_FRACTION_MIN: f64 = 0.1;

/// Total prefill rate of all engines.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PrefillCapacity {
    /// Prompt tokens per millisecond.
    pub(crate) tokens_per_ms: f64,
}

impl PrefillCapacity {
    /// Returns the rate that workspaces within their share leave, in prompt tokens per millisecond.
    fn spare_tokens_per_ms(self, uncapped_tokens_per_ms: f64) -> f64 {
        (self.tokens_per_ms - uncapped_tokens_per_ms).max(SPARE_FRACTION_MIN * self.tokens_per_ms)
    }
}

#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    tokens: f64,
    refilled_at: TimeMs,
}

impl TokenBucket {
    fn refill(&mut self, tokens_per_ms: f64, prompt_tokens: f64, now: TimeMs) {
        let elapsed_ms = now.since_ms(self.refilled_at) as f64;
        self.refilled_at = now;
        let capacity_tokens =
            (tokens_per_ms * BUCKET_CAPACITY_MS).max(prompt_tokens * BUCKET_CAPACITY_PROMPTS);
        self.tokens = (self.tokens + tokens_per_ms * elapsed_ms).min(capacity_tokens);
    }
}

/// The token bucket of each paced workspace on this instance.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pacer {
    buckets: HashMap<NameHash, TokenBucket>,
}

impl Pacer {
    /// Returns whether a workspace's prompt is sent of which a server has to prefill `prefill_tokens` tokens.
    /// If it is, takes the tokens from the workspace's bucket, which may become negative.
    pub(crate) fn try_take(
        &mut self,
        name: NameHash,
        workspace: &CappedWorkspace<'_>,
        capacity: PrefillCapacity,
        prefill_tokens: f64,
        now: TimeMs,
    ) -> bool {
        let spare_tokens_per_ms = capacity.spare_tokens_per_ms(workspace.uncapped_tokens_per_ms());
        let level_tokens_per_ms = workspace.level_tokens_per_ms(spare_tokens_per_ms);
        if level_tokens_per_ms.is_infinite() {
            return true;
        }
        let correction = 1.0 + CORRECTION_GAIN * (1.0 - workspace.sent_ratio);
        let own_level_tokens_per_ms = level_tokens_per_ms * workspace.own_fraction;
        let tokens_per_ms = HEADROOM_RATIO * correction.max(0.0) * own_level_tokens_per_ms;
        let bucket = self.buckets.entry(name).or_insert(TokenBucket {
            tokens: 0.0,
            refilled_at: now,
        });
        bucket.refill(tokens_per_ms, prefill_tokens, now);
        if bucket.tokens < 0.0 {
            return false;
        }
        bucket.tokens -= prefill_tokens;
        true
    }
}
