//! When callers ask: each workspace's requests come at random moments, more of them during its floods.

use rand::Rng;
use rand::rngs::StdRng;

use crate::Scenario;

/// Returns how many requests a second a workspace asks for at a moment.
fn requests_per_s(scenario: &Scenario, workspace: usize, now_ms: u64) -> f64 {
    let floods = scenario
        .floods
        .iter()
        .filter(|flood| flood.workspace == workspace && (flood.from_ms..flood.until_ms).contains(&now_ms));
    let factor = floods.map(|flood| flood.factor).fold(1.0, f64::max);
    scenario.workspaces[workspace].requests_per_s * factor
}

/// Draws the moment of a workspace's next request, in microseconds. A flood that begins meanwhile shows from
/// the request after it on.
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

/// Draws the instance that a request of a workspace enters at.
pub(crate) fn entry(scenario: &Scenario, workspace: usize, random: &mut StdRng) -> usize {
    let entries = &scenario.workspaces[workspace].entries;
    entries[random.random_range(0..entries.len())]
}
