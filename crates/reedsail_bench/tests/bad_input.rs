//! Tests that each kind of invalid input yields its own error kind, and that the instance still serves
//! requests afterwards.

mod common;

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use reedsail_core::ErrorKind;
use uuid::Uuid;

use common::chat_body;
use common::new_key;
use common::request;
use common::run;
use common::send;
use common::wait_for_version;

#[test]
fn each_invalid_request_gets_its_own_error_kind() {
    run(async {
        let fleet = common::tuned_fleet(1, 1, |settings| settings.limits.body_bytes_max = 4_096).await;
        let address = fleet.callers["hall-a-1"];
        let chat = "/v1/chat/completions";
        let deposit = "/booking/deposits/confirm";
        let old_key = Uuid::new_v7(uuid::Timestamp::from_unix(uuid::NoContext, 1_000_000, 0)).to_string();
        let far_key =
            Uuid::new_v7(uuid::Timestamp::from_unix(uuid::NoContext, 100_000_000_000, 0)).to_string();
        let empty = Full::<Bytes>::default;
        let good = || chat_body("hut-writer", "hello", 3, true);
        let requests = [
            (
                ErrorKind::UnknownKey,
                request("POST", chat, "nobody").body(good()),
            ),
            (
                ErrorKind::UnknownRoute,
                request("GET", "/elsewhere", "labska").body(empty()),
            ),
            (
                ErrorKind::MethodNotAllowed,
                request("GET", chat, "labska").body(empty()),
            ),
            (
                ErrorKind::UnknownModel,
                request("POST", chat, "labska").body(chat_body("other", "hello", 3, true)),
            ),
            (
                ErrorKind::BadJson,
                request("POST", chat, "labska").body(Full::new(Bytes::from("{\"model\": "))),
            ),
            (
                ErrorKind::BadJson,
                request("POST", chat, "labska").body(Full::new(Bytes::from("{}"))),
            ),
            (
                ErrorKind::BodyTooLarge,
                request("POST", chat, "labska").body(Full::new(Bytes::from(vec![b'x'; 5_000]))),
            ),
            (
                ErrorKind::HeaderTooLarge,
                request("POST", chat, "labska")
                    .header("x-long", "x".repeat(17 << 10))
                    .body(good()),
            ),
            (
                ErrorKind::BadHeader,
                request("POST", chat, "labska")
                    .header("reedsail-class", "urgent")
                    .body(good()),
            ),
            (
                ErrorKind::BadHeader,
                request("POST", chat, "labska")
                    .header("reedsail-deadline-ms", "soon")
                    .body(good()),
            ),
            (
                ErrorKind::KeyRequired,
                request("POST", deposit, "labska").body(empty()),
            ),
            (
                ErrorKind::KeyMalformed,
                request("POST", deposit, "labska")
                    .header("idempotency-key", "abc")
                    .body(empty()),
            ),
            (
                ErrorKind::KeyMalformed,
                request("POST", deposit, "labska")
                    .header("idempotency-key", Uuid::new_v4().to_string())
                    .body(empty()),
            ),
            (
                ErrorKind::KeyExpired,
                request("POST", deposit, "labska")
                    .header("idempotency-key", old_key)
                    .body(empty()),
            ),
            (
                ErrorKind::KeyFromFuture,
                request("POST", deposit, "labska")
                    .header("idempotency-key", far_key)
                    .body(empty()),
            ),
        ];
        for (kind, bad) in requests {
            let answer = send(address, bad.unwrap()).await;
            assert_eq!(answer.kind(), kind.name());
            assert_eq!(answer.status.as_u16(), kind.status(), "{}", kind.name());
            assert_eq!(answer.header("reedsail-ran"), "not_run", "{}", kind.name());
            let served = send(address, request("POST", chat, "labska").body(good()).unwrap()).await;
            assert_eq!(served.status.as_u16(), 200, "after {}", kind.name());
        }
        for plain in fleet.plains.values() {
            assert!(plain.runs().is_empty(), "no rejected request has run");
        }
        fleet.close().await;
    });
}

#[test]
fn a_rate_limit_and_a_full_queue_return_retry_after() {
    run(async {
        let mut fleet = common::small_fleet(1, 1).await;
        let text = fleet
            .bundle_text()
            .replace("version: 1", "version: 2")
            .replacen("{queued_max: 20000}", "{requests_per_s: 1}", 1)
            .replacen("{queued_max: 20000}", "{queued_max: 1, running_max: 1}", 1);
        fleet.publish_text(&text).await.unwrap();
        wait_for_version(&fleet, 2, 5_000).await;
        let address = fleet.callers["hall-a-1"];
        let beds = |workspace: &str| {
            let empty = Full::<Bytes>::default();
            request("GET", "/booking/beds", workspace).body(empty).unwrap()
        };
        assert_eq!(send(address, beds("labska")).await.status.as_u16(), 200);
        let limited = send(address, beds("labska")).await;
        assert_eq!(limited.kind(), "rate_limited");
        assert_eq!(limited.header("retry-after"), "1");
        let chat = || {
            let body = chat_body("hut-writer", "hello", 200, false);
            request("POST", "/v1/chat/completions", "lucni")
                .body(body)
                .unwrap()
        };
        let running = tokio::spawn(send(address, chat()));
        tokio::time::sleep(Duration::from_millis(100)).await;
        let waiting = tokio::spawn(send(address, chat()));
        tokio::time::sleep(Duration::from_millis(100)).await;
        let refused = send(address, chat()).await;
        assert_eq!(refused.kind(), "queue_full");
        assert_eq!(refused.header("reedsail-ran"), "not_run");
        assert!(!refused.header("retry-after").is_empty());
        assert_eq!(running.await.unwrap().status.as_u16(), 200);
        assert_eq!(waiting.await.unwrap().status.as_u16(), 200);
        fleet.close().await;
    });
}

#[test]
fn an_inapplicable_bundle_leaves_the_previous_one_in_force() {
    run(async {
        let mut fleet = common::small_fleet(1, 1).await;
        let text = fleet.bundle_text().replace("version: 1", "version: 2");
        let negative = text.replacen("weight: 1", "weight: -1", 1);
        fleet.publish_text(&negative).await.unwrap();
        let address = fleet.callers["hall-a-1"];
        let find_not_applied_event = |fleet: &reedsail_bench::Fleet| {
            let events = fleet.events();
            events
                .into_iter()
                .find(|event| event.name == "bundle_not_applied")
        };
        let mut reported = None;
        for _ in 0..100 {
            tokio::time::sleep(Duration::from_millis(20)).await;
            reported = find_not_applied_event(&fleet);
            if reported.is_some() {
                break;
            }
        }
        let reported = reported.expect("the instance reports an event");
        assert!(
            reported.fields["error"].contains("`-1` must be a number"),
            "{reported:?}"
        );
        let key = new_key();
        let deposit = request("POST", "/booking/deposits/confirm", "labska").header("idempotency-key", key);
        assert_eq!(
            send(address, deposit.body(Full::default()).unwrap())
                .await
                .status
                .as_u16(),
            200
        );
        assert_eq!(fleet.daemons["hall-a-1"].bundle_version(), 1);
        // The operators publish a valid next version.
        fleet
            .publish_text(&text.replace("version: 2", "version: 3"))
            .await
            .unwrap();
        wait_for_version(&fleet, 3, 5_000).await;
        fleet.close().await;
    });
}
