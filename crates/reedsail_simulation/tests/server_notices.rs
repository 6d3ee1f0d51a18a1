//! Fleets whose engines ask for time, or say in their answers alone that they drain.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::LazyLock;

use reedsail_simulation::Draining;
use reedsail_simulation::Outcome;
use reedsail_simulation::Scenario;
use reedsail_simulation::Shedding;
use reedsail_simulation::simulate;

/// Simulated fleets.
const SEEDS: u64 = 6;
const BACKOFF_MS: u64 = 3_000;
/// Requests may arrive for so long after an engine has asked for time.
const ON_THEIR_WAY_MS: u64 = 500;
/// The most requests from one instance between then and the end of that time.
const ARRIVALS_MAX: usize = 2;
/// When the engines that turn requests away begin and end to do so.
const SHEDDING_MS: (u64, u64) = (5_000, 11_000);
/// How long requests take to return to an engine.
const RETURN_MS: u64 = 1_500;
/// When the engines that drain begin.
const DRAINING_FROM_MS: u64 = 6_000;
/// How long after the first answer that says it an engine that drains may get requests from anywhere: two reports of
/// load.
const DRAINING_KNOWN_MS: u64 = 200;

/// What came of each seed, for all tests.
static OUTCOMES: LazyLock<Vec<Outcome>> = LazyLock::new(|| (0..SEEDS).map(play).collect());

/// Plays a fleet of 85 instances before 60 engines: a third turn everything away for a while, six drain.
fn play(seed: u64) -> Outcome {
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
fn an_engine_that_asked_for_time_gets_it_from_each_instance_that_it_asked() {
    for (seed, outcome) in OUTCOMES.iter().enumerate() {
        let mut arrivals: HashMap<(usize, usize), Vec<u64>> = HashMap::new();
        for arrival in &outcome.arrivals {
            let place = (arrival.instance, arrival.engine);
            arrivals.entry(place).or_default().push(arrival.at_ms);
        }
        let asked = outcome.notices.iter().filter(|row| !row.notice.is_draining);
        let mut count = 0;
        for row in asked {
            count += 1;
            let within = row.at_ms + ON_THEIR_WAY_MS + 1..row.at_ms + BACKOFF_MS;
            let arrivals = &arrivals[&(row.instance, row.engine)];
            let early = arrivals.iter().filter(|at_ms| within.contains(at_ms)).count();
            assert!(early <= ARRIVALS_MAX, "seed {seed}: {early} after {row:?}");
        }
        assert!(count > 100, "seed {seed}: {count}");
    }
}

#[test]
fn an_engine_that_is_returned_to_gets_no_more_than_those_that_were_never_away() {
    for (seed, outcome) in OUTCOMES.iter().enumerate() {
        for from_ms in (SHEDDING_MS.1..SHEDDING_MS.1 + RETURN_MS).step_by(250) {
            let mut arrivals = [0_usize; 60];
            for row in &outcome.arrivals {
                let is_within = (from_ms..from_ms + 1_000).contains(&row.at_ms);
                arrivals[row.engine] += usize::from(is_within);
            }
            let most = |engines: &[usize]| engines.iter().max().copied().unwrap_or(0);
            let (returned, others) = (most(&arrivals[..20]), most(&arrivals[20..54]));
            assert!(
                returned <= others,
                "seed {seed}, second from {from_ms}: {returned}, others {others}"
            );
        }
    }
}

#[test]
fn an_engine_that_drains_by_its_answers_gets_nothing_more_from_any_instance() {
    for (seed, outcome) in OUTCOMES.iter().enumerate() {
        let mut told = HashSet::new();
        for row in outcome.notices.iter().filter(|row| row.notice.is_draining) {
            if !told.insert(row.engine) {
                continue;
            }
            let due_ms = row.at_ms + DRAINING_KNOWN_MS;
            let late = outcome
                .arrivals
                .iter()
                .filter(|arrival| arrival.engine == row.engine && arrival.at_ms > due_ms);
            assert_eq!(late.count(), 0, "seed {seed}, engine {}", row.engine);
        }
        assert_eq!(told.len(), 6, "seed {seed}");
    }
}
