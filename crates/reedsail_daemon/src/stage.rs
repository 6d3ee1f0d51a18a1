//! The stages of the daemon from start to shutdown.

use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;

/// A stage of the daemon. Transitions only go forward.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// No bundle is in force yet.
    Starting,
    /// Requests are accepted.
    Ready,
    /// A graceful stop has begun. Requests are still accepted until the load balancer has noticed.
    Draining,
    /// New requests are refused, and open requests are finished.
    Closing,
}

impl Stage {
    /// Returns the name that the admin port shows.
    pub fn name(self) -> &'static str {
        match self {
            Self::Starting => "starting",
            Self::Ready => "ready",
            Self::Draining => "draining",
            Self::Closing => "closing",
        }
    }
}

/// The current stage, readable from every thread.
#[derive(Debug)]
pub(crate) struct StageCell(AtomicU8);

impl Default for StageCell {
    fn default() -> Self {
        Self(AtomicU8::new(Stage::Starting as u8))
    }
}

impl StageCell {
    pub(crate) fn get(&self) -> Stage {
        match self.0.load(Ordering::Acquire) {
            0 => Stage::Starting,
            1 => Stage::Ready,
            2 => Stage::Draining,
            _ => Stage::Closing,
        }
    }

    /// Advances to `stage`. Returns `false` if the daemon has already reached it.
    pub(crate) fn advance(&self, stage: Stage) -> bool {
        self.0.fetch_max(stage as u8, Ordering::AcqRel) < stage as u8
    }
}
