//! Counts request outcomes from the events of one or more routers by reason, by server and by second, and
//! compares the measured times with the expected ones.
//!
//! Does no I/O: the caller passes the events. A log that left lines out records how many, and the summary
//! reports that number. Its counts then cover only the lines that were written.

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

/// The 10th, 50th and 90th percentile of some values.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Percentiles {
    pub(crate) count: usize,
    pub(crate) p10: f64,
    pub(crate) p50: f64,
    pub(crate) p90: f64,
}

/// Request counts and times of some events.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestSummary {
    /// Number of ended requests by reason: an outcome or an error kind.
    pub(crate) reasons: BTreeMap<String, u64>,
    pub(crate) servers: BTreeMap<String, RequestCounts>,
    /// Counts by second of wall-clock time since the first event.
    pub(crate) seconds: BTreeMap<u64, RequestCounts>,
    /// Ratios of the measured to the expected time to the first event.
    pub(crate) ratios: Vec<f64>,
    /// Ages of the load reports by which servers were chosen, in milliseconds.
    pub(crate) load_ages_ms: Vec<f64>,
    /// Number of lines that the logs left out.
    pub(crate) left_out: u64,
}

impl RequestSummary {
    /// Builds the summary of the events.
    pub(crate) fn from_events(events: &[Event]) -> Self {
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

    /// Compares the measured with the expected time of requests that were placed once. Other requests are
    /// excluded, as their first event arrived after more than one attempt.
    fn compare_times(&mut self, event: &Event, expected_ms: &mut HashMap<String, Option<u64>>) {
        let request = text(event, "request");
        if event.number == EventKind::RequestPlaced.number() {
            let expected = number(event, "expected_ms");
            expected_ms
                .entry(request)
                .and_modify(|previous| *previous = None)
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

/// Returns the percentiles of the values, or `None` if there are no values.
pub(crate) fn percentiles(values: &[f64]) -> Option<Percentiles> {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let quantile = |fraction: f64| sorted[((sorted.len() - 1) as f64 * fraction).round() as usize];
    (!sorted.is_empty()).then(|| Percentiles {
        count: sorted.len(),
        p10: quantile(0.1),
        p50: quantile(0.5),
        p90: quantile(0.9),
    })
}
