//! A service's scheduler behind a lock, and the slots that it grants to requests.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use reedsail_core::ErrorKind;
use reedsail_core::ServerKey;
use reedsail_net::Clock;
use reedsail_scheduling::Dispatch;
use reedsail_scheduling::RetryBudget;
use reedsail_scheduling::Running;
use reedsail_scheduling::Scheduler;
use reedsail_scheduling::ServerSetup;
use reedsail_scheduling::SharePolicy;
use reedsail_scheduling::Ticket;
use reedsail_scheduling::Waiting;
use reedsail_scheduling::WorkspaceTable;
use tokio::sync::oneshot;

/// Resumes a queued request with its slot, or with the kind of error that refuses it.
pub(crate) type Waker<P> = oneshot::Sender<Result<Slot<P>, ErrorKind>>;

/// The queues and slots of one service on this daemon.
#[derive(Debug)]
pub(crate) struct ServiceCell<P: SharePolicy> {
    scheduler: Mutex<Scheduler<P, Waker<P>>>,
    retry_budget: Mutex<RetryBudget>,
    clock: Clock,
}

impl<P: SharePolicy> ServiceCell<P> {
    pub(crate) fn new(policy: P, clock: Clock) -> Self {
        Self {
            scheduler: Mutex::new(Scheduler::new(policy, rand::random())),
            retry_budget: Mutex::default(),
            clock,
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, Scheduler<P, Waker<P>>> {
        self.scheduler.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn configure(&self, servers: &[ServerSetup], workspaces: Arc<WorkspaceTable>) {
        self.lock().configure(servers, workspaces);
    }

    /// Queues a request. The receiver of its waker gets the slot.
    pub(crate) fn submit(self: &Arc<Self>, waiting: Waiting<Waker<P>>) -> Result<QueueEntry<P>, ErrorKind> {
        let workspace = waiting.workspace;
        let ticket = {
            let mut scheduler = self.lock();
            scheduler
                .submit(waiting, self.clock.now())
                .map_err(|(kind, _)| kind)?
        };
        self.dispatch();
        self.lock().preempt_for(workspace, self.clock.now());
        Ok(QueueEntry {
            cell: Arc::clone(self),
            ticket: Some(ticket),
        })
    }

    /// Grants free slots to queued requests.
    ///
    /// The wakers are called after the lock is released: if the request was cancelled, its slot is dropped
    /// immediately, which takes the lock again.
    pub(crate) fn dispatch(self: &Arc<Self>) {
        let dispatches = self.lock().dispatch(self.clock.now());
        for Dispatch { running, waker } in dispatches {
            let slot = Slot {
                running: Some(running),
                cell: Arc::clone(self),
                cost: 0.0,
            };
            // If the request was cancelled, dropping the slot frees it.
            let _ = waker.send(Ok(slot));
        }
    }

    /// Fails queued requests whose deadline has passed and drops expired leases.
    pub(crate) fn tick(self: &Arc<Self>) {
        let expired = {
            let mut scheduler = self.lock();
            if !scheduler.is_active() {
                return;
            }
            scheduler.preempt_excess(self.clock.now());
            scheduler.tick(self.clock.now())
        };
        for waiting in expired {
            let _ = waiting.waker.send(Err(ErrorKind::DeadlineInQueue));
        }
        self.dispatch();
    }

    pub(crate) fn earn_retry(&self) {
        self.budget().earn();
    }

    pub(crate) fn spend_retry(&self) -> bool {
        self.budget().spend()
    }

    fn budget(&self) -> MutexGuard<'_, RetryBudget> {
        self.retry_budget.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A request's entry in the queue. Dropping it withdraws the request.
#[derive(Debug)]
pub(crate) struct QueueEntry<P: SharePolicy> {
    cell: Arc<ServiceCell<P>>,
    ticket: Option<Ticket>,
}

impl<P: SharePolicy> QueueEntry<P> {
    /// Releases the entry of a request that was dispatched or refused.
    pub(crate) fn close(mut self) {
        self.ticket = None;
    }
}

impl<P: SharePolicy> Drop for QueueEntry<P> {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket {
            self.cell.lock().withdraw(ticket);
        }
    }
}

/// A slot on a backend server. Dropping it frees the slot, whether or not the request succeeded.
#[derive(Debug)]
pub(crate) struct Slot<P: SharePolicy> {
    running: Option<Running>,
    cell: Arc<ServiceCell<P>>,
    cost: f64,
}

impl<P: SharePolicy> Slot<P> {
    pub(crate) fn server(&self) -> Option<ServerKey> {
        self.running.as_ref().map(|running| running.server)
    }

    /// Returns whether the request must give up its slot.
    pub(crate) fn is_preempted(&self) -> bool {
        self.running
            .as_ref()
            .is_some_and(|running| running.preempt.is_raised())
    }

    /// Charges the cost incurred so far.
    pub(crate) fn progress(&mut self, cost: f64) {
        self.cost = cost;
        if let Some(running) = &mut self.running {
            self.cell.lock().progress(running, cost);
        }
    }

    /// Records the cost without charging it yet.
    pub(crate) fn note_cost(&mut self, cost: f64) {
        self.cost = cost;
    }

    /// Moves to a slot on a server that has not been tried. Returns `false` if none has a free slot.
    pub(crate) fn restart(&mut self, tried: &[ServerKey]) -> bool {
        let Some(running) = self.running.take() else {
            return false;
        };
        let outcome = self
            .cell
            .lock()
            .move_to_untried_server(running, tried, self.cell.clock.now());
        let moved = outcome.is_ok();
        self.running = Some(outcome.unwrap_or_else(|running| running));
        if moved {
            self.cell.dispatch();
        }
        moved
    }

    /// Frees the slot of a request whose answer is complete.
    pub(crate) fn close(mut self, cost: f64) {
        self.release(cost, true);
    }

    fn release(&mut self, cost: f64, answered: bool) {
        if let Some(running) = self.running.take() {
            self.cell.lock().finish(running, cost, answered);
            self.cell.dispatch();
        }
    }
}

impl<P: SharePolicy> Drop for Slot<P> {
    fn drop(&mut self) {
        self.release(self.cost, false);
    }
}
