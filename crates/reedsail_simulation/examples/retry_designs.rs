//! Prints what fleets of several sizes retry under each design: retries that were answered, of the first attempts that
//! failed, and how near the fleet came to its bound.
//!
//! `cargo run --release -p reedsail_simulation --example retry_designs`

use reedsail_simulation::Failing;
use reedsail_simulation::FailureMode;
use reedsail_simulation::Restart;
use reedsail_simulation::RetryDesign;
use reedsail_simulation::RetryOutcome;
use reedsail_simulation::RetryScenario;
use reedsail_simulation::simulate_retries;

/// The instances, the slack and the requests a second of the fleets.
const FLEETS: [(usize, f64, u64); 5] = [
    (9, 58.0, 25),
    (9, 58.0, 250),
    (61, 162.0, 1_200),
    (85, 210.0, 1_500),
    (985, 1_040.0, 4_000),
];
const SEEDS: [u64; 2] = [7, 8];
const DESIGNS: [RetryDesign; 3] = [
    RetryDesign::Ledgers,
    RetryDesign::LedgersAlone,
    RetryDesign::SlidingWindow,
];

/// A change to a fleet whose attempts fail from 14 s on.
type Change = fn(&mut RetryScenario);

const CASES: [(&str, Change); 7] = [
    ("9 in 100 fail", |scenario| scenario.failing[0].share = 0.09),
    ("half fail", |scenario| scenario.failing[0].share = 0.5),
    ("9 in 10 fail", |scenario| scenario.failing[0].share = 0.9),
    ("half are rejected", |scenario| {
        scenario.failing[0].share = 0.5;
        scenario.failing[0].mode = FailureMode::Rejected;
    }),
    ("9 in 10 are rejected", |scenario| {
        scenario.failing[0].share = 0.9;
        scenario.failing[0].mode = FailureMode::Rejected;
    }),
    ("6 in 10 fail at one in 20", |scenario| {
        scenario.failing[0].share = 0.6;
        scenario.failing[0].instances = 0..scenario.instances.div_ceil(20);
    }),
    ("half fail, all restart just before", |scenario| {
        scenario.failing[0].share = 0.5;
        scenario.restarts = vec![Restart {
            instances: 0..scenario.instances,
            at_ms: 13_500,
            down_ms: 400,
            design: None,
        }];
    }),
];

fn scenario((instances, slack, requests_per_s): (usize, f64, u64), seed: u64) -> RetryScenario {
    RetryScenario {
        seed,
        design: RetryDesign::Ledgers,
        instances,
        ratio: 0.2,
        slack,
        requests_per_s,
        traffic_ms: 1_000..36_000,
        failing: vec![Failing {
            span_ms: 14_000..22_000,
            share: 0.5,
            mode: FailureMode::Failed,
            unsent_share: 0.0,
            instances: 0..instances,
        }],
        restarts: Vec::new(),
        partitions: Vec::new(),
    }
}

fn total(outcomes: &[RetryOutcome], count: fn(&RetryOutcome) -> usize) -> usize {
    outcomes.iter().map(count).sum()
}

fn main() {
    for (case, change) in CASES {
        for fleet in FLEETS {
            for design in DESIGNS {
                let outcomes = SEEDS.map(|seed| {
                    let mut scenario = scenario(fleet, seed);
                    change(&mut scenario);
                    scenario.design = design;
                    simulate_retries(&scenario)
                });
                let excess = outcomes.iter().map(RetryOutcome::excess);
                println!(
                    "{case:<36} {:>4} instances {:>5}/s {design:<14?} answered {:>6} of {:>6}, {:>6} retries, excess {:>+8.1}",
                    fleet.0,
                    fleet.2,
                    total(&outcomes, |outcome| outcome.answered),
                    total(&outcomes, |outcome| outcome.failed),
                    total(&outcomes, |outcome| outcome.retries),
                    excess.fold(f64::NEG_INFINITY, f64::max),
                );
            }
        }
    }
}
