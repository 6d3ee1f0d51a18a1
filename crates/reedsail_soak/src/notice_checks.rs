//! Checks that an instance respects the status that a server reports in an answer to it.

use std::collections::BTreeMap;
use std::collections::HashMap;

use crate::Attempt;
use crate::History;
use crate::Notice;
use crate::NoticeKind;
use crate::Outcome;
use crate::Run;
use crate::Target;
use crate::Violation;
use crate::checker::FAULT_GRACE_MS;

/// A request that begins more than this time after an answer of a draining server must not reach that server.
const DRAINING_GRACE_MS: u64 = 2_000;
/// Requests may arrive for this time after a server has asked for a back-off: they were already in flight.
const BACKOFF_GRACE_MS: u64 = 500;
/// Maximum number of requests that may arrive between then and the end of the back-off.
const BACKOFF_ARRIVALS_MAX: usize = 2;

/// The requests and notices between one instance and one server.
struct Exchange<'a> {
    instance: usize,
    server: &'a str,
    /// Arrival times of the requests that were run or rejected with a back-off.
    arrivals_ms: Vec<u64>,
    runs: Vec<(&'a Run, &'a Attempt)>,
    notices: Vec<(&'a Notice, &'a Attempt)>,
}

pub(crate) fn check_notices(history: &History, found: &mut Vec<Violation>) {
    for exchange in exchanges(history) {
        for (notice, attempt) in &exchange.notices {
            let violation = match notice.kind {
                NoticeKind::Draining => exchange.check_draining(history, notice, attempt),
                NoticeKind::Backoff(backoff_ms) => exchange.check_backoff(history, notice, backoff_ms),
            };
            found.extend(violation);
        }
    }
}

impl<'a> Exchange<'a> {
    fn new(server: &'a str, instance: usize) -> Self {
        Self {
            instance,
            server,
            arrivals_ms: Vec::new(),
            runs: Vec::new(),
            notices: Vec::new(),
        }
    }

    /// Returns whether the instance was restarted or paused in a time range, and may have lost earlier state.
    fn is_restarted(&self, history: &History, from_ms: u64, until_ms: u64) -> bool {
        history.is_disturbed(from_ms, until_ms, |target| {
            target == Target::Daemon(self.instance) || target == Target::Stop(self.instance)
        })
    }

    fn check_draining(&self, history: &History, notice: &Notice, notified: &Attempt) -> Option<Violation> {
        // Only an answer that reached the caller has certainly reached the instance.
        if notified.outcome != Outcome::Answered {
            return None;
        }
        let due_ms = notified.ended_ms + DRAINING_GRACE_MS;
        let is_late = |run: &Run, attempt: &Attempt| {
            attempt.began_ms > due_ms && !self.is_restarted(history, notice.at_ms, run.began_ms)
        };
        let (run, _) = self.runs.iter().find(|(run, attempt)| is_late(run, attempt))?;
        let what = format!(
            "{} reached {} from instance {} at {} ms; its answer at {} ms reported that it is draining",
            run.id, self.server, self.instance, run.began_ms, notified.ended_ms
        );
        Some(Violation::new("nothing for a server that said it drains", what))
    }

    fn check_backoff(&self, history: &History, notice: &Notice, backoff_ms: u64) -> Option<Violation> {
        let until_ms = notice.at_ms + backoff_ms;
        let from_ms = notice.at_ms + BACKOFF_GRACE_MS;
        let is_within = |at_ms: &&u64| **at_ms > from_ms && **at_ms < until_ms;
        let arrivals = self.arrivals_ms.iter().filter(is_within).count();
        let disturbed_from_ms = notice.at_ms.saturating_sub(FAULT_GRACE_MS);
        let is_server_disturbed = history.is_disturbed(disturbed_from_ms, until_ms, |target| {
            matches!(target, Target::Server(_))
        });
        let is_excused = is_server_disturbed || self.is_restarted(history, notice.at_ms, until_ms);
        if arrivals <= BACKOFF_ARRIVALS_MAX || is_excused {
            return None;
        }
        let what = format!(
            "{} asked instance {} at {} ms for a back-off of {backoff_ms} ms, but received {arrivals} requests",
            self.server, self.instance, notice.at_ms
        );
        Some(Violation::new("time for a server that asked for it", what))
    }
}

/// Groups requests and notices by instance and server.
fn exchanges(history: &History) -> Vec<Exchange<'_>> {
    let attempts = history.attempts.iter();
    let attempts: HashMap<&str, &Attempt> = attempts.map(|attempt| (attempt.id.as_str(), attempt)).collect();
    let mut exchanges: BTreeMap<(&str, usize), Exchange<'_>> = BTreeMap::new();
    for run in &history.runs {
        if let Some(attempt) = attempts.get(run.id.as_str()) {
            let exchange = exchange_entry(&mut exchanges, &run.server, attempt.daemon);
            exchange.arrivals_ms.push(run.began_ms);
            exchange.runs.push((run, attempt));
        }
    }
    for notice in &history.notices {
        if let Some(attempt) = attempts.get(notice.id.as_str()) {
            let exchange = exchange_entry(&mut exchanges, &notice.server, attempt.daemon);
            if let NoticeKind::Backoff(_) = notice.kind {
                exchange.arrivals_ms.push(notice.at_ms);
            }
            exchange.notices.push((notice, attempt));
        }
    }
    exchanges.into_values().collect()
}

fn exchange_entry<'e, 'a>(
    exchanges: &'e mut BTreeMap<(&'a str, usize), Exchange<'a>>,
    server: &'a str,
    instance: usize,
) -> &'e mut Exchange<'a> {
    exchanges
        .entry((server, instance))
        .or_insert_with(|| Exchange::new(server, instance))
}
