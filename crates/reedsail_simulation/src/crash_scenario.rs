//! The scenario of a fleet whose servers crash, and its outcome.

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use reedsail_dispatch::SERVERS_TO_QUARANTINE;

/// What ends servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PoisonCause {
    /// One request, which its caller sends repeatedly.
    Request,
    /// The first segment of prompts, below which each request has one of several segments.
    FirstSegment,
    /// The second segment of prompts. Other requests share the first one.
    SecondSegment,
    /// The second segment of prompts, with one of several segments below it.
    MiddleSegment,
}

/// A moment soon after the head, as engines have it that end when they begin to write.
const END_SOON: EndMoment = EndMoment::After(40);
/// Largest number of events in an answer before its server ends.
const EVENTS_MAX: u32 = 200;
/// The times between two events of an answer that are drawn, in milliseconds.
const EVENT_INTERVALS_MS: [u64; 6] = [1, 2, 5, 10, 25, 50];
/// The rates of requests that end servers which are drawn, in requests in ten seconds.
const POISON_RATES_PER_10_S: [u64; 4] = [5, 20, 60, 200];
/// Number of requests that run at the same time in a fleet whose pace is drawn.
const OPEN_REQUESTS: f64 = 200.0;

/// Draws when a server ends: before the head for one in eight, else around a number of events of which small ones are as
/// likely as large ones.
fn draw_end_moment(random: &mut StdRng) -> EndMoment {
    if random.random_bool(0.125) {
        return EndMoment::BeforeHead;
    }
    let events = f64::from(EVENTS_MAX).powf(random.random_range(0.0..=1.0)) as u32;
    EndMoment::Events(events / 2, (events * 3 / 2).min(EVENTS_MAX))
}

impl PoisonCause {
    /// Returns the number of ended servers from which on the users count what is sent too late.
    pub(crate) fn bounding_end(self) -> usize {
        match self {
            Self::Request => SERVERS_TO_QUARANTINE,
            Self::FirstSegment | Self::SecondSegment | Self::MiddleSegment => 5,
        }
    }
}

/// When a server ends that runs a request which ends servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndMoment {
    /// Before it sends the head of the answer.
    BeforeHead,
    /// A fixed time after it began to write, in milliseconds.
    After(u64),
    /// After a number of events between these two, drawn for each request.
    Events(u32, u32),
}

/// Something that ends each server that begins a request with it, and is sent repeatedly.
#[derive(Clone, Copy, Debug)]
pub struct PoisonPlan {
    /// What ends the servers.
    pub cause: PoisonCause,
    /// When in its answer it ends them.
    pub end_moment: EndMoment,
    /// First arrival, in milliseconds from the start.
    pub from_ms: u64,
    /// Time after which it no longer arrives, in milliseconds from the start.
    pub until_ms: u64,
    /// Mean time between two arrivals, in milliseconds.
    pub mean_interval_ms: u64,
}

/// A simultaneous crash of several servers that no request causes.
#[derive(Clone, Copy, Debug)]
pub struct MassCrash {
    /// Time of the crash, in milliseconds from the start.
    pub at_ms: u64,
    /// The fraction of the servers that crash.
    pub fraction: f64,
}

/// A time in which an instance and all other instances receive no reports from each other.
#[derive(Clone, Copy, Debug)]
pub struct NetworkPartition {
    /// Index of the instance.
    pub instance: usize,
    /// When it begins, in milliseconds from the start.
    pub from_ms: u64,
    /// When it ends, in milliseconds from the start.
    pub until_ms: u64,
}

