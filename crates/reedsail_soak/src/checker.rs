//! Checks the router's guarantees against the observed history.

use std::collections::HashMap;

use serde::Serialize;

use crate::Attempt;
use crate::History;
use crate::Outcome;
use crate::Probe;
use crate::Run;
use crate::Target;
use crate::budget_checks::check_retry_budget;
use crate::key_checks::check_keys;
use crate::key_checks::was_refused_without_workspaces;
use crate::notice_checks::check_notices;
use crate::poison_checks::check_poison_segment;
use crate::version_checks::check_stream_versions;

/// A version must be in force after this time on an instance without faults.
pub(crate) const IN_FORCE_WITHIN_MS: u64 = 6_000;
/// Violations are excused for this time after a fault was undone.
pub(crate) const FAULT_GRACE_MS: u64 = 2_500;
/// An instance is in touch again this long after its last disturbance, as the platform defines it.
const CONTACT_MS: u64 = 3_000;
/// A planned stop must be over after this time.
const STOP_WITHIN_MS: u64 = 10_000;
/// A process younger than this may not have installed its signal handler, and serves no requests yet.
const STARTING_MS: u64 = 1_500;
/// An answer cut less than this time before its request's timeout was cut by the timeout.
const TIMEOUT_MARGIN_MS: u64 = 100;
/// Guarantees that other load on the machine can break.
const TIMED_PROMISES: [&str; 6] = [
    "a final answer in time",
    "configuration in force in time",
    "nothing new for a server that left",
    "a planned stop ends well and in time",
    "each workspace its part",
    "well again in time",
];
/// Last part of the soak, in which the fleet must have recovered.
const RECOVERED_FOR_MS: u64 = 3_000;
/// Minimum percentage of the last attempts that must be answered.
const RECOVERED_PERCENT: usize = 90;
/// Maximum number of attempts that one planned stop may cut without an answer: requests sent while
/// the instance closes their connection.
const IN_FLIGHT_CUTS_MAX: usize = 3;
/// Minimum number of attempts of a workspace for the fairness check.
const FAIR_ATTEMPTS_MIN: usize = 30;
/// Minimum answered ratio of the small workspace, as a percentage of the large workspace's ratio.
const FAIR_PERCENT: usize = 50;

/// A violation of a guarantee; reports call a guarantee a promise.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// The violated guarantee, by its name in reports.
    pub promise: &'static str,
    /// What was observed, with ids and times.
    pub what: String,
}

impl Violation {
    pub(crate) fn new(promise: &'static str, what: impl Into<String>) -> Self {
        Self {
            promise,
            what: what.into(),
        }
    }

    /// Returns whether load on the machine may have caused the violation.
    pub fn is_timed(&self) -> bool {
        TIMED_PROMISES.contains(&self.promise)
    }
}

/// Returns every violation in a history.
pub fn check(history: &History) -> Vec<Violation> {
    let mut found = Vec::new();
    check_runs(history, &mut found);
    check_answers(history, &mut found);
    check_cuts(history, &mut found);
    check_versions(history, &mut found);
    check_keys(history, &mut found);
    check_departures(history, &mut found);
    check_notices(history, &mut found);
    check_stream_versions(history, &mut found);
    check_poison_segment(history, &mut found);
    check_retry_budget(history, &mut found);
    check_exits(history, &mut found);
    check_fairness(history, &mut found);
    check_recovery(history, &mut found);
    found
}

fn check_runs(history: &History, found: &mut Vec<Violation>) {
    let by_attempt = history.runs_by_attempt();
    for attempt in &history.attempts {
        let runs = by_attempt.get(attempt.id.as_str()).map_or(&[][..], Vec::as_slice);
        let runs_max = if attempt.kind.runs_once() {
            1
        } else {
            history.attempts_max
        };
        if runs.len() > runs_max {
            let what = format!(
                "{} ran {} times, {runs_max} at most: {}",
                describe_attempt(attempt),
                runs.len(),
                describe_runs(runs)
            );
            found.push(Violation::new("at most once", what));
        }
        if matches!(attempt.outcome, Outcome::NotRun { .. }) && !runs.is_empty() {
            let what = format!(
                "{} was reported as not run, but ran: {}",
                describe_attempt(attempt),
                describe_runs(runs)
            );
            found.push(Violation::new("not run is true", what));
        }
        for run in runs {
            if run.saw_key || run.workspace.as_deref() != Some(attempt.workspace.as_str()) {
                let what = format!(
                    "{}: the server saw workspace {:?}, key: {}",
                    describe_attempt(attempt),
                    run.workspace,
                    run.saw_key
                );
                found.push(Violation::new("own workspace, no key", what));
            }
        }
    }
}

fn check_answers(history: &History, found: &mut Vec<Violation>) {
    for attempt in &history.attempts {
        if let Outcome::Wrong(fault) = &attempt.outcome {
            let what = format!("{}: {fault}", describe_attempt(attempt));
            found.push(Violation::new("whole and own answers", what));
        }
    }
}

