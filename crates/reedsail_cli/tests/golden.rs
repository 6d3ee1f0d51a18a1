//! Snapshot tests of the help texts, usage errors and exit codes of `reedsail`.

use std::process::Command;

fn run(arguments: &[&str]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_reedsail"))
        .args(arguments)
        .output()
        .unwrap();
    format!(
        "exit code {:?}\n-- standard output\n{}-- standard error\n{}",
        output.status.code(),
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr)
    )
}

#[test]
fn help_texts_match_snapshots() {
    insta::assert_snapshot!("help", run(&["--help"]));
    for command in ["bundle", "fleet", "timeline", "requests", "keys"] {
        insta::assert_snapshot!(format!("help_{command}"), run(&[command, "--help"]));
    }
}

#[test]
fn requests_are_counted_and_printed_by_id() {
    let log = "tests/recorded/router.log";
    insta::assert_snapshot!("requests", run(&["requests", log]));
    insta::assert_snapshot!("requests_one", run(&["requests", log, "--request", "id-2"]));
    insta::assert_snapshot!("requests_unknown", run(&["requests", log, "--request", "id-9"]));
    insta::assert_snapshot!("requests_without_lines", run(&["requests", "Cargo.toml"]));
}

#[test]
fn a_stream_is_followed_over_its_attempts_from_any_of_them() {
    let log = "tests/recorded/streams.log";
    let of_first = run(&["requests", log, "--request", "first"]);
    insta::assert_snapshot!("requests_stream", of_first);
    for attempt in ["second", "third"] {
        assert_eq!(run(&["requests", log, "--request", attempt]), of_first);
    }
}

#[test]
fn workspaces_below_their_share_are_listed_first() {
    insta::assert_snapshot!("shares", run(&["requests", "tests/recorded/shares.log"]));
}

#[test]
fn late_answers_are_split_by_cause() {
    insta::assert_snapshot!("lateness", run(&["requests", "tests/recorded/lateness.log"]));
}

#[test]
fn invalid_usage_and_unreachable_instances_keep_their_exit_codes() {
    insta::assert_snapshot!("unknown_command", run(&["colour"]));
    insta::assert_snapshot!("missing_file", run(&["bundle", "check", "no-such-file.yaml"]));
    // No process listens on port 1.
    let status = Command::new(env!("CARGO_BIN_EXE_reedsail"))
        .args(["fleet", "status", "--daemon", "127.0.0.1:1"])
        .status()
        .unwrap();
    assert_eq!(status.code(), Some(4));
}
