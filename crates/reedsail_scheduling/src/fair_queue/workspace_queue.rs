//! The waiting and running requests of one workspace at one service, and their cost.

use std::collections::BTreeMap;

use crate::Class;
use crate::QueueLimits;
use crate::Waiting;

/// The assumed cost of a workspace's request before one has ended.
const MEAN_COST_INITIAL: f64 = 50.0;
/// The weight of the newest request in a workspace's mean cost, a moving average.
const COST_SAMPLE_WEIGHT: f64 = 0.1;
/// The factor by which the peak rate decays per window.
const RATE_DECAY_FACTOR: f64 = 0.95;
/// Waits are predicted only after this many consecutive backlogged windows; no request is refused for its
/// predicted wait before that.
const BACKLOGGED_WINDOWS_MIN: u32 = 3;
/// The smallest share by which cost is divided, in slots.
const SHARE_MIN_SLOTS: f64 = 0.01;
/// The maximum number of requests by which a workspace can be ahead of its share and have to wait for it
/// later. The allocator, which sees the whole fleet, balances anything beyond.
const AHEAD_REQUESTS_MAX: f64 = 2.0;

/// One workspace at one service.
#[derive(Debug)]
pub(crate) struct WorkspaceQueue<W> {
    pub(crate) weight: f64,
    pub(crate) limits: QueueLimits,
    pub(super) waiting: BTreeMap<(u8, u64, u64), Waiting<W>>,
    pub(super) queued_bytes: u64,
    pub(crate) running: u32,
    /// Fleet-wide virtual time: the allocator's value plus the cost charged here since.
    pub(crate) virtual_time: f64,
    /// The workspace's target number of slots here, set by the allocator; `None` before the first grant.
    pub(super) share: Option<f64>,
    /// Cost received here divided by the share: orders the workspaces on this instance.
    pub(super) local_time: f64,
    /// The remaining expected cost of running requests.
    pub(crate) outstanding_cost: f64,
    pub(crate) mean_cost: f64,
    /// Cost received here since the session began.
    pub(crate) cost_total: f64,
    /// `cost_total` at the time of the last report.
    pub(crate) cost_reported: f64,
    pub(super) lifetime_cost: f64,
    /// `lifetime_cost` at the start of the current window.
    pub(super) cost_at_window_start: f64,
    pub(super) cost_rate_per_ms: f64,
    /// Consecutive windows throughout which requests waited.
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
            mean_cost: MEAN_COST_INITIAL,
            cost_total: 0.0,
            cost_reported: 0.0,
            lifetime_cost: 0.0,
            cost_at_window_start: 0.0,
            cost_rate_per_ms: 0.0,
            backlogged_windows: 0,
        }
    }

    pub(crate) fn queued(&self) -> u32 {
        self.waiting.len() as u32
    }

    pub(crate) fn is_active(&self) -> bool {
        self.running > 0 || !self.waiting.is_empty()
    }

    /// Returns the share, or one derived from the weight and the usual slots per weight.
    pub(super) fn share_or(&self, slots_per_weight: f64) -> f64 {
        self.share
            .unwrap_or(self.weight * slots_per_weight)
            .max(SHARE_MIN_SLOTS)
    }

    /// Returns whether the workspace runs fewer requests than the whole slots of its share.
    pub(super) fn is_below_share(&self) -> bool {
        self.share
            .is_some_and(|share| f64::from(self.running) + 1.0 <= share)
    }

    /// Returns the workspace's local time once its running requests are done.
    pub(super) fn projected_local_time(&self, slots_per_weight: f64) -> f64 {
        self.local_time + self.outstanding_cost / self.share_or(slots_per_weight)
    }

    /// Changes the share, and keeps the cost by which the workspace is ahead.
    pub(super) fn change_share(
        &mut self,
        floor: f64,
        slots_per_weight: f64,
        share: Option<f64>,
        new_slots_per_weight: f64,
    ) {
        let ahead_cost = (self.local_time - floor) * self.share_or(slots_per_weight);
        self.share = share;
        let ahead_cost_max = AHEAD_REQUESTS_MAX * self.mean_cost;
        let ahead_cost = ahead_cost.clamp(-ahead_cost_max, ahead_cost_max);
        self.local_time = floor + ahead_cost / self.share_or(new_slots_per_weight);
    }

    pub(crate) fn record_cost(&mut self, cost: f64) {
        self.mean_cost += COST_SAMPLE_WEIGHT * (cost - self.mean_cost);
    }

    pub(super) fn measure_rate(&mut self, window_ms: u64) {
        let rate = (self.lifetime_cost - self.cost_at_window_start) / window_ms as f64;
        self.cost_at_window_start = self.lifetime_cost;
        if self.waiting.is_empty() {
            self.backlogged_windows = 0;
            self.cost_rate_per_ms = 0.0;
            return;
        }
        self.backlogged_windows += 1;
        // The share here fluctuates with the workspace's callers on other instances. The peak rate therefore
        // decays slowly, so that a lull causes no refusals.
        self.cost_rate_per_ms = rate.max(self.cost_rate_per_ms * RATE_DECAY_FACTOR);
    }

    /// Returns the predicted wait of a new request of the class, if it is predictable.
    pub(super) fn predicted_wait_ms(&self, class: Class) -> Option<u64> {
        if self.backlogged_windows < BACKLOGGED_WINDOWS_MIN || self.cost_rate_per_ms <= 0.0 {
            return None;
        }
        let last_ahead = (class.rank(), u64::MAX, u64::MAX);
        let ahead = self.waiting.range(..=last_ahead).count() as f64;
        Some((ahead * self.mean_cost / self.cost_rate_per_ms) as u64)
    }
}
