//! Tells when a daemon has more callers than its processor or its memory is enough for.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use reedsail_core::TimeMs;

/// The newest measure of the lag has one part in so many of the average.
const AVERAGE_PARTS: u64 = 3;
/// A thread that is so late on average takes no further request. A processor that is shared out in
/// tenths of a second makes it late by less.
const OVERLOADED_MS: u64 = 400;
/// A thread that is so late on average sends callers to other daemons.
const CROWDED_MS: u64 = 150;
/// So does a daemon that has this part of the open requests for which its memory is enough.
const CROWDED_PERCENT: u64 = 75;
/// For how long the balancer is asked for no new connections once the daemon was crowded. Anything
/// shorter would pass between two of its questions.
const CROWDED_FOR_MS: u64 = 4_000;

/// What a daemon measures of itself every little while.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OverloadSample {
    /// How late the thread got to what was due.
    pub late_ms: u64,
    /// Requests that are open.
    pub open_requests: u64,
    /// How many may be open.
    pub open_requests_max: u64,
}

/// Whether callers crowd a daemon; shared by threads.
#[derive(Debug, Default)]
pub struct OverloadMonitor {
    lag_ms: AtomicU64,
    is_nearly_full: AtomicBool,
    crowded_until: AtomicU64,
}

impl OverloadMonitor {
    /// Takes in a measure; `true` if it begins a crowded time.
    pub fn note(&self, measure: OverloadSample, now: TimeMs) -> bool {
        let lag_ms = (self.lag_ms() * (AVERAGE_PARTS - 1) + measure.late_ms) / AVERAGE_PARTS;
        self.lag_ms.store(lag_ms, Ordering::Relaxed);
        let is_nearly_full = measure.open_requests * 100 >= measure.open_requests_max * CROWDED_PERCENT;
        self.is_nearly_full.store(is_nearly_full, Ordering::Relaxed);
        if !self.is_crowded() {
            return false;
        }
        let begins = !self.was_crowded(now);
        let until = now.plus_ms(CROWDED_FOR_MS);
        self.crowded_until.store(until.0, Ordering::Relaxed);
        begins
    }

    /// Returns how late the thread is on average, in milliseconds.
    pub fn lag_ms(&self) -> u64 {
        self.lag_ms.load(Ordering::Relaxed)
    }

    /// Tells whether the thread is so late that requests would miss their goals.
    pub fn is_overloaded(&self) -> bool {
        self.lag_ms() >= OVERLOADED_MS
    }

    /// Tells whether callers do better with another daemon.
    pub fn is_crowded(&self) -> bool {
        self.lag_ms() >= CROWDED_MS || self.is_nearly_full.load(Ordering::Relaxed)
    }

    /// Tells whether the daemon is, or was a short while ago, too crowded for further callers.
    pub fn was_crowded(&self, now: TimeMs) -> bool {
        now.0 < self.crowded_until.load(Ordering::Relaxed)
    }
}
