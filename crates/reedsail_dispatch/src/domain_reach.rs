//! Domain reachability: whether the servers of other failure domains can be connected to at all.
//!
//! **Rule.** All servers of another failure domain count as unreachable once [`UNANSWERED_CONNECTS_MAX`] consecutive
//! connects to different servers there went unanswered. The servers of all other failure domains count as unreachable
//! once connects to [`UNANSWERED_DOMAINS_MAX`] failure domains went unanswered and no other domain has answered
//! since: this instance is then partitioned from the rest. Either state lasts [`PAUSE_MIN_MS`] and doubles each time
//! the next connect goes unanswered, up to [`PAUSE_MAX_MS`]. Any answer of a server ends it. A single unanswered
//! connect makes a failure domain suspect, unless a server there has answered within [`RECENT_ANSWER_MS`].
//!
//! **Inputs.** The outcomes of this instance's attempts, by server and failure domain; times in milliseconds.
//!
//! **Why.** Knowledge about a single server helps only an instance that sends there again. Where there are more
//! servers than an instance sends requests, a network partition would otherwise cost each request an unanswered
//! connect.
//!
//! **Tested by** `tests/domain_reach.rs`.

use std::collections::HashMap;

use reedsail_core::NameHash;
use reedsail_core::ServerKey;
use reedsail_core::TimeMs;

use crate::AttemptOutcome;

/// Consecutive unanswered connects after which a failure domain counts as unreachable.
const UNANSWERED_CONNECTS_MAX: u32 = 2;
/// Number of unanswered failure domains after which all others count as unreachable.
const UNANSWERED_DOMAINS_MAX: usize = 2;
/// First pause after a failure domain, or all of them, became unreachable, in milliseconds.
const PAUSE_MIN_MS: u64 = 1_000;
/// Longest pause, in milliseconds.
const PAUSE_MAX_MS: u64 = 4_000;
/// How long an answer from a failure domain proves that the domain is reachable, in milliseconds: an unanswered
/// connect within this time means a failed server, not a network partition.
const RECENT_ANSWER_MS: u64 = 500;

/// A period in which nothing is sent. Each period is longer than the one before until a server answers.
#[derive(Clone, Copy, Debug, Default)]
struct Pause {
    until: TimeMs,
    /// Zero before the first pause.
    duration_ms: u64,
}

impl Pause {
    /// Starts the next pause unless one is active.
    fn begin(&mut self, now: TimeMs) {
        if self.until <= now {
            self.duration_ms = (self.duration_ms * 2).clamp(PAUSE_MIN_MS, PAUSE_MAX_MS);
            self.until = now.plus_ms(self.duration_ms);
        }
    }
}

/// The reachability of one failure domain.
#[derive(Clone, Copy, Debug, Default)]
struct DomainState {
    /// When a server of the domain last answered; `None` if none has.
    answered_at: Option<TimeMs>,
    /// Consecutive unanswered connects.
    unanswered: u32,
    last_unanswered: Option<ServerKey>,
    pause: Pause,
}

/// The reachability of the other failure domains.
#[derive(Clone, Debug, Default)]
pub(crate) struct DomainReach {
    domains: HashMap<NameHash, DomainState>,
    /// The pause that applies to all domains.
    pause: Pause,
}

impl DomainReach {
    /// Records the outcome of an attempt on a server of another failure domain.
    pub(crate) fn record(
        &mut self,
        domain: NameHash,
        server: ServerKey,
        outcome: AttemptOutcome,
        now: TimeMs,
    ) {
        match outcome {
            AttemptOutcome::Unreachable => self.record_unanswered(domain, server, now),
            AttemptOutcome::Answered
            | AttemptOutcome::Failed
            | AttemptOutcome::Rejected
            | AttemptOutcome::Down => self.record_answered(domain, now),
            // The connection may have been opened before the network partition.
            AttemptOutcome::Broken | AttemptOutcome::Abandoned => {}
        }
    }

    /// Records that a server of another failure domain has answered. This instance is then not partitioned from the
    /// rest, even if other domains are unreachable.
    pub(crate) fn record_answered(&mut self, domain: NameHash, now: TimeMs) {
        self.pause = Pause::default();
        let state = DomainState {
            answered_at: Some(now),
            ..DomainState::default()
        };
        self.domains.insert(domain, state);
    }

    fn record_unanswered(&mut self, domain: NameHash, server: ServerKey, now: TimeMs) {
        let state = self.domains.entry(domain).or_default();
        if state.last_unanswered != Some(server) {
            state.unanswered += 1;
        }
        state.last_unanswered = Some(server);
        if state.unanswered >= UNANSWERED_CONNECTS_MAX {
            state.pause.begin(now);
        }
        let unanswered_domains = self.domains.values().filter(|state| state.unanswered > 0);
        let is_answering = |state: &DomainState| state.unanswered == 0 && state.has_answered_recently(now);
        if unanswered_domains.count() >= UNANSWERED_DOMAINS_MAX && !self.domains.values().any(is_answering) {
            self.pause.begin(now);
        }
    }

    /// Returns whether an unanswered connect to this failure domain may mean a network partition.
    pub(crate) fn is_suspect(&self, domain: NameHash, now: TimeMs) -> bool {
        let state = self.domains.get(&domain);
        !state.is_some_and(|state| state.has_answered_recently(now))
    }

    /// Returns whether the servers of another failure domain count as reachable.
    pub(crate) fn is_reachable(&self, domain: NameHash, now: TimeMs) -> bool {
        let state = self.domains.get(&domain);
        self.pause.until <= now && state.is_none_or(|state| state.pause.until <= now)
    }
}

impl DomainState {
    fn has_answered_recently(&self, now: TimeMs) -> bool {
        let answered_at = self.answered_at;
        answered_at.is_some_and(|answered_at| now.since_ms(answered_at) < RECENT_ANSWER_MS)
    }
}
