//! A machine that was suspended: its steady clock stood still, the callers' time and the servers' went on.

mod common;

use reedsail_net::Clock;
use reedsail_net::SimulatedSuspension;
use reedsail_standin::RoutedAnswer;

use common::Site;
use common::ask;
use common::wait_for;

const ANSWER: RoutedAnswer = RoutedAnswer::Whole {
    status: 200,
    bytes: 10,
};
async fn site() -> (Site, &'static SimulatedSuspension) {
    let suspension: &SimulatedSuspension = Box::leak(Box::default());
    let clock = Clock::with_simulated_suspension(suspension);
    (Site::start_at(clock, |_| {}).await, suspension)
}

#[tokio::test]
#[ignore = "known to fail: KNOWN-RED.txt"]
async fn a_server_is_given_no_more_time_than_the_caller_has_left() {
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