/// Checks that each request that reaches an instance gets an answer, unless a fault affects the instance
/// or the link to it, and that each started answer is completed, unless a fault affects a server.
fn check_cuts(history: &History, found: &mut Vec<Violation>) {
    let mut in_flight_cuts = Vec::new();
    for attempt in &history.attempts {
        let until_ms = attempt.ended_ms;
        let from_ms = attempt.began_ms.saturating_sub(FAULT_GRACE_MS);
        let instance = attempt.daemon;
        let affects_instance =
            |target| target == Target::Daemon(instance) || target == Target::CallersLink(instance);
        if history.is_disturbed(from_ms, until_ms, affects_instance) {
            continue;
        }
        let affects_server = |target| matches!(target, Target::Server(_));
        let is_stopping = history.is_disturbed(attempt.began_ms, until_ms, |target| {
            target == Target::Stop(instance)
        });
        match attempt.outcome {
            Outcome::Cut { had_begun: true } if has_timed_out(history, attempt) => {}
            Outcome::Cut { had_begun: true } if !history.is_disturbed(from_ms, until_ms, affects_server) => {
                let promise = if is_stopping {
                    "planned work cuts nothing"
                } else {
                    "no answer breaks off"
                };
                found.push(Violation::new(promise, describe_attempt(attempt)));
            }
            Outcome::Cut { had_begun: false } if is_stopping => in_flight_cuts.push(attempt),
            Outcome::Cut { had_begun: false } => {
                found.push(Violation::new(
                    "a final answer for each request",
                    describe_attempt(attempt),
                ));
            }
            Outcome::Silent => found.push(Violation::new(
                "a final answer in time",
                describe_attempt(attempt),
            )),
            _ => {}
        }
    }
    // Requests that begin after an instance has exited reach only the proxy in front of it.
    for exit in &history.exits {
        let own = in_flight_cuts.iter().filter(|attempt| {
            attempt.daemon == exit.daemon
                && attempt.ended_ms >= exit.asked_ms
                && exit.ended_ms.is_none_or(|ended_ms| attempt.began_ms <= ended_ms)
        });
        let own: Vec<String> = own.map(|attempt| describe_attempt(attempt)).collect();
        if own.len() > IN_FLIGHT_CUTS_MAX {
            let what = format!("{} cut by one stop: {}", own.len(), own.join("; "));
            found.push(Violation::new("planned work cuts nothing", what));
        }
    }
}

/// Returns whether an attempt ran into its timeout, which cuts a stream at any point.
fn has_timed_out(history: &History, attempt: &Attempt) -> bool {
    let took_ms = attempt.ended_ms.saturating_sub(attempt.began_ms);
    took_ms + TIMEOUT_MARGIN_MS >= history.timeout_ms
}

fn check_versions(history: &History, found: &mut Vec<Violation>) {
    for instance in 0..history.daemons {
        let probes: Vec<&Probe> = history
            .probes
            .iter()
            .filter(|probe| probe.daemon == instance)
            .collect();
        for pair in probes.windows(2) {
            let (before, after) = (pair[0], pair[1]);
            if before.life == after.life && after.version < before.version {
                let what = format!(
                    "instance {instance} had version {} in force at {} ms, version {} before",
                    after.version, after.ended_ms, before.version
                );
                found.push(Violation::new("configuration never backwards", what));
            }
        }
        for write in &history.writes {
            let due_ms = write.at_ms + IN_FORCE_WITHIN_MS;
            let Some(probe) = probes.iter().find(|probe| probe.began_ms >= due_ms) else {
                continue;
            };
            let concerns = |target| match target {
                Target::Daemon(index)
                | Target::Stop(index)
                | Target::StoreLink(index)
                | Target::LateStoreAnswers(index) => index == instance,
                Target::Store => true,
                Target::CallersLink(_) | Target::Server(_) | Target::Notices(_) => false,
            };
            let from_ms = write.at_ms.saturating_sub(FAULT_GRACE_MS);
            if probe.version < write.version && !history.is_disturbed(from_ms, probe.ended_ms, concerns) {
                let what = format!(
                    "instance {instance} had version {} in force at {} ms; version {} was written at {} ms",
                    probe.version, probe.ended_ms, write.version, write.at_ms
                );
                found.push(Violation::new("configuration in force in time", what));
            }
        }
    }
}

