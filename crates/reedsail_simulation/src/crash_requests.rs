//! The requests of a fleet whose servers crash: sound ones, and those that end servers.

use rand::Rng;
use rand::rngs::StdRng;
use reedsail_core::Fingerprint;
use reedsail_core::NameHash;
use reedsail_dispatch::Prompt;
use reedsail_dispatch::PromptSegment;

use crate::CrashScenario;
use crate::PoisonCause;

/// Number of first segments that sound requests have.
const FIRST_SEGMENTS: u64 = 2;
/// Number of segments that requests have beside one that ends servers.
const COMPANIONS: u64 = 12;
/// Offsets of the ids of the kinds of segments.
const NEIGHBOUR_ID: u64 = 1_000;
const RARE_NEIGHBOUR_ID: u64 = 10_000;
const POISON_ID: u64 = 100_000;
const COMPANION_ID: u64 = 200_000;
const OWN_ID: u64 = 1_000_000;

/// A request of a caller.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) fingerprint: Fingerprint,
    pub(crate) workspace: NameHash,
    pub(crate) prompt: Prompt,
    /// Index in the scenario of what makes the request end servers; `None` for a sound request.
    pub(crate) poison: Option<usize>,
    /// Whether the caller has retried it already. It is always true for requests that end servers, which the scenario
    /// repeats.
    pub(crate) has_retried: bool,
}

/// Draws a request that ends no server.
pub(crate) fn draw_sound_request(scenario: &CrashScenario, random: &mut StdRng, number: u64) -> Request {
    let second = if random.random_bool(0.1) {
        RARE_NEIGHBOUR_ID + u64::from(random.random_range(0..scenario.rare_neighbours))
    } else {
        NEIGHBOUR_ID + u64::from(random.random_range(0..scenario.neighbours))
    };
    Request {
        fingerprint: Fingerprint(u128::from(number) << 64),
        workspace: draw_workspace(scenario, random),
        prompt: prompt(&[random.random_range(0..FIRST_SEGMENTS), second, OWN_ID + number]),
        poison: None,
        has_retried: false,
    }
}

/// Draws a request that ends servers.
pub(crate) fn draw_poison_request(
    scenario: &CrashScenario,
    random: &mut StdRng,
    poison: usize,
    number: u64,
) -> Request {
    let segment = POISON_ID + poison as u64;
    let first = random.random_range(0..FIRST_SEGMENTS);
    let companion = COMPANION_ID + COMPANIONS * poison as u64 + random.random_range(0..COMPANIONS);
    let (fingerprint, segments) = match scenario.poisons[poison].cause {
        PoisonCause::Request => (poison as u64 + 1, vec![first, segment]),
        PoisonCause::FirstSegment => (number << 32, vec![segment, companion, OWN_ID + number]),
        PoisonCause::SecondSegment => (number << 32, vec![first, segment, OWN_ID + number]),
        PoisonCause::MiddleSegment => (number << 32, vec![first, segment, companion, OWN_ID + number]),
    };
    let workspace = match scenario.poisons[poison].cause {
        PoisonCause::Request => workspace(0),
        PoisonCause::FirstSegment | PoisonCause::SecondSegment | PoisonCause::MiddleSegment => {
            draw_workspace(scenario, random)
        }
    };
    Request {
        fingerprint: Fingerprint(u128::from(fingerprint)),
        workspace,
        prompt: prompt(&segments),
        poison: Some(poison),
        has_retried: true,
    }
}

fn draw_workspace(scenario: &CrashScenario, random: &mut StdRng) -> NameHash {
    workspace(random.random_range(0..scenario.workspaces))
}

fn workspace(number: u32) -> NameHash {
    NameHash::of(&format!("workspace-{number}"))
}

fn prompt(ids: &[u64]) -> Prompt {
    let segment = |id: &u64| PromptSegment { id: *id, tokens: 40 };
    Prompt {
        segments: ids.iter().map(segment).collect(),
        output_tokens: 20,
    }
}
