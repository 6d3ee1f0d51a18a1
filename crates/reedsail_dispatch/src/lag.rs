//! How late a thread gets to what is due, which tells when its processor is not enough.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use reedsail_core::TimeMs;

/// The newest measure has one part in so many of the average.
const AVERAGE_PARTS: u64 = 3;
/// A thread that is so late on average takes no further request. A processor that is shared out in
/// tenths of a second makes it late by less.
const OVERLOADED_MS: u64 = 400;
/// A thread that is so late on average sends callers to other daemons.
const CROWDED_MS: u64 = 150;
/// For how long the balancer is asked for no new connections once the thread was so late. Anything
/// shorter would pass between two of its questions.
const CROWDED_FOR_MS: u64 = 4_000;

/// A moving average of a thread's lag, shared by threads.
#[derive(Debug, Default)]
pub struct Lag {
    average_ms: AtomicU64,
    crowded_until: AtomicU64,
}

impl Lag {
    /// Takes in a measure; `true` if it begins a time of too many callers.
    pub fn note(&self, late_ms: u64, now: TimeMs) -> bool {
        let before_ms = self.average_ms();
        let average_ms = (before_ms * (AVERAGE_PARTS - 1) + late_ms) / AVERAGE_PARTS;
        self.average_ms.store(average_ms, Ordering::Relaxed);
        if average_ms < CROWDED_MS {
            return false;
        }
        let begins = !self.was_crowded(now);
        let until = now.plus_ms(CROWDED_FOR_MS);
        self.crowded_until.store(until.0, Ordering::Relaxed);
        begins
    }

    /// Returns the average lag, in milliseconds.
    pub fn average_ms(&self) -> u64 {
        self.average_ms.load(Ordering::Relaxed)
    }

    /// Tells whether the thread is so late that requests would miss their goals.
    pub fn is_overloaded(&self) -> bool {
        self.average_ms() >= OVERLOADED_MS
    }

    /// Tells whether the thread is so late that callers do better with another daemon.
    pub fn is_crowded(&self) -> bool {
        self.average_ms() >= CROWDED_MS
    }

    /// Tells whether the thread is, or was a short while ago, too late for further callers.
    pub fn was_crowded(&self, now: TimeMs) -> bool {
        now.0 < self.crowded_until.load(Ordering::Relaxed)
    }
}
