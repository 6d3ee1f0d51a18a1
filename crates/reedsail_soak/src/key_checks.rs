//! Checks that each instance admits callers by the keys of its version in force.

use std::collections::HashSet;

use crate::Attempt;
use crate::History;
use crate::Outcome;
use crate::Target;
use crate::VersionWrite;
use crate::Violation;
use crate::checker::IN_FORCE_WITHIN_MS;
use crate::checker::describe_attempt;
use crate::layout::CHANGING_WORKSPACE;

/// The status of a refusal of an unknown key.
const UNKNOWN_KEY_STATUS: u16 = 401;

/// Checks that an instance runs no request whose key is in none of the versions that it may have in force, and refuses none
/// whose key is in all of them.
pub(crate) fn check_keys(history: &History, found: &mut Vec<Violation>) {
    let run: HashSet<&str> = history.runs.iter().map(|run| run.id.as_str()).collect();
    for attempt in &history.attempts {
        let Some(probed_version) = probed_version(history, attempt) else {
            continue;
        };
        let mut possible = history
            .writes
            .iter()
            .filter(|write| write.version >= probed_version && write.at_ms <= attempt.ended_ms)
            .peekable();
        if possible.peek().is_none() {
            continue;
        }
        let (valid, invalid): (Vec<_>, Vec<_>) = possible.partition(|write| admits(write, attempt));
        let has_run = run.contains(attempt.id.as_str()) || attempt.outcome == Outcome::Answered;
        if valid.is_empty() && has_run {
            let what = format!(
                "{}: key {} is not in version {probed_version}, nor in a later one",
                describe_attempt(attempt),
                attempt.key
            );
            found.push(Violation::new("no key after it was taken away", what));
        }
        if invalid.is_empty() && is_refused(attempt) {
            found.push(Violation::new("no valid key refused", describe_attempt(attempt)));
        }
    }
}

/// Returns whether an attempt was refused while its instance may have had a version without workspaces in force.
pub(crate) fn was_refused_without_workspaces(history: &History, attempt: &Attempt) -> bool {
    let ended_ms = |write: &VersionWrite| {
        let next = history.writes.iter().find(|next| next.version > write.version);
        next.map_or(u64::MAX, |next| next.at_ms + IN_FORCE_WITHIN_MS)
    };
    let mut writes = history.writes.iter().filter(|write| write.without_workspaces);
    is_refused(attempt)
        && writes.any(|write| write.at_ms <= attempt.ended_ms && attempt.began_ms <= ended_ms(write))
}

/// Returns the version that the last probe before an attempt found on its instance, which has not started again since.
fn probed_version(history: &History, attempt: &Attempt) -> Option<u64> {
    let mut probes = history.probes.iter().rev();
    let before = probes.find(|probe| probe.daemon == attempt.daemon && probe.ended_ms <= attempt.began_ms)?;
    let is_restart =
        |target| target == Target::Daemon(attempt.daemon) || target == Target::Stop(attempt.daemon);
    let is_same_life = !history.is_disturbed(before.began_ms, attempt.ended_ms, is_restart);
    is_same_life.then_some(before.version)
}

fn admits(write: &VersionWrite, attempt: &Attempt) -> bool {
    let is_newest_key = attempt.workspace != CHANGING_WORKSPACE || attempt.key == write.key;
    is_newest_key && !write.without_workspaces
}

fn is_refused(attempt: &Attempt) -> bool {
    matches!(
        attempt.outcome,
        Outcome::Failed {
            status: UNKNOWN_KEY_STATUS,
            ..
        }
    )
}
