//! Overload: whether this instance refuses requests, or sheds callers to other instances.
//!
//! **Rule.** A traffic thread whose average lag is [`LATE_LAG_MS`] or more refuses requests. So does an
//! instance with more open requests than its memory allows. An instance sheds callers if its thread is
//! persistently late by [`SHED_LAG_MS`] or more, if the average lag is [`LATE_LAG_MS`] or more, or if
//! [`SHED_OPEN_PERCENT`] of the allowed requests are open: it is not ready for [`NOT_READY_MS`], and closes
//! some of the connections on which it answers. An instance with more connections than its memory allows does
//! the same.
//!
//! **Inputs.** The lag of the thread (milliseconds), open requests, open connections, the setting
//! `memory_mb`.
//!
//! **Why.** All callers of a large workspace may connect to one small instance. Their connections stay
//! open, so the load balancer alone does not spread them. A refused request costs its caller a retry, so
//! shedding begins at a much smaller lag if that persists. A request needs several turns of its thread, so one that a
//! late thread accepts is answered when its caller waits no more, and delays those behind it.
//!
//! **Tested by** `tests/overload.rs`.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use reedsail_core::TimeMs;

/// Number of samples in the moving average of the lag: the newest sample has a weight of one in this many.
const LAG_SAMPLES: u64 = 3;
/// Average lag from which a thread refuses requests, and its instance sheds callers however long the lag lasts, in
/// milliseconds. A thread whose processor is allotted in tenths of a second is late by less.
const LATE_LAG_MS: u64 = 150;
/// Lag from which an instance sheds callers if the lag persists, in milliseconds.
const SHED_LAG_MS: u64 = 5;
/// Upper bound on a sample in the average of persistent lag, in milliseconds. An instance sheds callers
/// if it is late repeatedly, not if it was very late once.
const SHED_SAMPLE_MAX_MS: u64 = 2 * SHED_LAG_MS;
/// Number of samples in the average of persistent lag. Three late samples in a row reach the bound. A
/// processor whose share is used up in every third tenth of a second does not reach it.
const SHED_SAMPLES: u64 = 4;
/// Percentage of the allowed open requests from which an instance sheds callers.
const SHED_OPEN_PERCENT: u64 = 75;
/// How long an instance that sheds callers is not ready, in milliseconds, so that the load balancer sends it
/// no new connections. A shorter time would fall between two readiness probes. Being not ready only until the
/// lag falls left workspaces starved.
const NOT_READY_MS: u64 = 4_000;
/// While an instance sheds callers, one in this many answers closes its connection. This spreads a large
/// caller over several instances instead of moving it from one to the next.
pub const CLOSE_ONE_IN: u32 = 20;
/// Open requests for each megabyte of memory. A request takes about 80 kB with its two connections, and a
/// third of the memory is available for requests.
const OPEN_REQUESTS_PER_MB: u64 = 4;
/// Caller connections for each megabyte of memory. An idle one takes about 40 kB.
const CONNECTIONS_PER_MB: u64 = 10;

/// Returns how many requests may be open at once with the given memory.
pub fn open_requests_max(memory_mb: u64) -> u64 {
    memory_mb * OPEN_REQUESTS_PER_MB
}

/// Returns how many connections callers may keep open with the given memory.
pub fn connections_max(memory_mb: u64) -> u64 {
    memory_mb * CONNECTIONS_PER_MB
}

/// Returns a moving average in which the newest sample has a weight of one in `samples`.
fn moving_average(previous: u64, sample: u64, samples: u64) -> u64 {
    (previous * (samples - 1) + sample) / samples
}

/// Measurement of an instance's own load, taken every tenth of a second.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OverloadSample {
    /// Delay between the due time of the thread's timer and its execution, in milliseconds.
    pub late_ms: u64,
    /// Number of open requests.
    pub open_requests: u64,
    /// Maximum number of open requests.
    pub open_requests_max: u64,
}

/// The overload state of one instance, shared by its threads.
#[derive(Debug, Default)]
pub struct OverloadMonitor {
    lag_ms: AtomicU64,
    /// Moving average of the bounded samples, in microseconds.
    shed_lag_us: AtomicU64,
    is_nearly_full: AtomicBool,
    not_ready_until: AtomicU64,
}

impl OverloadMonitor {
    /// Records a sample. Returns `true` if shedding begins with it.
    pub fn record(&self, sample: OverloadSample, now: TimeMs) -> bool {
        let lag_ms = moving_average(self.lag_ms(), sample.late_ms, LAG_SAMPLES);
        self.lag_ms.store(lag_ms, Ordering::Relaxed);
        let sample_us = sample.late_ms.min(SHED_SAMPLE_MAX_MS) * 1_000;
        let previous_us = self.shed_lag_us.load(Ordering::Relaxed);
        let shed_lag_us = moving_average(previous_us, sample_us, SHED_SAMPLES);
        self.shed_lag_us.store(shed_lag_us, Ordering::Relaxed);
        let is_nearly_full = sample.open_requests * 100 >= sample.open_requests_max * SHED_OPEN_PERCENT;
        self.is_nearly_full.store(is_nearly_full, Ordering::Relaxed);
        if !self.sheds_callers() {
            return false;
        }
        let starts_shedding = self.is_ready(now);
        let until = now.plus_ms(NOT_READY_MS);
        self.not_ready_until.store(until.0, Ordering::Relaxed);
        starts_shedding
    }

    /// Returns the average lag of the thread, in milliseconds.
    pub fn lag_ms(&self) -> u64 {
        self.lag_ms.load(Ordering::Relaxed)
    }

    /// Returns whether a request that arrives now is refused, given the number of open requests and its
    /// bound.
    pub fn refuses_request(&self, open_requests: u64, open_requests_max: u64) -> bool {
        open_requests > open_requests_max || self.lag_ms() >= LATE_LAG_MS
    }

    /// Returns whether the instance sheds callers to other instances.
    pub fn sheds_callers(&self) -> bool {
        let is_persistently_late = self.shed_lag_us.load(Ordering::Relaxed) >= SHED_LAG_MS * 1_000;
        is_persistently_late || self.lag_ms() >= LATE_LAG_MS || self.is_nearly_full.load(Ordering::Relaxed)
    }

    /// Returns whether the load balancer may send new connections, since no callers were shed recently.
    pub fn is_ready(&self, now: TimeMs) -> bool {
        now.0 >= self.not_ready_until.load(Ordering::Relaxed)
    }
}
