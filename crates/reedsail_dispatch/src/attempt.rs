//! Attempts: requests on their way through a backend server, and which of them are overdue.
//!
//! Owns the deadlines of attempts without a first event; `server_health` says when those are.

use std::collections::HashMap;

use reedsail_core::Fingerprint;
use reedsail_core::NameHash;
use reedsail_core::ServerKey;
use reedsail_core::TimeMs;

use crate::Demand;
use crate::EngineWork;
use crate::Placement;
use crate::server_backoff::WindowPlace;
use crate::server_health::overdue_at;

/// A request that was sent to a server; handed back to the dispatcher when it ends.
#[derive(Debug)]
pub struct Attempt {
    number: u64,
    pub(crate) server: ServerKey,
    pub(crate) service: NameHash,
    pub(crate) fingerprint: Option<Fingerprint>,
    /// The workspace that it was charged to, and what it costs in tokens.
    pub(crate) workspace: NameHash,
    pub(crate) cost: f64,
    /// Rounds of requests that the server's slots needed when it began, itself included.
    pub(crate) rounds: f64,
    pub(crate) prefill_tokens: u32,
    /// What the engine had to do when it began.
    pub(crate) work: EngineWork,
    /// Expected wait for anything but prefill, in milliseconds.
    pub(crate) other_wait_ms: u64,
    pub(crate) expected_ms: u64,
    pub(crate) began_at: TimeMs,
    pub(crate) has_answered: bool,
    pub(crate) has_prompt: bool,
    /// Its place in the window of a server that is being returned to, until it is answered.
    pub(crate) window_place: Option<WindowPlace>,
    is_written: bool,
}

impl Attempt {
    /// Returns the backend server.
    pub fn server(&self) -> ServerKey {
        self.server
    }

    /// Records whether the server may have the request by now, or is known not to have it.
    pub fn set_written(&mut self, is_written: bool) {
        self.is_written = is_written;
    }

    /// Tells whether the server may have worked on the request, given how the attempt ended.
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

/// What became of an attempt, as far as it speaks of the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The server answered whole and well.
    Answered,
    /// The server answered with a failure, or answered wrongly.
    Failed,
    /// The connection broke after the request was sent: the server may have ended.
    Broken,
    /// The server said that it did not run the request.
    Rejected,
    /// The server could not be connected to; no byte was sent. The reason may be this instance, or that the
    /// server has too many connections.
    Unreachable,
    /// Nothing answers at the server's address: its process has ended, and may start again.
    Down,
    /// The caller left, or its time was over.
    Abandoned,
}

/// Attempts whose answer has not begun, with the moment from which each is overdue.
#[derive(Clone, Debug, Default)]
pub(crate) struct UnansweredAttempts {
    deadlines: HashMap<u64, (ServerKey, TimeMs)>,
    begun: u64,
}

impl UnansweredAttempts {
    /// Begins an attempt.
    pub(crate) fn begin(
        &mut self,
        demand: &Demand<'_>,
        placement: &Placement,
        rounds: f64,
        now: TimeMs,
    ) -> Attempt {
        self.begun += 1;
        let deadline = overdue_at(placement.expected_ms, now);
        self.deadlines.insert(self.begun, (placement.server, deadline));
        Attempt {
            number: self.begun,
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
            has_prompt: demand.engine_prompt().is_some(),
            window_place: None,
            is_written: false,
        }
    }

    /// Forgets an attempt that has answered or ended.
    pub(crate) fn remove(&mut self, attempt: &Attempt) {
        self.deadlines.remove(&attempt.number);
    }

    /// Takes out the attempts that are overdue; returns the server of each.
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
