//! What became of requests, by the events of one or more routers: by reason, by server, by second, and how
//! the expected times compare with the measured ones.
//!
//! Pure: relies on the caller for the events. A log that left lines out says how many, and so does the
//! summary: its counts are then of the lines that were written.

use std::collections::BTreeMap;
use std::collections::HashMap;

use reedsail_events::Event;
use reedsail_events::EventKind;

use crate::event_fields::number;
use crate::event_fields::text;

/// Counts of one second, server or reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct RequestCounts {
    pub(crate) placed: u64,
    pub(crate) answered: u64,
    pub(crate) refused: u64,
    pub(crate) failed: u64,
    pub(crate) retried: u64,
}

/// How a ratio is spread: its lowest tenth, middle and highest tenth.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Spread {
    pub(crate) count: usize,
    pub(crate) low: f64,
    pub(crate) middle: f64,
    pub(crate) high: f64,
}

/// The summary of some events.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestSummary {
    /// Ends of requests by their reason: an outcome, or an error kind.
    pub(crate) reasons: BTreeMap<String, u64>,
    pub(crate) servers: BTreeMap<String, RequestCounts>,
    /// By the second of the wall clock, counted from the first event.
    pub(crate) seconds: BTreeMap<u64, RequestCounts>,
    /// Measured by expected times to the first event.
    pub(crate) ratios: Vec<f64>,
    /// Ages of the load that servers were chosen by, in milliseconds.
    pub(crate) load_ages_ms: Vec<f64>,
    /// Lines that the logs left out.
    pub(crate) left_out: u64,
}

impl RequestSummary {
    /// Sums events up.
    pub(crate) fn of(events: &[Event]) -> Self {
        let mut summary = Self::default();
        let first_ms = events.iter().map(|event| event.unix_ms).min().unwrap_or(0);
        let mut expected_ms = HashMap::new();
        for event in events {
            summary.left_out += number(event, "left_out").unwrap_or(0);
            let second = (event.unix_ms - first_ms) / 1_000;
            summary.count(event, second);
            summary.compare_times(event, &mut expected_ms);
        }
        summary
    }

    fn count(&mut self, event: &Event, second: u64) {
        let server = event.fields.get("server").filter(|server| !server.is_empty());
        let mut counts = vec![self.seconds.entry(second).or_default()];
        if let Some(server) = server {
            counts.push(self.servers.entry(server.clone()).or_default());
        }
        if event.number == EventKind::RequestPlaced.number() {
            for counts in counts {
                counts.placed += 1;
            }
        } else if event.number == EventKind::RequestRepeated.number() {
            for counts in counts {
                counts.retried += 1;
            }
        } else if event.number == EventKind::RequestEnded.number() {
            let outcome = text(event, "outcome");
            let is_answered = outcome == "answered";
            for counts in counts {
                counts.answered += u64::from(is_answered);
                counts.failed += u64::from(!is_answered);
            }
            *self.reasons.entry(outcome).or_default() += 1;
        } else if event.number == EventKind::RequestRefused.number() {
            let has_not_run = text(event, "ran") == "not_run";
            for counts in counts {
                counts.refused += u64::from(has_not_run);
                counts.failed += u64::from(!has_not_run);
            }
            *self.reasons.entry(text(event, "kind")).or_default() += 1;
        }
    }

    /// Compares the times of requests that were placed once: of others the first event came after more than
    /// one attempt.
    fn compare_times(&mut self, event: &Event, expected_ms: &mut HashMap<String, Option<u64>>) {
        let request = text(event, "request");
        if event.number == EventKind::RequestPlaced.number() {
            let expected = number(event, "expected_ms");
            expected_ms
                .entry(request)
                .and_modify(|known| *known = None)
                .or_insert(expected);
            if let Some(age_ms) = number(event, "load_age_ms") {
                self.load_ages_ms.push(age_ms as f64);
            }
            return;
        }
        let Some(expected) = expected_ms.get(&request).copied().flatten() else {
            return;
        };
        if let Some(measured) = number(event, "first_part_ms") {
            self.ratios.push(measured as f64 / expected.max(1) as f64);
        }
    }
}

/// Returns how values are spread; `None` if there are none.
pub(crate) fn spread(values: &[f64]) -> Option<Spread> {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let at = |part: f64| sorted[((sorted.len() - 1) as f64 * part).round() as usize];
    (!sorted.is_empty()).then(|| Spread {
        count: sorted.len(),
        low: at(0.1),
        middle: at(0.5),
        high: at(0.9),
    })
}
