//! Slow readers: whether a broken answer is attributed to its server or to a caller that stalled.
//!
//! **Rule.** An answer that breaks off within [`STALL_ATTRIBUTION_MS`] after it waited for [`STALL_MIN_MS`]
//! or longer for its caller to read does not count against the server, and is not resumed on another server.
//!
//! **Inputs.** The times at which a piece of the answer was written and at which the caller had room for the
//! next one.
//!
//! **Why.** Servers cut answers that nobody reads for some seconds, since such answers hold server memory. If
//! these breaks counted as failures, a single caller that stops reading would make all instances avoid a
//! healthy server, and its request would run again on another server although nobody reads the answer.
//!
//! **Tested by** `tests/slow_reader.rs`, and `slow_readers.rs` of `reedsail_router`.

use reedsail_core::TimeMs;

/// How long an answer waits for its caller before a break is attributed to the caller, in milliseconds:
/// shorter than any server waits before it cuts the answer, and longer than the wait for any caller that
/// reads.
const STALL_MIN_MS: u64 = 1_000;

/// How long after such a wait a break is attributed to the caller, in milliseconds: data that the server sent
/// before it cut the answer is still forwarded in this time.
const STALL_ATTRIBUTION_MS: u64 = 5_000;

/// Why an answer broke off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BreakCause {
    /// The server, or the connection to it.
    Server,
    /// The caller had stopped reading.
    CallerStalled,
}

/// Tracks whether an answer recently waited for its caller to read.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlowReaderWatch {
    written_at: Option<TimeMs>,
    /// Time until which a break is attributed to the caller.
    stalled_until: TimeMs,
}

impl SlowReaderWatch {
    /// Records that a piece of the answer was written to the caller.
    pub fn record_written(&mut self, now: TimeMs) {
        self.written_at = Some(now);
    }

    /// Records that the caller has room for the next piece. Later calls do nothing until that piece is
    /// written.
    pub fn record_writable(&mut self, now: TimeMs) {
        let written_at = self.written_at.take();
        if written_at.is_some_and(|written_at| now.since_ms(written_at) >= STALL_MIN_MS) {
            self.stalled_until = now.plus_ms(STALL_ATTRIBUTION_MS);
        }
    }

    /// Returns the cause of a break of the answer at a given time.
    pub fn break_cause(self, now: TimeMs) -> BreakCause {
        if now < self.stalled_until {
            BreakCause::CallerStalled
        } else {
            BreakCause::Server
        }
    }
}
