//! Checks each promise of the router against the records of a replay.
//!
//! The checks don't depend on the state of the instances. They compare the outcomes at the callers
//! with the records of the backend servers, and read the timeline.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;

use reedsail_events::Event;
use reedsail_events::EventKind;
use reedsail_standin::PlainRun;
use serde::Deserialize;
use serde::Serialize;

use crate::FairnessFigures;
use crate::Outcome;
use crate::Sample;

/// A backlogged workspace without service for longer than this is starved.
const STARVED_AFTER_MS: f64 = 5_000.0;
/// A leaving backend server gets no new request later than this after the list shows it as leaving.
const LEAVING_GRACE_MS: u64 = 3_000;

/// The result of checking one promise.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromiseCheck {
    /// The promise in one sentence.
    pub promise: String,
    /// Whether it held.
    pub holds: bool,
    /// The measured values.
    pub evidence: String,
}

/// The result of one request at its caller.
#[derive(Clone, Debug)]
pub struct CallerRecord {
    /// The id that the instance assigned to it.
    pub request_id: String,
    /// Its outcome.
    pub outcome: Outcome,
    /// Whether the fault script excuses the outcome.
    pub excused: bool,
}

/// The records of a replay.
#[derive(Clone, Debug, Default)]
pub struct ReplayRecord {
    /// The results at the callers.
    pub callers: Vec<CallerRecord>,
    /// The calls that ran on plain backend servers.
    pub plain_runs: Vec<PlainRun>,
    /// The number of times that each request id arrived at an engine.
    pub engine_requests: HashMap<String, u64>,
    /// The merged timeline.
    pub events: Vec<Event>,
    /// Leaving backend servers, with the Unix time in milliseconds at which the list shows it.
    pub leaving: Vec<(String, u64)>,
    /// Samples of the model service.
    pub samples: Vec<Sample>,
    /// The fairness figures.
    pub fairness: FairnessFigures,
    /// The maximum fairness gap in seconds; `None` for policies without a fairness promise.
    pub gap_bound_s: Option<f64>,
    /// For each bundle, the time from its publication until all instances had it in force.
    pub in_force_ms: Vec<u64>,
    /// The maximum of `in_force_ms`.
    pub in_force_bound_ms: u64,
    /// Whether the planned stop cut off no request.
    pub stop_cut_nothing: bool,
}

/// Checks every promise.
pub fn check_promises(record: &ReplayRecord) -> Vec<PromiseCheck> {
    let mut checks = Vec::new();
    if let Some(bound_s) = record.gap_bound_s {
        checks.push(check_gap(record, bound_s));
        checks.push(check_starvation(record));
    }
    checks.push(check_answers(record));
    checks.push(check_not_run(record));
    checks.push(check_at_most_once(record));
    checks.push(check_leaving(record));
    checks.push(PromiseCheck {
        promise: "a planned stop cuts no request in flight".to_owned(),
        holds: record.stop_cut_nothing,
        evidence: "every instance got a planned stop at the end".to_owned(),
    });
    checks.push(check_bundles(record));
    checks
}

fn check_gap(record: &ReplayRecord, bound_s: f64) -> PromiseCheck {
    let gap_s = record.fairness.gap_s;
    PromiseCheck {
        promise: "the gap in service stays bounded across the fleet".to_owned(),
        holds: gap_s <= bound_s,
        evidence: format!("gap {gap_s:.2} s, bound {bound_s:.2} s"),
    }
}

fn check_starvation(record: &ReplayRecord) -> PromiseCheck {
    let mut longest_wait: (f64, String) = (0.0, String::new());
    let mut last_service: BTreeMap<&str, (f64, f64)> = BTreeMap::new();
    for sample in &record.samples {
        for (workspace, queued) in &sample.queued {
            let tokens = sample.tokens_of(workspace);
            if *queued == 0 {
                last_service.remove(workspace.as_str());
                continue;
            }
            let entry = last_service.entry(workspace).or_insert((sample.at_ms, tokens));
            if tokens > entry.1 {
                *entry = (sample.at_ms, tokens);
            }
            let waited_ms = sample.at_ms - entry.0;
            if waited_ms > longest_wait.0 {
                longest_wait = (waited_ms, workspace.clone());
            }
        }
    }
    PromiseCheck {
        promise: "no workspace starves".to_owned(),
        holds: longest_wait.0 <= STARVED_AFTER_MS,
        evidence: format!(
            "longest time without service while backlogged: {:.0} ms ({})",
            longest_wait.0, longest_wait.1
        ),
    }
}

