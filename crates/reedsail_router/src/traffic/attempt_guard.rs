//! A run that ends with whoever holds it.

use std::sync::Arc;

use reedsail_core::ServerKey;
use reedsail_dispatch::Attempt;
use reedsail_dispatch::AttemptOutcome;
use reedsail_dispatch::Demand;
use reedsail_dispatch::Placement;

use crate::shared::Shared;

/// A run on a backend server; dropping it counts as the caller's leaving.
#[derive(Debug)]
pub(crate) struct AttemptGuard<H> {
    shared: Arc<Shared<H>>,
    run: Option<Attempt>,
}

impl<H> AttemptGuard<H> {
    pub(crate) fn begin(shared: &Arc<Shared<H>>, demand: &Demand<'_>, placement: &Placement) -> Self {
        let now = shared.clock.now();
        let run = shared.dispatcher().begin(demand, placement, now);
        Self {
            shared: Arc::clone(shared),
            run: Some(run),
        }
    }

    pub(crate) fn server(&self) -> Option<ServerKey> {
        self.run.as_ref().map(Attempt::server)
    }

    /// Records the first part of the answer.
    pub(crate) fn note_answer(&mut self) {
        if let Some(run) = &mut self.run {
            let now = self.shared.clock.now();
            self.shared.dispatcher().note_answer(run, now);
        }
    }

    /// Ends the run with what became of it.
    pub(crate) fn close(mut self, outcome: AttemptOutcome) {
        self.end(outcome);
    }

    fn end(&mut self, outcome: AttemptOutcome) {
        if let Some(run) = self.run.take() {
            let now = self.shared.clock.now();
            self.shared.dispatcher().finish(run, outcome, now);
        }
    }
}

impl<H> Drop for AttemptGuard<H> {
    fn drop(&mut self) {
        self.end(AttemptOutcome::Abandoned);
    }
}
