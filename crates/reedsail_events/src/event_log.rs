//! The events of one process: logged when they occur, with the newest retained for `reedsail timeline`.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::Event;
use crate::EventKind;
use crate::line_budget::BudgetDecision;
use crate::line_budget::LineBudget;

/// Logs and retains events under one logical clock. Clones share their state.
#[derive(Clone, Debug)]
pub struct EventLog(Arc<State>);

#[derive(Debug)]
struct State {
    instance: String,
    clock: AtomicU64,
    kept_max: usize,
    kept: Mutex<VecDeque<Event>>,
    budget: Option<Mutex<LineBudget>>,
}

impl EventLog {
    /// Creates a log that retains the newest `kept_max` events.
    pub fn new(instance: &str, kept_max: usize) -> Self {
        Self::with_budget(instance, kept_max, None)
    }

    /// Creates a log that also reports at most `per_s_max` events of each kind per second. The next
    /// reported event of a kind contains the number of omitted ones.
    pub fn bounded(instance: &str, kept_max: usize, per_s_max: u32) -> Self {
        Self::with_budget(instance, kept_max, Some(per_s_max))
    }

    fn with_budget(instance: &str, kept_max: usize, per_s_max: Option<u32>) -> Self {
        Self(Arc::new(State {
            budget: per_s_max.map(|per_s_max| Mutex::new(LineBudget::new(per_s_max))),
            instance: instance.to_owned(),
            clock: AtomicU64::new(0),
            kept_max,
            kept: Mutex::new(VecDeque::new()),
        }))
    }

    /// Returns the logical clock to send with a message.
    pub fn clock(&self) -> u64 {
        self.0.clock.load(Ordering::Relaxed)
    }

    /// Advances the logical clock to the clock of a received message, so that later events here order after it.
    pub fn observe(&self, clock: u64) {
        self.0.clock.fetch_max(clock, Ordering::Relaxed);
    }

    /// Reports an event.
    pub fn emit(&self, kind: EventKind, fields: &[(&str, &str)]) {
        self.emit_with(kind, || {
            let owned = fields.iter();
            owned
                .map(|(key, value)| ((*key).to_owned(), (*value).to_owned()))
                .collect()
        });
    }

    /// Reports an event. The fields are computed only if the budget allows the event.
    pub fn emit_with(&self, kind: EventKind, fields: impl FnOnce() -> BTreeMap<String, String>) {
        let unix_ms = unix_ms();
        let Some(left_out) = self.count_against_budget(kind, unix_ms) else {
            return;
        };
        let clock = self.0.clock.fetch_add(1, Ordering::Relaxed) + 1;
        let mut event = Event {
            clock,
            unix_ms,
            instance: self.0.instance.clone(),
            number: kind.number(),
            name: kind.name().to_owned(),
            fields: fields(),
        };
        if left_out > 0 {
            event.fields.insert("left_out".to_owned(), left_out.to_string());
        }
        if log::log_enabled!(target: "reedsail", kind.level()) {
            log::log!(target: "reedsail", kind.level(), "{}", event.to_line());
        }
        if self.0.kept_max == 0 {
            return;
        }
        let mut kept = self.0.kept.lock().unwrap_or_else(PoisonError::into_inner);
        if kept.len() >= self.0.kept_max {
            kept.pop_front();
        }
        kept.push_back(event);
    }

    /// Returns how many events of the kind were omitted before this one, or `None` if this one is omitted too.
    fn count_against_budget(&self, kind: EventKind, unix_ms: u64) -> Option<u64> {
        let Some(budget) = &self.0.budget else {
            return Some(0);
        };
        let mut budget = budget.lock().unwrap_or_else(PoisonError::into_inner);
        match budget.count(kind, unix_ms) {
            BudgetDecision::Report { left_out } => Some(left_out),
            BudgetDecision::LeaveOut => None,
        }
    }

    /// Returns the retained events, oldest first.
    pub fn kept(&self) -> Vec<Event> {
        let kept = self.0.kept.lock().unwrap_or_else(PoisonError::into_inner);
        kept.iter().cloned().collect()
    }
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        // A wall clock before 1970 becomes zero in the line; no decision depends on it.
        .map_or(0, |since| since.as_millis() as u64)
}
