//! Checks that a segment which ends servers stops reaching them, and that requests which share its caller and its first
//! segments go on.

use std::collections::BTreeSet;

use crate::Attempt;
use crate::CallKind;
use crate::History;
use crate::Outcome;
use crate::Target;
use crate::Violation;
use crate::key_checks::was_refused_without_workspaces;
use crate::poison::POISON_WORKSPACE;
use crate::poison::instance_of;

/// Number of ended servers after which the segment must be known.
const BOUNDING_END: usize = 5;
/// Time after that end in which instances that are in touch learn of it.
const KNOWN_WITHIN_MS: u64 = 3_000;
/// Number of later requests that are accepted.
const LATE_RUNS_MAX: usize = 3;
/// An instance is in touch if nothing disturbed it for this time.
const IN_TOUCH_MS: u64 = 3_000;
/// Minimum number of requests, with and without the segment about, for the check of the sound ones.
const SOUND_MIN: usize = 20;

pub(crate) fn check_poison_segment(history: &History, found: &mut Vec<Violation>) {
    let Some(bounding_ms) = history.poison_ends_ms.get(BOUNDING_END - 1) else {
        return;
    };
    let known_ms = bounding_ms + KNOWN_WITHIN_MS;
    let late = history.poison_runs.iter().filter(|run| {
        let instance = instance_of(&run.id);
        run.began_ms > known_ms
            && instance.is_some_and(|instance| is_in_touch(history, instance, run.began_ms))
    });
    let late: Vec<&str> = late.map(|run| run.id.as_str()).collect();
    if late.len() > LATE_RUNS_MAX {
        let what = format!(
            "{} servers ended, {} requests later than {KNOWN_WITHIN_MS} ms after the fifth at {bounding_ms} ms: {late:?}",
            history.poison_ends_ms.len(),
            late.len(),
        );
        found.push(Violation::new("a segment that ends servers is not sent", what));
    }
    check_sound(history, known_ms + KNOWN_WITHIN_MS, found);
}

/// Checks that sound requests begin at least half as often while the segment comes as before its first request.
fn check_sound(history: &History, from_ms: u64, found: &mut Vec<Violation>) {
    let Some(first_ms) = history.poison_spans.iter().map(|span| span.0).min() else {
        return;
    };
    let is_about = |at_ms: u64| {
        let mut spans = history.poison_spans.iter();
        at_ms >= from_ms && spans.any(|span| (span.0..=span.1).contains(&at_ms))
    };
    let is_quiet = |attempt: &Attempt| {
        let from_ms = attempt.began_ms.saturating_sub(IN_TOUCH_MS);
        !history.is_disturbed(from_ms, attempt.ended_ms, |target| {
            matches!(target, Target::Server(_))
        })
    };
    let before = begun_share(history, |attempt| {
        attempt.ended_ms < first_ms && is_quiet(attempt)
    });
    let beside = begun_share(history, |attempt| {
        is_about(attempt.began_ms) && most_engines_take_work(history, attempt.began_ms)
    });
    // Compares the shares without a division.
    let is_lost = beside.0 * before.1 * 2 < before.0 * beside.1;
    if before.1 >= SOUND_MIN && beside.1 >= SOUND_MIN && is_lost {
        let what = format!(
            "{} of {} sound requests began beside the segment, {} of {} before",
            beside.0, beside.1, before.0, before.1
        );
        found.push(Violation::new(
            "sound requests beside a segment that ends servers go on",
            what,
        ));
    }
}

/// Returns how many of the selected requests of the segment's caller and routes began, and their number.
fn begun_share(history: &History, is_selected: impl Fn(&Attempt) -> bool) -> (usize, usize) {
    let attempts = history.attempts.iter().filter(|attempt| {
        attempt.workspace == POISON_WORKSPACE
            && attempt.kind == CallKind::Letter
            && is_in_touch(history, attempt.daemon, attempt.began_ms)
            && may_know_engines(history, attempt.began_ms)
            && !was_refused_without_workspaces(history, attempt)
            && is_selected(attempt)
    });
    let mut share = (0, 0);
    for attempt in attempts {
        let has_begun = matches!(
            attempt.outcome,
            Outcome::Answered | Outcome::Wrong(_) | Outcome::HungUp | Outcome::Cut { had_begun: true }
        );
        share.0 += usize::from(has_begun);
        share.1 += 1;
    }
    share
}

/// Returns whether more than half of the engines have not said by their answers that they take no work.
fn most_engines_take_work(history: &History, at_ms: u64) -> bool {
    let from_ms = at_ms.saturating_sub(IN_TOUCH_MS);
    let engines = history.lives.iter().filter(|life| life.is_engine);
    let engines: BTreeSet<usize> = engines.map(|life| life.server).collect();
    let takes_none =
        |server: usize| history.is_disturbed(from_ms, at_ms, |target| target == Target::Notices(server));
    let without_work = engines.iter().filter(|server| takes_none(**server)).count();
    engines.is_empty() || 2 * without_work < engines.len()
}

/// Returns whether instances may have learned of the engines that replaced ended ones. While the store is disturbed they
/// know none of them.
fn may_know_engines(history: &History, at_ms: u64) -> bool {
    let from_ms = at_ms.saturating_sub(IN_TOUCH_MS);
    !history.is_disturbed(from_ms, at_ms, |target| target == Target::Store)
}

fn is_in_touch(history: &History, instance: usize, at_ms: u64) -> bool {
    let from_ms = at_ms.saturating_sub(IN_TOUCH_MS);
    !history.is_disturbed(from_ms, at_ms, |target| match target {
        Target::Daemon(other)
        | Target::Stop(other)
        | Target::CallersLink(other)
        | Target::StoreLink(other)
        | Target::LateStoreAnswers(other) => other == instance,
        Target::Store | Target::Server(_) | Target::Notices(_) => false,
    })
}
