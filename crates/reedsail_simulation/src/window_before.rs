//! A limit of retries by the requests of the window before, to compare the router's ledgers with.

use reedsail_core::TimeMs;

/// Time between the beginnings of two windows that are checked, in milliseconds.
const OFFSET_MS: u64 = 250;

/// The requests and retries of one process. Retries are at most the ratio times the requests of the window before the
/// one in which they arrive, at each offset.
#[derive(Clone, Debug, Default)]
pub(crate) struct WindowBefore {
    requests: Vec<TimeMs>,
    retries: Vec<TimeMs>,
}

impl WindowBefore {
    pub(crate) fn count_request(&mut self, now: TimeMs) {
        self.requests.push(now);
    }

    /// Takes a retry if the windows that contain it have room, of which one begins each [`OFFSET_MS`].
    pub(crate) fn take(&mut self, ratio: f64, window_ms: u64, now: TimeMs) -> bool {
        let offsets = (0..window_ms).step_by(OFFSET_MS as usize);
        let has_room = offsets.chain([window_ms - 1]).all(|age_ms| {
            let from = TimeMs(now.0.saturating_sub(age_ms));
            let before = TimeMs(from.0.saturating_sub(window_ms));
            let requests = self.requests_before(from) - self.requests_before(before);
            let retries = self.retries.len() - self.retries.partition_point(|at| *at < from);
            (retries + 1) as f64 <= ratio * requests as f64
        });
        if has_room {
            self.retries.push(now);
        }
        has_room
    }

    fn requests_before(&self, time: TimeMs) -> usize {
        self.requests.partition_point(|at| *at < time)
    }
}
