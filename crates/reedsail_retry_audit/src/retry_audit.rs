//! The audit of one service.

use std::collections::HashSet;

use crate::RetryBound;

/// The window of a service that comes closest to the bound, or exceeds it the most.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryWindow {
    /// Start of the window, in milliseconds.
    pub from_ms: u64,
    /// Arrivals within the window, beyond the first of each request.
    pub retries: u64,
    /// Requests that count for the window.
    pub requests: u64,
    /// Retries that the bound allows.
    pub allowed: f64,
}

impl RetryWindow {
    /// Returns how many retries exceed the bound; negative if there is room for more.
    pub fn excess(&self) -> f64 {
        self.retries as f64 - self.allowed
    }
}

/// The requests and retries of one service. Times are in milliseconds, on one clock, and in any order.
#[derive(Clone, Debug, Default)]
pub struct RetryAudit {
    requests_ms: Vec<u64>,
    retries_ms: Vec<u64>,
    arrived: HashSet<String>,
}

impl RetryAudit {
    /// Records a request that a caller sent to the service, whether or not it reaches a server.
    pub fn record_request(&mut self, at_ms: u64) {
        self.requests_ms.push(at_ms);
    }

    /// Records the arrival of a request at a server. Each arrival after the first one of a request counts as a retry.
    /// The arrivals of one request are recorded in the order of their times.
    pub fn record_arrival(&mut self, request_id: &str, at_ms: u64) {
        if !self.arrived.insert(request_id.to_owned()) {
            self.record_retry(at_ms);
        }
    }

    /// Records an arrival that is known to be a retry.
    pub fn record_retry(&mut self, at_ms: u64) {
        self.retries_ms.push(at_ms);
    }

    /// Returns the number of retries.
    pub fn retries(&self) -> usize {
        self.retries_ms.len()
    }

    /// Returns the window with the greatest excess over a bound; `None` if there was no retry.
    ///
    /// Times are whole milliseconds, so the windows that begin at each millisecond are all windows.
    pub fn worst_window(&self, bound: &RetryBound) -> Option<RetryWindow> {
        let first_ms = *self.retries_ms.iter().min()?;
        let last_ms = *self.retries_ms.iter().max()?;
        let requests = RunningCount::new(&self.requests_ms);
        let retries = RunningCount::new(&self.retries_ms);
        let offsets = first_ms.saturating_sub(bound.window_ms)..=last_ms;
        let windows = offsets.map(|from_ms| window_at(&requests, &retries, bound, from_ms));
        windows.max_by(|one, other| one.excess().total_cmp(&other.excess()))
    }
}

fn window_at(
    requests: &RunningCount,
    retries: &RunningCount,
    bound: &RetryBound,
    from_ms: u64,
) -> RetryWindow {
    let window_ms = bound.window_ms;
    // A request is counted by where a window ends, since the window before the first one begins before zero.
    let ends_ms = [from_ms, from_ms + window_ms / 2, from_ms + window_ms];
    let counts = ends_ms.map(|end_ms| requests.within(end_ms.saturating_sub(window_ms), end_ms));
    let counted = counts.into_iter().max().unwrap_or(0);
    RetryWindow {
        from_ms,
        retries: retries.within(from_ms, from_ms + window_ms),
        requests: counted,
        allowed: bound.ratio * counted as f64 + bound.slack,
    }
}

/// The number of events before each millisecond.
struct RunningCount {
    before: Vec<u64>,
}

impl RunningCount {
    fn new(times_ms: &[u64]) -> Self {
        let length = times_ms.iter().max().map_or(0, |last_ms| *last_ms as usize + 1);
        let mut at = vec![0_u64; length];
        for time_ms in times_ms {
            at[*time_ms as usize] += 1;
        }
        let mut before = Vec::with_capacity(length + 1);
        let mut total = 0;
        before.push(total);
        for count in at {
            total += count;
            before.push(total);
        }
        Self { before }
    }

    /// Returns the number of events from `from_ms` until before `until_ms`.
    fn within(&self, from_ms: u64, until_ms: u64) -> u64 {
        self.before_ms(until_ms) - self.before_ms(from_ms)
    }

    fn before_ms(&self, at_ms: u64) -> u64 {
        let last = self.before.len() - 1;
        self.before[(at_ms as usize).min(last)]
    }
}
