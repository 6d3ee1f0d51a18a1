//! The checker finds a violation of each guarantee, and none in a clean history.

mod departures;
mod keys;
mod poison;

use reedsail_soak::Arrival;
use reedsail_soak::Attempt;
use reedsail_soak::CallKind;
use reedsail_soak::Exit;
use reedsail_soak::FaultSpan;
use reedsail_soak::History;
use reedsail_soak::Notice;
use reedsail_soak::NoticeKind;
use reedsail_soak::Outcome;
use reedsail_soak::Probe;
use reedsail_soak::Run;
use reedsail_soak::ServerLife;
use reedsail_soak::StreamPart;
use reedsail_soak::Target;
use reedsail_soak::VersionWrite;
use reedsail_soak::check;

fn attempt(id: &str, kind: CallKind, outcome: Outcome) -> Attempt {
    Attempt {
        id: id.to_owned(),
        kind,
        workspace: "large".to_owned(),
        key: 0,
        daemon: 0,
        began_ms: 10_000,
        ended_ms: 10_100,
        outcome,
        stream: None,
    }
}

fn run(id: &str, server: &str, began_ms: u64) -> Run {
    Run {
        id: id.to_owned(),
        server: server.to_owned(),
        workspace: Some("large".to_owned()),
        is_resumed: false,
        saw_key: false,
        began_ms,
    }
}

fn probe(life: u64, at_ms: u64, version: u64) -> Probe {
    Probe {
        daemon: 0,
        life,
        began_ms: at_ms,
        ended_ms: at_ms + 10,
        version,
    }
}

fn write(version: u64, at_ms: u64, key: u64) -> VersionWrite {
    VersionWrite {
        version,
        at_ms,
        key,
        without_workspaces: false,
    }
}

fn fault(target: Target, from_ms: u64, until_ms: u64) -> FaultSpan {
    FaultSpan {
        target,
        from_ms,
        until_ms,
    }
}

fn history() -> History {
    History {
        for_ms: 30_000,
        timeout_ms: 2_000,
        daemons: 2,
        attempts_max: 3,
        ..History::default()
    }
}

/// Returns the names of the guarantees that a history violates.
fn violated_promises(history: &History) -> Vec<&'static str> {
    check(history)
        .into_iter()
        .map(|violation| violation.promise)
        .collect()
}

/// Returns `count` attempts of a workspace, all with the same outcome.
fn repeated_attempts(workspace: &str, count: usize, began_ms: u64, outcome: &Outcome) -> Vec<Attempt> {
    (0..count)
        .map(|number| Attempt {
            workspace: workspace.to_owned(),
            began_ms,
            ended_ms: began_ms + 10,
            ..attempt(
                &format!("{workspace}-{number}"),
                CallKind::Lookup,
                outcome.clone(),
            )
        })
        .collect()
}

#[test]
fn a_clean_history_has_no_violation() {
    let mut history = history();
    for kind in CallKind::ALL {
        let id = format!("{kind:?}");
        history.attempts.push(attempt(&id, kind, Outcome::Answered));
        history.runs.push(run(&id, "server-1", 10_010));
    }
    history.writes.push(write(1, 0, 1));
    history.probes = vec![probe(1, 1_000, 1), probe(1, 9_000, 1)];
    assert_eq!(check(&history), []);
}

#[test]
fn a_second_run_of_a_non_idempotent_request_is_found() {
    let mut history = history();
    for kind in CallKind::ALL {
        let id = format!("{kind:?}");
        history.attempts.push(attempt(&id, kind, Outcome::Answered));
        history.runs.push(run(&id, "server-1", 10_010));
        history.runs.push(run(&id, "server-2", 10_020));
    }
    assert_eq!(violated_promises(&history), ["at most once", "at most once"]);
}

#[test]
fn more_runs_than_the_attempt_limit_are_found() {
    let mut history = history();
    history
        .attempts
        .push(attempt("a", CallKind::Lookup, Outcome::Answered));
    for number in 0..4 {
        history.runs.push(run("a", "server-1", 10_010 + number));
    }
    assert_eq!(violated_promises(&history), ["at most once"]);
}

#[test]
fn a_run_reported_as_not_run_is_found() {
    let mut history = history();
    let denied = Outcome::NotRun { status: 503 };
    history.attempts.push(attempt("a", CallKind::Lookup, denied));
    history.runs.push(run("a", "server-1", 10_010));
    assert_eq!(violated_promises(&history), ["not run is true"]);
}