/// A fleet whose servers crash.
#[derive(Clone, Debug)]
pub struct CrashScenario {
    /// Seed of all random numbers.
    pub seed: u64,
    /// Number of instances. Each receives the reports of all others directly.
    pub instances: usize,
    /// Number of backend servers.
    pub servers: usize,
    /// Requests per second that crash no server.
    pub requests_per_s: f64,
    /// How long a server runs such a request, in milliseconds: between these two, drawn for each request.
    pub run_ms: (u64, u64),
    /// Time until a server begins to write an answer, in milliseconds.
    pub time_to_begin_ms: u64,
    /// Time between two events of an answer, in milliseconds.
    pub event_interval_ms: u64,
    /// Time from a server's crash to its restart, in milliseconds.
    pub downtime_ms: u64,
    /// How long the record of a crashed server stays in the store, in milliseconds.
    pub record_ttl_ms: u64,
    /// Interval of load reports, in milliseconds.
    pub report_interval_ms: u64,
    /// Transmission time of a report, in milliseconds.
    pub report_delay_ms: u64,
    /// Probability that a report is lost.
    pub report_loss: f64,
    /// Number of second segments of prompts that most requests share.
    pub neighbours: u32,
    /// Number of second segments that a tenth of the requests share.
    pub rare_neighbours: u32,
    /// Number of workspaces.
    pub workspaces: u32,
    /// What ends servers.
    pub poisons: Vec<PoisonPlan>,
    /// Crashes that no request causes.
    pub mass_crashes: Vec<MassCrash>,
    /// Network partitions.
    pub partitions: Vec<NetworkPartition>,
    /// Indexes of instances that restart, each with the time in milliseconds from the start.
    pub restarts: Vec<(usize, u64)>,
    /// When the platform's store answers no call, from and until, in milliseconds from the start.
    pub store_outages: Vec<(u64, u64)>,
    /// Simulated time, in milliseconds.
    pub duration_ms: u64,
}

impl CrashScenario {
    /// Creates a fleet of nine instances and nine servers without any crash.
    pub fn without_crashes(seed: u64) -> Self {
        Self {
            seed,
            instances: 9,
            servers: 9,
            requests_per_s: 110.0,
            run_ms: (1_200, 1_200),
            time_to_begin_ms: 60,
            event_interval_ms: 25,
            downtime_ms: 4_000,
            record_ttl_ms: 3_000,
            report_interval_ms: 100,
            report_delay_ms: 5,
            report_loss: 0.02,
            neighbours: 8,
            rare_neighbours: 60,
            workspaces: 4,
            poisons: Vec::new(),
            mass_crashes: Vec::new(),
            partitions: Vec::new(),
            restarts: Vec::new(),
            store_outages: Vec::new(),
            duration_ms: 60_000,
        }
    }

    /// Creates a fleet with one to three poison requests. Depending on the seed it also has any of a mass crash, a
    /// network partition and a rolling restart of all instances.
    pub fn with_poisons(seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let mut scenario = Self::without_crashes(seed);
        for _ in 0..random.random_range(1..=3) {
            let from_ms = random.random_range(2_000..20_000);
            scenario.poisons.push(PoisonPlan {
                cause: PoisonCause::Request,
                end_moment: END_SOON,
                from_ms,
                until_ms: from_ms + random.random_range(15_000..35_000),
                mean_interval_ms: random.random_range(100..3_000),
            });
        }
        if random.random_bool(0.5) {
            scenario.draw_mass_crashes(&mut random, 1);
        }
        if random.random_bool(0.5) {
            let from_ms = random.random_range(1_000..30_000);
            scenario.partitions.push(NetworkPartition {
                instance: random.random_range(0..scenario.instances),
                from_ms,
                until_ms: from_ms + random.random_range(2_000..12_000),
            });
        }
        if random.random_bool(0.5) {
            let from_ms = random.random_range(5_000..20_000);
            let restarts =
                (0..scenario.instances).map(|instance| (instance, from_ms + instance as u64 * 2_500));
            scenario.restarts.extend(restarts);
        }
        scenario
    }

    /// Creates a fleet with one or two segments that end servers. Depending on the seed it also has any of a mass crash, a
    /// network partition and a rolling restart of all instances.
    pub fn with_poison_segments(seed: u64) -> Self {
        let mut scenario = Self::with_poisons(seed);
        scenario.poisons.clear();
        let mut random = StdRng::seed_from_u64(!seed);
        for _ in 0..random.random_range(1..=2) {
            let from_ms = random.random_range(3_000..20_000);
            let cause = match random.random_range(0..3) {
                0 => PoisonCause::FirstSegment,
                1 => PoisonCause::SecondSegment,
                _ => PoisonCause::MiddleSegment,
            };
            scenario.poisons.push(PoisonPlan {
                cause,
                end_moment: END_SOON,
                from_ms,
                until_ms: from_ms + random.random_range(15_000..35_000),
                mean_interval_ms: random.random_range(100..2_000),
            });
        }
        scenario
    }

