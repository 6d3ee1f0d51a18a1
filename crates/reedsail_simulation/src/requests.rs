//! Requests of a simulated fleet, drawn at random when they arrive.

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
    /// Whether the caller has retried it after a refusal. A caller retries only once.
    pub(crate) has_retried: bool,
}

/// Draws requests. The shared segments of a workspace recur, and each request has a segment of its own.
#[derive(Debug)]
pub(crate) struct PromptSource {
    kinds: Vec<PromptKind>,
    workspaces: usize,
    requests_drawn: u64,
}

impl PromptSource {
    pub(crate) fn new(kinds: &[PromptKind], workspaces: usize) -> Self {
        Self {
            kinds: kinds.to_vec(),
            workspaces,
            requests_drawn: 0,
        }
    }

    /// Draws a request of a workspace.
    pub(crate) fn draw(&mut self, workspace: usize, instance: usize, random: &mut StdRng) -> Request {
        self.requests_drawn += 1;
        let (kind_index, kind) = self.draw_kind(random);
        let common = PromptSegment {
            id: kind_index as u64,
            tokens: kind.common_tokens,
        };
        let own = PromptSegment {
            id: (1 << 60) + self.requests_drawn,
            tokens: draw_length(kind.own_tokens, kind.own_log_std_dev, random),
        };
        let shared = self.draw_shared(workspace, kind_index, &kind, random);
        Request {
            workspace,
            instance,
            prompt: Prompt {
                segments: vec![common, shared, own],
                output_tokens: kind.output_tokens,
            },
            latency_target_ms: kind.latency_target_ms,
            deadline_ms: kind.deadline_ms,
            has_retried: false,
        }
    }

    fn draw_kind(&self, random: &mut StdRng) -> (usize, PromptKind) {
        let mut remaining = random.random_range(0.0..1.0);
        for (kind_index, kind) in self.kinds.iter().enumerate() {
            if remaining < kind.share {
                return (kind_index, *kind);
            }
            remaining -= kind.share;
        }
        let last = self.kinds.len() - 1;
        (last, self.kinds[last])
    }

    /// Draws one of the segments that a workspace's requests of a kind share. Its length depends only on its id.
    fn draw_shared(
        &self,
        workspace: usize,
        kind_index: usize,
        kind: &PromptKind,
        random: &mut StdRng,
    ) -> PromptSegment {
        let workspace_segments = (kind.shared_segments / self.workspaces).max(1);
        let index = random.random_range(0..workspace_segments) as u64;
        let id = ((kind_index as u64 + 1) << 40) + ((workspace as u64) << 20) + index;
        let quarters = 2 + (id.wrapping_mul(0x9e37_79b9) >> 8) % 5;
        PromptSegment {
            id,
            tokens: kind.shared_tokens * quarters as u32 / 4,
        }
    }
}

/// Draws a length from a log-normal distribution with the given mean. The length is at most eight times the mean.
fn draw_length(mean_tokens: u32, log_std_dev: f64, random: &mut StdRng) -> u32 {
    let normal: f64 = (0..12).map(|_| random.random_range(0.0..1.0)).sum::<f64>() - 6.0;
    let length = f64::from(mean_tokens) * (log_std_dev * normal - log_std_dev * log_std_dev / 2.0).exp();
    length.clamp(1.0, f64::from(mean_tokens) * 8.0) as u32
}
