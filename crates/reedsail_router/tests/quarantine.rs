//! Guards against a request that keeps ending servers because it is sent to one after the other. Two routers that are
//! peers of each other must both quarantine it.

mod common;

use std::time::Duration;

use hyper::StatusCode;
use reedsail_dispatch::ServerRecord;
use reedsail_router::RunningRouter;
use reedsail_standin::RoutedAnswer;
use reedsail_standin::RoutedStandin;
use tokio::time::sleep;

use common::Reply;
use common::Store;
use common::ask;
use common::configuration;
use common::record;
use common::settings;
use common::start;
use common::test_headers::TestHeaders;
use common::wait_for;
use common::wait_until_ready;

/// Starts two routers that are peers of each other.
async fn start_two_peers(store: &Store) -> [RunningRouter<TestHeaders>; 2] {
    let first = start(store, settings("hall-a-1"));
    let mut second = settings("hall-a-2");
    second.seeds = vec![first.addresses().peers];
    // In another failure domain it reads the store itself.
    "hall-b".clone_into(&mut second.failure_domain);
    let second = start(store, second);
    for router in [&first, &second] {
        wait_until_ready(router).await;
        let admin = router.addresses().admin;
        wait_for("a peer", async || {
            let metrics = ask(admin, "/metrics", &[]).await;
            metrics.text().contains("reedsail_router_peers_alive 1")
        })
        .await;
    }
    [first, second]
}

/// Returns a store that lists a draining server of a service: a router without any listed server is not ready.
fn store_with_draining(server: &RoutedStandin, service: &str) -> Store {
    let draining = ServerRecord {
        is_draining: true,
        ..record(&format!("{service}-0"), service, server)
    };
    Store::new(Some(configuration(1)), Some(vec![draining]))
}

/// Lists a server after the first one, in place of all others.
fn replace_other_servers(store: &Store, record: ServerRecord) {
    store.servers.send_modify(|records| {
        let records = records.as_mut().unwrap();
        records.truncate(1);
        records.push(record);
    });
}

/// Lists a server that never answers, sends it a request, and closes the server. Returns the caller's reply.
async fn ask_and_close_server(
    store: &Store,
    router: &RunningRouter<TestHeaders>,
    id: &str,
    path: &str,
) -> Reply {
    let server = RoutedStandin::start().await.unwrap();
    server.answer_with(&[RoutedAnswer::Silent]);
    replace_other_servers(store, record(id, "app", &server));
    let admin = router.addresses().admin;
    wait_for("the server", async || {
        ask(admin, "/servers", &[]).await.text().contains(id)
    })
    .await;
    let callers = router.addresses().callers;
    let path = path.to_owned();
    let request_task = tokio::spawn(async move { ask(callers, &path, &[]).await });
    wait_for("run", async || !server.runs().is_empty()).await;
    server.close();
    request_task.await.unwrap()
}

async fn wait_for_metric(router: &RunningRouter<TestHeaders>, metric: &str) {
    let admin = router.addresses().admin;
    wait_for(metric, async || {
        ask(admin, "/metrics", &[]).await.text().contains(metric)
    })
    .await;
}

#[tokio::test]
async fn a_request_that_ended_three_servers_is_refused_by_every_instance() {
    let idle = RoutedStandin::start().await.unwrap();
    let store = store_with_draining(&idle, "app");
    let [first, second] = start_two_peers(&store).await;
    for (number, router) in [(1, &first), (2, &second), (3, &first)] {
        let reply = ask_and_close_server(&store, router, &format!("app-{number}"), "/once/poison").await;
        assert_eq!(reply.status, StatusCode::BAD_GATEWAY);
    }
    for router in [&first, &second] {
        wait_for_metric(router, "reedsail_router_quarantined_requests 1").await;
    }
    let healthy = RoutedStandin::start().await.unwrap();
    replace_other_servers(&store, record("app-9", "app", &healthy));
    for router in [&first, &second] {
        let callers = router.addresses().callers;
        wait_for("an answer to another request", async || {
            ask(callers, "/once/other", &[]).await.status == StatusCode::OK
        })
        .await;
        let reply = ask(callers, "/once/poison", &[]).await;
        assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(reply.text().starts_with("quarantined"), "{}", reply.text());
        assert_eq!(reply.header("retry-after"), "");
        let other_key = [("authorization", "Bearer key-2")];
        let same_workspace_reply = ask(callers, "/once/poison", &other_key).await;
        assert_eq!(same_workspace_reply.status, StatusCode::SERVICE_UNAVAILABLE);
    }
    let poisoned = healthy.runs().iter().any(|run| run.call.contains("poison"));
    assert!(!poisoned);
}

