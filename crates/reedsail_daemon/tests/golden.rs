//! Compares the output and the exit codes of the `reedsaild` command line with snapshots.

use std::process::Command;

fn run(arguments: &[&str]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_reedsaild"))
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
fn the_command_line_keeps_its_form() {
    insta::assert_snapshot!("help", run(&["--help"]));
    insta::assert_snapshot!("no_settings", run(&[]));
    insta::assert_snapshot!("missing_file", run(&["--config", "no-such-file.yaml", "--check"]));
}
