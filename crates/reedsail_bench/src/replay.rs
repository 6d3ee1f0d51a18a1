//! Replays a trace against a fleet and reports the results.
//!
//! One task owns the fleet and runs each trace line, fault action and sample when it is due. Each
//! caller runs in its own task.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use reedsail_daemon::Clock;
use reedsail_daemon::PolicyChoice;
use reedsail_standin::PlatformConfig;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep_until;
use uuid::Uuid;

use crate::Caller;
use crate::Expectation;
use crate::FairnessFigures;
use crate::FaultScript;
use crate::Fleet;
use crate::LatencyFigures;
use crate::Outcome;
use crate::ReplayReport;
use crate::RequestPlan;
use crate::Sample;
use crate::Trace;
use crate::TraceLine;
use crate::checker::CallerRecord;
use crate::checker::ReplayRecord;
use crate::checker::check_promises;
use crate::checker::count_false_not_run;
use crate::checker::count_repeated_runs;
use crate::fairness::measure_fairness;

/// The interval between two samples of the fleet.
const SAMPLE_INTERVAL_MS: u64 = 100;
/// The interval between two checks whether a published bundle is in force.
const ROLL_OUT_POLL_INTERVAL_MS: u64 = 10;
/// The allowed fairness gap, in addition to the time of the largest request at the fair rate.
const GAP_BOUND_S: f64 = 2.0;
/// The allowed addition for a replay with faults.
const GAP_BOUND_WITH_FAULTS_S: f64 = 12.0;
/// The maximum time from the publication of a bundle until all instances have it in force.
const IN_FORCE_BOUND_MS: u64 = 2_000;
/// The maximum for a replay with faults.
const IN_FORCE_BOUND_WITH_FAULTS_MS: u64 = 30_000;
/// The maximum number of unexpected outcomes that the report describes.
const UNEXPECTED_OUTCOMES_MAX: usize = 10;
/// The interval between two progress lines.
const PROGRESS_INTERVAL_MS: u64 = 5_000;

/// One request of the trace, as sent.
#[derive(Clone, Debug)]
struct SentRequest {
    at_ms: u64,
    daemon: String,
    workspace: String,
    class: String,
    is_stream: bool,
    expect: Expectation,
    plan: RequestPlan,
}

/// The state of a running replay.
struct Replay {
    fleet: Fleet,
    trace_seed: u64,
    started: Instant,
    callers: JoinSet<(SentRequest, Caller)>,
    finished: Vec<(SentRequest, Caller)>,
    sampled_service: String,
    samples: Vec<Sample>,
    roll_outs: Vec<(u32, Instant)>,
    in_force_ms: Vec<u64>,
    leaving: Vec<(String, u64)>,
    list_lag_ms: u64,
    keys: HashMap<String, String>,
}

/// Replays a trace and passes progress lines to `progress`. Returns the report and the samples.
///
/// # Errors
/// The fleet cannot be started, or a line of the trace or the fault script cannot be run.
pub async fn replay_trace(
    trace: &Trace,
    policy: PolicyChoice,
    faults: Option<(&str, &FaultScript)>,
    progress: impl Fn(&str),
) -> anyhow::Result<(ReplayReport, Vec<Sample>)> {
    let platform = PlatformConfig {
        seed: trace.seed,
        ..PlatformConfig::default()
    };
    let fleet = Fleet::start(trace.fleet.clone(), policy, platform, |_| {}).await?;
    progress("fleet is ready");
    let mut replay = Replay {
        fleet,
        trace_seed: trace.seed,
        started: Instant::now(),
        callers: JoinSet::new(),
        finished: Vec::new(),
        sampled_service: sampled_service(trace),
        samples: Vec::new(),
        roll_outs: Vec::new(),
        in_force_ms: Vec::new(),
        leaving: Vec::new(),
        list_lag_ms: platform.list_lag_ms,
        keys: HashMap::new(),
    };
    let script = faults.map(|(_, script)| script.clone()).unwrap_or_default();
    replay.run(trace, &script, &progress).await?;
    let mut report = ReplayReport {
        trace: trace.fleet.name.clone(),
        policy: policy_name(policy).to_owned(),
        seed: trace.seed,
        faults: faults.map(|(name, _)| name.to_owned()),
        ..ReplayReport::default()
    };
    let samples = replay.finish(trace, policy, &script, &mut report).await;
    Ok((report, samples))
}

