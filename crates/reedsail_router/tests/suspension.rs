//! Guards against deadlines that a suspension of the machine extends. The monotonic clock stops during a suspension,
//! while time goes on for callers and servers.

mod common;

use hyper::StatusCode;
use reedsail_net::Clock;
use reedsail_net::SimulatedSuspension;
use reedsail_standin::RoutedAnswer;
use tokio::time::timeout;

use common::Reply;
use common::RouterFixture;
use common::WAIT_TIMEOUT;
use common::ask;
use common::wait_for;

const ANSWER: RoutedAnswer = RoutedAnswer::Whole {
    status: 200,
    bytes: 10,
};
/// Longer than a test waits, so that only a clock that counts suspended time reaches a deadline this far away.
const SUSPENSION_MS: u64 = 120_000;

async fn fixture() -> (RouterFixture, &'static SimulatedSuspension) {
    let suspension: &SimulatedSuspension = Box::leak(Box::default());
    let clock = Clock::with_simulated_suspension(suspension);
    (RouterFixture::start_at(clock, |_| {}).await, suspension)
}

/// Sets the time-out of all routes.
async fn set_timeouts(fixture: &RouterFixture, timeout_ms: u64) {
    fixture.store.configuration.send_modify(|published| {
        let published = published.as_mut().unwrap();
        published.version = 2;
        for route in &mut published.routes {
            route.timeout_ms = timeout_ms;
        }
    });
    wait_for("version 2", async || fixture.router.configuration_version() == 2).await;
}

#[tokio::test]
async fn a_server_gets_at_most_the_time_left_until_the_callers_deadline() {
    let (fixture, suspension) = fixture().await;
    let second = fixture.add_server("app-2", "app").await;
    for server in [&fixture.app, &second] {
        server.answer_with(&[RoutedAnswer::Silent]);
    }
    let callers = fixture.callers();
    let asking = tokio::spawn(async move { ask(callers, "/again/", &[]).await });
    wait_for("run", async || {
        fixture.app.runs().len() + second.runs().len() == 1
    })
    .await;
    suspension.suspend(5_000);
    let (first, other) = if second.runs().is_empty() {
        (&fixture.app, &second)
    } else {
        (&second, &fixture.app)
    };
    other.answer_with(&[ANSWER]);
    first.crash();
    assert_eq!(asking.await.unwrap().body.len(), 10);
    let left_ms: u64 = other.runs()[0].header("reedsail-deadline-ms").parse().unwrap();
    assert!(left_ms <= 3_000, "{left_ms} ms left of 8,000 ms");
}

/// Sends a request to a server that never ends its answer, suspends the machine past the deadline, and returns the
/// reply.
async fn ask_across_suspension(path: &str) -> Reply {
    let (fixture, suspension) = fixture().await;
    set_timeouts(&fixture, 2 * SUSPENSION_MS).await;
    fixture.app.answer_with(&[RoutedAnswer::Silent]);
    fixture.llm.answer_with(&[RoutedAnswer::Stream {
        events: 9,
        pause_after: Some(2),
    }]);
    let deadline = SUSPENSION_MS.to_string();
    let headers = [("reedsail-deadline-ms", deadline.as_str())];
    let asking = ask(fixture.callers(), path, &headers);
    let suspending = async {
        wait_for("run", async || {
            fixture.app.runs().len() + fixture.llm.runs().len() == 1
        })
        .await;
        suspension.suspend(SUSPENSION_MS);
    };
    let both = async { tokio::join!(asking, suspending) };
    let (reply, ()) = timeout(WAIT_TIMEOUT, both)
        .await
        .unwrap_or_else(|_| panic!("{path} continued after its deadline"));
    reply
}

#[tokio::test]
async fn a_pending_request_ends_if_its_deadline_passes_during_a_suspension() {
    let reply = ask_across_suspension("/once/").await;
    assert_eq!(reply.status, StatusCode::GATEWAY_TIMEOUT);
}

#[tokio::test]
async fn an_open_stream_ends_if_its_deadline_passes_during_a_suspension() {
    for path in ["/stream/", "/resume/"] {
        assert!(!ask_across_suspension(path).await.is_whole, "{path}");
    }
}

#[tokio::test]
async fn a_suspension_is_logged_and_counted() {
    let (fixture, suspension) = fixture().await;
    suspension.suspend(3_000);
    let admin = fixture.router.addresses().admin;
    wait_for("the suspension in the metrics", async || {
        let metrics = ask(admin, "/metrics", &[]).await;
        metrics.text().contains("reedsail_router_suspensions_total 1")
    })
    .await;
}