#[test]
fn a_wrong_workspace_or_a_key_sent_to_a_server_is_found() {
    let mut history = history();
    history
        .attempts
        .push(attempt("a", CallKind::Lookup, Outcome::Answered));
    history
        .attempts
        .push(attempt("b", CallKind::Lookup, Outcome::Answered));
    history.runs.push(Run {
        workspace: Some("small".to_owned()),
        ..run("a", "server-1", 10_010)
    });
    history.runs.push(Run {
        saw_key: true,
        ..run("b", "server-1", 10_010)
    });
    assert_eq!(
        violated_promises(&history),
        ["own workspace, no key", "own workspace, no key"]
    );
}

#[test]
fn an_incomplete_answer_is_found() {
    let mut history = history();
    let wrong = Outcome::Wrong("10 bytes of 20".to_owned());
    history.attempts.push(attempt("a", CallKind::Lookup, wrong));
    assert_eq!(violated_promises(&history), ["whole and own answers"]);
}

#[test]
fn a_cut_or_silent_request_is_found_unless_its_instance_had_a_fault() {
    let cut = Outcome::Cut { had_begun: false };
    for (outcome, promise) in [
        (cut, "a final answer for each request"),
        (Outcome::Silent, "a final answer in time"),
    ] {
        let mut history = history();
        history
            .attempts
            .push(attempt("a", CallKind::Lookup, outcome.clone()));
        assert_eq!(violated_promises(&history), [promise]);
        // A fault of another instance or of a server excuses nothing.
        history.faults = vec![
            fault(Target::Daemon(1), 9_000, 11_000),
            fault(Target::Server(0), 9_000, 11_000),
        ];
        assert_eq!(violated_promises(&history), [promise]);
        history.faults.push(fault(Target::Daemon(0), 9_000, 10_050));
        assert_eq!(violated_promises(&history), [""; 0]);
    }
}

#[test]
fn a_truncated_answer_is_found_unless_a_server_had_a_fault() {
    let mut history = history();
    let cut = Outcome::Cut { had_begun: true };
    history.attempts.push(attempt("a", CallKind::Chat, cut));
    assert_eq!(violated_promises(&history), ["no answer breaks off"]);
    history.faults = vec![fault(Target::Stop(0), 9_000, 11_000)];
    assert_eq!(violated_promises(&history), ["planned work cuts nothing"]);
    history.faults.push(fault(Target::Server(0), 9_000, 10_050));
    assert_eq!(violated_promises(&history), [""; 0]);
}

#[test]
fn a_stream_cut_by_its_timeout_is_no_violation() {
    let mut history = history();
    let cut = Outcome::Cut { had_begun: true };
    let mut stream = attempt("a", CallKind::Chat, cut);
    stream.ended_ms = stream.began_ms + 1_500;
    history.attempts.push(stream);
    assert_eq!(violated_promises(&history), ["no answer breaks off"]);
    history.attempts[0].ended_ms += 500;
    assert_eq!(violated_promises(&history), [""; 0]);
}

#[test]
fn a_process_that_has_just_started_may_be_ended_by_the_signal() {
    let mut history = history();
    history.exits = vec![Exit {
        daemon: 0,
        started_ms: 4_900,
        asked_ms: 5_000,
        ended_ms: Some(5_000),
        code: None,
    }];
    assert_eq!(violated_promises(&history), [""; 0]);
    history.exits[0].started_ms = 1_000;
    assert_eq!(
        violated_promises(&history),
        ["a planned stop ends well and in time"]
    );
}

#[test]
fn a_stop_that_cuts_too_many_in_flight_requests_is_found() {
    let mut history = history();
    history.faults = vec![fault(Target::Stop(0), 9_000, 11_000)];
    history.exits = vec![Exit {
        daemon: 0,
        started_ms: 0,
        asked_ms: 9_000,
        ended_ms: Some(10_000),
        code: Some(0),
    }];
    let cut = Outcome::Cut { had_begun: false };
    history.attempts = repeated_attempts("large", 3, 9_990, &cut);
    assert_eq!(violated_promises(&history), [""; 0]);
    history.attempts = repeated_attempts("large", 4, 9_990, &cut);
    assert_eq!(violated_promises(&history), ["planned work cuts nothing"]);
    history.attempts = repeated_attempts("large", 4, 10_001, &cut);
    assert_eq!(violated_promises(&history), [""; 0]);
}

#[test]
fn a_version_that_goes_backwards_without_a_restart_is_found() {
    let mut history = history();
    history.probes = vec![probe(1, 1_000, 3), probe(1, 2_000, 2)];
    assert_eq!(violated_promises(&history), ["configuration never backwards"]);
    history.probes[1].life = 2;
    assert_eq!(violated_promises(&history), [""; 0]);
}

#[test]
fn a_late_version_is_found_unless_the_store_had_a_fault() {
    let mut history = history();
    history.writes = vec![write(1, 0, 1), write(2, 5_000, 1)];
    history.probes = vec![probe(1, 11_500, 1)];
    assert_eq!(violated_promises(&history), ["configuration in force in time"]);
    history.faults = vec![fault(Target::Store, 4_000, 6_000)];
    assert_eq!(violated_promises(&history), [""; 0]);
}

