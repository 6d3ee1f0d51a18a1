//! Requests for servers that have left.

use reedsail_soak::CallKind;
use reedsail_soak::Departure;
use reedsail_soak::Outcome;
use reedsail_soak::Target;

use super::attempt;
use super::fault;
use super::history;
use super::run;
use super::violated_promises;

#[test]
fn a_request_for_a_server_that_left_is_found() {
    let mut history = history();
    history.departures = vec![Departure {
        server: "server-1".to_owned(),
        at_ms: 4_000,
        due_ms: 9_000,
    }];
    history.runs = vec![run("a", "server-1", 8_900)];
    assert_eq!(violated_promises(&history), [""; 0]);
    history.runs.push(run("b", "server-1", 9_100));
    assert_eq!(
        violated_promises(&history),
        ["nothing new for a server that left"]
    );
    history.faults = vec![fault(Target::StoreLink(1), 3_000, 9_000)];
    assert_eq!(violated_promises(&history), [""; 0]);
}

/// Late answers of the store excuse the instance that gets them, not the others.
#[test]
fn a_request_for_a_server_that_left_is_found_on_the_instances_without_late_answers() {
    let mut history = history();
    history.departures = vec![Departure {
        server: "server-1".to_owned(),
        at_ms: 4_000,
        due_ms: 6_000,
    }];
    history.attempts = vec![attempt("a", CallKind::Lookup, Outcome::Answered)];
    history.runs = vec![run("a", "server-1", 6_100)];
    history.faults = vec![fault(Target::LateStoreAnswers(0), 3_900, 4_600)];
    let lost = "nothing new for a server that left";
    assert!(!violated_promises(&history).contains(&lost));
    history.faults = vec![fault(Target::LateStoreAnswers(1), 3_900, 4_600)];
    assert!(violated_promises(&history).contains(&lost));
    history.runs = vec![run("a", "server-1", 7_700)];
    history.faults = vec![fault(Target::LateStoreAnswers(0), 3_900, 4_600)];
    assert!(violated_promises(&history).contains(&lost));
}
