//! Pins the outward names: error kinds with their statuses, events with their numbers, and the names
//! of `reedsaild`'s metrics.

use std::fmt::Write;

use reedsail_core::ErrorKind;
use reedsail_events::EventKind;

#[test]
fn error_kinds_keep_their_names_and_statuses() {
    let mut rows = String::new();
    for kind in ErrorKind::ALL {
        let (name, status, ran) = (kind.name(), kind.status(), kind.ran().as_str());
        writeln!(rows, "{name} {status} {ran} {:?}", kind.retry_after_ms()).unwrap();
    }
    insta::assert_snapshot!("error_kinds", rows);
}

#[test]
fn events_keep_their_numbers_and_names() {
    let mut rows = String::new();
    for kind in EventKind::ALL {
        writeln!(rows, "{} {} {}", kind.number(), kind.name(), kind.level()).unwrap();
    }
    insta::assert_snapshot!("events", rows);
}

/// Each metric is declared with string literals: a name, a help text and label names. Only help texts
/// contain spaces.
#[test]
fn metrics_of_the_daemon_keep_their_names_and_labels() {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/../reedsail_daemon/src/metrics.rs");
    let code = std::fs::read_to_string(file).unwrap();
    let literals = code.split('"').skip(1).step_by(2);
    let names: Vec<&str> = literals.filter(|text| !text.contains([' ', '\n'])).collect();
    insta::assert_snapshot!("daemon_metrics", names.join("\n"));
}
