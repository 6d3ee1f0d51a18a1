//! A machine that was suspended: its steady clock stood still, the callers' time and the servers' went on.

mod common;

use hyper::StatusCode;
use reedsail_net::Clock;
use reedsail_net::SimulatedSuspension;
use reedsail_standin::RoutedAnswer;
use tokio::time::timeout;

use common::LIMIT;
use common::Reply;
use common::Site;
use common::ask;
use common::wait_for;

const ANSWER: RoutedAnswer = RoutedAnswer::Whole {
    status: 200,
    bytes: 10,
};
/// Longer than a test waits: only a clock that counts suspensions gets there.
const FAR_MS: u64 = 120_000;

async fn site() -> (Site, &'static SimulatedSuspension) {
    let suspension: &SimulatedSuspension = Box::leak(Box::default());
    let clock = Clock::with_simulated_suspension(suspension);
    (Site::start_at(clock, |_| {}).await, suspension)
}

/// Lets callers wait for so long.
async fn set_timeouts(site: &Site, timeout_ms: u64) {
    site.store.configuration.send_modify(|shown| {
        let shown = shown.as_mut().unwrap();
        shown.version = 2;
        for route in &mut shown.routes {
            route.timeout_ms = timeout_ms;
        }
    });
    wait_for("version 2", async || site.router.configuration_version() == 2).await;
}

#[tokio::test]
async fn a_server_gets_at_most_the_time_left_until_the_callers_deadline() {
    let (site, suspension) = site().await;
    let second = site.add_server("app-2", "app").await;
    for server in [&site.app, &second] {
        server.answer_with(&[RoutedAnswer::Silent]);
    }
    let callers = site.callers();
    let asking = tokio::spawn(async move { ask(callers, "/again/", &[]).await });
    wait_for("run", async || site.app.runs().len() + second.runs().len() == 1).await;
    suspension.suspend(5_000);
    let (first, other) = if second.runs().is_empty() {
        (&site.app, &second)
    } else {
        (&second, &site.app)
    };
    other.answer_with(&[ANSWER]);
    first.crash();
    assert_eq!(asking.await.unwrap().body.len(), 10);
    let left_ms: u64 = other.runs()[0].header("reedsail-deadline-ms").parse().unwrap();
    assert!(left_ms <= 3_000, "{left_ms} of 8,000 ms");
}

/// Asks a server that never ends its answer, suspends the machine beyond the deadline, and returns what comes.
async fn ask_across_a_suspension(path: &str) -> Reply {
    let (site, suspension) = site().await;
    set_timeouts(&site, 2 * FAR_MS).await;
    site.app.answer_with(&[RoutedAnswer::Silent]);
    site.llm.answer_with(&[RoutedAnswer::Stream {
        events: 9,
        pause_after: Some(2),
    }]);
    let deadline = FAR_MS.to_string();
    let headers = [("reedsail-deadline-ms", deadline.as_str())];
    let asking = ask(site.callers(), path, &headers);
    let suspending = async {
        wait_for("run", async || site.app.runs().len() + site.llm.runs().len() == 1).await;
        suspension.suspend(FAR_MS);
    };
    let both = async { tokio::join!(asking, suspending) };
    let (reply, ()) = timeout(LIMIT, both)
        .await
        .unwrap_or_else(|_| panic!("{path} went on after its deadline"));
    reply
}

#[tokio::test]
async fn a_pending_request_ends_if_its_deadline_passes_during_a_suspension() {
    let reply = ask_across_a_suspension("/once/").await;
    assert_eq!(reply.status, StatusCode::GATEWAY_TIMEOUT);
}

#[tokio::test]
async fn an_open_stream_ends_if_its_deadline_passes_during_a_suspension() {
    for path in ["/stream/", "/resume/"] {
        assert!(!ask_across_a_suspension(path).await.is_whole, "{path}");
    }
}

#[tokio::test]
async fn a_suspension_is_logged_and_counted() {
    let (site, suspension) = site().await;
    suspension.suspend(3_000);
    let admin = site.router.addresses().admin;
    wait_for("the suspension in the metrics", async || {
        let metrics = ask(admin, "/metrics", &[]).await;
        metrics.text().contains("reedsail_router_suspensions_total 1")
    })
    .await;
}
