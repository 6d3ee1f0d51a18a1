//! What a request asks for, and what is decided about it.

use reedsail_core::ErrorKind;
use reedsail_core::NameHash;
use reedsail_core::ServerKey;

/// One part of a prompt; requests that begin with the same parts can share what a server has read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptSegment {
    /// The part's identity.
    pub id: u64,
    /// Its length.
    pub tokens: u32,
}

/// A prompt, as the caller describes it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Its parts in order; the last belongs to this request alone.
    pub parts: Vec<PromptSegment>,
    /// The most tokens that the answer may have.
    pub output_tokens: u32,
}

impl Prompt {
    /// Returns the length of the whole prompt in tokens.
    pub fn tokens(&self) -> u32 {
        self.parts.iter().map(|part| part.tokens).sum()
    }

    /// Returns the length of the part that no other request shares, in tokens.
    pub fn own_tokens(&self) -> u32 {
        self.parts.last().map_or(0, |part| part.tokens)
    }

    /// Returns the last part that other requests share, by which the prompt finds its server.
    pub fn last_shared(&self) -> Option<PromptSegment> {
        match self.parts.as_slice() {
            [] => None,
            [only] => Some(*only),
            [.., shared, _] => Some(*shared),
        }
    }

    /// Returns the parts that other requests share; all but the last, or the only one.
    pub fn shared_segments(&self) -> &[PromptSegment] {
        match self.parts.as_slice() {
            [] | [_] => &self.parts,
            [shared @ .., _] => shared,
        }
    }

    /// Returns the cost in tokens: one for each token read, two for each that may be made.
    pub fn cost(&self) -> f64 {
        f64::from(self.tokens()) + 2.0 * f64::from(self.output_tokens)
    }
}

/// A request that wants a server.
#[derive(Clone, Copy, Debug)]
pub struct Demand<'a> {
    /// The service that it calls.
    pub service: NameHash,
    /// The workspace that it counts against.
    pub workspace: NameHash,
    /// Its prompt, for a service of model engines.
    pub prompt: Option<&'a Prompt>,
    /// Within which time its answer is to begin, counted from its arrival.
    pub latency_target_ms: u64,
    /// How long ago it arrived.
    pub waited_ms: u64,
    /// Servers that were tried already.
    pub tried: &'a [ServerKey],
}

/// Where a request is to go.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Placement {
    /// The backend server.
    pub server: ServerKey,
    /// A server from which the chosen one can copy what it has read of the prompt.
    pub cache_source: Option<ServerKey>,
    /// Prompt tokens that the server is expected to read itself.
    pub prefill_tokens: u32,
    /// After which time the answer is expected to begin.
    pub expected_ms: u64,
    /// The part of that time for which the server is busy with other requests.
    pub queue_ms: u64,
}

/// What is decided about a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// It is sent now.
    Send(Placement),
    /// It is refused without having run.
    Refuse {
        /// Why.
        kind: ErrorKind,
        /// When a repeat is likely to be served.
        retry_after_ms: u64,
        /// After which time its answer would have begun, if any server could be reached.
        expected_ms: Option<u64>,
    },
}
