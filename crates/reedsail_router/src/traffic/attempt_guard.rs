//! Guards that end an attempt when they are dropped, so that a finished attempt never counts as load.

use std::sync::Arc;

use hyper::HeaderMap;
use reedsail_core::ServerKey;
use reedsail_core::TimeMs;
use reedsail_dispatch::Attempt;
use reedsail_dispatch::AttemptOutcome;
use reedsail_dispatch::Demand;
use reedsail_dispatch::Placement;
use reedsail_net::BodyFraming;
use reedsail_net::HttpConnection;

use super::Pool;
use crate::shared::Shared;

/// An attempt on a backend server. Dropping it ends the attempt as abandoned by the caller.
#[derive(Debug)]
pub(crate) struct AttemptGuard<H> {
    shared: Arc<Shared<H>>,
    attempt: Option<Attempt>,
}

impl<H> AttemptGuard<H> {
    /// Begins an attempt on the server that was chosen for the request.
    pub(crate) fn begin(shared: &Arc<Shared<H>>, demand: &Demand<'_>, placement: &Placement) -> Self {
        let now = shared.clock.now();
        let attempt = shared.dispatcher().begin_attempt(demand, placement, now);
        Self {
            shared: Arc::clone(shared),
            attempt: Some(attempt),
        }
    }

    /// Records whether the server may have received the request (`true`) or certainly has not (`false`).
    pub(crate) fn set_written(&mut self, is_written: bool) {
        if let Some(attempt) = &mut self.attempt {
            attempt.set_written(is_written);
        }
    }

    /// Records that the head of the response has arrived.
    pub(crate) fn record_started(&mut self) {
        if let Some(attempt) = &mut self.attempt {
            attempt.record_started(self.shared.clock.now());
        }
    }

    /// Records the first event of the response. Later calls do nothing.
    pub(crate) fn record_first_event(&mut self) {
        if let Some(attempt) = &mut self.attempt {
            let now = self.shared.clock.now();
            self.shared.dispatcher().record_first_event(attempt, now);
        }
    }

    /// Records an event of the response, the first one included.
    pub(crate) fn record_event(&mut self) {
        if let Some(attempt) = &mut self.attempt {
            let now = self.shared.clock.now();
            self.shared.dispatcher().record_event(attempt, now);
        }
    }

    /// Records that the caller has room for the next event. Later calls do nothing until that event.
    pub(crate) fn record_writable(&mut self, now: TimeMs) {
        if let Some(attempt) = self.attempt.as_mut().filter(|attempt| attempt.is_caller_busy()) {
            self.shared.dispatcher().record_writable(attempt, now);
        }
    }

    /// Ends the attempt with its outcome.
    pub(crate) fn finish(mut self, outcome: AttemptOutcome) {
        self.end(outcome);
    }

    /// Returns the server, or `None` once the attempt has ended.
    pub(super) fn server(&self) -> Option<ServerKey> {
        self.attempt.as_ref().map(Attempt::server)
    }

    fn end(&mut self, outcome: AttemptOutcome) {
        if let Some(attempt) = self.attempt.take() {
            let now = self.shared.clock.now();
            self.shared.dispatcher().finish_attempt(attempt, outcome, now);
            if outcome == AttemptOutcome::Broken {
                self.shared.connection_failed.notify_one();
            }
        }
    }
}

impl<H> Drop for AttemptGuard<H> {
    fn drop(&mut self) {
        self.end(AttemptOutcome::Abandoned);
    }
}

/// An attempt whose response has begun, with the connection that carries it.
#[derive(Debug)]
pub(crate) struct OpenAttempt<H> {
    pub(crate) guard: AttemptGuard<H>,
    pub(crate) connection: HttpConnection,
}

impl<H> OpenAttempt<H> {
    /// Ends an attempt whose response was read completely, and returns its connection to the pool unless the response
    /// ended with it.
    pub(crate) fn complete(
        self,
        pool: &Pool,
        framing: BodyFraming,
        response_headers: &HeaderMap,
        outcome: AttemptOutcome,
    ) {
        let is_reusable = framing == BodyFraming::Framed;
        if let Some(server) = self.guard.server().filter(|_| is_reusable) {
            let now = self.guard.shared.clock.now();
            pool.give_back(server, self.connection, response_headers, now);
        }
        self.guard.finish(outcome);
    }

    /// Ends an attempt whose response was not read completely, and closes its connection.
    pub(crate) fn abort(self, outcome: AttemptOutcome) {
        self.guard.finish(outcome);
    }
}