#[test]
fn an_accepted_revoked_key_is_found() {
    let mut history = history();
    history.writes = vec![write(1, 0, 1), write(2, 5_000, 2)];
    history.probes = vec![probe(1, 9_000, 2)];
    history.attempts = repeated_attempts("changing", 1, 10_000, &Outcome::Answered);
    history.attempts[0].key = 1;
    assert_eq!(violated_promises(&history), ["no key after it was taken away"]);
    history.attempts[0].key = 2;
    assert_eq!(violated_promises(&history), [""; 0]);
}

#[test]
fn a_refused_valid_key_is_found() {
    let mut history = history();
    history.writes = vec![write(1, 0, 1), write(2, 5_000, 2)];
    history.probes = vec![probe(1, 9_000, 2)];
    let refused = Outcome::Failed {
        status: 401,
        by_server: false,
    };
    history.attempts = repeated_attempts("changing", 1, 10_000, &refused);
    history.attempts[0].key = 2;
    assert_eq!(violated_promises(&history), ["no valid key refused"]);
    history.attempts[0].key = 1;
    assert_eq!(violated_promises(&history), [""; 0]);
}

#[test]
fn a_failed_or_late_stop_is_found() {
    let exit = |ended_ms, code| Exit {
        daemon: 0,
        started_ms: 0,
        asked_ms: 5_000,
        ended_ms,
        code,
    };
    for bad in [
        exit(Some(6_000), Some(1)),
        exit(Some(16_000), Some(0)),
        exit(None, None),
    ] {
        let mut history = history();
        history.exits = vec![bad];
        assert_eq!(
            violated_promises(&history),
            ["a planned stop ends well and in time"]
        );
    }
    let mut history = history();
    history.exits = vec![exit(Some(9_000), Some(0))];
    assert_eq!(violated_promises(&history), [""; 0]);
}

#[test]
fn an_instance_that_exited_by_itself_is_found() {
    let mut history = history();
    history.ended_by_themselves = vec![1];
    assert_eq!(
        violated_promises(&history),
        ["a daemon ends only when it is told to"]
    );
}

#[test]
fn a_starved_small_workspace_is_found() {
    let mut history = history();
    let refused = Outcome::NotRun { status: 429 };
    history.attempts = repeated_attempts("large", 100, 10_000, &Outcome::Answered);
    history
        .attempts
        .extend(repeated_attempts("small", 40, 10_000, &refused));
    assert_eq!(violated_promises(&history), ["each workspace its part"]);
}

#[test]
fn a_fleet_that_does_not_recover_is_found() {
    let mut history = history();
    let refused = Outcome::NotRun { status: 503 };
    history.attempts = repeated_attempts("small", 10, 28_000, &refused);
    assert_eq!(violated_promises(&history), ["well again in time"]);
    history.faults = vec![fault(Target::Daemon(0), 20_000, 26_000)];
    assert_eq!(violated_promises(&history), [""; 0]);
}

fn notice(id: &str, at_ms: u64, kind: NoticeKind) -> Notice {
    Notice {
        id: id.to_owned(),
        server: "server-1".to_owned(),
        at_ms,
        kind,
    }
}

/// Adds a request that a server runs, which begins `after_ms` after ten seconds.
fn add_run(history: &mut History, id: &str, instance: usize, after_ms: u64) {
    let began_ms = 10_000 + after_ms;
    let added = Attempt {
        daemon: instance,
        began_ms,
        ended_ms: began_ms + 50,
        ..attempt(id, CallKind::Lookup, Outcome::Answered)
    };
    history.attempts.push(added);
    history.runs.push(run(id, "server-1", began_ms + 10));
}

#[test]
fn a_request_for_a_draining_server_is_found() {
    let promise = "nothing for a server that said it drains";
    let mut history = history();
    add_run(&mut history, "told", 0, 0);
    history.notices.push(notice("told", 10_040, NoticeKind::Draining));
    add_run(&mut history, "soon", 0, 1_900);
    add_run(&mut history, "elsewhere", 1, 3_000);
    assert_eq!(violated_promises(&history), Vec::<&str>::new());
    add_run(&mut history, "late", 0, 2_100);
    assert_eq!(violated_promises(&history), [promise]);
    history.faults.push(fault(Target::Daemon(0), 11_000, 11_500));
    assert_eq!(violated_promises(&history), Vec::<&str>::new());
}

