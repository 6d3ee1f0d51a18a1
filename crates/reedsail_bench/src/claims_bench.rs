//! Keyed calls, each sent twice through different daemons, while daemons are killed and the log
//! loses answers; and what a claim costs when nothing is wrong.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use reedsail_daemon::PolicyChoice;
use reedsail_standin::PlainStandin;
use reedsail_standin::PlatformConfig;
use serde::Deserialize;
use serde::Serialize;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep_until;
use uuid::Uuid;

use crate::Caller;
use crate::Fleet;
use crate::LatencyFigures;
use crate::Outcome;
use crate::RequestPlan;
use crate::make_trace;

/// Keyed calls a second.
const CALLS_PER_S: u64 = 300;
/// How long the cost is measured with nothing wrong, in seconds.
const QUIET_S: u64 = 10;
/// The part of appends that lose their answer.
const LOST_ANSWER_RATIO: f64 = 0.1;
/// The time between two kills.
const KILL_EVERY_MS: u64 = 3_000;
/// How long a killed daemon is away.
const AWAY_MS: u64 = 1_500;

/// What came of the calls.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ClaimsReport {
    /// Keys used while daemons were killed.
    pub keys: u64,
    /// Keys that ran more than once.
    pub ran_twice: u64,
    /// Keys that ran once.
    pub ran_once: u64,
    /// Keys that never ran.
    pub never_ran: u64,
    /// Refusals as "not run" whose very request is on a backend server's record.
    pub false_not_run: u64,
    /// Calls answered.
    pub answered: u64,
    /// Calls told that the key ran, or runs, through another call.
    pub told_of_other: u64,
    /// Calls refused as not run.
    pub not_run: u64,
    /// Calls that ended unknown otherwise.
    pub unknown: u64,
    /// Calls whose daemon was killed under them.
    pub connection_lost: u64,
    /// Daemons killed.
    pub kills: u64,
    /// Appends a second with nothing wrong, at 300 keyed calls a second.
    pub appends_per_s: f64,
    /// Time of a keyed call with nothing wrong.
    pub keyed_ms: LatencyFigures,
    /// Time of a call without a key in the same run.
    pub plain_ms: LatencyFigures,
    /// What the claim adds to the median.
    pub added_p50_ms: f64,
}

fn plan(key: Option<String>) -> RequestPlan {
    RequestPlan::Plain {
        method: if key.is_some() { "POST" } else { "GET" }.to_owned(),
        path: if key.is_some() {
            "/booking/deposits/confirm"
        } else {
            "/booking/beds"
        }
        .to_owned(),
        key,
    }
}

/// Measures both.
///
/// # Errors
/// The fleet cannot be started.
pub async fn measure_claims(keys: u64, progress: impl Fn(&str)) -> anyhow::Result<ClaimsReport> {
    let trace = make_trace("chatovna", 7)?;
    let mut fleet = Fleet::start(
        trace.fleet,
        PolicyChoice::Fleet,
        PlatformConfig::default(),
        |_| {},
    )
    .await?;
    let mut report = ClaimsReport {
        keys,
        ..ClaimsReport::default()
    };
    measure_quiet(&fleet, &mut report).await;
    progress(&format!(
        "{:.1} appends a second with nothing wrong",
        report.appends_per_s
    ));
    fleet
        .platform
        .set_faults(|faults| faults.lost_answer_ratio = LOST_ANSWER_RATIO);
    let (sent_keys, callers) = storm(&mut fleet, keys, &mut report, &progress).await?;
    let mut ran: HashMap<String, u64> = HashMap::new();
    let mut requests: HashMap<String, u64> = HashMap::new();
    for run in runs(&fleet)
        .into_iter()
        .filter(|run| sent_keys.contains(&run.idempotency_key))
    {
        *ran.entry(run.idempotency_key).or_default() += 1;
        *requests.entry(run.request_id).or_default() += 1;
    }
    report.ran_twice = ran.values().filter(|times| **times > 1).count() as u64;
    report.ran_once = ran.values().filter(|times| **times == 1).count() as u64;
    report.never_ran = keys - ran.len() as u64;
    for caller in callers {
        count(&mut report, &caller, &requests);
    }
    fleet.close().await;
    Ok(report)
}

