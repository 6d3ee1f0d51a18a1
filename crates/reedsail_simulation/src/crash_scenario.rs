//! What a fleet has whose servers crash, and what came of it.

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use reedsail_dispatch::SERVERS_TO_QUARANTINE;

/// A request that ends each server that begins it, and comes back for a while.
#[derive(Clone, Copy, Debug)]
pub struct PoisonPlan {
    /// When it first comes, in milliseconds from the start.
    pub from_ms: u64,
    /// When it comes last, in milliseconds from the start.
    pub until_ms: u64,
    /// Mean time between two arrivals, in milliseconds.
    pub every_ms: u64,
}

/// Servers that crash at one moment, without any request's doing.
#[derive(Clone, Copy, Debug)]
pub struct MassCrash {
    /// When, in milliseconds from the start.
    pub at_ms: u64,
    /// The fraction of the servers that crash.
    pub fraction: f64,
}

/// A time in which an instance hears no other one, and no other one hears it.
#[derive(Clone, Copy, Debug)]
pub struct Cut {
    /// The instance's place.
    pub instance: usize,
    /// When it begins, in milliseconds from the start.
    pub from_ms: u64,
    /// When it ends, in milliseconds from the start.
    pub until_ms: u64,
}

/// A fleet whose servers crash.
#[derive(Clone, Debug)]
pub struct CrashScenario {
    /// The seed of everything that is drawn.
    pub seed: u64,
    /// Instances, each of which hears all others directly.
    pub instances: usize,
    /// Backend servers.
    pub servers: usize,
    /// Requests a second that crash nothing.
    pub requests_per_s: f64,
    /// How long a server runs such a request, in milliseconds.
    pub run_ms: u64,
    /// How long a request that crashes its server runs, in milliseconds.
    pub crash_ms: u64,
    /// How long a server is away that crashed, in milliseconds.
    pub away_ms: u64,
    /// How long the record of a crashed server stays, in milliseconds.
    pub record_ms: u64,
    /// Interval of load reports, in milliseconds.
    pub report_every_ms: u64,
    /// How long a report is on its way, in milliseconds.
    pub report_delay_ms: u64,
    /// Probability that a report is lost.
    pub report_loss: f64,
    /// Requests that end servers.
    pub poisons: Vec<PoisonPlan>,
    /// Crashes without a request's doing.
    pub mass_crashes: Vec<MassCrash>,
    /// Cuts between instances.
    pub cuts: Vec<Cut>,
    /// Instances that start anew, each with the moment in milliseconds from the start.
    pub restarts: Vec<(usize, u64)>,
    /// Length in milliseconds.
    pub length_ms: u64,
}

impl CrashScenario {
    /// Makes a fleet of nine instances before nine servers without any crash.
    pub fn calm(seed: u64) -> Self {
        Self {
            seed,
            instances: 9,
            servers: 9,
            requests_per_s: 110.0,
            run_ms: 1_200,
            crash_ms: 100,
            away_ms: 4_000,
            record_ms: 3_000,
            report_every_ms: 100,
            report_delay_ms: 5,
            report_loss: 0.02,
            poisons: Vec::new(),
            mass_crashes: Vec::new(),
            cuts: Vec::new(),
            restarts: Vec::new(),
            length_ms: 60_000,
        }
    }

    /// Adds one to three requests that end servers, and with them, drawn from the seed, a mass crash, a cut or
    /// restarts of instances.
    pub fn with_poisons(seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let mut scenario = Self::calm(seed);
        for _ in 0..random.random_range(1..=3) {
            let from_ms = random.random_range(2_000..20_000);
            scenario.poisons.push(PoisonPlan {
                from_ms,
                until_ms: from_ms + random.random_range(15_000..35_000),
                every_ms: random.random_range(100..3_000),
            });
        }
        if random.random_bool(0.5) {
            scenario.draw_mass_crashes(&mut random, 1);
        }
        if random.random_bool(0.5) {
            let from_ms = random.random_range(1_000..30_000);
            scenario.cuts.push(Cut {
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

    /// Adds mass crashes only: nobody is to blame.
    pub fn with_mass_crashes(seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let mut scenario = Self::calm(seed);
        let crashes = random.random_range(2..=8);
        scenario.draw_mass_crashes(&mut random, crashes);
        scenario
    }

    /// Tells whether an instance was cut off within so many milliseconds before a moment.
    pub(crate) fn was_cut(&self, instance: usize, within_ms: u64, now_ms: u64) -> bool {
        let mut cuts = self.cuts.iter().filter(|cut| cut.instance == instance);
        cuts.any(|cut| cut.from_ms <= now_ms && now_ms <= cut.until_ms + within_ms)
    }

    /// Returns from when an end may be known beyond the instance that saw it: at once, or once its cut is over, unless
    /// the instance is killed before it could tell anyone.
    pub(crate) fn knowable_from_ms(&self, witness: usize, now_ms: u64) -> Option<u64> {
        let cuts = self.cuts.iter().filter(|cut| cut.instance == witness);
        let lasting = cuts.filter(|cut| (cut.from_ms..cut.until_ms).contains(&now_ms));
        let from_ms = lasting.map(|cut| cut.until_ms).max().unwrap_or(now_ms);
        let is_killed = |(instance, at_ms): &(usize, u64)| {
            *instance == witness && (now_ms..from_ms + NEWS_MS).contains(at_ms)
        };
        (!self.restarts.iter().any(is_killed)).then_some(from_ms)
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

/// What came of a request that ends servers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PoisonOutcome {
    /// Servers that ended under it.
    pub servers_ended: u64,
    /// Times that it was sent to a server later than `CONTACT_MS` after it had ended the third, by instances that
    /// neither started nor were cut off in the last `CONTACT_MS`.
    pub late_sends: u64,
    /// When the third server ended under it, in milliseconds from the start.
    pub third_end_ms: Option<u64>,
    /// Times that it was sent later than `NEWS_MS` after the third end that the fleet could know of, by instances
    /// that neither started nor were cut off in the last `NEWS_MS`.
    pub sends_after_news: u64,
    /// From when each end could be known beyond the instance that saw it, in milliseconds from the start. An end
    /// that only an instance saw which was killed before it could tell anyone has none.
    pub knowable_ends_ms: Vec<u64>,
}

impl PoisonOutcome {
    /// Returns from when three ends could be known to the fleet, in milliseconds from the start.
    pub fn third_knowable_ms(&self) -> Option<u64> {
        let mut ends_ms = self.knowable_ends_ms.clone();
        ends_ms.sort_unstable();
        ends_ms.get(SERVERS_TO_QUARANTINE - 1).copied()
    }
}

/// How long news of a request takes at most to reach every instance that is in touch, in milliseconds: as long as it
/// is told at its first time.
pub const NEWS_MS: u64 = 500;

/// How long after the third end, a start or a cut an instance must know of it, in milliseconds: the users' bound.
pub const CONTACT_MS: u64 = 3_000;

/// What came of a scenario.
#[derive(Clone, Debug, Default)]
pub struct CrashOutcome {
    /// By poison, in the order of the scenario.
    pub poisons: Vec<PoisonOutcome>,
    /// Requests that crash nothing and were answered.
    pub answered: u64,
    /// Those that broke with their server.
    pub broken: u64,
    /// Those that were refused as if they ended servers.
    pub wrongly_quarantined: u64,
    /// Those that were refused for another reason.
    pub refused: u64,
}