fn check_answers(record: &ReplayRecord) -> PromiseCheck {
    let crossed = count(record, |caller| caller.outcome == Outcome::Crossed);
    let lost = count(record, |caller| {
        matches!(caller.outcome, Outcome::Lost(_)) && !caller.excused
    });
    let complete = count(record, |caller| caller.outcome == Outcome::Answered);
    PromiseCheck {
        promise: "each caller gets the whole answer to its own request".to_owned(),
        holds: crossed == 0 && lost == 0,
        evidence: format!("{complete} complete, {crossed} crossed, {lost} lost"),
    }
}

/// Returns the number of requests rejected as "not run" that a backend server recorded.
pub(crate) fn count_false_not_run(record: &ReplayRecord) -> u64 {
    let ran_ids: HashSet<&str> = record
        .plain_runs
        .iter()
        .map(|run| run.request_id.as_str())
        .chain(record.engine_requests.keys().map(String::as_str))
        .collect();
    count(record, |caller| {
        let is_rejected = matches!(&caller.outcome, Outcome::Failed { ran, .. } if ran == "not_run");
        is_rejected && ran_ids.contains(caller.request_id.as_str())
    })
}

fn check_not_run(record: &ReplayRecord) -> PromiseCheck {
    let rejected = count(
        record,
        |caller| matches!(&caller.outcome, Outcome::Failed { ran, .. } if ran == "not_run"),
    );
    let false_total = count_false_not_run(record);
    PromiseCheck {
        promise: "what is refused as not run did not run".to_owned(),
        holds: false_total == 0,
        evidence: format!("{rejected} rejected, {false_total} of them recorded by a backend server"),
    }
}

/// Returns the number of non-idempotent calls that ran more than once. A call is identified by its
/// idempotency key, or by its request id if it has none.
pub(crate) fn count_repeated_runs(record: &ReplayRecord) -> u64 {
    let mut runs: HashMap<&str, u64> = HashMap::new();
    for run in record
        .plain_runs
        .iter()
        .filter(|run| run.call.starts_with("POST "))
    {
        let id = if run.idempotency_key.is_empty() {
            run.request_id.as_str()
        } else {
            run.idempotency_key.as_str()
        };
        *runs.entry(id).or_default() += 1;
    }
    runs.values().filter(|run_count| **run_count > 1).count() as u64
}

fn check_at_most_once(record: &ReplayRecord) -> PromiseCheck {
    let keyed = record
        .plain_runs
        .iter()
        .filter(|run| !run.idempotency_key.is_empty());
    let repeated = count_repeated_runs(record);
    PromiseCheck {
        promise: "what may not be repeated runs at most once".to_owned(),
        holds: repeated == 0,
        evidence: format!("{} keyed calls ran, {repeated} more than once", keyed.count()),
    }
}

fn check_leaving(record: &ReplayRecord) -> PromiseCheck {
    let mut late = 0;
    let mut latest_ms = 0;
    for event in &record.events {
        if event.number != EventKind::RequestDispatched.number() {
            continue;
        }
        let server = event.fields.get("server").map_or("", String::as_str);
        for (_, shown_unix_ms) in record.leaving.iter().filter(|(name, _)| name == server) {
            let after_ms = event.unix_ms.saturating_sub(*shown_unix_ms);
            latest_ms = latest_ms.max(after_ms);
            late += u64::from(after_ms > LEAVING_GRACE_MS);
        }
    }
    PromiseCheck {
        promise: "a leaving backend server gets no new work after a few seconds".to_owned(),
        holds: late == 0,
        evidence: format!(
            "{} servers left, last new request after {latest_ms} ms, {late} requests too late",
            record.leaving.len()
        ),
    }
}

fn check_bundles(record: &ReplayRecord) -> PromiseCheck {
    let mut last: HashMap<&str, u32> = HashMap::new();
    let mut reverted = 0;
    // Sorts by wall clock first, because the logical clock restarts with each start of an instance.
    let mut events: Vec<&Event> = record.events.iter().collect();
    events.sort_by_key(|event| (event.unix_ms, event.clock));
    for event in events {
        if event.number == EventKind::InstanceStarted.number() {
            last.remove(event.instance.as_str());
        }
        if event.number != EventKind::BundleInForce.number() {
            continue;
        }
        let version = event
            .fields
            .get("version")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let previous = last.insert(&event.instance, version).unwrap_or(0);
        reverted += u64::from(version <= previous);
    }
    let slowest_ms = record.in_force_ms.iter().copied().max().unwrap_or(0);
    PromiseCheck {
        promise: "an accepted bundle is in force everywhere within seconds and never reverts".to_owned(),
        holds: reverted == 0 && slowest_ms <= record.in_force_bound_ms,
        evidence: format!(
            "{} roll-outs, slowest {slowest_ms} ms, {reverted} reverted",
            record.in_force_ms.len()
        ),
    }
}

fn count(record: &ReplayRecord, predicate: impl Fn(&CallerRecord) -> bool) -> u64 {
    record.callers.iter().filter(|caller| predicate(caller)).count() as u64
}
