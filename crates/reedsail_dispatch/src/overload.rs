//! Overload: whether this instance refuses requests, or sends callers to other instances.
//!
//! **Rule.** A traffic thread that is [`REFUSE_LAG_MS`] late on average refuses requests, and so does an
//! instance with more open requests than its memory is enough for. One whose thread keeps being late by
//! [`SHED_LAG_MS`] or more, that is [`SHED_AT_ONCE_LAG_MS`] late on average, or that has
//! [`SHED_OPEN_PERCENT`] of those requests open, sheds callers: it is not ready for [`NOT_READY_MS`], and
//! closes some of the connections that it answers on. So does one with more connections than its memory is
//! enough for.
//!
//! **Inputs.** How late the thread was (milliseconds), open requests, open connections, the setting
//! `memory_mb`.
//!
//! **Why.** All callers of a large workspace may enter at one small instance. Their connections stay
//! open, so the balancer alone does not spread them. Refusing a request costs its caller a retry, so
//! shedding begins much earlier.
//!
//! **Tested by** `tests/overload.rs`.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use reedsail_core::TimeMs;

/// The newest sample of the lag is one in this many of the moving average.
const AVERAGE_SAMPLES: u64 = 3;
/// Average lag from which a thread refuses requests, in milliseconds. A processor that is shared out in
/// tenths of a second makes a thread late by less. 400 and 200 were tried together with other changes,
/// not alone.
const REFUSE_LAG_MS: u64 = 400;
/// Average lag from which an instance sheds callers however short the time was, in milliseconds.
const SHED_AT_ONCE_LAG_MS: u64 = 150;
/// Lag from which an instance sheds callers if it lasts, in milliseconds.
const SHED_LAG_MS: u64 = 5;
/// A sample counts as this much lag at most when that average is taken, in milliseconds: an instance is
/// to shed callers if it is late again and again, not if it was very late once.
const SHED_SAMPLE_MAX_MS: u64 = 2 * SHED_LAG_MS;
/// The newest sample is one in this many of that average. Three late samples in a row reach the bound; a
/// processor whose share is spent in every third tenth of a second does not.
const SHED_SAMPLES: u64 = 4;
/// Percentage of the open requests for which the memory is enough, from which an instance sheds
/// callers.
const SHED_OPEN_PERCENT: u64 = 75;
/// How long the balancer is asked for no new connections, in milliseconds. Anything shorter would pass
/// between two of its probes; giving up readiness only until the lag fell left workspaces
/// starved.
const NOT_READY_MS: u64 = 4_000;
/// While an instance sheds callers, one in this many answers closes its connection, so that a large caller is
/// spread over several instances and not moved from one to the next.
pub const CLOSE_ONE_IN: u32 = 20;
/// Open requests for each megabyte of memory: one takes about 80 kB with its two connections, and a
/// third of the memory is theirs.
const OPEN_REQUESTS_PER_MB: u64 = 4;
/// Callers' connections for each megabyte of memory. One at rest takes about 40 kB.
const CONNECTIONS_PER_MB: u64 = 10;

/// Returns how many requests may be open at once with so much memory.
pub fn open_requests_max(memory_mb: u64) -> u64 {
    memory_mb * OPEN_REQUESTS_PER_MB
}

/// Returns how many connections callers may keep open with so much memory.
pub fn connections_max(memory_mb: u64) -> u64 {
    memory_mb * CONNECTIONS_PER_MB
}

/// Returns an average in which the newest sample is one in `samples`.
fn moving_average(before: u64, sample: u64, samples: u64) -> u64 {
    (before * (samples - 1) + sample) / samples
}

/// What an instance measures of itself every tenth of a second.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OverloadSample {
    /// How late the thread got to what was due, in milliseconds.
    pub late_ms: u64,
    /// Requests that are open.
    pub open_requests: u64,
    /// How many may be open.
    pub open_requests_max: u64,
}

/// The overload of one instance; shared by threads.
#[derive(Debug, Default)]
pub struct OverloadMonitor {
    lag_ms: AtomicU64,
    /// Average of bounded samples, in microseconds.
    shed_lag_us: AtomicU64,
    is_nearly_full: AtomicBool,
    not_ready_until: AtomicU64,
}

impl OverloadMonitor {
    /// Takes in a sample; `true` if shedding begins with it.
    pub fn record(&self, sample: OverloadSample, now: TimeMs) -> bool {
        let lag_ms = moving_average(self.lag_ms(), sample.late_ms, AVERAGE_SAMPLES);
        self.lag_ms.store(lag_ms, Ordering::Relaxed);
        let sample_us = sample.late_ms.min(SHED_SAMPLE_MAX_MS) * 1_000;
        let before_us = self.shed_lag_us.load(Ordering::Relaxed);
        let shed_lag_us = moving_average(before_us, sample_us, SHED_SAMPLES);
        self.shed_lag_us.store(shed_lag_us, Ordering::Relaxed);
        let is_nearly_full = sample.open_requests * 100 >= sample.open_requests_max * SHED_OPEN_PERCENT;
        self.is_nearly_full.store(is_nearly_full, Ordering::Relaxed);
        if !self.sheds_callers() {
            return false;
        }
        let begins = self.is_ready(now);
        let until = now.plus_ms(NOT_READY_MS);
        self.not_ready_until.store(until.0, Ordering::Relaxed);
        begins
    }

    /// Returns how late the thread is on average, in milliseconds.
    pub fn lag_ms(&self) -> u64 {
        self.lag_ms.load(Ordering::Relaxed)
    }

    /// Tells whether a request that arrives now is refused, given the number of open requests and its bound.
    pub fn refuses_request(&self, open_requests: u64, open_requests_max: u64) -> bool {
        open_requests > open_requests_max || self.lag_ms() >= REFUSE_LAG_MS
    }

    /// Tells whether callers do better with another instance.
    pub fn sheds_callers(&self) -> bool {
        let keeps_being_late = self.shed_lag_us.load(Ordering::Relaxed) >= SHED_LAG_MS * 1_000;
        keeps_being_late
            || self.lag_ms() >= SHED_AT_ONCE_LAG_MS
            || self.is_nearly_full.load(Ordering::Relaxed)
    }

    /// Tells whether the balancer may send new connections: callers have not been shed for a while.
    pub fn is_ready(&self, now: TimeMs) -> bool {
        now.0 >= self.not_ready_until.load(Ordering::Relaxed)
    }
}
