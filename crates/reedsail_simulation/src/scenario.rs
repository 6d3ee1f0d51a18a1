//! What a simulated fleet has, and who asks for how much.

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Figures of one kind of prompt.
#[derive(Clone, Copy, Debug)]
pub struct PromptKind {
    /// Share of all requests that are of this kind.
    pub share: f64,
    /// Time to the first event that its route aims at, in milliseconds.
    pub latency_target_ms: u64,
    /// How long its callers wait, in milliseconds.
    pub deadline_ms: u64,
    /// Tokens of the segment that all workspaces share.
    pub common_tokens: u32,
    /// Mean tokens of the segments that requests of one workspace share.
    pub shared_tokens: u32,
    /// Segments of that sort over all workspaces; each has an even part of them, and at least one.
    pub shared_segments: usize,
    /// Mean tokens that belong to a request alone.
    pub own_tokens: u32,
    /// How unlike the lengths of requests are: the standard deviation of their logarithm.
    pub own_spread: f64,
    /// Tokens of an answer.
    pub output_tokens: u32,
}

/// How fast an engine is.
#[derive(Clone, Copy, Debug)]
pub struct EngineSpeed {
    /// Prompt tokens that it prefills in a millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Time to the first event beyond prefill, in milliseconds.
    pub base_ms: f64,
    /// Time of a generated token with one request running, in milliseconds.
    pub token_ms: f64,
    /// What each further request adds to that, in milliseconds.
    pub token_ms_per_running: f64,
    /// Requests that it runs at once.
    pub slots: u32,
    /// How long it keeps a segment that nobody uses, in milliseconds.
    pub cached_ms: u64,
}

/// A span in which a workspace asks for a multiple of its usual.
#[derive(Clone, Copy, Debug)]
pub struct Flood {
    /// The workspace's place in the list.
    pub workspace: usize,
    /// When it begins, in milliseconds from the start.
    pub from_ms: u64,
    /// When it ends, in milliseconds from the start.
    pub until_ms: u64,
    /// The multiple.
    pub factor: f64,
}

/// A span in which an engine turns every request away and asks for time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Shedding {
    /// The engine.
    pub engine: usize,
    /// When it begins, in milliseconds from the start.
    pub from_ms: u64,
    /// When it ends, in milliseconds from the start.
    pub until_ms: u64,
    /// For how long it wants nothing, in milliseconds.
    pub backoff_ms: u64,
}

/// An engine that drains, and says so in its answers alone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Draining {
    /// The engine.
    pub engine: usize,
    /// When it begins, in milliseconds from the start.
    pub from_ms: u64,
}

/// How much one workspace asks for, and where.
#[derive(Clone, Debug)]
pub struct WorkspacePlan {
    /// Its name.
    pub name: String,
    /// Requests a second.
    pub requests_per_s: f64,
    /// The instances that its callers enter at.
    pub entries: Vec<usize>,
}

/// A fleet and its callers.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The seed of everything that is drawn.
    pub seed: u64,
    /// Entry instances.
    pub instances: usize,
    /// Engines.
    pub engines: usize,
    /// How fast they are.
    pub speed: EngineSpeed,
    /// Interval of load reports, in milliseconds.
    pub report_every_ms: u64,
    /// How long a sum of reports is on its way, in milliseconds.
    pub report_delay_ms: u64,
    /// The kinds of prompts.
    pub kinds: Vec<PromptKind>,
    /// The workspaces.
    pub workspaces: Vec<WorkspacePlan>,
    /// Who asks for more, and when.
    pub floods: Vec<Flood>,
    /// Which engines turn requests away, and when.
    pub sheddings: Vec<Shedding>,
    /// Which engines drain, and from when on.
    pub drainings: Vec<Draining>,
    /// How long callers ask, in milliseconds.
    pub length_ms: u64,
}

/// How the sizes of workspaces fall: the one at place `n` asks for `n` to the minus this of what the first asks.
const SIZE_EXPONENT: f64 = 1.8;
/// Entry instances of a workspace whose callers are few.
const FEW_ENTRIES_MAX: usize = 3;

impl Scenario {
    /// Makes a fleet of 85 instances before 60 engines and 30 workspaces of very unequal size, most of which
    /// enter at few instances, that asks for `load` times what the engines produce, with a few floods drawn
    /// from the seed.
    pub fn of_unequal_workspaces(seed: u64, load: f64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let instances = 85;
        let workspaces = unequal_workspaces(&mut random, 30, 1_270.0 * load, instances);
        let floods = drawn_floods(&mut random, workspaces.len());
        Self {
            seed,
            instances,
            engines: 60,
            speed: EngineSpeed {
                prefill_tokens_per_ms: 112.0,
                base_ms: 47.0,
                token_ms: 3.2,
                token_ms_per_running: 0.05,
                slots: 32,
                cached_ms: 5_000,
            },
            report_every_ms: 25,
            report_delay_ms: 50,
            kinds: three_kinds(),
            workspaces,
            floods,
            sheddings: Vec::new(),
            drainings: Vec::new(),
            length_ms: 22_000,
        }
    }
}

fn three_kinds() -> Vec<PromptKind> {
    let long = PromptKind {
        share: 0.3,
        latency_target_ms: 600,
        deadline_ms: 12_000,
        common_tokens: 512,
        shared_tokens: 4_870,
        shared_segments: 908,
        own_tokens: 6_610,
        own_spread: 1.0,
        output_tokens: 384,
    };
    let short = PromptKind {
        share: 0.22,
        latency_target_ms: 300,
        deadline_ms: 12_000,
        common_tokens: 119,
        shared_tokens: 79,
        shared_segments: 430,
        own_tokens: 628,
        own_spread: 0.8,
        output_tokens: 290,
    };
    let tagging = PromptKind {
        share: 0.48,
        latency_target_ms: 400,
        deadline_ms: 2_500,
        common_tokens: 341,
        shared_tokens: 227,
        shared_segments: 2_156,
        own_tokens: 1_800,
        own_spread: 0.9,
        output_tokens: 24,
    };
    vec![long, short, tagging]
}

fn unequal_workspaces(
    random: &mut StdRng,
    count: usize,
    requests_per_s: f64,
    instances: usize,
) -> Vec<WorkspacePlan> {
    let weight = |place: usize| (place as f64 + 1.0).powf(-SIZE_EXPONENT);
    let total: f64 = (0..count).map(weight).sum();
    (0..count)
        .map(|place| {
            let is_spread = random.random_bool(0.2);
            let most = if is_spread { instances } else { FEW_ENTRIES_MAX };
            let entries = random.random_range(1..=most);
            WorkspacePlan {
                name: format!("workspace-{place}"),
                requests_per_s: requests_per_s * weight(place) / total,
                entries: (0..entries).map(|_| random.random_range(0..instances)).collect(),
            }
        })
        .collect()
}

/// Draws floods of some large and middling workspaces, which overlap.
fn drawn_floods(random: &mut StdRng, workspaces: usize) -> Vec<Flood> {
    let middling = workspaces / 2;
    (0..random.random_range(3..=8))
        .map(|_| {
            let workspace = random.random_range(0..middling);
            let from_ms = random.random_range(3_000..9_000);
            let most: f64 = if workspace == 0 { 4.0 } else { 40.0 };
            Flood {
                workspace,
                from_ms,
                until_ms: from_ms + random.random_range(7_000..12_000),
                factor: 2.0 * (most / 2.0).powf(random.random_range(0.0..1.0)),
            }
        })
        .collect()
}
