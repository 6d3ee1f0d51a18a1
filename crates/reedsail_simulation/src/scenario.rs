//! The scenario of a simulated fleet: its instances, engines and workspaces, and their load.

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Parameters of one kind of prompt.
#[derive(Clone, Copy, Debug)]
pub struct PromptKind {
    /// Fraction of all requests that are of this kind.
    pub share: f64,
    /// Latency target of its route: the time to the first event, in milliseconds.
    pub latency_target_ms: u64,
    /// How long its callers wait, in milliseconds.
    pub deadline_ms: u64,
    /// Tokens of the segment that all workspaces share.
    pub common_tokens: u32,
    /// Mean tokens of a segment that requests of one workspace share.
    pub shared_tokens: u32,
    /// Number of these segments over all workspaces. Each workspace has an equal part of them, and at least one.
    pub shared_segments: usize,
    /// Mean tokens of the segment that is unique to a request.
    pub own_tokens: u32,
    /// Standard deviation of the logarithm of that segment's length.
    pub own_log_std_dev: f64,
    /// Tokens of an answer.
    pub output_tokens: u32,
}

/// The speed and capacity of an engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineSpeed {
    /// Prompt tokens that it prefills per millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Time to the first event without prefill, in milliseconds.
    pub base_ms: f64,
    /// Time per generated token with one running request, in milliseconds.
    pub token_ms: f64,
    /// Additional time per generated token for each further running request, in milliseconds.
    pub token_ms_per_running: f64,
    /// Maximum number of requests that it runs at the same time.
    pub slots: u32,
    /// How long it caches a segment after its last use, in milliseconds.
    pub cache_ttl_ms: u64,
}

/// A time in which a workspace sends a multiple of its usual requests.
#[derive(Clone, Copy, Debug)]
pub struct Flood {
    /// Index of the workspace.
    pub workspace: usize,
    /// When it begins, in milliseconds from the start.
    pub from_ms: u64,
    /// When it ends, in milliseconds from the start.
    pub until_ms: u64,
    /// Factor by which its request rate is multiplied.
    pub factor: f64,
}

/// Load shedding: a time in which an engine rejects every request and asks for a back-off.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Shedding {
    /// The engine.
    pub engine: usize,
    /// When it begins, in milliseconds from the start.
    pub from_ms: u64,
    /// When it ends, in milliseconds from the start.
    pub until_ms: u64,
    /// Duration of the requested back-off, in milliseconds.
    pub backoff_ms: u64,
}

/// An engine that drains, and announces it only in its answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Draining {
    /// The engine.
    pub engine: usize,
    /// When it begins, in milliseconds from the start.
    pub from_ms: u64,
}

/// The load of one workspace, and where it arrives.
#[derive(Clone, Debug)]
pub struct WorkspacePlan {
    /// Its name.
    pub name: String,
    /// Requests per second.
    pub requests_per_s: f64,
    /// Indexes of the instances at which its requests arrive.
    pub entry_instances: Vec<usize>,
}

/// A fleet and its callers.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Seed of all random numbers.
    pub seed: u64,
    /// Number of instances.
    pub instances: usize,
    /// Number of engines.
    pub engines: usize,
    /// Speed of each engine.
    pub speed: EngineSpeed,
    /// Interval of load reports, in milliseconds.
    pub report_interval_ms: u64,
    /// Transmission time of a sum of reports, in milliseconds.
    pub report_delay_ms: u64,
    /// Kinds of prompts.
    pub kinds: Vec<PromptKind>,
    /// Load of each workspace.
    pub workspaces: Vec<WorkspacePlan>,
    /// Floods of workspaces.
    pub floods: Vec<Flood>,
    /// Times of load shedding at engines.
    pub sheddings: Vec<Shedding>,
    /// Engines that drain.
    pub drainings: Vec<Draining>,
    /// Simulated time, in milliseconds.
    pub duration_ms: u64,
}

/// Exponent of the Zipf distribution of workspace sizes: the `n`th workspace sends `n` to the power of minus this
/// times the requests of the first.
const SIZE_EXPONENT: f64 = 1.8;
/// Maximum number of entry instances of a workspace that uses only a few.
const FEW_ENTRY_INSTANCES_MAX: usize = 3;

impl Scenario {
    /// Creates a fleet of 85 instances, 60 engines and 30 workspaces of very unequal size, most of which have only a
    /// few entry instances. The total load is `load` times the capacity of the engines. The seed determines a few
    /// floods.
    pub fn of_unequal_workspaces(seed: u64, load: f64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let instances = 85;
        let workspaces = unequal_workspaces(&mut random, 30, 1_270.0 * load, instances);
        let floods = draw_floods(&mut random, workspaces.len());
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
                cache_ttl_ms: 5_000,
            },
            report_interval_ms: 25,
            report_delay_ms: 50,
            kinds: prompt_kinds(),
            workspaces,
            floods,
            sheddings: Vec::new(),
            drainings: Vec::new(),
            duration_ms: 22_000,
        }
    }
}

fn prompt_kinds() -> Vec<PromptKind> {
    let long = PromptKind {
        share: 0.3,
        latency_target_ms: 600,
        deadline_ms: 12_000,
        common_tokens: 512,
        shared_tokens: 4_870,
        shared_segments: 908,
        own_tokens: 6_610,
        own_log_std_dev: 1.0,
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
        own_log_std_dev: 0.8,
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
        own_log_std_dev: 0.9,
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
    let weight = |index: usize| (index as f64 + 1.0).powf(-SIZE_EXPONENT);
    let total: f64 = (0..count).map(weight).sum();
    (0..count)
        .map(|place| {
            let has_many_entry_instances = random.random_bool(0.2);
            let entry_count_max = if has_many_entry_instances {
                instances
            } else {
                FEW_ENTRY_INSTANCES_MAX
            };
            let entry_count = random.random_range(1..=entry_count_max);
            WorkspacePlan {
                name: format!("workspace-{place}"),
                requests_per_s: requests_per_s * weight(place) / total,
                entry_instances: (0..entry_count)
                    .map(|_| random.random_range(0..instances))
                    .collect(),
            }
        })
        .collect()
}

/// Draws overlapping floods of workspaces in the larger half.
fn draw_floods(random: &mut StdRng, workspaces: usize) -> Vec<Flood> {
    let larger_half = workspaces / 2;
    (0..random.random_range(3..=8))
        .map(|_| {
            let workspace = random.random_range(0..larger_half);
            let from_ms = random.random_range(3_000..9_000);
            let factor_max: f64 = if workspace == 0 { 4.0 } else { 40.0 };
            Flood {
                workspace,
                from_ms,
                until_ms: from_ms + random.random_range(7_000..12_000),
                factor: 2.0 * (factor_max / 2.0).powf(random.random_range(0.0..1.0)),
            }
        })
        .collect()
}
