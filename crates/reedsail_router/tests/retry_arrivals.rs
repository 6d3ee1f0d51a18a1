//! Arrivals at servers beyond the first of each request: the retry budget has granted each of them.

mod common;

use std::collections::HashSet;

use reedsail_standin::RoutedAnswer;
use reedsail_standin::RoutedStandin;

use common::RouterFixture;
use common::ask;

/// Number of requests of each route.
const REQUESTS: usize = 40;

/// Returns the retries of a service that the budget has granted so far.
async fn granted_retries(fixture: &RouterFixture, service: &str) -> usize {
    let page = ask(fixture.router.addresses().admin, "/metrics", &[]).await;
    let decisions = ["room", "borrowed"].map(|decision| {
        let name = format!(
            "reedsail_router_retry_decisions_total{{decision=\"{decision}\",service=\"{service}\"}} "
        );
        let line = page.text().lines().find_map(|line| line.strip_prefix(&name));
        line.map_or(0, |value| value.parse().unwrap())
    });
    decisions.iter().sum()
}

/// Returns the arrivals beyond the first of each request.
fn arrivals_beyond_the_first(servers: &[&RoutedStandin]) -> usize {
    let runs: Vec<_> = servers.iter().flat_map(|server| server.runs()).collect();
    let ids: HashSet<_> = runs.iter().map(|run| run.header("reedsail-request-id")).collect();
    runs.len() - ids.len()
}

#[tokio::test]
async fn each_arrival_beyond_the_first_of_a_request_was_granted() {
    for fault in [
        RoutedAnswer::Broken,
        RoutedAnswer::NotRun,
        RoutedAnswer::WrongId,
        RoutedAnswer::Short,
    ] {
        let fixture = RouterFixture::start().await;
        let second = fixture.add_server("app-2", "app").await;
        let whole = RoutedAnswer::Whole {
            status: 200,
            bytes: 10,
        };
        // Whole answers leave connections in the pool, on which later requests fail.
        let script = [whole, fault, whole, fault, fault].repeat(REQUESTS);
        fixture.app.answer_with(&script);
        second.answer_with(&script);
        for number in 0..REQUESTS {
            for path in ["/once/", "/again/"] {
                let id = format!("{path}{number}");
                ask(fixture.callers(), path, &[("reedsail-request-id", &id)]).await;
            }
        }
        let arrivals = arrivals_beyond_the_first(&[&fixture.app, &second]);
        let granted = granted_retries(&fixture, "app").await;
        assert!(arrivals > 0, "{fault:?}");
        assert!(arrivals <= granted, "{fault:?}: {arrivals} of {granted}");
    }
}
