//! Tests that the checker detects a violation of each promise.

use reedsail_bench::CallerRecord;
use reedsail_bench::Outcome;
use reedsail_bench::PromiseCheck;
use reedsail_bench::ReplayRecord;
use reedsail_bench::Sample;
use reedsail_bench::check_promises;
use reedsail_events::Event;
use reedsail_events::EventKind;
use reedsail_standin::PlainRun;

fn event(kind: EventKind, unix_ms: u64, fields: &[(&str, &str)]) -> Event {
    Event {
        clock: unix_ms,
        unix_ms,
        instance: "hall-a-1".to_owned(),
        number: kind.number(),
        name: kind.name().to_owned(),
        fields: fields
            .iter()
            .map(|(key, value)| ((*key).to_owned(), (*value).to_owned()))
            .collect(),
    }
}

fn caller(id: &str, outcome: Outcome) -> CallerRecord {
    CallerRecord {
        request_id: id.to_owned(),
        outcome,
        excused: false,
    }
}

fn not_run() -> Outcome {
    Outcome::Failed {
        kind: "queue_full".to_owned(),
        ran: "not_run".to_owned(),
    }
}

fn deposit(id: &str, key: &str) -> PlainRun {
    PlainRun {
        request_id: id.to_owned(),
        idempotency_key: key.to_owned(),
        call: "POST /booking/deposits/confirm".to_owned(),
    }
}

fn sample(at_ms: f64, tokens: u64) -> Sample {
    Sample {
        at_ms,
        tokens: [("labska".to_owned(), tokens)].into(),
        queued: [("labska".to_owned(), 3)].into(),
        busy_slot_ms: 0.0,
        slots: 1,
        control_bytes: std::collections::BTreeMap::new(),
    }
}

/// Returns a record in which every promise holds.
fn valid_record() -> ReplayRecord {
    let mut record = ReplayRecord {
        callers: vec![caller("1", Outcome::Answered), caller("2", not_run())],
        plain_runs: vec![deposit("1", "key-1")],
        events: vec![
            event(EventKind::BundleInForce, 1, &[("version", "1")]),
            event(EventKind::BundleInForce, 2, &[("version", "2")]),
            event(EventKind::RequestDispatched, 5_000, &[("server", "booking-1")]),
        ],
        leaving: vec![("booking-1".to_owned(), 4_000)],
        samples: vec![sample(0.0, 0), sample(4_000.0, 10), sample(8_000.0, 20)],
        gap_bound_s: Some(2.0),
        in_force_ms: vec![20],
        in_force_bound_ms: 2_000,
        stop_cut_nothing: true,
        ..ReplayRecord::default()
    };
    record.fairness.gap_s = 1.0;
    record
}

fn broken_promises(record: &ReplayRecord) -> Vec<String> {
    let checks = check_promises(record);
    let failed = checks.into_iter().filter(|check: &PromiseCheck| !check.holds);
    failed.map(|check| check.promise).collect()
}

fn assert_breaks(violate: impl FnOnce(&mut ReplayRecord), promise: &str) {
    let mut record = valid_record();
    violate(&mut record);
    let found = broken_promises(&record);
    assert_eq!(found.len(), 1, "{found:?}");
    assert!(found[0].contains(promise), "{found:?}");
}

#[test]
fn a_valid_record_keeps_all_eight_promises() {
    let checks = check_promises(&valid_record());
    assert_eq!(checks.len(), 8);
    assert_eq!(broken_promises(&valid_record()), Vec::<String>::new());
}

#[test]
fn a_fairness_gap_above_the_bound_is_detected() {
    assert_breaks(
        |record| record.fairness.gap_s = 2.1,
        "gap in service stays bounded",
    );
}

#[test]
fn a_starved_workspace_is_detected() {
    assert_breaks(
        |record| record.samples = vec![sample(0.0, 5), sample(3_000.0, 5), sample(5_100.0, 5)],
        "no workspace starves",
    );
}

#[test]
fn a_crossed_answer_is_detected() {
    assert_breaks(
        |record| record.callers[0].outcome = Outcome::Crossed,
        "whole answer",
    );
}

#[test]
fn a_lost_answer_is_detected() {
    let lost = Outcome::Lost("no answer".to_owned());
    assert_breaks(|record| record.callers[0].outcome = lost, "whole answer");
}

#[test]
fn a_rejected_request_that_ran_on_a_plain_server_is_detected() {
    assert_breaks(
        |record| record.plain_runs.push(deposit("2", "key-2")),
        "did not run",
    );
}

#[test]
fn a_rejected_request_that_ran_on_an_engine_is_detected() {
    assert_breaks(
        |record| {
            record.engine_requests.insert("2".to_owned(), 1);
        },
        "did not run",
    );
}

#[test]
fn a_key_that_ran_twice_is_detected() {
    assert_breaks(
        |record| record.plain_runs.push(deposit("3", "key-1")),
        "at most once",
    );
}

#[test]
fn a_request_without_a_key_that_ran_twice_is_detected() {
    assert_breaks(
        |record| record.plain_runs.extend([deposit("3", ""), deposit("3", "")]),
        "at most once",
    );
}

#[test]
fn a_late_request_to_a_leaving_server_is_detected() {
    assert_breaks(
        |record| {
            let late = event(EventKind::RequestDispatched, 7_001, &[("server", "booking-1")]);
            record.events.push(late);
        },
        "leaving backend server",
    );
}

#[test]
fn a_request_cut_off_by_a_planned_stop_is_detected() {
    assert_breaks(|record| record.stop_cut_nothing = false, "planned stop");
}

#[test]
fn a_reverted_bundle_is_detected() {
    assert_breaks(
        |record| {
            let back = event(EventKind::BundleInForce, 3, &[("version", "1")]);
            record.events.push(back);
        },
        "never reverts",
    );
}

#[test]
fn a_slow_roll_out_is_detected() {
    assert_breaks(|record| record.in_force_ms.push(2_001), "in force everywhere");
}
