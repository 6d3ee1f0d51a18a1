//! Runs the simulations of many seeds.

use reedsail_simulation::CrashOutcome;
use reedsail_simulation::CrashScenario;
use reedsail_simulation::simulate_crashes;

/// Simulates the scenarios of all seeds concurrently.
pub(crate) fn simulate_seeds(
    seeds: impl IntoIterator<Item = u64>,
    scenario: fn(u64) -> CrashScenario,
) -> Vec<(u64, CrashOutcome)> {
    std::thread::scope(|scope| {
        let threads: Vec<_> = seeds
            .into_iter()
            .map(|seed| (seed, scope.spawn(move || simulate_crashes(&scenario(seed)))))
            .collect();
        threads
            .into_iter()
            .map(|(seed, thread)| (seed, thread.join().unwrap()))
            .collect()
    })
}
