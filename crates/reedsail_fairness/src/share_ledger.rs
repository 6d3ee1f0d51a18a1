//! Requests, begun runs and disappointed callers by workspace and moment.

use std::collections::BTreeMap;

use crate::ShareWindow;
use crate::WINDOW_S;

/// Steps of a second: windows begin at each of them.
const STEPS: usize = 4;
/// Length of a step, in milliseconds.
const STEP_MS: u64 = 1_000 / STEPS as u64;

/// What happened to one workspace in one step; costs in tokens.
#[derive(Clone, Copy, Debug, Default)]
struct Step {
    requested: f64,
    got: f64,
    largest: f64,
    is_disappointed: bool,
}

/// What happened to one workspace, by step.
#[derive(Clone, Debug, Default)]
struct Account {
    steps: Vec<Step>,
}

impl Account {
    fn step(&mut self, at_ms: u64) -> &mut Step {
        let index = (at_ms / STEP_MS) as usize;
        if index >= self.steps.len() {
            self.steps.resize(index + 1, Step::default());
        }
        &mut self.steps[index]
    }

    /// Returns what happened in the second that begins with a step.
    fn second(&self, from: usize) -> Step {
        let steps = self.steps.iter().skip(from).take(STEPS);
        steps.fold(Step::default(), |sum, step| Step {
            requested: sum.requested + step.requested,
            got: sum.got + step.got,
            largest: sum.largest.max(step.largest),
            is_disappointed: sum.is_disappointed || step.is_disappointed,
        })
    }

    fn seconds(&self, from: usize) -> [Step; WINDOW_S] {
        std::array::from_fn(|second| self.second(from + second * STEPS))
    }
}

/// The account of each workspace. Moments are milliseconds from any one moment.
#[derive(Clone, Debug, Default)]
pub struct ShareLedger {
    accounts: BTreeMap<String, Account>,
}

impl ShareLedger {
    /// Records a request that arrived, and its cost in tokens.
    pub fn record_request(&mut self, workspace: &str, cost: f64, at_ms: u64) {
        let step = self.account(workspace).step(at_ms);
        step.requested += cost;
        step.largest = step.largest.max(cost);
    }

    /// Records that a server began a request.
    pub fn record_begun(&mut self, workspace: &str, cost: f64, at_ms: u64) {
        self.account(workspace).step(at_ms).got += cost;
    }

    /// Records that a request was refused, or waited for longer than its route aims at.
    pub fn record_refused_or_late(&mut self, workspace: &str, at_ms: u64) {
        self.account(workspace).step(at_ms).is_disappointed = true;
    }

    /// Returns the worst window of each workspace, the worst of all first; a workspace that was content in some
    /// second of every window has none.
    pub fn worst_windows(&self) -> Vec<ShareWindow> {
        let mut worst: BTreeMap<String, ShareWindow> = BTreeMap::new();
        for window in self.windows() {
            let known = worst.get(&window.workspace);
            if known.is_none_or(|known| window.ratio() < known.ratio()) {
                worst.insert(window.workspace.clone(), window);
            }
        }
        let mut worst: Vec<ShareWindow> = worst.into_values().collect();
        worst.sort_by(|left, right| left.ratio().total_cmp(&right.ratio()));
        worst
    }

    /// Returns every window of a workspace in each second of which it was disappointed.
    pub fn windows(&self) -> impl Iterator<Item = ShareWindow> {
        let lengths = self.accounts.values().map(|account| account.steps.len());
        let last = lengths.max().unwrap_or(0).saturating_sub(WINDOW_S * STEPS - 1);
        (0..last).flat_map(|from| self.windows_from(from))
    }

    fn windows_from(&self, from: usize) -> Vec<ShareWindow> {
        let seconds: Vec<(&String, [Step; WINDOW_S])> = self
            .accounts
            .iter()
            .map(|(workspace, account)| (workspace, account.seconds(from)))
            .collect();
        let got = |steps: &[Step; WINDOW_S]| steps.iter().map(|step| step.got).sum::<f64>();
        let best = seconds
            .iter()
            .max_by(|(_, left), (_, right)| got(left).total_cmp(&got(right)));
        let Some((best, best_steps)) = best else {
            return Vec::new();
        };
        let disappointed = seconds
            .iter()
            .filter(|(_, steps)| steps.iter().all(|step| step.is_disappointed));
        disappointed
            .map(|(workspace, steps)| ShareWindow {
                workspace: (*workspace).clone(),
                best_workspace: (*best).clone(),
                from_ms: from as u64 * STEP_MS,
                requested_cost: steps.iter().map(|step| step.requested).sum(),
                begun_cost: got(steps),
                best_begun_cost: got(best_steps),
                entitled_cost: owed(steps, best_steps),
                largest_request_cost: steps.iter().map(|step| step.largest).fold(0.0, f64::max),
            })
            .collect()
    }

    fn account(&mut self, workspace: &str) -> &mut Account {
        if !self.accounts.contains_key(workspace) {
            self.accounts.insert(workspace.to_owned(), Account::default());
        }
        self.accounts.get_mut(workspace).expect("it was just put there")
    }
}

/// Returns the smaller of what a workspace requested and what the best served one got, second by second.
fn owed(steps: &[Step; WINDOW_S], best: &[Step; WINDOW_S]) -> f64 {
    let pairs = steps.iter().zip(best);
    pairs.map(|(step, best)| step.requested.min(best.got)).sum()
}
