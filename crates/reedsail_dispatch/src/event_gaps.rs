//! Event gaps: the longest pause of a stream.
//!
//! **Rule.** A pause begins when the caller has room for the next event, and ends when that event arrives. The pause of
//! a stream that resumes on another server includes the time without a server.
//!
//! **Inputs.** The times of events, and the times at which the caller has room for the next one.
//!
//! **Why.** Operators compare the longest pause of a stream with its target, and `stream_pause` learns from the pauses
//! of each engine. A caller that does not read delays its
//! events itself, so the time until it has room is no pause of the server.
//!
//! **Tested by** `tests/event_gaps.rs`.

use reedsail_core::TimeMs;

/// Tracks the pauses of one stream.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventGaps {
    /// Whether the caller has no room for the next event yet.
    is_caller_busy: bool,
    /// When the wait for the next event began; `None` before the first event.
    waiting_since: Option<TimeMs>,
    longest_ms: Option<u64>,
}

impl EventGaps {
    /// Returns whether an event arrived and the caller has no room for the next one yet.
    pub(crate) fn is_caller_busy(&self) -> bool {
        self.is_caller_busy
    }

    /// Records an event of the stream. Returns the pause before it in milliseconds; `None` for the first event, and if
    /// the caller had no room for it.
    pub fn record_event(&mut self, now: TimeMs) -> Option<u64> {
        let since = self.waiting_since.filter(|_| !self.is_caller_busy);
        let gap_ms = since.map(|since| now.since_ms(since));
        self.longest_ms = self.longest_ms.max(gap_ms);
        self.waiting_since = Some(now);
        self.is_caller_busy = true;
        gap_ms
    }

    /// Records that the caller has room for the next event. Later calls do nothing until that event.
    pub fn record_writable(&mut self, now: TimeMs) {
        if self.is_caller_busy {
            self.is_caller_busy = false;
            self.waiting_since = Some(now);
        }
    }

    /// Returns the longest pause in milliseconds; `None` before the second event.
    pub fn longest_ms(self) -> Option<u64> {
        self.longest_ms
    }
}
