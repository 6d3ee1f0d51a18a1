//! The request as the decisions see it, and the decision about it.

use reedsail_core::ErrorKind;
use reedsail_core::Fingerprint;
use reedsail_core::NameHash;
use reedsail_core::ServerKey;

use crate::AllowedRegions;
use crate::EngineWork;
use crate::SuspectKey;
use crate::VersionDemand;

/// Cost of a generated token in prefilled tokens, as users are charged for it.
const OUTPUT_TOKEN_COST: f64 = 2.0;
/// Cost of a request without a prompt, in tokens.
const PLAIN_COST: f64 = 1.0;

/// A segment of a prompt. Requests that begin with the same segments share the segments that a server has
/// cached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptSegment {
    /// Id of the segment's content.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// A prompt, as the caller describes it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Segments in order. The last one belongs to this request alone.
    pub segments: Vec<PromptSegment>,
    /// Maximum number of tokens in the answer.
    pub output_tokens: u32,
}

impl Prompt {
    /// Returns the total length of the prompt in tokens.
    pub fn tokens(&self) -> u32 {
        self.segments.iter().map(|segment| segment.tokens).sum()
    }

    /// Returns the length of the segment that no other request shares, in tokens.
    pub fn own_tokens(&self) -> u32 {
        self.segments.last().map_or(0, |segment| segment.tokens)
    }

    /// Returns the last segment that other requests share. Placement hashes this segment to choose servers.
    pub fn last_shared(&self) -> Option<PromptSegment> {
        match self.segments.as_slice() {
            [] => None,
            [only] => Some(*only),
            [.., shared, _] => Some(*shared),
        }
    }

    /// Returns the segments that other requests share: all but the last, or the only one if there is just
    /// one.
    pub fn shared_segments(&self) -> &[PromptSegment] {
        match self.segments.as_slice() {
            [] | [_] => &self.segments,
            [shared @ .., _] => shared,
        }
    }

    /// Returns the segments before the last one, which is the request's own.
    pub fn segments_before_last(&self) -> &[PromptSegment] {
        match self.segments.as_slice() {
            [] => &[],
            [before_last @ .., _] => before_last,
        }
    }

    /// Returns the cost in tokens. A generated token counts twice.
    pub fn cost(&self) -> f64 {
        f64::from(self.tokens()) + OUTPUT_TOKEN_COST * f64::from(self.output_tokens)
    }
}

/// Returns the cost in tokens of a request with or without a prompt. Fair shares are computed from this cost.
pub fn request_cost(prompt: Option<&Prompt>) -> f64 {
    prompt.map_or(PLAIN_COST, Prompt::cost)
}

/// How urgent a request is, as the operators rank it; lower is more urgent, and zero is the most urgent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Priority(pub u8);

/// A request for which a server is to be chosen.
#[derive(Clone, Copy, Debug)]
pub struct Demand<'a> {
    /// The called service.
    pub service: NameHash,
    /// The workspace that the request is charged to.
    pub workspace: NameHash,
    /// The prompt, if the service runs model engines.
    pub prompt: Option<&'a Prompt>,
    /// The route's target for the time to first event, in milliseconds from the request's arrival.
    pub latency_target_ms: u64,
    /// The route's target for the longest pause between two events of the answer, in milliseconds; `None` if it has
    /// none.
    pub gap_target_ms: Option<u64>,
    /// The priority of the request's workspace, or that of its route if the workspace has none.
    pub priority: Priority,
    /// Time since the request's arrival, in milliseconds.
    pub waited_ms: u64,
    /// Servers that earlier attempts of this request were sent to.
    pub tried: &'a [ServerKey],
    /// Regions in which the request may run.
    pub regions: &'a AllowedRegions,
    /// Software versions that may serve the request.
    pub version: VersionDemand,
    /// Fingerprint that identifies later retries of the same request; `None` if retries can't be identified.
    pub fingerprint: Option<Fingerprint>,
}

impl<'a> Demand<'a> {
    /// Returns the request that continues a stream. Its latency target was already met or missed, so only the time left
    /// limits which servers it may use.
    #[must_use]
    pub fn resumed(self, left_ms: u64) -> Self {
        Self {
            waited_ms: 0,
            latency_target_ms: left_ms,
            ..self
        }
    }

    /// Returns the cost of the request in tokens.
    pub(crate) fn cost(&self) -> f64 {
        request_cost(self.prompt)
    }

    /// Returns the prompt if it has segments. Only such a request needs prefill by an engine.
    pub(crate) fn engine_prompt(&self) -> Option<&'a Prompt> {
        self.prompt.filter(|prompt| !prompt.segments.is_empty())
    }
}

/// The server chosen for a request, with the estimates behind the choice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Placement {
    /// The backend server.
    pub server: ServerKey,
    /// Rank of the server for the prompt's last shared segment, from zero; zero for a request without a prompt.
    pub rank: u8,
    /// The server from which the chosen one transfers the cached segments that it lacks.
    pub cache_source: Option<ServerKey>,
    /// Prompt tokens that the server is expected to prefill itself.
    pub prefill_tokens: u32,
    /// Work of the server if it is an engine. The first-event model learns from this work and the measured
    /// time.
    pub work: EngineWork,
    /// Expected wait other than prefill, in milliseconds: for a transfer or a slot.
    pub other_wait_ms: u64,
    /// Expected time to the first event, in milliseconds.
    pub expected_ms: u64,
    /// Part of the expected time for which the server is busy with other requests, in milliseconds.
    pub queue_ms: u64,
    /// By how much the server's streams would pause too long with the prompt, in milliseconds, beyond what the prompt
    /// alone causes on an engine of mean speed.
    pub pause_excess_ms: u64,
}

/// Decision about a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// Send the request now.
    Send(Placement),
    /// Don't send the request: it is quarantined, or a segment of its prompt is, because servers ended while running it.
    Quarantined(SuspectKey),
    /// Don't send the request: it continues a stream, and no listed server that doesn't drain may continue it.
    VersionGone,
    /// Refuse the request without running it.
    Refuse {
        /// Reason for the refusal.
        kind: ErrorKind,
        /// Time after which a retry is likely to be served, in milliseconds from now.
        retry_after_ms: u64,
        /// The placement that was refused, if there was a server for the request.
        placement: Option<Placement>,
    },
}
