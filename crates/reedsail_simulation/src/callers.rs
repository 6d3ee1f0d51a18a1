//! Arrivals of callers' requests: each workspace's requests arrive at random times, at a higher rate during its
//! floods.

use rand::Rng;
use rand::rngs::StdRng;

use crate::Scenario;

/// Returns the arrival rate of a workspace at a time.
fn requests_per_s(scenario: &Scenario, workspace: usize, now_ms: u64) -> f64 {
    let floods = scenario
        .floods
        .iter()
        .filter(|flood| flood.workspace == workspace && (flood.from_ms..flood.until_ms).contains(&now_ms));
    let factor = floods.map(|flood| flood.factor).fold(1.0, f64::max);
    scenario.workspaces[workspace].requests_per_s * factor
}

/// Draws the time of a workspace's next request, in microseconds. If a flood begins before that request, it
/// affects the interval only after that request.
pub(crate) fn next_request_us(
    scenario: &Scenario,
    workspace: usize,
    now_us: u64,
    random: &mut StdRng,
) -> u64 {
    let per_s = requests_per_s(scenario, workspace, now_us / 1_000);
    let uniform: f64 = random.random_range(f64::MIN_POSITIVE..1.0);
    now_us + (-uniform.ln() / per_s * 1e6) as u64 + 1
}

/// Draws the instance at which a request of a workspace arrives.
pub(crate) fn draw_entry_instance(scenario: &Scenario, workspace: usize, random: &mut StdRng) -> usize {
    let entry_instances = &scenario.workspaces[workspace].entry_instances;
    entry_instances[random.random_range(0..entry_instances.len())]
}