    /// Creates a fleet as [`Self::with_poison_segments`], whose engines end at a drawn moment of the answer, write at a drawn
    /// pace, and get the segments at a drawn rate. No instance restarts.
    pub fn with_any_poison_segments(seed: u64) -> Self {
        let mut scenario = Self::with_poison_segments(seed);
        let mut random = StdRng::seed_from_u64(seed.rotate_left(32));
        scenario.restarts.clear();
        scenario.draw_pace(&mut random);
        for poison in &mut scenario.poisons {
            poison.end_moment = draw_end_moment(&mut random);
            poison.mean_interval_ms = 10_000 / POISON_RATES_PER_10_S[random.random_range(0..4)];
        }
        scenario
    }

    /// Creates a fleet as [`Self::with_any_poison_segments`] in which instances restart: one, all of them one after the
    /// other, or all at once, up to three times. For one seed in four the store is away before.
    pub fn with_poison_segments_and_restarts(seed: u64) -> Self {
        let mut scenario = Self::with_any_poison_segments(seed);
        let mut random = StdRng::seed_from_u64(seed.rotate_left(16));
        let from_ms = random.random_range(12_000..25_000);
        if random.random_bool(0.25) {
            let outage_ms = random.random_range(1_000..8_000);
            scenario
                .store_outages
                .push((from_ms - outage_ms, from_ms - outage_ms / 2));
        }
        let instances = scenario.instances;
        match random.random_range(0..4) {
            0 => scenario
                .restarts
                .push((random.random_range(0..instances), from_ms)),
            1 => {
                let gap_ms = random.random_range(300..3_000);
                let each = (0..instances).map(|instance| (instance, from_ms + instance as u64 * gap_ms));
                scenario.restarts.extend(each);
            }
            _ => {
                let gap_ms = random.random_range(2_000..9_000);
                for round in 0..random.random_range(1..=3) {
                    let each = (0..instances).map(|instance| (instance, from_ms + round * gap_ms));
                    scenario.restarts.extend(each);
                }
            }
        }
        scenario
    }

    /// Creates a fleet as [`Self::with_mass_crashes`] whose engines write at a drawn pace.
    pub fn with_mass_crashes_at_any_pace(seed: u64) -> Self {
        let mut scenario = Self::with_mass_crashes(seed);
        scenario.draw_pace(&mut StdRng::seed_from_u64(seed.rotate_left(32)));
        scenario
    }

    /// Creates a fleet whose servers crash one after the other without any cause in the requests, which write at a drawn pace.
    pub fn with_flapping_servers(seed: u64) -> Self {
        let mut scenario = Self::without_crashes(seed);
        let mut random = StdRng::seed_from_u64(seed);
        scenario.draw_pace(&mut random);
        let gap_ms = random.random_range(200..3_000);
        let mut at_ms = 5_000;
        while at_ms < 40_000 {
            scenario.mass_crashes.push(MassCrash {
                at_ms,
                fraction: 1.0 / scenario.servers as f64,
            });
            at_ms += random.random_range(gap_ms / 2..=gap_ms * 3 / 2);
        }
        scenario
    }

    /// Draws how fast servers write. Answers have up to [`EVENTS_MAX`] events and more, and requests come as often as the
    /// servers have room for them.
    fn draw_pace(&mut self, random: &mut StdRng) {
        self.event_interval_ms = EVENT_INTERVALS_MS[random.random_range(0..EVENT_INTERVALS_MS.len())];
        let events = |count: u64| self.time_to_begin_ms + count * self.event_interval_ms;
        self.run_ms = (
            events(u64::from(EVENTS_MAX) / 4),
            events(u64::from(EVENTS_MAX) * 5 / 4),
        );
        let mean_run_s = (self.run_ms.0 + self.run_ms.1) as f64 / 2_000.0;
        self.requests_per_s = (OPEN_REQUESTS / mean_run_s).min(self.requests_per_s);
    }

    /// Creates a fleet with mass crashes only, so that no request is the cause of a crash.
    pub fn with_mass_crashes(seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let mut scenario = Self::without_crashes(seed);
        let crashes = random.random_range(2..=8);
        scenario.draw_mass_crashes(&mut random, crashes);
        scenario
    }

