//! Where the daemon stands between its start and its end.

use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;

/// A stage of the daemon's life; it only moves forward.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// No bundle is in force yet.
    Starting,
    /// Requests are taken.
    Ready,
    /// A planned stop has begun; requests are still taken until the balancer has noticed.
    Draining,
    /// No request is taken any more; open ones are finished.
    Closing,
}

impl Stage {
    /// Returns the name that the admin page shows.
    pub fn name(self) -> &'static str {
        match self {
            Self::Starting => "starting",
            Self::Ready => "ready",
            Self::Draining => "draining",
            Self::Closing => "closing",
        }
    }
}

/// The present stage, readable from every thread.
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

    /// Moves forward; returns `true` if the stage is new.
    pub(crate) fn advance(&self, stage: Stage) -> bool {
        self.0.fetch_max(stage as u8, Ordering::AcqRel) < stage as u8
    }
}