pub(crate) fn policy_name(policy: PolicyChoice) -> &'static str {
    match policy {
        PolicyChoice::Fifo => "fifo",
        PolicyChoice::Split { .. } => "split",
        PolicyChoice::Fleet => "fleet",
    }
}

/// Returns the service whose fairness is measured: the first model service.
fn sampled_service(trace: &Trace) -> String {
    let mut services = trace.fleet.services.iter();
    let model = services.find(|service| service.model.is_some());
    model.map_or_else(String::new, |service| service.name.clone())
}

impl Replay {
    async fn run(
        &mut self,
        trace: &Trace,
        script: &FaultScript,
        progress: &impl Fn(&str),
    ) -> anyhow::Result<()> {
        let mut lines: VecDeque<TraceLine> = trace.lines.iter().cloned().collect();
        let mut actions: VecDeque<_> = script.actions.iter().cloned().collect();
        let mut next_sample_ms = 0;
        let mut next_progress_ms = PROGRESS_INTERVAL_MS;
        let mut number = 0;
        while !(lines.is_empty()
            && actions.is_empty()
            && self.callers.is_empty()
            && self.roll_outs.is_empty())
        {
            let now_ms = self.started.elapsed().as_millis() as u64;
            while let Some((_, action)) = actions.pop_front_if(|(at_ms, _)| *at_ms <= now_ms) {
                action.apply(&mut self.fleet).await?;
            }
            while let Some(line) = lines.pop_front_if(|line| line.at_ms() <= now_ms) {
                number += 1;
                self.run_line(line, number).await?;
            }
            if now_ms >= next_sample_ms {
                next_sample_ms = now_ms + SAMPLE_INTERVAL_MS;
                let at_ms = self.started.elapsed().as_secs_f64() * 1_000.0;
                self.samples
                    .push(Sample::take(&self.fleet, &self.sampled_service, at_ms));
            }
            if now_ms >= next_progress_ms {
                next_progress_ms += PROGRESS_INTERVAL_MS;
                let (open, finished) = (self.callers.len(), self.finished.len());
                progress(&format!(
                    "{:>3} s: {finished} requests finished, {open} open",
                    now_ms / 1_000
                ));
            }
            self.record_finished_roll_outs();
            self.collect_finished();
            let mut due_ms = next_sample_ms;
            due_ms = due_ms.min(lines.front().map_or(u64::MAX, TraceLine::at_ms));
            due_ms = due_ms.min(actions.front().map_or(u64::MAX, |(at_ms, _)| *at_ms));
            if !self.roll_outs.is_empty() {
                due_ms = due_ms.min(now_ms + ROLL_OUT_POLL_INTERVAL_MS);
            }
            sleep_until(self.started + Duration::from_millis(due_ms)).await;
        }
        Ok(())
    }

    fn collect_finished(&mut self) {
        while let Some(joined) = self.callers.try_join_next() {
            // Caller tasks neither panic nor are cancelled, so no result is dropped here.
            self.finished.extend(joined);
        }
    }

    fn record_finished_roll_outs(&mut self) {
        let daemons = &self.fleet.daemons;
        let is_in_force = |version: u32| daemons.values().all(|daemon| daemon.bundle_version() >= version);
        let in_force_ms = &mut self.in_force_ms;
        self.roll_outs.retain(|(version, published)| {
            let has_ended = is_in_force(*version);
            if has_ended {
                in_force_ms.push(published.elapsed().as_millis() as u64);
            }
            !has_ended
        });
    }

    async fn run_line(&mut self, line: TraceLine, number: u64) -> anyhow::Result<()> {
        match line {
            TraceLine::Setup { .. } => {
                anyhow::bail!("the trace has more than one line of kind `setup`; keep only the first")
            }
            TraceLine::Chat {
                at_ms,
                daemon,
                workspace,
                model,
                class,
                tokens,
                stream,
                group,
                expect,
            } => {
                // The group fills the shared prefix of the prompt; the number makes the prompt unique.
                let prompt = format!("{group:.<64} request {number} of seed {}", self.trace_seed);
                let plan = RequestPlan::Chat {
                    model,
                    prompt,
                    tokens,
                    stream,
                    class: class.clone(),
                };
                self.send(SentRequest {
                    at_ms,
                    daemon,
                    workspace,
                    class,
                    is_stream: stream,
                    expect,
                    plan,
                })
            }
            TraceLine::Plain {
                at_ms,
                daemon,
                workspace,
                method,
                path,
                key,
                expect,
            } => {
                let key = key.map(|label| self.idempotency_key(label));
                let plan = RequestPlan::Plain { method, path, key };
                self.send(SentRequest {
                    at_ms,
                    daemon,
                    workspace,
                    class: "plain".to_owned(),
                    is_stream: false,
                    expect,
                    plan,
                })
            }
            TraceLine::Publish { change, .. } => {
                let published = Instant::now();
                let version = self.fleet.publish_change(&change).await?;
                self.roll_outs.push((version, published));
                Ok(())
            }
            TraceLine::Leave { server, .. } => {
                self.fleet.set_leaving(&server);
                self.leaving.push((server, Clock::unix_ms() + self.list_lag_ms));
                Ok(())
            }
        }
    }