    /// Returns whether an instance was partitioned at any time in the last `within_ms` before `now_ms`.
    pub(crate) fn was_partitioned(&self, instance: usize, within_ms: u64, now_ms: u64) -> bool {
        let mut partitions = self
            .partitions
            .iter()
            .filter(|partition| partition.instance == instance);
        partitions.any(|partition| partition.from_ms <= now_ms && now_ms <= partition.until_ms + within_ms)
    }

    /// Returns the time from which other instances can learn of a server's end: immediately, or when the observer's
    /// network partition ends. Returns `None` if the observer is killed before it can report the end.
    pub(crate) fn knowable_from_ms(&self, observer: usize, now_ms: u64) -> Option<u64> {
        let partitions = self
            .partitions
            .iter()
            .filter(|partition| partition.instance == observer);
        let current =
            partitions.filter(|partition| (partition.from_ms..partition.until_ms).contains(&now_ms));
        let from_ms = current
            .map(|partition| partition.until_ms)
            .max()
            .unwrap_or(now_ms);
        let is_killed = |(instance, at_ms): &(usize, u64)| {
            *instance == observer && (now_ms..from_ms + PROPAGATION_MAX_MS).contains(at_ms)
        };
        (!self.restarts.iter().any(is_killed)).then_some(from_ms)
    }

    /// Returns whether the store answers calls.
    pub(crate) fn has_store(&self, now_ms: u64) -> bool {
        let mut outages = self.store_outages.iter();
        !outages.any(|(from_ms, until_ms)| (*from_ms..*until_ms).contains(&now_ms))
    }

    fn draw_mass_crashes(&mut self, random: &mut StdRng, crashes: usize) {
        for _ in 0..crashes {
            self.mass_crashes.push(MassCrash {
                at_ms: random.random_range(3_000..30_000),
                fraction: random.random_range(0.2..0.7),
            });
        }
    }
}

/// The outcome of a poison request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PoisonOutcome {
    /// Number of servers that ended while running it.
    pub servers_ended: u64,
    /// Number of times that it was sent to a server more than `QUARANTINE_DEADLINE_MS` after it ended the server that
    /// bounds it (the third under a request, the fifth under a segment), by instances that neither started nor were partitioned in the last `QUARANTINE_DEADLINE_MS`.
    pub late_sends: u64,
    /// When that server ended, in milliseconds from the start.
    pub bounding_end_ms: Option<u64>,
    /// Number of times that it was sent more than `PROPAGATION_MAX_MS` after the bounding end that the fleet could
    /// know of, by instances that neither started nor were partitioned in the last `PROPAGATION_MAX_MS`.
    pub sends_after_propagation: u64,
    /// For each end, the time from which instances other than the observer can know of it, in milliseconds from the
    /// start. An end is missing if its observer was killed before it could report the end.
    pub knowable_ends_ms: Vec<u64>,
}

impl PoisonOutcome {
    /// Returns the time from which the fleet can know of the end that bounds `cause`, in milliseconds from the start.
    pub fn bounding_knowable_ms(&self, cause: PoisonCause) -> Option<u64> {
        let mut ends_ms = self.knowable_ends_ms.clone();
        ends_ms.sort_unstable();
        ends_ms.get(cause.bounding_end() - 1).copied()
    }
}

/// Maximum time until a change of a suspected request reaches every connected instance, in milliseconds: the duration
/// of its first announcement.
pub const PROPAGATION_MAX_MS: u64 = 500;

/// Maximum time after the third end, after its own start or after a partition in which an instance learns that a
/// request is quarantined, in milliseconds. The users require this bound.
pub const QUARANTINE_DEADLINE_MS: u64 = 3_000;

/// The outcome of a scenario.
#[derive(Clone, Debug, Default)]
pub struct CrashOutcome {
    /// Outcomes of the poison requests, in the order of the scenario.
    pub poisons: Vec<PoisonOutcome>,
    /// Number of answered requests that crash no server.
    pub answered: u64,
    /// Number of runs of such requests that broke because their server crashed.
    pub broken: u64,
    /// Number of such requests that were refused as quarantined.
    pub wrongly_quarantined: u64,
    /// Number of such requests that were refused for another reason.
    pub refused: u64,
    /// Number of such requests.
    pub arrived: u64,
    /// Number of such requests whose first attempt began to be answered.
    pub begun_at_first: u64,
}
