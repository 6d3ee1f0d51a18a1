//! Pacing: how fast the prompts are sent of a workspace that wants more than its share.
//!
//! **Rule.** Workspaces that requested more than the max-min level have an allowance of prompt tokens on each
//! instance, which grows at the workspace's rate and from which each prompt that is sent is taken. The rate is
//! [`HEADROOM`] times its max-min share, by recent demand, of what the other workspaces leave of the engines'
//! prefill, as far as its requests come to this instance. It is raised for a workspace that was lately sent less
//! than the other paced ones, and lowered for one that was sent more.
//!
//! **Inputs.** What workspaces lately wanted and were sent, here and from peers' reports (tokens); how many
//! tokens the engines of all services prefill in a millisecond.
//!
//! **Why.** A queue is known some 60 ms late, and in that time all instances see the same short queue. A flood
//! that each of them lets in there makes it longer than the target of everybody else, and who asks most gets
//! most. A rate that follows from what is asked needs no news of what others just did. It has headroom, since
//! the speed of engines is an estimate: pacing at the share itself, and longer queues for those who keep to it,
//! kept a flood off as well but left engines idle (docs/design/SHIFTED-WORK.md).
//!
//! **Tested by** `tests/shares.rs`, and `tests/starved_workspace.rs` of `reedsail_simulation`.

use std::collections::HashMap;

use reedsail_core::NameHash;
use reedsail_core::TimeMs;

use crate::fair_share::CappedWorkspace;

/// What a paced workspace may be sent, as a ratio of its share.
const HEADROOM: f64 = 1.5;
/// The rate of a workspace that was lately sent nothing is raised by this much, as a ratio.
const EVENING_GAIN: f64 = 3.0;
/// Largest allowance, as what has grown in this many milliseconds.
const ALLOWANCE_MS: f64 = 100.0;
/// Prompts of the size that asks for which the largest allowance is enough at least: requests of a small workspace
/// come at random, and two of them close to each other are no flood.
const ALLOWANCE_PROMPTS: f64 = 3.0;
/// The least fraction of the engines' prefill that workspaces within their share leave to the others, so that an
/// estimate that is too high keeps nobody out.
const ROOM_MIN: f64 = 0.1;

/// What all engines prefill together.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PrefillCapacity {
    /// Prompt tokens in a millisecond.
    pub(crate) tokens_per_ms: f64,
}

impl PrefillCapacity {
    /// Returns what workspaces within their share leave, in prompt tokens a millisecond.
    fn left_tokens_per_ms(self, uncapped_tokens_per_ms: f64) -> f64 {
        (self.tokens_per_ms - uncapped_tokens_per_ms).max(ROOM_MIN * self.tokens_per_ms)
    }
}

#[derive(Clone, Copy, Debug)]
struct Allowance {
    tokens: f64,
    grown_at: TimeMs,
}

impl Allowance {
    fn grow(&mut self, tokens_per_ms: f64, prompt_tokens: f64, now: TimeMs) {
        let passed_ms = now.since_ms(self.grown_at) as f64;
        self.grown_at = now;
        let tokens_max = (tokens_per_ms * ALLOWANCE_MS).max(prompt_tokens * ALLOWANCE_PROMPTS);
        self.tokens = (self.tokens + tokens_per_ms * passed_ms).min(tokens_max);
    }
}

/// The allowance of each paced workspace on this instance.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pacer {
    allowances: HashMap<NameHash, Allowance>,
}

impl Pacer {
    /// Tells whether a prompt of a workspace is sent, of which a server has to prefill so many tokens, and takes
    /// it from the allowance if it is.
    pub(crate) fn passes(
        &mut self,
        name: NameHash,
        workspace: &CappedWorkspace<'_>,
        capacity: PrefillCapacity,
        prefill_tokens: f64,
        now: TimeMs,
    ) -> bool {
        let left_tokens_per_ms = capacity.left_tokens_per_ms(workspace.uncapped_tokens_per_ms());
        let level_tokens_per_ms = workspace.level_tokens_per_ms(left_tokens_per_ms);
        if level_tokens_per_ms.is_infinite() {
            return true;
        }
        let evening = 1.0 + EVENING_GAIN * (1.0 - workspace.sent_ratio);
        let own_level_tokens_per_ms = level_tokens_per_ms * workspace.own_fraction;
        let tokens_per_ms = HEADROOM * evening.max(0.0) * own_level_tokens_per_ms;
        let allowance = self.allowances.entry(name).or_insert(Allowance {
            tokens: 0.0,
            grown_at: now,
        });
        allowance.grow(tokens_per_ms, prefill_tokens, now);
        if allowance.tokens < 0.0 {
            return false;
        }
        allowance.tokens -= prefill_tokens;
        true
    }
}
