//! What a router believes: configurations, servers, peers, and planned stops.

mod common;

use std::time::Duration;

use hyper::StatusCode;
use reedsail_router::Configuration;
use reedsail_standin::RoutedAnswer;
use reedsail_standin::RoutedStandin;

use common::Caller;
use common::Site;
use common::Store;
use common::ask;
use common::configuration;
use common::is_ready;
use common::read;
use common::record;
use common::request;
use common::settings;
use common::start;
use common::wait_for;
use common::wait_until_ready;

#[tokio::test]
async fn without_a_configuration_requests_are_refused_as_not_run() {
    let store = Store::new(None, None);
    let router = start(&store, settings("hall-a-1"));
    assert!(!is_ready(&router).await);
    let reply = ask(router.addresses().callers, "/once/", &[]).await;
    assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_ne!(reply.header("retry-after"), "");
    let server = RoutedStandin::start().await.unwrap();
    store.configuration.send_replace(Some(configuration(1)));
    store
        .servers
        .send_replace(Some(vec![record("app-1", "app", &server)]));
    wait_until_ready(&router).await;
    let reply = ask(router.addresses().callers, "/once/", &[]).await;
    assert_eq!(reply.status, StatusCode::OK);
}

#[tokio::test]
async fn a_configuration_applies_to_open_connections_and_never_goes_back() {
    let site = Site::start().await;
    let mut caller = Caller::connect(site.callers()).await;
    assert_eq!(caller.ask("/once/", &[]).await.status, StatusCode::OK);
    let mut newer = configuration(5);
    newer.workspaces[0].keys.remove(0);
    newer.routes.retain(|route| route.name != "again");
    site.store.configuration.send_replace(Some(newer));
    wait_for("version 5", async || site.router.configuration_version() == 5).await;
    assert_eq!(caller.ask("/once/", &[]).await.status, StatusCode::UNAUTHORIZED);
    let other_key = [("authorization", "Bearer key-2")];
    assert_eq!(caller.ask("/once/", &other_key).await.status, StatusCode::OK);
    assert_eq!(
        caller.ask("/again/", &other_key).await.status,
        StatusCode::NOT_FOUND
    );
    // An older version, as a store that was set back would show it, changes nothing.
    site.store.configuration.send_replace(Some(configuration(4)));
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(site.router.configuration_version(), 5);
}

#[tokio::test]
async fn a_draining_server_gets_no_new_request_and_finishes_its_own() {
    let site = Site::start().await;
    let second = site.add_server("llm-2", "llm").await;
    let slow = RoutedAnswer::Stream {
        events: 60,
        pause_after: None,
    };
    site.llm.answer_with(&[slow]);
    second.answer_with(&[slow]);
    let mut caller = Caller::connect(site.callers()).await;
    let response = caller.send(request("/stream/", &[])).await;
    let asking = tokio::spawn(read(response));
    let leaving = if site.llm.runs().is_empty() {
        "llm-2"
    } else {
        "llm-1"
    };
    site.store.servers.send_modify(|records| {
        for record in records.as_mut().unwrap() {
            record.is_draining = record.id == leaving;
        }
    });
    let admin = site.router.addresses().admin;
    wait_for("departure", async || {
        ask(admin, "/servers", &[]).await.text().contains("true")
    })
    .await;
    let (gone, stays) = if leaving == "llm-1" {
        (&site.llm, &second)
    } else {
        (&second, &site.llm)
    };
    for _ in 0..5 {
        assert!(ask(site.callers(), "/stream/", &[]).await.is_whole);
    }
    assert_eq!((gone.runs().len(), stays.runs().len()), (1, 5));
    assert!(asking.await.unwrap().is_whole);
}

#[tokio::test]
async fn an_instance_that_the_store_rejects_learns_from_its_peers() {
    let site = Site::start().await;
    let away = Store::new(None, None);
    let mut settings = settings("hall-a-2");
    settings.seeds = vec![site.router.addresses().peers];
    let router = start(&away, settings);
    wait_until_ready(&router).await;
    let callers = router.addresses().callers;
    assert_eq!(ask(callers, "/once/", &[]).await.status, StatusCode::OK);
    // So it does later on, and of servers as well.
    site.store.configuration.send_replace(Some(Configuration {
        routes: Vec::new(),
        ..configuration(9)
    }));
    wait_for("version 9", async || router.configuration_version() == 9).await;
    assert_eq!(ask(callers, "/once/", &[]).await.status, StatusCode::NOT_FOUND);
}