    fn idempotency_key(&mut self, label: String) -> String {
        let key = self
            .keys
            .entry(label)
            .or_insert_with(|| Uuid::now_v7().to_string());
        key.clone()
    }

    fn send(&mut self, sent: SentRequest) -> anyhow::Result<()> {
        let address = self.fleet.callers.get(&sent.daemon);
        let address = *address.ok_or_else(|| {
            anyhow::anyhow!(
                "unknown daemon `{}` in the trace; use one from its setup",
                sent.daemon
            )
        })?;
        self.callers.spawn(async move {
            let caller = Caller::run(address, &sent.workspace, &sent.plan).await;
            (sent, caller)
        });
        Ok(())
    }

    /// Gives the fleet a planned stop and fills the report from the records.
    async fn finish(
        self,
        trace: &Trace,
        policy: PolicyChoice,
        script: &FaultScript,
        report: &mut ReplayReport,
    ) -> Vec<Sample> {
        let elapsed_s = self.started.elapsed().as_secs_f64();
        let (capacity_per_s, largest_tokens) = service_figures(trace, &self.sampled_service);
        let fairness = measure_fairness(&trace.fleet, &self.samples, capacity_per_s, largest_tokens);
        let has_faults = !script.actions.is_empty();
        let mut record = ReplayRecord {
            callers: caller_records(&self.finished, script),
            fairness,
            gap_bound_s: (policy == PolicyChoice::Fleet).then(|| gap_bound_s(&fairness, has_faults)),
            in_force_ms: self.in_force_ms.clone(),
            in_force_bound_ms: if has_faults {
                IN_FORCE_BOUND_WITH_FAULTS_MS
            } else {
                IN_FORCE_BOUND_MS
            },
            leaving: self.leaving.clone(),
            samples: self.samples,
            ..ReplayRecord::default()
        };
        for plain in self.fleet.plains.values() {
            record.plain_runs.extend(plain.runs());
        }
        for engine in self.fleet.engines.values() {
            for request_id in engine.requests_seen() {
                *record.engine_requests.entry(request_id).or_default() += 1;
            }
        }
        record.events = self.fleet.events();
        record.stop_cut_nothing = self.fleet.close().await;
        fill_counts(report, &self.finished, script, &record);
        fill_times(report, &self.finished);
        fill_control(report, &record.samples);
        for event in &record.events {
            *report.events.entry(event.name.clone()).or_default() += 1;
        }
        report.fairness = fairness;
        report.fairness_gap_s = fairness.gap_s;
        report.utilisation_ratio = fairness.utilisation_ratio;
        report.bundle_in_force_ms = record.in_force_ms.iter().copied().max();
        report.stop_cut_nothing = record.stop_cut_nothing;
        report.promises = check_promises(&record);
        report.elapsed_s = elapsed_s;
        record.samples
    }
}

fn gap_bound_s(fairness: &FairnessFigures, has_faults: bool) -> f64 {
    let margin_s = if has_faults {
        GAP_BOUND_WITH_FAULTS_S
    } else {
        GAP_BOUND_S
    };
    fairness.largest_request_s + margin_s
}

/// Returns the maximum token rate of a service, and the tokens of the largest request in the trace.
fn service_figures(trace: &Trace, service: &str) -> (f64, u64) {
    let service_setup = trace.fleet.services.iter().find(|setup| setup.name == service);
    let capacity_per_s = service_setup.map_or(0.0, |setup| {
        let servers: u32 = setup.servers_by_domain.values().sum();
        f64::from(servers * setup.slots) * 1_000.0 / setup.token_interval_ms.max(1) as f64
    });
    let largest = trace.lines.iter().map(|line| match line {
        TraceLine::Chat { tokens, .. } => *tokens,
        _ => 0,
    });
    (capacity_per_s, largest.max().unwrap_or(0))
}

