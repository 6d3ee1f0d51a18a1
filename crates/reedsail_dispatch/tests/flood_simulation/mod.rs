//! Simulates the router's decisions during a long flood by one workspace, with instances that exchange load
//! reports and with isolated instances, and measures the served ratio of every workspace. Time is simulated.

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use reedsail_core::NameHash;
use reedsail_core::ServerKey;
use reedsail_core::TimeMs;
use reedsail_dispatch::AllowedRegions;
use reedsail_dispatch::Attempt;
use reedsail_dispatch::AttemptOutcome;
use reedsail_dispatch::Decision;
use reedsail_dispatch::Demand;
use reedsail_dispatch::DispatchSettings;
use reedsail_dispatch::Dispatcher;
use reedsail_dispatch::Placement;
use reedsail_dispatch::Priority;
use reedsail_dispatch::Prompt;
use reedsail_dispatch::PromptSegment;
use reedsail_dispatch::ServerSetup;
use reedsail_dispatch::SoftwareVersion;
use reedsail_dispatch::VersionDemand;

/// Number of instances at one of the first sites.
const INSTANCES: usize = 9;
/// Number of engines at one of the first sites.
const ENGINES: usize = 9;
const SLOTS: u32 = 64;
/// Number of workspaces besides the flooding one. The first of them is the smallest.
const WORKSPACES: usize = 15;
/// Tokens of a prompt. No two requests share a segment.
const PROMPT_TOKENS: u32 = 4_000;
/// Prefill rate of an engine, in tokens per millisecond.
const PREFILL_TOKENS_PER_MS: u64 = 40;
/// Duration of a stream after its first event, in milliseconds.
const STREAM_MS: u64 = 800;
/// Latency target of every request, in milliseconds.
const LATENCY_TARGET_MS: u64 = 800;
/// Step of the simulation, in milliseconds.
const STEP_MS: u64 = 5;
/// Interval at which instances exchange load reports, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 100;
/// Time from the start of the simulation to the start of the flood, in milliseconds.
const FLOOD_START_MS: u64 = 5_000;
/// Duration of the flood, in milliseconds.
const FLOOD_DURATION_MS: u64 = 30_000;
/// Request rate of a workspace that does not flood, per second. The smallest workspace has a fifth of this
/// rate.
const CALM_PER_S: f64 = 5.0;
/// Request rate of the flood, per second: more than all engines together can prefill.
const FLOOD_PER_S: f64 = 150.0;
/// Number of instances that the flood's callers connect to. Callers of any other workspace connect to one.
const FLOOD_INSTANCES: usize = 2;

/// Served ratios of the workspaces under one policy. A served ratio is the fraction of a workspace's requests
/// that met their latency target.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct PolicyShares {
    /// `fleet` if instances exchange load reports, or `alone` if they don't.
    pub(crate) policy: &'static str,
    /// Served ratio of the smallest workspace.
    pub(crate) smallest_served_ratio: f64,
    /// Served ratio of the best served workspace.
    pub(crate) best_served_ratio: f64,
    /// Served ratio of the worst served workspace that does not flood.
    pub(crate) worst_served_ratio: f64,
    /// Served ratio of the flooding workspace.
    pub(crate) flood_served_ratio: f64,
    /// Requests of all workspaces that met their latency target, per second.
    pub(crate) served_per_s: f64,
}

/// Results of both policies for the same flood.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct SharesReport {
    /// Seed of the random arrivals.
    pub(crate) seed: u64,
    /// Duration of the flood, in milliseconds.
    pub(crate) flood_ms: u64,
    /// One entry for each policy.
    pub(crate) policies: Vec<PolicyShares>,
}

/// Simulates the flood under both policies with the same arrivals.
pub(crate) fn measure_shares(seed: u64) -> SharesReport {
    SharesReport {
        seed,
        flood_ms: FLOOD_DURATION_MS,
        policies: vec![simulate(seed, true), simulate(seed, false)],
    }
}

