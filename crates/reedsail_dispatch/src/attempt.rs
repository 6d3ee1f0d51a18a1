//! Attempts: requests that were sent to a backend server, and which of them are overdue.
//!
//! Owns the deadlines of attempts without a first event. `server_health` computes these deadlines.

use std::collections::HashMap;

use reedsail_core::Fingerprint;
use reedsail_core::NameHash;
use reedsail_core::ServerKey;
use reedsail_core::TimeMs;

use crate::Demand;
use crate::EngineWork;
use crate::EventGaps;
use crate::Placement;
use crate::Prompt;
use crate::server_backoff::WindowPermit;
use crate::server_health::overdue_at;

/// Interval at which an answer that goes on is compared with those that broke off when servers ended, in milliseconds.
const SURVIVAL_CHECK_INTERVAL_MS: u64 = 250;
/// Maximum number of segments that an attempt keeps: the first and the last ones of a longer prompt.
const SEGMENTS_MAX: usize = 64;

/// How much of an answer has arrived.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AnswerProgress {
    /// When its head arrived.
    pub(crate) began_at: Option<TimeMs>,
    /// Number of events so far.
    pub(crate) events: u32,
    /// From when on the next event shows that its server has survived it for longer.
    survival_due_at: TimeMs,
}

impl AnswerProgress {
    /// Returns the time since the head, in milliseconds; `None` if it has not arrived.
    pub(crate) fn answered_ms(self, now: TimeMs) -> Option<u64> {
        self.began_at.map(|began_at| now.since_ms(began_at))
    }

    /// Records an event. Returns whether to record how long the server has survived the answer.
    pub(crate) fn record_event(&mut self, now: TimeMs) -> bool {
        self.events = self.events.saturating_add(1);
        let is_due = now >= self.survival_due_at;
        if is_due {
            self.survival_due_at = now.plus_ms(SURVIVAL_CHECK_INTERVAL_MS);
        }
        is_due
    }
}

/// A request that was sent to a server. The caller returns it to the dispatcher when it ends.
#[derive(Debug)]
pub struct Attempt {
    pub(crate) number: u64,
    pub(crate) server: ServerKey,
    pub(crate) service: NameHash,
    pub(crate) fingerprint: Option<Fingerprint>,
    /// The workspace that the request is charged to.
    pub(crate) workspace: NameHash,
    /// The cost in tokens.
    pub(crate) cost: f64,
    /// Rounds of requests that the server's slots needed when the attempt began, this attempt included.
    pub(crate) rounds: f64,
    pub(crate) prefill_tokens: u32,
    /// Work of the engine when the attempt began.
    pub(crate) work: EngineWork,
    /// Expected wait other than prefill, in milliseconds: for a transfer or a slot.
    pub(crate) other_wait_ms: u64,
    pub(crate) expected_ms: u64,
    pub(crate) began_at: TimeMs,
    pub(crate) has_answered: bool,
    /// How much of the answer has arrived.
    pub(crate) progress: AnswerProgress,
    /// Ids of the prompt's segments before the last one, [`SEGMENTS_MAX`] at most.
    pub(crate) segments: Box<[u64]>,
    /// The target for the longest gap between two events, in milliseconds; `None` if there is none.
    pub(crate) gap_target_ms: Option<u64>,
    /// The pauses between the events that this attempt's server has sent.
    pub(crate) gaps: EventGaps,
    pub(crate) has_prompt: bool,
    /// Its place in the request window of a server that resumes after a back-off, until it is answered.
    pub(crate) window_permit: Option<WindowPermit>,
    is_written: bool,
}

impl Attempt {
    /// Returns the backend server.
    pub fn server(&self) -> ServerKey {
        self.server
    }

    /// Returns whether an event arrived and the caller has no room for the next one yet.
    pub fn is_caller_busy(&self) -> bool {
        self.gaps.is_caller_busy()
    }

