//! Simulates floods and prints the windows in which a workspace gets too little of its share.
//!
//! `share_trace sweep FROM UNTIL LOAD…` simulates the seeds, cycling through the loads, and prints the worst
//! window of each seed whose ratio is close to the bound. `share_trace seed SEED LOAD` prints, for the workspace
//! of the worst window, the requested, sent and refused tokens of each time step, and each decision.

use std::thread::ScopedJoinHandle;

use reedsail_core::ErrorKind;
use reedsail_fairness::ShareLedger;
use reedsail_simulation::DecisionRow;
use reedsail_simulation::Scenario;
use reedsail_simulation::simulate;

/// Number of seeds that are simulated concurrently.
const CONCURRENT_SEEDS: u64 = 7;
/// Windows with a ratio below this are printed.
const PRINT_RATIO_MAX: f64 = 1.1;
/// Length of a time step of the trace, in milliseconds.
const STEP_MS: u64 = 250;

/// The printed result of one seed.
struct SeedResult {
    seed: u64,
    load: f64,
    /// Worst ratio if a run counts when it begins.
    ratio: f64,
    /// Worst ratio if a run counts when its request is accepted.
    accepted_ratio: f64,
    window: String,
    in_target: u64,
    late: u64,
}

fn main() -> anyhow::Result<()> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["sweep", from, until, loads @ ..] if !loads.is_empty() => {
            let loads: Result<Vec<f64>, _> = loads.iter().map(|load| load.parse()).collect();
            sweep(from.parse()?, until.parse()?, &loads?);
        }
        ["seed", seed, load] => trace(seed.parse()?, load.parse()?),
        _ => anyhow::bail!("usage: share_trace sweep FROM UNTIL LOAD… | share_trace seed SEED LOAD"),
    }
    Ok(())
}

fn sweep(from: u64, until: u64, loads: &[f64]) {
    let mut results: Vec<SeedResult> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..CONCURRENT_SEEDS)
            .map(|thread| {
                let seeds = (from..until).filter(move |seed| seed % CONCURRENT_SEEDS == thread);
                scope.spawn(move || seeds.map(|seed| simulate_seed(seed, loads)).collect::<Vec<_>>())
            })
            .collect();
        let joined = threads.into_iter().map(ScopedJoinHandle::join);
        joined
            .flat_map(|results| results.expect("a simulation thread panicked"))
            .collect()
    });
    results.sort_by(|left, right| left.ratio.total_cmp(&right.ratio));
    for result in results.iter().filter(|result| result.ratio < PRINT_RATIO_MAX) {
        println!(
            "seed {} load {}: {:.2}, as accepted {:.2}, {}",
            result.seed, result.load, result.ratio, result.accepted_ratio, result.window
        );
    }
    let below = results.iter().filter(|result| result.ratio < 1.0).count();
    let accepted_below = results
        .iter()
        .filter(|result| result.accepted_ratio < 1.0)
        .count();
    let in_target: u64 = results.iter().map(|result| result.in_target).sum();
    let late: u64 = results.iter().map(|result| result.late).sum();
    let seeds = results.len();
    println!(
        "{seeds} seeds, {below} below 1, {accepted_below} as accepted; {in_target} in target, {late} late"
    );
}

fn simulate_seed(seed: u64, loads: &[f64]) -> SeedResult {
    let load = loads[seed as usize % loads.len()];
    let outcome = simulate(&Scenario::of_unequal_workspaces(seed, load));
    let window = outcome.worst_window();
    SeedResult {
        seed,
        load,
        ratio: worst_ratio(&outcome.ledger),
        accepted_ratio: worst_ratio(&outcome.accepted_ledger),
        window: window.map_or_else(String::new, |window| format!("{window:?}")),
        in_target: outcome.in_target(),
        late: outcome.workspaces.iter().map(|workspace| workspace.late).sum(),
    }
}

fn worst_ratio(ledger: &ShareLedger) -> f64 {
    let worst = ledger.worst_windows().into_iter().next();
    worst.map_or(f64::INFINITY, |window| window.ratio())
}

fn trace(seed: u64, load: f64) {
    let scenario = Scenario::of_unequal_workspaces(seed, load);
    let outcome = simulate(&scenario);
    let Some(window) = outcome.worst_window() else {
        println!("no workspace has a window with a refused or late request in each second");
        return;
    };
    println!("ratio {:.2}, {window:?}", window.ratio());
    let plans = scenario.workspaces.iter();
    let workspace_index = plans.take_while(|plan| plan.name != window.workspace).count();
    println!("{:?}", scenario.workspaces[workspace_index]);
    for flood in scenario
        .floods
        .iter()
        .filter(|flood| flood.workspace == workspace_index)
    {
        println!("{flood:?}");
    }
    for step_ms in (0..scenario.duration_ms).step_by(STEP_MS as usize) {
        let in_step = |row: &&DecisionRow| row.at_ms / STEP_MS == step_ms / STEP_MS;
        let of_workspace = outcome
            .decisions
            .iter()
            .filter(|row| row.workspace == workspace_index);
        print_step(step_ms, &of_workspace.filter(in_step).collect::<Vec<_>>());
    }
}

fn print_step(from_ms: u64, rows: &[&DecisionRow]) {
    let thousands = |refusal: Option<ErrorKind>| {
        let of_kind = rows.iter().filter(|row| row.refusal == refusal);
        of_kind.map(|row| row.cost).sum::<f64>() / 1_000.0
    };
    println!(
        "{from_ms:6} ms: requested {:5.0}k, sent {:5.0}k, over its share {:5.0}k, late {:5.0}k",
        rows.iter().map(|row| row.cost).sum::<f64>() / 1_000.0,
        thousands(None),
        thousands(Some(ErrorKind::OverShare)),
        thousands(Some(ErrorKind::WouldMissTarget)),
    );
    for row in rows {
        println!("        {row:?}");
    }
}
