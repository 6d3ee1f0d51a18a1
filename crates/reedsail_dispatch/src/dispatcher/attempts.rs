//! The attempts of requests on servers, and what their outcomes tell about the servers.

use reedsail_core::ServerKey;
use reedsail_core::TimeMs;

use super::Dispatcher;
use crate::Attempt;
use crate::AttemptOutcome;
use crate::BrokenRequest;
use crate::Demand;
use crate::Placement;
use crate::Prompt;
use crate::ServerEnd;
use crate::ServerNotice;
use crate::latency_estimate::plain_rounds;
use crate::server_backoff::return_delay_ms;

impl Dispatcher {
    /// Records that a request is being sent to the server of its placement.
    pub fn begin_attempt(&mut self, demand: &Demand<'_>, placement: &Placement, now: TimeMs) -> Attempt {
        self.usage.record_sent(demand.workspace, demand.cost(), now);
        let limit = self.servers.limit(demand.service);
        let server = self.servers.get_mut(placement.server);
        server.record_sent(limit, now);
        let rounds = plain_rounds(server);
        let window_permit = server.backoff.begin();
        server.own.running += 1;
        server.own.prefill_tokens += u64::from(placement.prefill_tokens);
        let name = server.setup.name;
        for segment in demand.prompt.map_or(&[][..], Prompt::shared_segments) {
            self.prefixes.record_sent(segment.id, placement.server, name, now);
        }
        let mut attempt = self.unanswered.begin(demand, placement, rounds, now);
        attempt.window_permit = window_permit;
        attempt
    }

    /// Records the first event of an answer. Later calls for the same attempt do nothing.
    pub fn record_first_event(&mut self, attempt: &mut Attempt, now: TimeMs) {
        if attempt.has_answered {
            return;
        }
        self.end_prefill(attempt);
        let took_ms = now.since_ms(attempt.began_at) as f64;
        let server = self.servers.get_mut(attempt.server);
        if let Some(permit) = attempt.window_permit.take() {
            server.backoff.widen(permit, server.setup.slots);
        }
        if server.setup.failure_domain != self.own_domain {
            self.reach.record_answered(server.setup.failure_domain, now);
        }
        if attempt.has_prompt {
            server.health.learn_slowness(took_ms, attempt.expected_ms);
            let engine_ms = (took_ms - attempt.other_wait_ms as f64).max(0.0);
            let model = self.models.entry(attempt.service).or_default();
            server
                .speed
                .record(engine_ms, model.expected_ms(attempt.work), now);
            // The model describes an engine of the service's mean speed.
            model.learn(attempt.work, engine_ms / server.speed.slowness());
        } else {
            // The wait for a slot is no measure of the server's speed.
            server.health.learn_plain_time(took_ms / attempt.rounds);
        }
    }

    /// Records an event of an answer, the first one included.
    pub fn record_event(&mut self, attempt: &mut Attempt, now: TimeMs) {
        self.record_first_event(attempt, now);
        if attempt.progress.record_event(now) {
            self.quarantine.record_survival(attempt, now);
        }
        let Some(gap_ms) = attempt.gaps.record_event(now) else {
            return;
        };
        let server = self.servers.get_mut(attempt.server);
        server.streams.end_wait(attempt.number);
        if attempt.has_prompt {
            let slowness = server.speed.slowness();
            let pauses = self.pauses.entry(attempt.service).or_default();
            pauses.record_gap(gap_ms, slowness, now);
        }
    }

    /// Records that the caller has room for the next event of an answer; until then a pause is the caller's. Later calls
    /// do nothing until that event.
    pub fn record_writable(&mut self, attempt: &mut Attempt, now: TimeMs) {
        if !attempt.is_caller_busy() {
            return;
        }
        attempt.gaps.record_writable(now);
        if attempt.gap_target_ms.is_some() {
            let server = self.servers.get_mut(attempt.server);
            server.streams.begin_wait(attempt.number, now);
        }
    }

