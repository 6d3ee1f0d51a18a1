//! The time since callers began, shared by all parts of a soak.

use reedsail_net::Clock;

/// Measures the time since its creation by the wall clock, which all processes share.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SoakClock {
    start_unix_ms: u64,
}

impl SoakClock {
    /// Starts the clock.
    pub(crate) fn start() -> Self {
        Self {
            start_unix_ms: Clock::unix_ms(),
        }
    }

    /// Returns the current time in milliseconds since the start.
    pub(crate) fn now_ms(self) -> u64 {
        self.since_start_ms(Clock::unix_ms())
    }

    /// Converts another process's Unix time to milliseconds since the start; zero if it is before the start.
    pub(crate) fn since_start_ms(self, unix_ms: u64) -> u64 {
        unix_ms.saturating_sub(self.start_unix_ms)
    }
}