    /// Records that the head of the answer has arrived.
    pub fn record_started(&mut self, now: TimeMs) {
        self.progress.began_at = Some(now);
    }

    /// Records whether the server may have received the request.
    pub fn set_written(&mut self, is_written: bool) {
        self.is_written = is_written;
    }

    /// Returns whether the server may have worked on the request, given how the attempt ended.
    pub(crate) fn may_have_run(&self, outcome: AttemptOutcome) -> bool {
        match outcome {
            AttemptOutcome::Answered | AttemptOutcome::Failed | AttemptOutcome::Broken => true,
            AttemptOutcome::Rejected | AttemptOutcome::Unreachable | AttemptOutcome::Down => {
                self.has_answered
            }
            AttemptOutcome::Abandoned => self.has_answered || self.is_written,
        }
    }
}

/// Outcome of an attempt, as evidence of the server's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The server answered completely and without a failure.
    Answered,
    /// The server answered with a failure or with an invalid answer.
    Failed,
    /// The connection broke after the request was sent: the server may have ended.
    Broken,
    /// The server reported that it did not run the request.
    Rejected,
    /// Connecting to the server failed, and no byte was sent. The cause may be this instance, or too many
    /// connections to the server.
    Unreachable,
    /// Nothing listens at the server's address: its process has ended and may start again.
    Down,
    /// The caller disconnected, or its deadline passed.
    Abandoned,
}

/// Returns the ids of the segments of a request's prompt that may be suspected if its server ends.
fn kept_segments(demand: &Demand<'_>) -> Box<[u64]> {
    let segments = demand.prompt.map_or(&[][..], Prompt::segments_before_last);
    let (first, rest) = segments.split_at(segments.len().min(SEGMENTS_MAX / 2));
    let last = &rest[rest.len().saturating_sub(SEGMENTS_MAX / 2)..];
    first.iter().chain(last).map(|segment| segment.id).collect()
}

/// Attempts whose answer has not begun, with the time from which each is overdue.
#[derive(Clone, Debug, Default)]
pub(crate) struct UnansweredAttempts {
    deadlines: HashMap<u64, (ServerKey, TimeMs)>,
    last_number: u64,
}

impl UnansweredAttempts {
    /// Begins an attempt and sets its deadline.
    pub(crate) fn begin(
        &mut self,
        demand: &Demand<'_>,
        placement: &Placement,
        rounds: f64,
        now: TimeMs,
    ) -> Attempt {
        self.last_number += 1;
        let deadline = overdue_at(placement.expected_ms, now);
        self.deadlines
            .insert(self.last_number, (placement.server, deadline));
        Attempt {
            number: self.last_number,
            server: placement.server,
            service: demand.service,
            fingerprint: demand.fingerprint,
            workspace: demand.workspace,
            cost: demand.cost(),
            rounds,
            prefill_tokens: placement.prefill_tokens,
            work: placement.work,
            other_wait_ms: placement.other_wait_ms,
            expected_ms: placement.expected_ms.max(1),
            began_at: now,
            has_answered: false,
            progress: AnswerProgress::default(),
            segments: kept_segments(demand),
            gap_target_ms: demand.gap_target_ms,
            gaps: EventGaps::default(),
            has_prompt: demand.engine_prompt().is_some(),
            window_permit: None,
            is_written: false,
        }
    }

    /// Removes an attempt that was answered or has ended.
    pub(crate) fn remove(&mut self, attempt: &Attempt) {
        self.deadlines.remove(&attempt.number);
    }

    /// Removes the overdue attempts and returns the server of each.
    pub(crate) fn take_overdue(&mut self, now: TimeMs) -> Vec<ServerKey> {
        let mut servers = Vec::new();
        self.deadlines.retain(|_, (server, deadline)| {
            let is_overdue = *deadline <= now;
            if is_overdue {
                servers.push(*server);
            }
            !is_overdue
        });
        servers
    }
}
