//! Checks that each stream holds events of one software version, and that streams are continued while servers of
//! their version serve.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::Attempt;
use crate::CallKind;
use crate::History;
use crate::StreamPart;
use crate::Target;
use crate::Violation;
use crate::checker::FAULT_GRACE_MS;
use crate::key_checks::was_refused_without_workspaces;

/// An instance is in touch if nothing disturbed it or the store for this time.
const IN_TOUCH_MS: u64 = 6_000;
/// Minimum number of streams that are continued for the check of their share.
const CONTINUED_MIN: usize = 12;
/// Minimum number of servers that serve a version while its streams must be continued.
const SERVERS_MIN: usize = 2;

pub(crate) fn check_stream_versions(history: &History, found: &mut Vec<Violation>) {
    check_one_version(history, found);
    check_continued(history, found);
}

fn stream_attempts(history: &History) -> impl Iterator<Item = (&Attempt, &StreamPart)> {
    let attempts = history.attempts.iter();
    attempts.filter_map(|attempt| Some((attempt, attempt.stream.as_ref()?)))
}

fn check_one_version(history: &History, found: &mut Vec<Violation>) {
    let mut streams: BTreeMap<&str, (BTreeSet<&str>, Vec<&str>)> = BTreeMap::new();
    for (attempt, part) in stream_attempts(history).filter(|(_, part)| !part.versions.is_empty()) {
        let (versions, attempts) = streams.entry(&part.first_attempt).or_default();
        versions.extend(part.versions.iter().map(String::as_str));
        attempts.push(&attempt.id);
    }
    for (first_attempt, (versions, attempts)) in streams {
        if versions.len() > 1 {
            let what = format!("{first_attempt} holds events of {versions:?}, attempts {attempts:?}");
            found.push(Violation::new("one software version a stream", what));
        }
    }
}

/// Checks that the share of streams that are continued is at least half of the share of new streams that begin.
fn check_continued(history: &History, found: &mut Vec<Violation>) {
    let mut versions: BTreeMap<&str, &str> = BTreeMap::new();
    for (_, part) in stream_attempts(history) {
        if let Some(version) = part.versions.first() {
            versions.entry(&part.first_attempt).or_insert(version);
        }
    }
    let (mut continued, mut begun) = (Share::default(), Share::default());
    let mut refused = Vec::new();
    for attempt in &history.attempts {
        if attempt.kind != CallKind::Chat
            || !is_in_touch(history, attempt)
            || was_refused_without_workspaces(history, attempt)
        {
            continue;
        }
        let part = attempt.stream.as_ref();
        let goes_on = part.is_some_and(|part| !part.versions.is_empty());
        match part.filter(|part| part.after_event > 0) {
            None => begun.count(goes_on),
            Some(part) => {
                let version = versions.get(part.first_attempt.as_str());
                if version.is_some_and(|version| serving(history, version, attempt) >= SERVERS_MIN) {
                    continued.count(goes_on);
                    if !goes_on {
                        refused.push(attempt.id.as_str());
                    }
                }
            }
        }
    }
    // Compares the shares without a division.
    if continued.all >= CONTINUED_MIN && continued.good * begun.all * 2 < begun.good * continued.all {
        let what = format!(
            "{} of {} continued, {} of {} begun; not continued: {refused:?}",
            continued.good, continued.all, begun.good, begun.all
        );
        found.push(Violation::new("streams are continued", what));
    }
}

/// How many of the counted attempts succeeded.
#[derive(Clone, Copy, Debug, Default)]
struct Share {
    good: usize,
    all: usize,
}

impl Share {
    fn count(&mut self, is_good: bool) {
        self.all += 1;
        self.good += usize::from(is_good);
    }
}

fn is_in_touch(history: &History, attempt: &Attempt) -> bool {
    let instance = attempt.daemon;
    let from_ms = attempt.began_ms.saturating_sub(IN_TOUCH_MS);
    !history.is_disturbed(from_ms, attempt.ended_ms, |target| match target {
        Target::Daemon(other)
        | Target::Stop(other)
        | Target::CallersLink(other)
        | Target::StoreLink(other)
        | Target::LateStoreAnswers(other) => other == instance,
        Target::Store => true,
        Target::Server(_) | Target::Notices(_) => false,
    })
}

/// Returns the number of engines of a version that took requests, undisturbed, from some time before an attempt to its end.
fn serving(history: &History, version: &str, attempt: &Attempt) -> usize {
    let from_ms = attempt.began_ms.saturating_sub(FAULT_GRACE_MS);
    let lives = history.lives.iter().filter(|life| {
        let disturbs =
            |target| target == Target::Server(life.server) || target == Target::Notices(life.server);
        life.is_engine
            && life.version == version
            && life.from_ms <= from_ms
            && life.until_ms >= attempt.ended_ms
            && !history.is_disturbed(from_ms, attempt.ended_ms, disturbs)
    });
    lives.count()
}
