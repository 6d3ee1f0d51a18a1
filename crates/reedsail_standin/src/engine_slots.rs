//! The batch of a model engine: so many run at once, the rest wait by priority.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Instant;

use tokio::sync::oneshot;

/// Counts running requests and the time integral of busy slots.
#[derive(Debug)]
pub(crate) struct EngineSlots(Mutex<State>);

#[derive(Debug)]
struct State {
    slots: u32,
    running: u32,
    waiting: BTreeMap<(u8, u64), oneshot::Sender<()>>,
    sequence: u64,
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
            sequence: 0,
            busy_slot_ms: 0.0,
            measured_at: Instant::now(),
        }))
    }

    /// Waits for a slot; the lowest priority number goes first.
    pub(crate) async fn acquire(&self, priority: u8) {
        loop {
            let woken = {
                let mut state = self.lock();
                if state.running < state.slots {
                    state.measure();
                    state.running += 1;
                    return;
                }
                let (waker, woken) = oneshot::channel();
                state.sequence += 1;
                let place = (priority, state.sequence);
                state.waiting.insert(place, waker);
                woken
            };
            // A dropped waker only means that the place is lost; ask again.
            let _ = woken.await;
        }
    }

    pub(crate) fn release(&self) {
        let mut state = self.lock();
        state.measure();
        state.running -= 1;
        while let Some((_, waker)) = state.waiting.pop_first() {
            if waker.send(()).is_ok() {
                return;
            }
        }
    }

    /// Returns running and waiting requests, and the busy slot time so far in milliseconds.
    pub(crate) fn load(&self) -> (u32, u32, f64) {
        let mut state = self.lock();
        state.measure();
        (state.running, state.waiting.len() as u32, state.busy_slot_ms)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