fn check_departures(history: &History, found: &mut Vec<Violation>) {
    let attempts = history.attempts.iter();
    let instances: HashMap<&str, usize> = attempts
        .map(|attempt| (attempt.id.as_str(), attempt.daemon))
        .collect();
    for departure in &history.departures {
        let of_server = history.runs.iter().filter(|run| run.server == departure.server);
        for run in of_server.filter(|run| run.began_ms > departure.due_ms) {
            let sender = instances.get(run.id.as_str()).copied();
            // An instance that lost the store may learn of the departure late.
            let concerns = |target| match target {
                Target::Server(_)
                | Target::Notices(_)
                | Target::CallersLink(_)
                | Target::LateStoreAnswers(_) => false,
                Target::Daemon(_) | Target::Stop(_) | Target::StoreLink(_) | Target::Store => true,
            };
            // So does one that gets answers late, but not once it is in touch again.
            // It is not known which instance sent a probe.
            let is_late = |target| matches!(target, Target::LateStoreAnswers(instance) if sender.is_none_or(|sender| sender == instance));
            let from_ms = departure.at_ms.saturating_sub(FAULT_GRACE_MS);
            let is_excused = history.is_disturbed(from_ms, run.began_ms, concerns)
                || history.is_disturbed(run.began_ms.saturating_sub(CONTACT_MS), run.began_ms, is_late);
            if !is_excused {
                let what = format!(
                    "{} reached {} from instance {sender:?} at {} ms; it left at {} ms",
                    run.id, run.server, run.began_ms, departure.at_ms
                );
                found.push(Violation::new("nothing new for a server that left", what));
            }
        }
    }
}

fn check_exits(history: &History, found: &mut Vec<Violation>) {
    for instance in &history.ended_by_themselves {
        let what = format!("instance {instance} exited without being stopped or killed");
        found.push(Violation::new("a daemon ends only when it is told to", what));
    }
    for exit in &history.exits {
        let ended_ms = exit.ended_ms.unwrap_or(u64::MAX);
        let was_disturbed = history.is_disturbed(exit.asked_ms, ended_ms, |target| {
            target == Target::Daemon(exit.daemon)
        });
        if was_disturbed {
            continue;
        }
        let is_starting = exit.asked_ms.saturating_sub(exit.started_ms) < STARTING_MS;
        if is_starting && exit.code.is_none() && exit.ended_ms.is_some() {
            continue;
        }
        let is_late = ended_ms.saturating_sub(exit.asked_ms) > STOP_WITHIN_MS;
        if is_late || exit.code != Some(0) {
            let what = format!(
                "instance {} was asked to stop at {} ms, ended at {:?}, code {:?}",
                exit.daemon, exit.asked_ms, exit.ended_ms, exit.code
            );
            found.push(Violation::new("a planned stop ends well and in time", what));
        }
    }
}

fn check_fairness(history: &History, found: &mut Vec<Violation>) {
    let served = |workspace: &str| {
        let own = history
            .attempts
            .iter()
            .filter(|attempt| attempt.workspace == workspace && attempt.outcome != Outcome::HungUp)
            .filter(|attempt| !was_refused_without_workspaces(history, attempt));
        let own: Vec<&Attempt> = own.collect();
        let answered = own
            .iter()
            .filter(|attempt| attempt.outcome == Outcome::Answered)
            .count();
        (own.len(), answered)
    };
    let (large_asked, large_served) = served("large");
    let (small_asked, small_served) = served("small");
    if small_asked < FAIR_ATTEMPTS_MIN || large_asked < FAIR_ATTEMPTS_MIN {
        return;
    }
    // Compares the answered ratios without a division: small/asked < half of large/asked.
    if small_served * large_asked * 100 < large_served * small_asked * FAIR_PERCENT {
        let what = format!(
            "small: {small_served} of {small_asked} answered, large: {large_served} of {large_asked}"
        );
        found.push(Violation::new("each workspace its part", what));
    }
}

fn check_recovery(history: &History, found: &mut Vec<Violation>) {
    let from_ms = history.for_ms.saturating_sub(RECOVERED_FOR_MS);
    if history.is_disturbed(from_ms.saturating_sub(FAULT_GRACE_MS), history.for_ms, |_| true) {
        return;
    }
    let last = history.attempts.iter().filter(|attempt| {
        attempt.workspace == "small"
            && attempt.outcome != Outcome::HungUp
            && attempt.began_ms >= from_ms
            && attempt.ended_ms <= history.for_ms
    });
    let last: Vec<&Attempt> = last.collect();
    let answered = last
        .iter()
        .filter(|attempt| attempt.outcome == Outcome::Answered)
        .count();
    if answered * 100 < last.len() * RECOVERED_PERCENT {
        let what = format!(
            "{answered} of {} answered in the last {RECOVERED_FOR_MS} ms",
            last.len()
        );
        found.push(Violation::new("well again in time", what));
    }
}

pub(crate) fn describe_attempt(attempt: &Attempt) -> String {
    format!(
        "{} ({:?}, workspace {}, instance {}, {} to {} ms: {:?})",
        attempt.id,
        attempt.kind,
        attempt.workspace,
        attempt.daemon,
        attempt.began_ms,
        attempt.ended_ms,
        attempt.outcome
    )
}

fn describe_runs(runs: &[&Run]) -> String {
    let names: Vec<String> = runs
        .iter()
        .map(|run| format!("{} at {} ms", run.server, run.began_ms))
        .collect();
    names.join(", ")
}
