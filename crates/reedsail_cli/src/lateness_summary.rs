//! Splits late answers by cause: by service and by backend server.
//!
//! Does no I/O: the caller passes the events. Answers without a target, from older releases, are ignored. Retries by
//! the caller are found by their fingerprint, so identical requests of one workspace count as retries of each other.

use std::collections::BTreeMap;
use std::collections::HashMap;

use reedsail_events::Event;
use reedsail_events::EventKind;

use crate::event_fields::number;
use crate::event_fields::text;

/// Answers by the cause of their lateness. Each answer counts once.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct LatenessCounts {
    pub(crate) in_time: u64,
    /// The first event came after the latency target.
    pub(crate) by_first_event: u64,
    /// A pause was longer than the gap target.
    pub(crate) by_pause: u64,
    pub(crate) by_both: u64,
    /// In time by itself, but late since the first attempt of its caller, which was refused.
    pub(crate) after_refusal: u64,
    /// Longest pause of each stream, in milliseconds.
    pub(crate) longest_gaps_ms: Vec<f64>,
}

impl LatenessCounts {
    /// Returns the number of answers.
    pub(crate) fn answered(&self) -> u64 {
        self.in_time + self.late()
    }

    /// Returns the number of late answers.
    pub(crate) fn late(&self) -> u64 {
        self.by_first_event + self.by_pause + self.by_both + self.after_refusal
    }

    fn add(&mut self, event: &Event, refused_for_ms: u64) {
        let target_ms = number(event, "target_ms").unwrap_or(u64::MAX);
        let first_event_ms = number(event, "first_part_ms").unwrap_or(u64::MAX);
        let longest_gap_ms = number(event, "longest_gap_ms");
        let gap_target_ms = number(event, "gap_target_ms").unwrap_or(u64::MAX);
        let has_late_first_event = first_event_ms > target_ms;
        let has_pause = longest_gap_ms.is_some_and(|gap_ms| gap_ms > gap_target_ms);
        let is_late_since_refusal = first_event_ms.saturating_add(refused_for_ms) > target_ms;
        let count = match (has_late_first_event, has_pause) {
            (true, true) => &mut self.by_both,
            (true, false) => &mut self.by_first_event,
            (false, true) => &mut self.by_pause,
            (false, false) if is_late_since_refusal => &mut self.after_refusal,
            (false, false) => &mut self.in_time,
        };
        *count += 1;
        self.longest_gaps_ms
            .extend(longest_gap_ms.map(|gap_ms| gap_ms as f64));
    }
}

/// Lateness of the answers in some events.
#[derive(Clone, Debug, Default)]
pub(crate) struct LatenessSummary {
    pub(crate) services: BTreeMap<String, LatenessCounts>,
    pub(crate) servers: BTreeMap<String, LatenessCounts>,
}

impl LatenessSummary {
    /// Builds the summary of the events.
    pub(crate) fn from_events(events: &[Event]) -> Self {
        let mut by_time: Vec<&Event> = events.iter().collect();
        by_time.sort_by_key(|event| event.unix_ms);
        let mut summary = Self::default();
        // Arrival of the first refused attempt, by fingerprint.
        let mut refused_since_ms: HashMap<String, u64> = HashMap::new();
        for event in by_time {
            if event.number == EventKind::RequestRefused.number() {
                let arrived_ms = event
                    .unix_ms
                    .saturating_sub(number(event, "waited_ms").unwrap_or(0));
                refused_since_ms
                    .entry(text(event, "fingerprint"))
                    .or_insert(arrived_ms);
            } else if event.number == EventKind::RequestEnded.number() {
                let since_ms = refused_since_ms.remove(&text(event, "fingerprint"));
                summary.add_answer(event, since_ms);
            }
        }
        summary
    }

    fn add_answer(&mut self, event: &Event, refused_since_ms: Option<u64>) {
        if text(event, "outcome") != "answered" || number(event, "target_ms").is_none() {
            return;
        }
        let arrived_ms = event
            .unix_ms
            .saturating_sub(number(event, "took_ms").unwrap_or(0));
        let refused_for_ms = refused_since_ms.map_or(0, |since_ms| arrived_ms.saturating_sub(since_ms));
        let service = self.services.entry(text(event, "service")).or_default();
        service.add(event, refused_for_ms);
        let server = self.servers.entry(text(event, "server")).or_default();
        server.add(event, refused_for_ms);
    }
}