    /// Ends an attempt and updates the server's health by the outcome.
    pub fn finish_attempt(&mut self, mut attempt: Attempt, outcome: AttemptOutcome, now: TimeMs) {
        if !attempt.may_have_run(outcome) {
            self.usage
                .refund(attempt.workspace, attempt.cost, attempt.began_at);
        }
        if !attempt.has_answered {
            self.end_prefill(&mut attempt);
        }
        self.record_broken(&attempt, outcome, now);
        if outcome == AttemptOutcome::Answered {
            self.quarantine.record_answer(&attempt, now);
        }
        if outcome == AttemptOutcome::Down {
            self.servers.record_down(attempt.server, true, now);
        }
        let server = self.servers.get_mut(attempt.server);
        server.own.running = server.own.running.saturating_sub(1);
        server.streams.end_wait(attempt.number);
        if let Some(permit) = attempt.window_permit.take() {
            server.backoff.release(permit);
        }
        // A rejection with a back-off time does not count against the server's health.
        if outcome != AttemptOutcome::Rejected || !server.backoff.is_active(now) {
            server.health.record_outcome(outcome, now);
        }
        let domain = server.setup.failure_domain;
        if domain != self.own_domain {
            self.reach.record(domain, attempt.server, outcome, now);
        }
    }

    /// Records a server's notice from the headers of its answer. Returns the parts that are new.
    pub fn record_notice(&mut self, server: ServerKey, notice: ServerNotice, now: TimeMs) -> ServerNotice {
        let delay_ms = self.return_delay_ms(server);
        let backoff = &mut self.servers.get_mut(server).backoff;
        let is_new = |backoff_ms: &u64| backoff.record(backoff_ms.saturating_add(delay_ms), now);
        ServerNotice {
            backoff_ms: notice.backoff_ms.filter(is_new),
            is_draining: notice.is_draining && self.servers.record_draining(server, true),
        }
    }

    /// Keeps a request whose connection broke until it is known whether its server ended.
    fn record_broken(&mut self, attempt: &Attempt, outcome: AttemptOutcome, now: TimeMs) {
        if let (AttemptOutcome::Broken, Some(fingerprint)) = (outcome, attempt.fingerprint) {
            let request = BrokenRequest {
                fingerprint,
                workspace: attempt.workspace,
                service: attempt.service,
                segments: attempt.segments.clone(),
                events: attempt.progress.events,
                answered_ms: attempt.progress.answered_ms(now),
                sent_at: attempt.began_at,
                broke_at: now,
            };
            self.broken.record(attempt.server, request);
        }
    }

    /// Marks an attempt as answered and subtracts its prompt from its server's load.
    fn end_prefill(&mut self, attempt: &mut Attempt) {
        attempt.has_answered = true;
        self.unanswered.remove(attempt);
        let load = &mut self.servers.get_mut(attempt.server).own;
        load.prefill_tokens = load
            .prefill_tokens
            .saturating_sub(u64::from(attempt.prefill_tokens));
    }

    fn return_delay_ms(&self, server: ServerKey) -> u64 {
        let setup = &self.servers.get(server).setup;
        return_delay_ms(self.servers.own(), setup.name, self.instances(), setup.slots)
    }

    /// Returns the servers whose connections broke. The caller connects to each to check whether it has
    /// ended.
    pub fn take_servers_to_check(&mut self) -> Vec<ServerKey> {
        self.broken.take_unchecked()
    }

    /// Records whether a server listened when it was checked, from `checked_at` on. A listening server is not thereby
    /// considered healthy.
    pub fn record_check(&mut self, server: ServerKey, is_listening: bool, checked_at: TimeMs, now: TimeMs) {
        if is_listening {
            self.broken.forget(server, checked_at);
            return;
        }
        self.servers.record_down(server, true, now);
        let health = &mut self.servers.get_mut(server).health;
        health.record_outcome(AttemptOutcome::Down, now);
    }

    /// Records that a server has started again since its record was read.
    pub fn record_restarted(&mut self, server: ServerKey, now: TimeMs) {
        self.servers.record_down(server, true, now);
    }

    /// Returns the servers that were found to have ended since the last call, each with the requests that
    /// broke off there.
    pub fn take_server_ends(&mut self) -> Vec<ServerEnd> {
        std::mem::take(&mut self.server_ends)
    }

    /// Returns whether a server is draining, by the list or by a notice.
    pub fn is_draining(&self, server: ServerKey) -> bool {
        self.servers.get(server).life.drains()
    }

    /// Returns whether a request that was placed on a server may still be sent there. Changes learned from a
    /// list or an answer since the placement also apply to requests that are still connecting.
    pub fn may_still_send_to(&self, server: ServerKey, now: TimeMs) -> bool {
        self.servers.may_still_send_to(server, now)
    }
}
