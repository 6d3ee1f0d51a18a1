//! Configurations and lists with an empty table. What is empty allows nothing; only what is absent restricts nothing.

mod common;

use hyper::StatusCode;
use reedsail_router::Configuration;

use common::RouterFixture;
use common::ask;
use common::configuration;
use common::wait_for;
use common::workspace;
use common::workspaces_mut;

/// Sends a request with a key. Returns the status, and the error kind of the router's own answer.
async fn outcome(fixture: &RouterFixture, path: &str, key: &str) -> (StatusCode, String) {
    let authorization = format!("Bearer {key}");
    let reply = ask(fixture.callers(), path, &[("authorization", &authorization)]).await;
    let kind = reply.text().split(':').next().unwrap_or_default().to_owned();
    (reply.status, kind)
}

async fn assert_served(fixture: &RouterFixture, path: &str, key: &str) {
    let (status, text) = outcome(fixture, path, key).await;
    assert_eq!(status, StatusCode::OK, "{path} with {key}: {text}");
}

/// Asserts that the router refuses a request, and that no server runs it.
async fn assert_refused(fixture: &RouterFixture, path: &str, key: &str, status: StatusCode, kind: &str) {
    let runs_before = fixture.app.runs().len();
    let (refusal, text) = outcome(fixture, path, key).await;
    assert_eq!((refusal, text.as_str()), (status, kind), "{path} with {key}");
    assert_eq!(fixture.app.runs().len(), runs_before, "{path} with {key} ran");
}

/// Guards against callers that keep access, and others that lose it, once the last key of a workspace is taken away.
#[tokio::test]
async fn taking_the_last_key_of_a_workspace_away_ends_its_access_alone() {
    let fixture = RouterFixture::start().await;
    let mut next = configuration(2);
    let workspaces = workspaces_mut(&mut next);
    workspaces[0].keys.clear();
    workspaces.push(workspace("other", &["key-other"]));
    fixture.put_in_force(next).await;
    let status = StatusCode::UNAUTHORIZED;
    assert_refused(&fixture, "/once/", "key-1", status, "unknown_key").await;
    assert_refused(&fixture, "/once/", "", status, "unknown_key").await;
    assert_served(&fixture, "/once/", "key-other").await;
}

/// Guards against requests that still find a route once the last one is removed.
#[tokio::test]
async fn without_routes_no_request_is_sent() {
    let fixture = RouterFixture::start().await;
    let next = Configuration {
        routes: Vec::new(),
        ..configuration(2)
    };
    fixture.put_in_force(next).await;
    for path in ["/once/", "/open/"] {
        assert_refused(&fixture, path, "key-1", StatusCode::NOT_FOUND, "unknown_route").await;
    }
}

/// Guards against a route that sends requests to any service once its last one is removed.
#[tokio::test]
async fn a_route_without_services_sends_no_request() {
    let fixture = RouterFixture::start().await;
    let mut next = configuration(2);
    next.routes[0].targets.clear();
    fixture.put_in_force(next).await;
    assert_refused(
        &fixture,
        "/once/",
        "key-1",
        StatusCode::NOT_FOUND,
        "unknown_route",
    )
    .await;
    assert_served(&fixture, "/again/", "key-1").await;
}

/// Guards against routes that end because the table of services does not describe theirs.
#[tokio::test]
async fn a_service_that_is_not_described_is_served_without_limits() {
    let fixture = RouterFixture::start().await;
    let next = Configuration {
        services: Vec::new(),
        ..configuration(2)
    };
    fixture.put_in_force(next).await;
    assert_served(&fixture, "/once/", "key-1").await;
}

/// Guards against requests to servers that the store lists no more, and against a refusal for good while there is none.
#[tokio::test]
async fn without_servers_requests_are_refused_as_not_run_until_one_is_listed() {
    let fixture = RouterFixture::start().await;
    let listed = fixture.store.servers.borrow().clone();
    fixture.store.servers.send_replace(Some(Vec::new()));
    wait_for("a refusal", async || {
        outcome(&fixture, "/once/", "key-1").await.0 == StatusCode::SERVICE_UNAVAILABLE
    })
    .await;
    assert_refused(
        &fixture,
        "/once/",
        "key-1",
        StatusCode::SERVICE_UNAVAILABLE,
        "no_backend",
    )
    .await;
    fixture.store.servers.send_replace(listed);
    wait_for("an answer", async || {
        outcome(&fixture, "/once/", "key-1").await.0 == StatusCode::OK
    })
    .await;
}

/// Guards against requests that run anywhere once the last region of their route or workspace is removed.
#[tokio::test]
async fn an_empty_list_of_regions_allows_none_and_an_absent_one_all() {
    let fixture = RouterFixture::start().await;
    let mut by_route = configuration(2);
    by_route.routes[0].allowed_regions = Some(Vec::new());
    fixture.put_in_force(by_route).await;
    let status = StatusCode::FORBIDDEN;
    assert_refused(&fixture, "/once/", "key-1", status, "no_allowed_region").await;
    assert_served(&fixture, "/again/", "key-1").await;
    let mut by_workspace = configuration(3);
    workspaces_mut(&mut by_workspace)[0].allowed_regions = Some(Vec::new());
    fixture.put_in_force(by_workspace).await;
    for path in ["/once/", "/again/"] {
        assert_refused(&fixture, path, "key-1", status, "no_allowed_region").await;
    }
    fixture.put_in_force(configuration(4)).await;
    assert_served(&fixture, "/once/", "key-1").await;
}
