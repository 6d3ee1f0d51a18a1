//! Arrived, begun, and refused or late requests by workspace and time.

use std::collections::BTreeMap;

use crate::ShareWindow;
use crate::WINDOW_S;

/// Steps in a second; a window begins at each step.
const STEPS_PER_SECOND: usize = 4;
/// Length of a step, in milliseconds.
const STEP_MS: u64 = 1_000 / STEPS_PER_SECOND as u64;

/// The figures of one workspace for one step, or for one second; costs are in tokens.
#[derive(Clone, Copy, Debug, Default)]
struct Step {
    requested_cost: f64,
    begun_cost: f64,
    largest_request_cost: f64,
    has_refused_or_late: bool,
}

/// The figures of one workspace, by step.
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

    /// Returns the figures of the second that begins with `first_step`.
    fn second(&self, first_step: usize) -> Step {
        let steps = self.steps.iter().skip(first_step).take(STEPS_PER_SECOND);
        steps.fold(Step::default(), |sum, step| Step {
            requested_cost: sum.requested_cost + step.requested_cost,
            begun_cost: sum.begun_cost + step.begun_cost,
            largest_request_cost: sum.largest_request_cost.max(step.largest_request_cost),
            has_refused_or_late: sum.has_refused_or_late || step.has_refused_or_late,
        })
    }

    /// Returns the figures of each second of the window that begins with `first_step`.
    fn seconds(&self, first_step: usize) -> [Step; WINDOW_S] {
        std::array::from_fn(|index| self.second(first_step + index * STEPS_PER_SECOND))
    }
}

/// The account of each workspace. Times are in milliseconds from an arbitrary start.
#[derive(Clone, Debug, Default)]
pub struct ShareLedger {
    accounts: BTreeMap<String, Account>,
}

impl ShareLedger {
    /// Records an arrived request and its cost in tokens.
    pub fn record_request(&mut self, workspace: &str, cost: f64, at_ms: u64) {
        let step = self.account(workspace).step(at_ms);
        step.requested_cost += cost;
        step.largest_request_cost = step.largest_request_cost.max(cost);
    }

    /// Records that a server began a request.
    pub fn record_begun(&mut self, workspace: &str, cost: f64, at_ms: u64) {
        self.account(workspace).step(at_ms).begun_cost += cost;
    }

    /// Records that a request was refused, or waited for longer than its route's target.
    pub fn record_refused_or_late(&mut self, workspace: &str, at_ms: u64) {
        self.account(workspace).step(at_ms).has_refused_or_late = true;
    }

    /// Returns the worst window of each workspace, in ascending order of ratio. A workspace that has a second without
    /// a refused or late request in every window has no worst window.
    pub fn worst_windows(&self) -> Vec<ShareWindow> {
        let mut worst: BTreeMap<String, ShareWindow> = BTreeMap::new();
        for window in self.windows() {
            let current = worst.get(&window.workspace);
            if current.is_none_or(|current| window.ratio() < current.ratio()) {
                worst.insert(window.workspace.clone(), window);
            }
        }
        let mut worst: Vec<ShareWindow> = worst.into_values().collect();
        worst.sort_by(|left, right| left.ratio().total_cmp(&right.ratio()));
        worst
    }

    /// Returns every window of a workspace in each second of which one of its requests was refused or late.
    pub fn windows(&self) -> impl Iterator<Item = ShareWindow> {
        let lengths = self.accounts.values().map(|account| account.steps.len());
        let window_count = lengths
            .max()
            .unwrap_or(0)
            .saturating_sub(WINDOW_S * STEPS_PER_SECOND - 1);
        (0..window_count).flat_map(|first_step| self.windows_from(first_step))
    }

    fn windows_from(&self, first_step: usize) -> Vec<ShareWindow> {
        let seconds_by_workspace: Vec<(&String, [Step; WINDOW_S])> = self
            .accounts
            .iter()
            .map(|(workspace, account)| (workspace, account.seconds(first_step)))
            .collect();
        let begun_cost =
            |seconds: &[Step; WINDOW_S]| seconds.iter().map(|second| second.begun_cost).sum::<f64>();
        let best = seconds_by_workspace
            .iter()
            .max_by(|(_, left), (_, right)| begun_cost(left).total_cmp(&begun_cost(right)));
        let Some((best_workspace, best_seconds)) = best else {
            return Vec::new();
        };
        let refused_or_late = seconds_by_workspace
            .iter()
            .filter(|(_, seconds)| seconds.iter().all(|second| second.has_refused_or_late));
        refused_or_late
            .map(|(workspace, seconds)| ShareWindow {
                workspace: (*workspace).clone(),
                best_workspace: (*best_workspace).clone(),
                from_ms: first_step as u64 * STEP_MS,
                requested_cost: seconds.iter().map(|second| second.requested_cost).sum(),
                begun_cost: begun_cost(seconds),
                best_begun_cost: begun_cost(best_seconds),
                entitled_cost: entitled_cost(seconds, best_seconds),
                largest_request_cost: seconds
                    .iter()
                    .map(|second| second.largest_request_cost)
                    .fold(0.0, f64::max),
            })
            .collect()
    }

    fn account(&mut self, workspace: &str) -> &mut Account {
        if !self.accounts.contains_key(workspace) {
            self.accounts.insert(workspace.to_owned(), Account::default());
        }
        self.accounts
            .get_mut(workspace)
            .expect("account was inserted above")
    }
}

/// Returns the sum over the seconds of the smaller of two costs: what the workspace requested, and what servers began
/// for the best served workspace.
fn entitled_cost(seconds: &[Step; WINDOW_S], best_seconds: &[Step; WINDOW_S]) -> f64 {
    let pairs = seconds.iter().zip(best_seconds);
    pairs
        .map(|(second, best_second)| second.requested_cost.min(best_second.begun_cost))
        .sum()
}
