//! Logs and counts suspensions of the machine.
//!
//! A suspension needs no other handling: the clock that measures the age of all state counts suspended time, so the
//! state is as old after a suspension as after a freeze of the process.

use reedsail_events::EventKind;

use crate::shared::Shared;

/// Shortest suspension that is logged, in milliseconds. Shorter differences also arise because the two clocks are not
/// read at the same moment.
const SUSPENSION_LOG_MIN_MS: u64 = 100;

/// The suspended time that was logged so far.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SuspensionWatch {
    logged_ms: u64,
}

impl SuspensionWatch {
    /// Logs a suspension of the machine since the last logged one.
    pub(crate) fn tick<H>(&mut self, shared: &Shared<H>) {
        let suspended_ms = shared.clock.suspended_ms();
        let unlogged_ms = suspended_ms.saturating_sub(self.logged_ms);
        if unlogged_ms < SUSPENSION_LOG_MIN_MS {
            return;
        }
        self.logged_ms = suspended_ms;
        shared.metrics.suspensions.inc();
        let fields = [("suspended_ms", unlogged_ms.to_string())];
        shared.emit(EventKind::MachineSuspended, &fields);
    }
}
