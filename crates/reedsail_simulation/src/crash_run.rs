//! The instances of a fleet whose servers crash, and the requests that servers run for them.

use std::collections::HashMap;

use reedsail_core::TimeMs;
use reedsail_dispatch::Attempt;
use reedsail_dispatch::Dispatcher;

use crate::crash_requests::Request;

/// When a peer's last report arrived, and when the peer had started.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LastReport {
    pub(crate) started_ms: u64,
    pub(crate) at_ms: u64,
}

/// An instance of the fleet.
pub(crate) struct Instance {
    pub(crate) dispatcher: Dispatcher,
    pub(crate) started_ms: u64,
    /// The reading of its clock then.
    pub(crate) started_at: TimeMs,
    pub(crate) last_reports: HashMap<usize, LastReport>,
}

impl Instance {
    /// Returns the time of the instance's own clock.
    pub(crate) fn time(&self, now_ms: u64) -> TimeMs {
        self.started_at.plus_ms(now_ms - self.started_ms)
    }
}

/// A request that a server runs.
pub(crate) struct Run {
    pub(crate) request: Request,
    pub(crate) instance: usize,
    pub(crate) server: usize,
    pub(crate) attempt: Attempt,
    /// When the server began to write the answer, in milliseconds from the start.
    pub(crate) begun_ms: Option<u64>,
    /// Number of events that the instance has read.
    pub(crate) events_read: u64,
    /// Whether the caller sent the request for the first time, and no server was tried before.
    pub(crate) is_first_attempt: bool,
}

/// Records the events of a run that its server has written and the instance has not read.
pub(crate) fn record_written(run: &mut Run, instance: &mut Instance, event_interval_ms: u64, now_ms: u64) {
    let Some(begun_ms) = run.begun_ms else {
        return;
    };
    let written = 1 + (now_ms - begun_ms) / event_interval_ms;
    for _ in run.events_read..written {
        let now = instance.time(now_ms);
        instance.dispatcher.record_event(&mut run.attempt, now);
    }
    run.events_read = written;
}
