//! The process's clocks.
//!
//! All that is believed is judged by one clock which also counts the time for which the machine was suspended.
//! The runtime's timers do not count it; a [`DeadlineTimer`] looks at this clock again while it waits.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use reedsail_core::TimeMs;
use rustix::time::ClockId;
use rustix::time::clock_gettime;

use crate::DeadlineTimer;

/// The moment at which a process begins, in milliseconds.
const START_MS: u64 = 1_000;
/// Nanoseconds of a millisecond.
const MS_NS: u64 = 1_000_000;

/// Tells the moment since the process began, and the wall clock's time.
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

/// Returns the time since the machine was started, suspensions included, in nanoseconds.
fn boot_ns() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec as u64 * 1_000 * MS_NS + time.tv_nsec as u64
}

impl Clock {
    /// Makes a clock that counts simulated suspensions, for tests.
    pub fn with_simulated_suspension(simulated: &'static SimulatedSuspension) -> Self {
        Self {
            simulated: Some(simulated),
            ..Self::default()
        }
    }

    /// Returns the present moment on a clock that runs steadily and counts suspensions of the machine. It starts at
    /// one second, so that the zero moment is always past.
    pub fn now(&self) -> TimeMs {
        TimeMs(START_MS + self.elapsed_ms())
    }

    fn elapsed_ms(&self) -> u64 {
        let simulated_ms = self.simulated.map_or(0, SimulatedSuspension::total_ms);
        boot_ns().saturating_sub(self.started_ns) / MS_NS + simulated_ms
    }

    /// Returns for how long the machine was suspended since the process began, in milliseconds.
    pub fn suspended_ms(&self) -> u64 {
        let steady_ms = self.started.elapsed().as_millis() as u64;
        self.elapsed_ms().saturating_sub(steady_ms)
    }

    /// Returns a future that completes at a moment.
    pub fn timer(&self, deadline: TimeMs) -> DeadlineTimer {
        DeadlineTimer::new(*self, deadline)
    }

    /// Returns the wall clock's time in milliseconds since the Unix epoch.
    pub fn unix_ms() -> u64 {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |since| since.as_millis() as u64)
    }
}

/// Suspensions that only the clocks made with it believe in.
#[derive(Debug, Default)]
pub struct SimulatedSuspension {
    total_ms: AtomicU64,
}

impl SimulatedSuspension {
    /// Lets a span pass that only a clock which counts suspensions sees.
    pub fn suspend(&self, span_ms: u64) {
        self.total_ms.fetch_add(span_ms, Ordering::Relaxed);
    }

    fn total_ms(&self) -> u64 {
        self.total_ms.load(Ordering::Relaxed)
    }
}
