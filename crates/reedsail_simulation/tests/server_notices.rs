//! Guards against instances that ignore server notices: engines that ask for a back-off, or announce draining only in
//! their answers, must get almost no further requests, and no surge of requests after the back-off.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::LazyLock;

use reedsail_simulation::Draining;
use reedsail_simulation::Outcome;
use reedsail_simulation::Scenario;
use reedsail_simulation::Shedding;
use reedsail_simulation::simulate;

/// Number of simulated fleets.
const SEEDS: u64 = 6;
/// Duration of the back-off that an engine asks for, in milliseconds.
const BACKOFF_MS: u64 = 3_000;
/// Time for which requests may still arrive after an engine has asked for a back-off, in milliseconds.
const IN_FLIGHT_MS: u64 = 500;
/// Maximum number of requests from one instance between then and the end of the back-off.
const ARRIVALS_MAX: usize = 2;
/// Start and end of the load shedding, in milliseconds.
const SHEDDING_MS: (u64, u64) = (5_000, 11_000);
/// Time after load shedding in which requests return to an engine, in milliseconds.
const RETURN_MS: u64 = 1_500;
/// Time from which the draining engines drain, in milliseconds.
const DRAINING_FROM_MS: u64 = 6_000;
/// Maximum time after the first answer that announces draining in which the engine may get requests from any
/// instance, in milliseconds: two load reports.
const DRAINING_KNOWN_MS: u64 = 200;

/// The outcome of each seed, shared by all tests.
static OUTCOMES: LazyLock<Vec<Outcome>> = LazyLock::new(|| (0..SEEDS).map(simulate_seed).collect());

/// Simulates a fleet of 85 instances and 60 engines. A third of the engines shed load for a while, and six drain.
fn simulate_seed(seed: u64) -> Outcome {
    let sheddings = (0..20).map(|engine| Shedding {
        engine,
        from_ms: SHEDDING_MS.0,
        until_ms: SHEDDING_MS.1,
        backoff_ms: BACKOFF_MS,
    });
    let drainings = (54..60).map(|engine| Draining {
        engine,
        from_ms: DRAINING_FROM_MS,
    });
    simulate(&Scenario {
        sheddings: sheddings.collect(),
        drainings: drainings.collect(),
        ..Scenario::of_unequal_workspaces(seed, 0.6)
    })
}

#[test]
fn an_instance_sends_few_requests_to_an_engine_that_asked_it_for_a_backoff() {
    for (seed, outcome) in OUTCOMES.iter().enumerate() {
        let mut arrivals: HashMap<(usize, usize), Vec<u64>> = HashMap::new();
        for arrival in &outcome.arrivals {
            let pair = (arrival.instance, arrival.engine);
            arrivals.entry(pair).or_default().push(arrival.at_ms);
        }
        let backoffs = outcome.notices.iter().filter(|row| !row.notice.is_draining);
        let mut count = 0;
        for row in backoffs {
            count += 1;
            let within = row.at_ms + IN_FLIGHT_MS + 1..row.at_ms + BACKOFF_MS;
            let arrivals = &arrivals[&(row.instance, row.engine)];
            let early = arrivals.iter().filter(|at_ms| within.contains(at_ms)).count();
            assert!(early <= ARRIVALS_MAX, "seed {seed}: {early} after {row:?}");
        }
        assert!(count > 100, "seed {seed}: only {count} back-off notices");
    }
}

#[test]
fn an_engine_gets_no_more_requests_than_others_after_its_load_shedding() {
    for (seed, outcome) in OUTCOMES.iter().enumerate() {
        for from_ms in (SHEDDING_MS.1..SHEDDING_MS.1 + RETURN_MS).step_by(250) {
            let mut arrivals = [0_usize; 60];
            for row in &outcome.arrivals {
                let is_within = (from_ms..from_ms + 1_000).contains(&row.at_ms);
                arrivals[row.engine] += usize::from(is_within);
            }
            let max = |engines: &[usize]| engines.iter().max().copied().unwrap_or(0);
            let (returned, others) = (max(&arrivals[..20]), max(&arrivals[20..54]));
            assert!(
                returned <= others,
                "seed {seed}, second from {from_ms}: {returned}, others {others}"
            );
        }
    }
}

#[test]
fn an_engine_that_announces_draining_in_its_answers_gets_no_more_requests() {
    for (seed, outcome) in OUTCOMES.iter().enumerate() {
        let mut draining_engines = HashSet::new();
        for row in outcome.notices.iter().filter(|row| row.notice.is_draining) {
            if !draining_engines.insert(row.engine) {
                continue;
            }
            let due_ms = row.at_ms + DRAINING_KNOWN_MS;
            let late = outcome
                .arrivals
                .iter()
                .filter(|arrival| arrival.engine == row.engine && arrival.at_ms > due_ms);
            assert_eq!(late.count(), 0, "seed {seed}, engine {}", row.engine);
        }
        assert_eq!(draining_engines.len(), 6, "seed {seed}");
    }
}
