//! The command line of `reedsail`, pinned: help texts, faults of use, exit codes.

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
fn help_texts_keep_their_form() {
    insta::assert_snapshot!("help", run(&["--help"]));
    for command in ["bundle", "fleet", "timeline", "requests", "keys"] {
        insta::assert_snapshot!(format!("help_{command}"), run(&[command, "--help"]));
    }
}

#[test]
fn requests_are_counted_and_followed() {
    let log = "tests/recorded/router.log";
    insta::assert_snapshot!("requests", run(&["requests", log]));
    insta::assert_snapshot!("requests_one", run(&["requests", log, "--request", "id-2"]));
    insta::assert_snapshot!("requests_unknown", run(&["requests", log, "--request", "id-9"]));
    insta::assert_snapshot!("requests_without_lines", run(&["requests", "Cargo.toml"]));
}

#[test]
fn workspaces_that_get_too_little_come_first() {
    insta::assert_snapshot!("shares", run(&["requests", "tests/recorded/shares.log"]));
}

#[test]
fn wrong_use_and_unreachable_daemons_keep_their_exit_codes() {
    insta::assert_snapshot!("unknown_command", run(&["colour"]));
    insta::assert_snapshot!("missing_file", run(&["bundle", "check", "no-such-file.yaml"]));
    // Port 1 is never listened on.
    let status = Command::new(env!("CARGO_BIN_EXE_reedsail"))
        .args(["fleet", "status", "--daemon", "127.0.0.1:1"])
        .status()
        .unwrap();
    assert_eq!(status.code(), Some(4));
}
