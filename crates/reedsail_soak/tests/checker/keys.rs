//! The checker finds callers that are admitted or refused against the versions without workspaces.

use reedsail_soak::CallKind;
use reedsail_soak::History;
use reedsail_soak::Outcome;
use reedsail_soak::VersionWrite;
use reedsail_soak::check;

use super::attempt;
use super::history;
use super::probe;
use super::repeated_attempts;
use super::run;
use super::violated_promises;
use super::write;

const REFUSED: Outcome = Outcome::Failed {
    status: 401,
    by_server: false,
};

/// Returns a history in which version 2, written at 8 s and probed at 9 s, has no workspaces.
fn emptied_history() -> History {
    let emptied = VersionWrite {
        without_workspaces: true,
        ..write(2, 8_000, 1)
    };
    History {
        writes: vec![write(1, 0, 1), emptied],
        probes: vec![probe(1, 1_000, 1), probe(1, 9_000, 2)],
        ..history()
    }
}

#[test]
fn a_request_that_runs_without_workspaces_is_found() {
    let mut history = emptied_history();
    history.attempts = vec![attempt("a", CallKind::Lookup, Outcome::Answered)];
    assert_eq!(violated_promises(&history), ["no key after it was taken away"]);
    history.attempts = vec![attempt("a", CallKind::Letter, Outcome::Cut { had_begun: false })];
    history.runs = vec![run("a", "server-1", 10_010)];
    let promises = violated_promises(&history);
    assert!(
        promises.contains(&"no key after it was taken away"),
        "{promises:?}"
    );
}

#[test]
fn a_refusal_without_workspaces_is_allowed_until_they_are_back() {
    let mut history = emptied_history();
    history.attempts = vec![attempt("a", CallKind::Lookup, REFUSED)];
    assert_eq!(check(&history), []);
    history.writes.push(write(3, 9_100, 1));
    assert_eq!(check(&history), [], "the instance may not know the version yet");
    history.probes.push(probe(1, 9_500, 3));
    assert_eq!(violated_promises(&history), ["no valid key refused"]);
}

#[test]
fn a_request_that_runs_once_workspaces_may_be_back_is_allowed() {
    let mut history = emptied_history();
    history.attempts = vec![attempt("a", CallKind::Lookup, Outcome::Answered)];
    history.runs = vec![run("a", "server-1", 10_010)];
    history.writes.push(write(3, 9_100, 1));
    assert_eq!(check(&history), []);
}

#[test]
fn only_refusals_while_the_table_may_be_empty_are_left_out_of_the_shares() {
    let mut history = emptied_history();
    let large = repeated_attempts("large", 40, 7_500, &Outcome::Answered);
    let small = repeated_attempts("small", 40, 7_500, &Outcome::Answered);
    let refused = repeated_attempts("small", 60, 9_500, &REFUSED);
    history.attempts = [large, small, refused].concat();
    assert_eq!(check(&history), []);
    history.writes.truncate(1);
    history.probes.truncate(1);
    assert!(violated_promises(&history).contains(&"each workspace its part"));
}
