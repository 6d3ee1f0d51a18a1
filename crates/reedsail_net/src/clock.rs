//! The process's clocks.

use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use reedsail_core::TimeMs;

/// The moment at which a process begins, in milliseconds.
const START_MS: u64 = 1_000;

/// Tells the moment since the process began, and the wall clock's time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
}

impl Default for Clock {
    fn default() -> Self {
        Self {
            started: Instant::now(),
        }
    }
}

impl Clock {
    /// Returns the present moment, on the monotonic clock. It starts at one second, so that the zero
    /// moment is always past.
    pub fn now(&self) -> TimeMs {
        TimeMs(START_MS + self.started.elapsed().as_millis() as u64)
    }

    /// Returns the moment as the runtime's timer wants it.
    pub fn instant(&self, moment: TimeMs) -> tokio::time::Instant {
        let since_start_ms = moment.0.saturating_sub(START_MS);
        tokio::time::Instant::from_std(self.started + std::time::Duration::from_millis(since_start_ms))
    }

    /// Returns the wall clock's time in milliseconds since the Unix epoch.
    pub fn unix_ms() -> u64 {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |since| since.as_millis() as u64)
    }
}
