//! What waits and runs of one workspace at one service, and what it was charged.

use std::collections::BTreeMap;

use crate::Class;
use crate::QueueLimits;
use crate::Waiting;

/// The cost that a workspace's request is taken to have before one has ended.
const COST_FIRST_GUESS: f64 = 50.0;
/// The weight of the newest request in a workspace's running mean cost.
const COST_SAMPLE_WEIGHT: f64 = 0.1;
/// What part of the best rate counts on for another window.
const RATE_KEPT_FRACTION: f64 = 0.95;
/// A wait is predicted once so many windows in a row were backlogged; before, nobody is refused.
const RATE_WINDOWS_MIN: u32 = 3;
/// The smallest share by which cost is divided, in slots.
const SHARE_MIN: f64 = 0.01;
/// The most requests by which a workspace may run ahead of its share and be made to wait for it
/// later; what lies beyond is left to the allocator, which sees the whole fleet.
const AHEAD_REQUESTS_MAX: f64 = 2.0;

/// One workspace at one service.
#[derive(Debug)]
pub(crate) struct WorkspaceQueue<W> {
    pub(crate) weight: f64,
    pub(crate) limits: QueueLimits,
    pub(super) waiting: BTreeMap<(u8, u64, u64), Waiting<W>>,
    pub(super) queued_bytes: u64,
    pub(crate) running: u32,
    /// Fleet-wide virtual time: the allocator's, plus what was charged here since.
    pub(crate) virtual_time: f64,
    /// The slots that it is to have here, as the allocator divides them; `None` until told.
    pub(super) share: Option<f64>,
    /// Cost received here by share: the order among workspaces on this daemon.
    pub(super) local_time: f64,
    /// What running requests are still expected to cost.
    pub(crate) outstanding_cost: f64,
    pub(crate) mean_cost: f64,
    /// Cost received here since the session began.
    pub(crate) cost_total: f64,
    /// `cost_total` as it stood in the report under way.
    pub(crate) cost_reported: f64,
    pub(super) lifetime_cost: f64,
    /// `lifetime_cost` as the present window began.
    pub(super) cost_at_window: f64,
    pub(super) rate_per_ms: f64,
    /// Windows in a row throughout which work waited.
    pub(super) backlogged_windows: u32,
}

impl<W> WorkspaceQueue<W> {
    pub(super) fn new(weight: f64, limits: QueueLimits) -> Self {
        Self {
            weight,
            limits,
            waiting: BTreeMap::new(),
            queued_bytes: 0,
            running: 0,
            virtual_time: 0.0,
            share: None,
            local_time: 0.0,
            outstanding_cost: 0.0,
            mean_cost: COST_FIRST_GUESS,
            cost_total: 0.0,
            cost_reported: 0.0,
            lifetime_cost: 0.0,
            cost_at_window: 0.0,
            rate_per_ms: 0.0,
            backlogged_windows: 0,
        }
    }

    pub(crate) fn queued(&self) -> u32 {
        self.waiting.len() as u32
    }

    pub(crate) fn is_active(&self) -> bool {
        self.running > 0 || !self.waiting.is_empty()
    }

    /// Returns the share, or what the weight would give at the usual rate of slots by weight.
    pub(super) fn share_or(&self, slots_per_weight: f64) -> f64 {
        self.share
            .unwrap_or(self.weight * slots_per_weight)
            .max(SHARE_MIN)
    }

    /// Tells whether the workspace has fewer slots than the whole ones of the share it was told.
    pub(super) fn is_below_share(&self) -> bool {
        self.share
            .is_some_and(|share| f64::from(self.running) + 1.0 <= share)
    }

    /// Returns the local time at which the workspace stands once its running work is done.
    pub(super) fn projected_local_time(&self, slots_per_weight: f64) -> f64 {
        self.local_time + self.outstanding_cost / self.share_or(slots_per_weight)
    }

    /// Changes the share, keeping in cost what the workspace is ahead.
    pub(super) fn rebase(
        &mut self,
        floor: f64,
        slots_per_weight: f64,
        share: Option<f64>,
        slots_per_weight_after: f64,
    ) {
        let ahead_cost = (self.local_time - floor) * self.share_or(slots_per_weight);
        self.share = share;
        let most = AHEAD_REQUESTS_MAX * self.mean_cost;
        let ahead_cost = ahead_cost.clamp(-most, most);
        self.local_time = floor + ahead_cost / self.share_or(slots_per_weight_after);
    }

    pub(crate) fn learn_cost(&mut self, cost: f64) {
        self.mean_cost += COST_SAMPLE_WEIGHT * (cost - self.mean_cost);
    }

    pub(super) fn measure_rate(&mut self, window_ms: u64) {
        let rate = (self.lifetime_cost - self.cost_at_window) / window_ms as f64;
        self.cost_at_window = self.lifetime_cost;
        if self.waiting.is_empty() {
            self.backlogged_windows = 0;
            self.rate_per_ms = 0.0;
            return;
        }
        self.backlogged_windows += 1;
        // A share here comes and goes with the workspace's callers elsewhere, so a good second is
        // forgotten slowly: nobody is to be refused for a lull.
        self.rate_per_ms = rate.max(self.rate_per_ms * RATE_KEPT_FRACTION);
    }

    /// Returns how long a new request of the class would wait, if that can be told.
    pub(super) fn predicted_wait_ms(&self, class: Class) -> Option<u64> {
        if self.backlogged_windows < RATE_WINDOWS_MIN || self.rate_per_ms <= 0.0 {
            return None;
        }
        let last_ahead = (class.rank(), u64::MAX, u64::MAX);
        let ahead = self.waiting.range(..=last_ahead).count() as f64;
        Some((ahead * self.mean_cost / self.rate_per_ms) as u64)
    }
}
