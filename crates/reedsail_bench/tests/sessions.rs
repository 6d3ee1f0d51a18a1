//! Snapshots of sessions: the answers that the caller receives, and the timeline.

mod common;

use std::fmt::Write as _;
use std::time::Duration;

use http_body_util::Full;
use reedsail_bench::Fleet;

use common::chat_body;
use common::new_key;
use common::request;
use common::run;
use common::send;
use common::wait_for_version;

/// Formats a session: the answers in order, then the events. Masks values that differ between runs.
fn golden(fleet: &Fleet, answers: &[common::Answer]) -> String {
    let mut text = String::new();
    for answer in answers {
        let ran = answer.header("reedsail-ran");
        let body = String::from_utf8_lossy(&answer.body);
        let _ = writeln!(text, "{} ran={ran}\n{body}\n", answer.status);
    }
    for event in fleet.events() {
        let about: Vec<String> = event
            .fields
            .iter()
            .map(|(key, value)| match key.as_str() {
                "request" => "request=ID".to_owned(),
                "digest" => "digest=DIGEST".to_owned(),
                "sources" => "sources=SOURCES".to_owned(),
                _ => format!("{key}={value}"),
            })
            .collect();
        let _ = writeln!(text, "{} {} {}", event.instance, event.name, about.join(" "));
    }
    mask_ids(&text)
}

/// Masks request ids, because they contain a random number of the instance's start.
fn mask_ids(text: &str) -> String {
    let mut masked = String::new();
    for part in text.split_inclusive('"') {
        if part.starts_with("hall-a-1-") {
            masked.push_str("ID\"");
        } else {
            masked.push_str(part);
        }
    }
    masked
}

#[test]
fn an_ordinary_stream() {
    run(async {
        let fleet = common::small_fleet(1, 1).await;
        let body = chat_body("hut-writer", "house rules of Labska", 4, true);
        let chat = request("POST", "/v1/chat/completions", "labska")
            .body(body)
            .unwrap();
        let answer = send(fleet.callers["hall-a-1"], chat).await;
        insta::assert_snapshot!(golden(&fleet, &[answer]));
        fleet.close().await;
    });
}

#[test]
fn a_deposit_confirmed_twice_runs_once() {
    run(async {
        let fleet = common::small_fleet(1, 1).await;
        let key = new_key();
        let deposit = || {
            request("POST", "/booking/deposits/confirm", "labska")
                .header("idempotency-key", &key)
                .body(Full::default())
                .unwrap()
        };
        let first = send(fleet.callers["hall-a-1"], deposit()).await;
        tokio::time::sleep(Duration::from_millis(300)).await;
        let second = send(fleet.callers["hall-a-1"], deposit()).await;
        let runs: usize = fleet.plains.values().map(|plain| plain.runs().len()).sum();
        assert_eq!(runs, 1);
        insta::assert_snapshot!(golden(&fleet, &[first, second]));
        fleet.close().await;
    });
}

/// Waits until an instance has reported an event, so that later events follow it in the snapshot.
async fn wait_for_event(fleet: &Fleet, name: &str) {
    for _ in 0..1_000 {
        if fleet.events().iter().any(|event| event.name == name) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("no event `{name}` within the timeout");
}

#[test]
fn a_refusal_that_did_not_run() {
    run(async {
        let fleet = common::small_fleet(1, 1).await;
        fleet.platform.set_faults(|faults| faults.outage = true);
        wait_for_event(&fleet, "platform_lost").await;
        let deposit =
            request("POST", "/booking/deposits/confirm", "labska").header("idempotency-key", new_key());
        let refused = send(fleet.callers["hall-a-1"], deposit.body(Full::default()).unwrap()).await;
        let beds = request("GET", "/booking/beds", "labska")
            .body(Full::default())
            .unwrap();
        let served = send(fleet.callers["hall-a-1"], beds).await;
        assert!(
            fleet.plains.values().all(|plain| plain.runs().len() == 1),
            "only the call without a key runs"
        );
        insta::assert_snapshot!(golden(&fleet, &[refused, served]));
        fleet.close().await;
    });
}

#[test]
fn a_race_of_two_bundles() {
    run(async {
        let mut fleet = common::small_fleet(1, 1).await;
        fleet.publish_rivals().await.unwrap();
        wait_for_version(&fleet, 2, 5_000).await;
        wait_for_event(&fleet, "bundle_stale").await;
        insta::assert_snapshot!(golden(&fleet, &[]));
        fleet.close().await;
    });
}
