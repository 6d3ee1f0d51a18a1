//! Proves the promises of the brief from what was recorded, one by one.
//!
//! Nothing here asks the daemons for their opinion: it compares what callers saw with what the
//! backend servers recorded, and reads the time line.

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

/// A backlogged workspace that got nothing for so long is starved.
const STARVED_AFTER_MS: f64 = 5_000.0;
/// A leaving backend server gets no new work later than this after the list shows it.
const LEAVING_GRACE_MS: u64 = 3_000;

/// One promise, whether it held, and what shows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromiseCheck {
    /// The promise, in short.
    pub promise: String,
    /// Whether it held.
    pub holds: bool,
    /// What was counted.
    pub evidence: String,
}

/// One request as its caller saw it.
#[derive(Clone, Debug)]
pub struct CallerRecord {
    /// The id that the daemon gave it.
    pub request_id: String,
    /// What came of it.
    pub outcome: Outcome,
    /// Whether the faults excuse that.
    pub excused: bool,
}

/// Everything that was recorded.
#[derive(Clone, Debug, Default)]
pub struct ReplayRecord {
    /// What callers saw.
    pub callers: Vec<CallerRecord>,
    /// What ran on plain backend servers.
    pub plain_runs: Vec<PlainRun>,
    /// How often each request id arrived at any engine.
    pub engine_requests: HashMap<String, u64>,
    /// The merged time line.
    pub events: Vec<Event>,
    /// Leaving backend servers, and when the list showed them.
    pub leaving: Vec<(String, u64)>,
    /// Looks at the model service.
    pub samples: Vec<Sample>,
    /// The fairness figures.
    pub fairness: FairnessFigures,
    /// The most that the gap may be, in seconds; absent for policies that promise nothing.
    pub gap_bound_s: Option<f64>,
    /// How long bundles took to be in force everywhere.
    pub in_force_ms: Vec<u64>,
    /// The most that this may take.
    pub in_force_bound_ms: u64,
    /// Whether the planned stop cut nothing.
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
        evidence: "every daemon was stopped as planned at the end".to_owned(),
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
    let mut longest: (f64, String) = (0.0, String::new());
    let mut since: BTreeMap<&str, (f64, f64)> = BTreeMap::new();
    for sample in &record.samples {
        for (workspace, queued) in &sample.queued {
            let tokens = sample.tokens_of(workspace);
            if *queued == 0 {
                since.remove(workspace.as_str());
                continue;
            }
            let entry = since.entry(workspace).or_insert((sample.at_ms, tokens));
            if tokens > entry.1 {
                *entry = (sample.at_ms, tokens);
            }
            let waited_ms = sample.at_ms - entry.0;
            if waited_ms > longest.0 {
                longest = (waited_ms, workspace.clone());
            }
        }
    }
    PromiseCheck {
        promise: "no workspace starves".to_owned(),
        holds: longest.0 <= STARVED_AFTER_MS,
        evidence: format!(
            "longest without service while backlogged: {:.0} ms ({})",
            longest.0, longest.1
        ),
    }
}

fn check_answers(record: &ReplayRecord) -> PromiseCheck {
    let crossed = count(record, |caller| caller.outcome == Outcome::Crossed);
    let lost = count(record, |caller| {
        matches!(caller.outcome, Outcome::Lost(_)) && !caller.excused
    });
    let whole = count(record, |caller| caller.outcome == Outcome::Answered);
    PromiseCheck {
        promise: "each caller gets the whole answer to its own request".to_owned(),
        holds: crossed == 0 && lost == 0,
        evidence: format!("{whole} whole, {crossed} crossed, {lost} lost"),
    }
}

/// Returns the refusals as "not run" whose request a backend server recorded.
pub(crate) fn false_not_run(record: &ReplayRecord) -> u64 {
    let ran: HashSet<&str> = record
        .plain_runs
        .iter()
        .map(|run| run.request_id.as_str())
        .chain(record.engine_requests.keys().map(String::as_str))
        .collect();
    count(record, |caller| {
        let refused = matches!(&caller.outcome, Outcome::Failed { ran, .. } if ran == "not_run");
        refused && ran.contains(caller.request_id.as_str())
    })
}

fn check_not_run(record: &ReplayRecord) -> PromiseCheck {
    let refused = count(
        record,
        |caller| matches!(&caller.outcome, Outcome::Failed { ran, .. } if ran == "not_run"),
    );
    let wrong = false_not_run(record);
    PromiseCheck {
        promise: "what is refused as not run did not run".to_owned(),
        holds: wrong == 0,
        evidence: format!("{refused} refused, {wrong} of them on a backend server's record"),
    }
}

/// Returns how many keys, and requests without one that may not be repeated, ran more than once.
pub(crate) fn doubled(record: &ReplayRecord) -> u64 {
    let mut runs: HashMap<&str, u64> = HashMap::new();
    for run in record
        .plain_runs
        .iter()
        .filter(|run| run.call.starts_with("POST "))
    {
        let name = if run.idempotency_key.is_empty() {
            run.request_id.as_str()
        } else {
            run.idempotency_key.as_str()
        };
        *runs.entry(name).or_default() += 1;
    }
    runs.values().filter(|times| **times > 1).count() as u64
}

fn check_at_most_once(record: &ReplayRecord) -> PromiseCheck {
    let keyed = record
        .plain_runs
        .iter()
        .filter(|run| !run.idempotency_key.is_empty());
    let twice = doubled(record);
    PromiseCheck {
        promise: "what may not be repeated runs at most once".to_owned(),
        holds: twice == 0,
        evidence: format!("{} keyed calls ran, {twice} twice", keyed.count()),
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
            "{} servers left, last new work {latest_ms} ms after, {late} requests too late",
            record.leaving.len()
        ),
    }
}

fn check_bundles(record: &ReplayRecord) -> PromiseCheck {
    let mut last: HashMap<&str, u32> = HashMap::new();
    let mut reverted = 0;
    // Within one instance the wall clock tells its starts apart; the logical one begins anew.
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
        let before = last.insert(&event.instance, version).unwrap_or(0);
        reverted += u64::from(version <= before);
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

fn count(record: &ReplayRecord, fits: impl Fn(&CallerRecord) -> bool) -> u64 {
    record.callers.iter().filter(|caller| fits(caller)).count() as u64
}
