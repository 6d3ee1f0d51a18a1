//! The clocks of the process.
//!
//! One clock decides the age of all state. It includes the time during which the machine was suspended. The timers of
//! the runtime exclude that time, so a [`DeadlineTimer`] checks this clock repeatedly while it waits.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use reedsail_core::TimeMs;
use rustix::time::ClockId;
use rustix::time::clock_gettime;

use crate::DeadlineTimer;

/// Nanoseconds per millisecond.
const NS_PER_MS: u64 = 1_000_000;

/// A monotonic clock that counts from the start of the process, and the wall clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started_ns: u64,
    started: Instant,
    simulated: Option<&'static SimulatedSuspension>,
}

impl Default for Clock {
    fn default() -> Self {
        Self {
            started_ns: boot_ns(),
            started: Instant::now(),
            simulated: None,
        }
    }
}

/// Returns the time since the machine booted in nanoseconds, suspensions included.
fn boot_ns() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec as u64 * 1_000 * NS_PER_MS + time.tv_nsec as u64
}

impl Clock {
    /// Creates a clock that includes simulated suspensions, for tests.
    pub fn with_simulated_suspension(simulated: &'static SimulatedSuspension) -> Self {
        Self {
            simulated: Some(simulated),
            ..Self::default()
        }
    }

    /// Returns the current time of a monotonic clock that includes suspensions of the machine. The clock starts at
    /// [`TimeMs::PROCESS_START`], so that time zero is always in the past.
    pub fn now(&self) -> TimeMs {
        TimeMs::PROCESS_START.plus_ms(self.elapsed_ms())
    }

    fn elapsed_ms(&self) -> u64 {
        let simulated_ms = self.simulated.map_or(0, SimulatedSuspension::total_ms);
        boot_ns().saturating_sub(self.started_ns) / NS_PER_MS + simulated_ms
    }

    /// Returns the total time for which the machine was suspended since the process started, in milliseconds.
    pub fn suspended_ms(&self) -> u64 {
        let unsuspended_ms = self.started.elapsed().as_millis() as u64;
        self.elapsed_ms().saturating_sub(unsuspended_ms)
    }

    /// Returns a future that completes at `deadline`.
    pub fn timer(&self, deadline: TimeMs) -> DeadlineTimer {
        DeadlineTimer::new(*self, deadline)
    }

    /// Returns the wall-clock time in milliseconds since the Unix epoch.
    pub fn unix_ms() -> u64 {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |since| since.as_millis() as u64)
    }
}

/// Simulated suspensions, seen only by the clocks that are created with them.
#[derive(Debug, Default)]
pub struct SimulatedSuspension {
    total_ms: AtomicU64,
}

impl SimulatedSuspension {
    /// Simulates a suspension of `span_ms` milliseconds.
    pub fn suspend(&self, span_ms: u64) {
        self.total_ms.fetch_add(span_ms, Ordering::Relaxed);
    }

    fn total_ms(&self) -> u64 {
        self.total_ms.load(Ordering::Relaxed)
    }
}