/// A request that was sent to an engine.
struct OpenRequest {
    instance: usize,
    attempt: Option<Attempt>,
    first_event_at: TimeMs,
    has_answered: bool,
}

/// Counts of a workspace's requests during the flood.
#[derive(Clone, Copy, Default)]
struct Tally {
    requested: u32,
    in_time: u32,
}

struct Simulation {
    random: StdRng,
    instances: Vec<Dispatcher>,
    /// The same on every instance, because all have the same server list.
    engine_keys: Vec<ServerKey>,
    engines_free_at: Vec<TimeMs>,
    open: Vec<OpenRequest>,
    tallies: Vec<Tally>,
    prompts_sent: u64,
}

fn simulate(seed: u64, exchanges_reports: bool) -> PolicyShares {
    let mut simulation = Simulation::new(seed);
    let end_ms = FLOOD_START_MS + FLOOD_DURATION_MS;
    let mut now = TimeMs(1_000);
    let end = now.plus_ms(end_ms);
    while now < end {
        now = now.plus_ms(STEP_MS);
        simulation.advance_open_requests(now);
        if exchanges_reports && now.0.is_multiple_of(REPORT_INTERVAL_MS) {
            simulation.exchange_reports(now);
        }
        simulation.draw_arrivals(now);
    }
    simulation.shares(if exchanges_reports { "fleet" } else { "alone" })
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let engines: Vec<ServerSetup> = (0..ENGINES).map(engine).collect();
        let instances = (0..INSTANCES).map(|number| {
            let domain = NameHash::of(&format!("domain-{}", number % 3));
            let mut instance = Dispatcher::new(DispatchSettings::default(), domain);
            instance.set_servers(&engines);
            instance
        });
        let instances: Vec<Dispatcher> = instances.collect();
        let keys = engines
            .iter()
            .filter_map(|engine| instances[0].server_key(engine.name));
        Self {
            random: StdRng::seed_from_u64(seed),
            engine_keys: keys.collect(),
            instances,
            engines_free_at: vec![TimeMs(0); ENGINES],
            open: Vec::new(),
            tallies: vec![Tally::default(); WORKSPACES + 1],
            prompts_sent: 0,
        }
    }

    /// Draws which workspaces send a request in this step. The last workspace floods.
    fn draw_arrivals(&mut self, now: TimeMs) {
        let is_flood = now.0 >= 1_000 + FLOOD_START_MS;
        for workspace in 0..=WORKSPACES {
            let per_s = match workspace {
                0 => CALM_PER_S / 5.0,
                WORKSPACES if is_flood => FLOOD_PER_S,
                _ => CALM_PER_S,
            };
            let chance = per_s * STEP_MS as f64 / 1_000.0;
            if !self.random.random_bool(chance.min(1.0)) {
                continue;
            }
            let instance = if workspace == WORKSPACES {
                self.random.random_range(0..FLOOD_INSTANCES)
            } else {
                workspace % INSTANCES
            };
            self.send_request(workspace, instance, is_flood, now);
        }
    }

    fn send_request(&mut self, workspace: usize, instance: usize, is_counted: bool, now: TimeMs) {
        self.prompts_sent += 1;
        let prompt = Prompt {
            segments: vec![
                PromptSegment {
                    id: self.prompts_sent,
                    tokens: 100,
                },
                PromptSegment {
                    id: self.prompts_sent << 32,
                    tokens: PROMPT_TOKENS - 100,
                },
            ],
            output_tokens: 100,
        };
        let name = format!("workspace-{workspace}");
        let demand = Demand {
            service: NameHash::of("engines"),
            workspace: NameHash::of(&name),
            prompt: Some(&prompt),
            latency_target_ms: LATENCY_TARGET_MS,
            gap_target_ms: None,
            priority: Priority::default(),
            waited_ms: 0,
            tried: &[],
            regions: &AllowedRegions::Any,
            fingerprint: None,
            version: VersionDemand::Any,
        };
        let dispatcher = &mut self.instances[instance];
        dispatcher.record_arrival(&demand, now);
        let mut in_time = false;
        if let Decision::Send(placement) = dispatcher.decide(&demand, now) {
            let attempt = dispatcher.begin_attempt(&demand, &placement, now);
            let first_event_at = self.prefill(&placement, now);
            in_time = first_event_at.since_ms(now) <= LATENCY_TARGET_MS;
            self.open.push(OpenRequest {
                instance,
                attempt: Some(attempt),
                first_event_at,
                has_answered: false,
            });
        }
        if is_counted {
            let tally = &mut self.tallies[workspace];
            tally.requested += 1;
            tally.in_time += u32::from(in_time);
        }
    }

    /// Lets an engine prefill a prompt after the prompts queued before it. Returns when its first event
    /// arrives.
    fn prefill(&mut self, placement: &Placement, now: TimeMs) -> TimeMs {
        let engine = self.engine_index(placement.server);
        let free_at = &mut self.engines_free_at[engine];
        *free_at = (*free_at)
            .max(now)
            .plus_ms(u64::from(PROMPT_TOKENS) / PREFILL_TOKENS_PER_MS);
        *free_at
    }

    fn engine_index(&self, key: ServerKey) -> usize {
        let number = self.engine_keys.iter().position(|engine| *engine == key);
        number.expect("every engine was configured")
    }

    fn advance_open_requests(&mut self, now: TimeMs) {
        for open in &mut self.open {
            let dispatcher = &mut self.instances[open.instance];
            if !open.has_answered && open.first_event_at <= now {
                open.has_answered = true;
                if let Some(attempt) = open.attempt.as_mut() {
                    dispatcher.record_first_event(attempt, open.first_event_at);
                }
            }
            let is_over = open.first_event_at.plus_ms(STREAM_MS) <= now;
            if let Some(attempt) = open.attempt.take_if(|_| is_over) {
                dispatcher.finish_attempt(attempt, AttemptOutcome::Answered, now);
            }
        }
        self.open.retain(|open| open.attempt.is_some());
    }

    fn exchange_reports(&mut self, now: TimeMs) {
        let reports: Vec<_> = self
            .instances
            .iter_mut()
            .map(|instance| instance.report(now))
            .collect();
        for (sender, report) in reports.iter().enumerate() {
            let peer = NameHash::of(&format!("daemon-{sender}"));
            for (receiver, instance) in self.instances.iter_mut().enumerate() {
                if receiver != sender {
                    instance.receive_report(peer, report.clone(), now);
                }
            }
        }
    }

    fn shares(&self, policy: &'static str) -> PolicyShares {
        let served_ratio = |tally: &Tally| f64::from(tally.in_time) / f64::from(tally.requested.max(1));
        let calm = self.tallies[..WORKSPACES].iter().map(served_ratio);
        let served: u32 = self.tallies.iter().map(|tally| tally.in_time).sum();
        PolicyShares {
            policy,
            smallest_served_ratio: served_ratio(&self.tallies[0]),
            best_served_ratio: self.tallies.iter().map(served_ratio).fold(0.0, f64::max),
            worst_served_ratio: calm.fold(1.0, f64::min),
            flood_served_ratio: served_ratio(&self.tallies[WORKSPACES]),
            served_per_s: f64::from(served) * 1_000.0 / FLOOD_DURATION_MS as f64,
        }
    }
}

fn engine(number: usize) -> ServerSetup {
    ServerSetup {
        name: NameHash::of(&format!("engine-{number}")),
        service: NameHash::of("engines"),
        failure_domain: NameHash::of(&format!("domain-{}", number % 3)),
        region: None,
        slots: SLOTS,
        is_draining: false,
        cold_until: None,
        version: SoftwareVersion::of("v1"),
    }
}