#[tokio::test]
async fn broken_connections_to_a_running_server_quarantine_nothing() {
    let server = RoutedStandin::start().await.unwrap();
    server.answer_with(&[RoutedAnswer::Broken]);
    let store = Store::new(
        Some(configuration(1)),
        Some(vec![record("app-1", "app", &server)]),
    );
    let [first, _second] = start_two_peers(&store).await;
    let callers = first.addresses().callers;
    for count in 1..=6 {
        wait_for("the next run", async || {
            let _ = ask(callers, "/once/x", &[]).await;
            server.runs().len() >= count
        })
        .await;
    }
    wait_for_metric(&first, "reedsail_router_quarantined_requests 0").await;
    wait_for_metric(&first, "reedsail_router_server_ends_total 0").await;
}

/// A stream of two events without a length or chunks, after which its server ends.
const POISON: RoutedAnswer = RoutedAnswer::Text {
    text: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
    is_framed: false,
    ends_server: true,
};
/// Time between two requests that end servers, in milliseconds: longer than the time after an end in which none counts.
const POISON_PAUSE_MS: u64 = 300;

/// Lists a server that ends when it answers, and sends it a request with a prompt.
async fn ask_poison(store: &Store, router: &RunningRouter<TestHeaders>, number: u32) {
    let server = RoutedStandin::start().await.unwrap();
    server.answer_with(&[POISON]);
    let id = format!("llm-{number}");
    replace_other_servers(store, record(&id, "llm", &server));
    let admin = router.addresses().admin;
    wait_for("the server", async || {
        ask(admin, "/servers", &[]).await.text().contains(&id)
    })
    .await;
    let prompt = format!("a:40,bad:40,{number}:10");
    let path = format!("/stream/{number}");
    let callers = router.addresses().callers;
    let reply = ask(callers, &path, &[("reedsail-prompt", &prompt)]).await;
    assert!(
        !reply.is_whole,
        "a stream that ends with its server is broken off"
    );
    sleep(Duration::from_millis(POISON_PAUSE_MS)).await;
}

#[tokio::test]
async fn a_segment_under_which_three_servers_ended_is_refused_by_every_instance() {
    let idle = RoutedStandin::start().await.unwrap();
    let store = store_with_draining(&idle, "llm");
    let [first, second] = start_two_peers(&store).await;
    for (number, router) in [(1, &first), (2, &second), (3, &first)] {
        ask_poison(&store, router, number).await;
    }
    let healthy = RoutedStandin::start().await.unwrap();
    replace_other_servers(&store, record("llm-9", "llm", &healthy));
    for router in [&first, &second] {
        wait_for_metric(router, "reedsail_router_quarantined_segments 2").await;
        let callers = router.addresses().callers;
        wait_for("an answer to a request with the same first segment", async || {
            let sound = [("reedsail-prompt", "a:40,c:40,7:10")];
            ask(callers, "/stream/sound", &sound).await.status == StatusCode::OK
        })
        .await;
        let poisoned = [("reedsail-prompt", "a:40,bad:40,8:10")];
        let reply = ask(callers, "/stream/8", &poisoned).await;
        assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(reply.text().starts_with("quarantined"), "{}", reply.text());
        assert_eq!(reply.header("retry-after"), "");
    }
    let runs = healthy.runs();
    assert!(
        runs.iter()
            .all(|run| !run.header("reedsail-prompt").contains("bad"))
    );
}

#[tokio::test]
async fn a_router_that_starts_after_all_have_ended_sends_no_segment_that_was_quarantined() {
    let idle = RoutedStandin::start().await.unwrap();
    let store = store_with_draining(&idle, "llm");
    let first = start(&store, settings("hall-a-1"));
    wait_until_ready(&first).await;
    for number in 1..=3 {
        ask_poison(&store, &first, number).await;
    }
    wait_for("the records of both segments", async || {
        store.quarantine.rows().len() == 2
    })
    .await;
    first.close().await;
    let healthy = RoutedStandin::start().await.unwrap();
    replace_other_servers(&store, record("llm-9", "llm", &healthy));
    let second = start(&store, settings("hall-a-2"));
    wait_for_metric(&second, "reedsail_router_quarantined_segments 2").await;
    wait_until_ready(&second).await;
    let callers = second.addresses().callers;
    let poisoned = [("reedsail-prompt", "a:40,bad:40,8:10")];
    let reply = ask(callers, "/stream/8", &poisoned).await;
    assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(reply.text().starts_with("quarantined"), "{}", reply.text());
    assert!(healthy.runs().is_empty());
}