#[test]
fn requests_for_a_server_that_asked_for_backoff_are_found() {
    let promise = "time for a server that asked for it";
    let mut history = history();
    let notified = Attempt {
        ended_ms: 10_020,
        ..attempt("told", CallKind::Lookup, Outcome::NotRun { status: 503 })
    };
    history.attempts.push(notified);
    history
        .notices
        .push(notice("told", 10_010, NoticeKind::Backoff(3_000)));
    for (number, after_ms) in [100, 400, 600, 2_000, 3_100].into_iter().enumerate() {
        add_run(&mut history, &format!("allowed-{number}"), 0, after_ms);
    }
    add_run(&mut history, "elsewhere", 1, 2_500);
    assert_eq!(violated_promises(&history), Vec::<&str>::new());
    add_run(&mut history, "third", 0, 2_500);
    assert_eq!(violated_promises(&history), [promise]);
    history.faults.push(fault(Target::Server(1), 9_000, 11_500));
    assert_eq!(violated_promises(&history), Vec::<&str>::new());
}

/// Returns an attempt of a stream, which continues after an event and brings events of some versions.
fn stream_attempt(number: usize, first_attempt: &str, after_event: u32, versions: &[&str]) -> Attempt {
    let outcome = if versions.is_empty() {
        Outcome::NotRun { status: 503 }
    } else {
        Outcome::Answered
    };
    Attempt {
        stream: Some(StreamPart {
            first_attempt: first_attempt.to_owned(),
            after_event,
            versions: versions.iter().map(ToString::to_string).collect(),
        }),
        ..attempt(&format!("stream-{number}"), CallKind::Chat, outcome)
    }
}

#[test]
fn a_stream_of_two_versions_is_found_within_an_answer_and_over_attempts() {
    let mut history = history();
    history.attempts = vec![
        stream_attempt(1, "stream-1", 0, &["v1"]),
        stream_attempt(2, "stream-1", 4, &["v1"]),
        stream_attempt(3, "stream-3", 0, &["v2"]),
    ];
    assert_eq!(check(&history), []);
    history.attempts.push(stream_attempt(4, "stream-3", 4, &["v1"]));
    history
        .attempts
        .push(stream_attempt(5, "stream-5", 0, &["v1", "v2"]));
    let promise = "one software version a stream";
    assert_eq!(violated_promises(&history), [promise, promise]);
}

/// Returns a history in which `continued` of 20 streams of `v1` are continued while new ones begin, and `servers`
/// servers of their version serve.
fn continued_streams(continued: usize, servers: usize) -> History {
    let mut history = history();
    for number in 0..20 {
        let first = format!("stream-{number}");
        history.attempts.push(stream_attempt(number, &first, 0, &["v1"]));
        let versions: &[&str] = if number < continued { &["v1"] } else { &[] };
        history
            .attempts
            .push(stream_attempt(100 + number, &first, 4, versions));
    }
    history.lives = (0..servers).map(engine_life).collect();
    history
}

fn engine_life(server: usize) -> ServerLife {
    ServerLife {
        is_engine: true,
        server,
        id: format!("server-{server}"),
        version: "v1".to_owned(),
        from_ms: 1_000,
        until_ms: u64::MAX,
    }
}

#[test]
fn streams_that_are_not_continued_are_found_while_two_servers_of_their_version_serve() {
    assert_eq!(check(&continued_streams(10, 2)), []);
    assert_eq!(
        violated_promises(&continued_streams(9, 2)),
        ["streams are continued"]
    );
    assert_eq!(check(&continued_streams(0, 1)), []);
    let mut disturbed = continued_streams(0, 2);
    disturbed.faults.push(fault(Target::Server(0), 9_000, 9_500));
    assert_eq!(check(&disturbed), []);
}

#[test]
fn retries_beyond_the_budget_of_the_fleet_are_found() {
    // One arrival beyond the first for each request, 25 within a window: 0.1 for each of them and 20 are allowed.
    let arrivals = |count: u64, interval_ms: u64| {
        let mut history = History::default();
        for number in 0..count {
            let id = format!("chat-{number}");
            let at_ms = 10_000 + number * interval_ms;
            history.attempts.push(Attempt {
                began_ms: at_ms,
                ..attempt(&id, CallKind::Chat, Outcome::Answered)
            });
            for arrival_ms in [at_ms, at_ms + 5] {
                history.arrivals.push(Arrival {
                    id: id.clone(),
                    is_engine: true,
                    at_ms: arrival_ms,
                });
            }
        }
        history
    };
    let promises = |history: &History| -> Vec<&str> {
        let found = check(history).into_iter();
        found.map(|violation| violation.promise).collect()
    };
    assert_eq!(promises(&arrivals(25, 100)), ["retries within the budget"]);
    assert!(promises(&arrivals(22, 100)).is_empty());
    assert!(promises(&arrivals(25, 500)).is_empty());
}
