//! The requests of a simulated fleet: drawn as they arrive, and kept until they end.

use rand::Rng;
use rand::rngs::StdRng;
use reedsail_dispatch::Prompt;
use reedsail_dispatch::PromptSegment;

use crate::PromptKind;

/// A request of a caller.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) workspace: usize,
    pub(crate) instance: usize,
    pub(crate) prompt: Prompt,
    pub(crate) latency_target_ms: u64,
    pub(crate) deadline_ms: u64,
    /// It came back after a refusal, and does not do so again.
    pub(crate) has_come_back: bool,
}

/// Draws prompts; the segments that a workspace's requests share come again, their own ones never do.
#[derive(Debug)]
pub(crate) struct PromptSource {
    kinds: Vec<PromptKind>,
    workspaces: usize,
    drawn: u64,
}

impl PromptSource {
    pub(crate) fn new(kinds: &[PromptKind], workspaces: usize) -> Self {
        Self {
            kinds: kinds.to_vec(),
            workspaces,
            drawn: 0,
        }
    }

    /// Draws a request of a workspace.
    pub(crate) fn draw(&mut self, workspace: usize, instance: usize, random: &mut StdRng) -> Request {
        self.drawn += 1;
        let (number, kind) = self.draw_kind(random);
        let common = PromptSegment {
            id: number as u64,
            tokens: kind.common_tokens,
        };
        let own = PromptSegment {
            id: (1 << 60) + self.drawn,
            tokens: draw_length(kind.own_tokens, kind.own_spread, random),
        };
        let shared = self.draw_shared(workspace, number, &kind, random);
        Request {
            workspace,
            instance,
            prompt: Prompt {
                segments: vec![common, shared, own],
                output_tokens: kind.output_tokens,
            },
            latency_target_ms: kind.latency_target_ms,
            deadline_ms: kind.deadline_ms,
            has_come_back: false,
        }
    }

    fn draw_kind(&self, random: &mut StdRng) -> (usize, PromptKind) {
        let mut drawn = random.random_range(0.0..1.0);
        for (number, kind) in self.kinds.iter().enumerate() {
            if drawn < kind.share {
                return (number, *kind);
            }
            drawn -= kind.share;
        }
        let last = self.kinds.len() - 1;
        (last, self.kinds[last])
    }

    /// Draws one of the segments that a workspace's requests of a kind share; its length follows from its id.
    fn draw_shared(
        &self,
        workspace: usize,
        kind_number: usize,
        kind: &PromptKind,
        random: &mut StdRng,
    ) -> PromptSegment {
        let of_workspace = (kind.shared_segments / self.workspaces).max(1);
        let index = random.random_range(0..of_workspace) as u64;
        let id = ((kind_number as u64 + 1) << 40) + ((workspace as u64) << 20) + index;
        let quarters = 2 + (id.wrapping_mul(0x9e37_79b9) >> 8) % 5;
        PromptSegment {
            id,
            tokens: kind.shared_tokens * quarters as u32 / 4,
        }
    }
}

/// Draws a length whose logarithm is spread normally, with this mean, of eight times the mean at most.
fn draw_length(mean_tokens: u32, spread: f64, random: &mut StdRng) -> u32 {
    let normal: f64 = (0..12).map(|_| random.random_range(0.0..1.0)).sum::<f64>() - 6.0;
    let length = f64::from(mean_tokens) * (spread * normal - spread * spread / 2.0).exp();
    length.clamp(1.0, f64::from(mean_tokens) * 8.0) as u32
}