#[tokio::test]
async fn a_planned_stop_finishes_accepted_requests_and_closes_connections() {
    let site = Site::start().await;
    let slow = RoutedAnswer::Stream {
        events: 150,
        pause_after: None,
    };
    site.llm.answer_with(&[slow]);
    let callers = site.callers();
    let readiness = site.router.addresses().readiness;
    let mut streaming = Caller::connect(callers).await;
    let response = streaming.send(request("/stream/", &[])).await;
    let stream = tokio::spawn(read(response));
    let mut kept = Caller::connect(callers).await;
    assert_eq!(kept.ask("/once/", &[]).await.header("connection"), "");
    let router = site.router;
    let stopping = tokio::spawn(router.close());
    wait_for("not ready", async || {
        ask(readiness, "/ready", &[]).await.status == StatusCode::SERVICE_UNAVAILABLE
    })
    .await;
    let reply = kept.ask("/once/", &[]).await;
    assert_eq!(
        (reply.status, reply.header("connection")),
        (StatusCode::OK, "close")
    );
    let reply = stream.await.unwrap();
    assert!(reply.is_whole);
    assert_eq!(reply.text().matches("data:").count(), 150);
    assert!(stopping.await.unwrap(), "every request was finished");
}

#[tokio::test]
async fn late_in_a_stop_only_requests_that_end_in_time_are_accepted() {
    let site = Site::start_with(|settings| settings.stop.end_ms = 15_000).await;
    let endless = RoutedAnswer::Stream {
        events: 9,
        pause_after: Some(2),
    };
    site.llm.answer_with(&[endless]);
    let callers = site.callers();
    let mut streaming = Caller::connect(callers).await;
    let long = [("reedsail-deadline-ms", "60000")];
    let open = streaming.send(request("/stream/", &long)).await;
    let stopping = tokio::spawn(site.router.close());
    // The stream keeps the router from ending once new requests are no longer taken.
    wait_for("refusal", async || {
        ask(callers, "/open/", &long).await.text().starts_with("stopping")
    })
    .await;
    let short = [("reedsail-deadline-ms", "500")];
    let reply = ask(callers, "/once/", &short).await;
    assert_eq!(
        (reply.status, reply.header("connection")),
        (StatusCode::OK, "close")
    );
    drop(open);
    drop(streaming);
    assert!(stopping.await.unwrap());
}

#[tokio::test]
async fn a_router_on_port_zero_finds_a_port_free_for_both_protocols() {
    // So many ports are taken for TCP that one of these starts would meet one of them.
    let taken: Vec<_> = (0..700)
        .map_while(|_| std::net::TcpListener::bind("127.0.0.1:0").ok())
        .collect();
    let store = Store::new(None, None);
    for _ in 0..60 {
        start(&store, settings("hall-a-1")).kill();
    }
    drop(taken);
}

#[tokio::test]
async fn a_peer_with_an_unknown_list_digest_gets_gone_and_fetches_the_whole_list() {
    let site = Site::start().await;
    let admin = site.router.addresses().admin;
    let unknown = ask(admin, "/servers?digest=00000000000000ff", &[]).await;
    assert_eq!(unknown.status, StatusCode::GONE);
    let whole = ask(admin, "/servers", &[]).await;
    assert_eq!(whole.status, StatusCode::OK);
    assert!(whole.text().contains("app-1") && whole.text().contains("llm-1"));
    // Before the first server was listed the digest was zero, and everything has changed since.
    let difference = ask(admin, "/servers?digest=0000000000000000", &[]).await;
    assert_eq!(difference.status, StatusCode::OK);
    assert!(
        difference.text().contains("\"differs_from\":0"),
        "{}",
        difference.text()
    );
    assert!(difference.text().contains("app-1") && difference.text().contains("llm-1"));
}