fn caller_records(finished: &[(SentRequest, Caller)], script: &FaultScript) -> Vec<CallerRecord> {
    finished
        .iter()
        .map(|(sent, caller)| CallerRecord {
            request_id: caller.request_id.clone(),
            outcome: caller.outcome.clone(),
            excused: script.excuses(&caller.outcome, &sent.daemon, sent.at_ms),
        })
        .collect()
}

fn is_expected(expect: &Expectation, outcome: &Outcome) -> bool {
    match (expect, outcome) {
        (Expectation::Answered | Expectation::AnsweredOr(_), Outcome::Answered) => true,
        (Expectation::NotRun(kind), Outcome::Failed { kind: actual, ran }) => {
            kind == actual && ran == "not_run"
        }
        (Expectation::Earlier(kind), Outcome::Failed { kind: actual, ran }) => {
            kind == actual && ran != "not_run"
        }
        (Expectation::AnsweredOr(kinds), Outcome::Failed { kind, .. }) => kinds.contains(kind),
        _ => false,
    }
}

fn fill_counts(
    report: &mut ReplayReport,
    finished: &[(SentRequest, Caller)],
    script: &FaultScript,
    record: &ReplayRecord,
) {
    report.requests_total = finished.len() as u64;
    report.doubled_total = count_repeated_runs(record);
    report.false_not_run_total = count_false_not_run(record);
    for (sent, caller) in finished {
        let excused = script.excuses(&caller.outcome, &sent.daemon, sent.at_ms);
        match &caller.outcome {
            Outcome::Answered => report.answered_total += 1,
            Outcome::Failed { ran, .. } if ran == "not_run" => report.refused_not_run_total += 1,
            Outcome::Failed { ran, .. } if ran == "unknown" => report.unknown_total += 1,
            Outcome::Failed { .. } => {}
            Outcome::Crossed => report.crossed_total += 1,
            Outcome::Lost(_) => report.lost_total += u64::from(!excused),
        }
        if excused || is_expected(&sent.expect, &caller.outcome) {
            continue;
        }
        report.unexpected_outcomes_total += 1;
        if report.unexpected_outcomes.len() < UNEXPECTED_OUTCOMES_MAX {
            let description = format!(
                "at {} ms: request {} of {} at {}: {:?}, expected {:?}",
                sent.at_ms, caller.request_id, sent.workspace, sent.daemon, caller.outcome, sent.expect
            );
            report.unexpected_outcomes.push(description);
        }
    }
}

fn fill_times(report: &mut ReplayReport, finished: &[(SentRequest, Caller)]) {
    let mut totals: BTreeMap<String, Vec<f64>> = BTreeMap::new();
    let mut first_tokens: BTreeMap<String, Vec<f64>> = BTreeMap::new();
    let mut by_workspace: BTreeMap<String, Vec<f64>> = BTreeMap::new();
    for (sent, caller) in finished
        .iter()
        .filter(|(_, caller)| caller.outcome == Outcome::Answered)
    {
        if sent.is_stream {
            let times = by_workspace.entry(sent.workspace.clone()).or_default();
            times.push(caller.first_ms);
        }
        totals
            .entry(sent.class.clone())
            .or_default()
            .push(caller.total_ms);
        if sent.is_stream {
            first_tokens
                .entry(sent.class.clone())
                .or_default()
                .push(caller.first_ms);
        }
    }
    let summarise = |times: BTreeMap<String, Vec<f64>>| {
        let figures = times
            .into_iter()
            .map(|(class, times)| (class, LatencyFigures::of(&times)));
        figures.collect::<BTreeMap<_, _>>()
    };
    report.latency_ms = summarise(totals);
    report.first_token_ms = summarise(first_tokens);
    report.first_token_by_workspace_ms = summarise(by_workspace);
}

fn fill_control(report: &mut ReplayReport, samples: &[Sample]) {
    let (Some(first), Some(last)) = (samples.first(), samples.last()) else {
        return;
    };
    let elapsed_s = ((last.at_ms - first.at_ms) / 1_000.0).max(1e-9);
    let rates: Vec<f64> = last
        .control_bytes
        .iter()
        .filter_map(|(daemon, bytes)| {
            let before = first.control_bytes.get(daemon)?;
            Some(bytes.saturating_sub(*before) as f64 / elapsed_s)
        })
        .collect();
    report.control_bytes_per_s_per_daemon = rates.iter().sum::<f64>() / rates.len().max(1) as f64;
    report.control_bytes_per_s_max = rates.iter().copied().fold(0.0, f64::max);
}
