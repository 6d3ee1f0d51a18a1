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
    waiting: BTreeMap<(u8, u64), oneshot::Sender<()>>,
    last_sequence: u64,
    busy_slot_ms: f64,
    measured_at: Instant,
}

impl State {
    fn measure(&mut self) {
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

    /// Waits for a slot. The request with the lowest priority number gets the next free slot.
    pub(crate) async fn acquire(&self, priority: u8) {
        loop {
            let wake_receiver = {
                let mut state = self.lock();
                if state.running < state.slots {
                    state.measure();
                    state.running += 1;
                    return;
                }
                let (wake_sender, wake_receiver) = oneshot::channel();
                state.last_sequence += 1;
                let queue_key = (priority, state.last_sequence);
                state.waiting.insert(queue_key, wake_sender);
                wake_receiver
            };
            // A dropped sender only means that the place in the queue is lost, so the loop tries again.
            let _ = wake_receiver.await;
        }
    }

    pub(crate) fn release(&self) {
        let mut state = self.lock();
        state.measure();
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
        state.measure();
        (state.running, state.waiting.len() as u32, state.busy_slot_ms)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
