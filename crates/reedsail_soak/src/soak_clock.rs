//! The time since callers began, the same for all parts of a soak.

use reedsail_net::Clock;

/// Counts from the moment at which it was made, by the time of day, which all processes share.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SoakClock {
    start_unix_ms: u64,
}

impl SoakClock {
    /// Begins to count.
    pub(crate) fn start() -> Self {
        Self {
            start_unix_ms: Clock::unix_ms(),
        }
    }

    /// Returns the present moment.
    pub(crate) fn now_ms(self) -> u64 {
        self.since_start_ms(Clock::unix_ms())
    }

    /// Returns a moment that another process told by the time of day; zero if it was earlier.
    pub(crate) fn since_start_ms(self, unix_ms: u64) -> u64 {
        unix_ms.saturating_sub(self.start_unix_ms)
    }
}
