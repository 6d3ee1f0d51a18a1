//! The batch of a model engine: a limited number of requests run at the same time, and the others wait by priority.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Instant;

use tokio::sync::oneshot;

/// The slots of an engine. Counts running requests and integrates the busy slots over time.
#[derive(Debug)]
pub(crate) struct EngineSlots(Mutex<State>);

#[derive(Debug)]
struct State {
    slots: u32,
    running: u32,
    /// Waiting requests by priority, and by arrival within a priority.
    waiting: BTreeMap<(u8, u64), oneshot::Sender<()>>,
    last_sequence: u64,
    /// The integral of `running` over time up to `measured_at`.
    busy_slot_ms: f64,
    measured_at: Instant,
}

impl State {
    fn add_busy_time(&mut self) {
        let elapsed_ms = self.measured_at.elapsed().as_secs_f64() * 1_000.0;
        self.busy_slot_ms += elapsed_ms * f64::from(self.running);
        self.measured_at = Instant::now();
    }
}

impl EngineSlots {
    pub(crate) fn new(slots: u32) -> Self {
        Self(Mutex::new(State {
            slots,
            running: 0,
            waiting: BTreeMap::new(),
            last_sequence: 0,
            busy_slot_ms: 0.0,
            measured_at: Instant::now(),
        }))
    }

    /// Waits for a slot. A freed slot wakes the waiting request with the lowest priority number, but a request
    /// that arrives before the woken one runs may take the slot first.
    pub(crate) async fn acquire(&self, priority: u8) {
        loop {
            let wake_receiver = {
                let mut state = self.lock();
                if state.running < state.slots {
                    state.add_busy_time();
                    state.running += 1;
                    return;
                }
                let (wake_sender, wake_receiver) = oneshot::channel();
                state.last_sequence += 1;
                let queue_key = (priority, state.last_sequence);
                state.waiting.insert(queue_key, wake_sender);
                wake_receiver
            };
            // Neither a wake-up nor a dropped sender grants a slot, and both end the place in the queue. The
            // loop tries again in either case.
            let _ = wake_receiver.await;
        }
    }

    pub(crate) fn release(&self) {
        let mut state = self.lock();
        state.add_busy_time();
        state.running -= 1;
        while let Some((_, wake_sender)) = state.waiting.pop_first() {
            if wake_sender.send(()).is_ok() {
                return;
            }
        }
    }

    /// Returns the number of running and of waiting requests, and the busy slot time so far in milliseconds.
    pub(crate) fn load(&self) -> (u32, u32, f64) {
        let mut state = self.lock();
        state.add_busy_time();
        (state.running, state.waiting.len() as u32, state.busy_slot_ms)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