fn runs(fleet: &Fleet) -> Vec<reedsail_standin::PlainRun> {
    fleet.plains.values().flat_map(PlainStandin::runs).collect()
}

fn count(report: &mut ClaimsReport, caller: &Caller, requests: &HashMap<String, u64>) {
    match &caller.outcome {
        Outcome::Answered => report.answered += 1,
        Outcome::Failed { ran, .. } if ran == "not_run" => {
            report.not_run += 1;
            report.false_not_run += u64::from(requests.contains_key(&caller.request_id));
        }
        Outcome::Failed { kind, .. } if kind.starts_with("idempotency_key") => report.told_of_other += 1,
        Outcome::Failed { .. } | Outcome::Crossed => report.unknown += 1,
        Outcome::Lost(_) => report.connection_lost += 1,
    }
}

async fn measure_quiet(fleet: &Fleet, report: &mut ClaimsReport) {
    let addresses: Vec<_> = fleet.callers.values().copied().collect();
    let begun = Instant::now();
    let appends_before = fleet.platform.append_counts().0;
    let mut callers = JoinSet::new();
    for number in 0..QUIET_S * CALLS_PER_S {
        sleep_until(begun + Duration::from_micros(number * 1_000_000 / CALLS_PER_S)).await;
        let address = addresses[number as usize % addresses.len()];
        callers.spawn(async move { (true, Caller::run(address, "labska", &plan(Some(key()))).await) });
        if number % 3 == 0 {
            callers.spawn(async move { (false, Caller::run(address, "labska", &plan(None)).await) });
        }
    }
    let elapsed_s = begun.elapsed().as_secs_f64();
    let appends = fleet.platform.append_counts().0 - appends_before;
    let done = callers.join_all().await;
    let times = |keyed: bool| -> Vec<f64> {
        let fitting = done.iter().filter(|(is_keyed, _)| *is_keyed == keyed);
        fitting.map(|(_, caller)| caller.total_ms).collect()
    };
    report.appends_per_s = appends as f64 / elapsed_s;
    report.keyed_ms = LatencyFigures::of(&times(true));
    report.plain_ms = LatencyFigures::of(&times(false));
    report.added_p50_ms = report.keyed_ms.p50 - report.plain_ms.p50;
}

fn key() -> String {
    Uuid::now_v7().to_string()
}

/// Sends every key twice while daemons are killed and started again.
async fn storm(
    fleet: &mut Fleet,
    keys: u64,
    report: &mut ClaimsReport,
    progress: &impl Fn(&str),
) -> anyhow::Result<(HashSet<String>, Vec<Caller>)> {
    let mut random = StdRng::seed_from_u64(7);
    let names: Vec<String> = fleet.callers.keys().cloned().collect();
    let begun = Instant::now();
    let mut callers = JoinSet::new();
    let mut sent_keys = HashSet::new();
    let mut away: Option<(String, Instant)> = None;
    let mut next_kill = begun + Duration::from_millis(KILL_EVERY_MS);
    for number in 0..keys {
        sleep_until(begun + Duration::from_micros(number * 1_000_000 / CALLS_PER_S)).await;
        if away
            .as_ref()
            .is_some_and(|(_, back_at)| Instant::now() >= *back_at)
            && let Some((name, _)) = away.take()
        {
            fleet.start_daemon(&name).await?;
        }
        if Instant::now() >= next_kill && away.is_none() {
            next_kill += Duration::from_millis(KILL_EVERY_MS);
            let name = names[random.random_range(0..names.len())].clone();
            fleet.kill_daemon(&name);
            report.kills += 1;
            away = Some((name, Instant::now() + Duration::from_millis(AWAY_MS)));
            progress(&format!("{number} keys, {} daemons killed", report.kills));
        }
        let key = key();
        sent_keys.insert(key.clone());
        let first = random.random_range(0..names.len());
        let second = (first + random.random_range(1..names.len())) % names.len();
        for index in [first, second] {
            let address = fleet.callers[&names[index]];
            let plan = plan(Some(key.clone()));
            callers.spawn(async move { Caller::run(address, "labska", &plan).await });
        }
    }
    Ok((sent_keys, callers.join_all().await))
}
