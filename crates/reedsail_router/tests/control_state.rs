//! The state of a router's control thread: configurations, servers and peers. Also covers planned stops.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use hyper::StatusCode;
use reedsail_dispatch::ServerRecord;
use reedsail_router::Configuration;
use reedsail_standin::RoutedAnswer;
use reedsail_standin::RoutedStandin;

use common::Caller;
use common::RouterFixture;
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
use common::workspaces_mut;

/// Number of odd servers in the list.
const ODD_SERVERS: u16 = 2_000;

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
    let fixture = RouterFixture::start().await;
    let mut caller = Caller::connect(fixture.callers()).await;
    assert_eq!(caller.ask("/once/", &[]).await.status, StatusCode::OK);
    let mut newer = configuration(5);
    workspaces_mut(&mut newer)[0].keys.remove(0);
    newer.routes.retain(|route| route.name != "again");
    fixture.store.configuration.send_replace(Some(newer));
    wait_for("version 5", async || fixture.router.configuration_version() == 5).await;
    assert_eq!(caller.ask("/once/", &[]).await.status, StatusCode::UNAUTHORIZED);
    let other_key = [("authorization", "Bearer key-2")];
    assert_eq!(caller.ask("/once/", &other_key).await.status, StatusCode::OK);
    assert_eq!(
        caller.ask("/again/", &other_key).await.status,
        StatusCode::NOT_FOUND
    );
    // An older version, as from a store that was restored from a backup, changes nothing.
    fixture.store.configuration.send_replace(Some(configuration(4)));
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(fixture.router.configuration_version(), 5);
}

#[tokio::test]
async fn a_draining_server_gets_no_new_request_and_finishes_its_own() {
    let fixture = RouterFixture::start().await;
    let second = fixture.add_server("llm-2", "llm").await;
    let slow_stream = RoutedAnswer::Stream {
        events: 60,
        pause_after: None,
    };
    fixture.llm.answer_with(&[slow_stream]);
    second.answer_with(&[slow_stream]);
    let mut caller = Caller::connect(fixture.callers()).await;
    let response = caller.send(request("/stream/", &[])).await;
    let stream_task = tokio::spawn(read(response));
    let draining_id = if fixture.llm.runs().is_empty() {
        "llm-2"
    } else {
        "llm-1"
    };
    fixture.store.servers.send_modify(|records| {
        for record in records.as_mut().unwrap() {
            record.is_draining = record.id == draining_id;
        }
    });
    let admin = fixture.router.addresses().admin;
    wait_for("departure", async || {
        ask(admin, "/servers", &[]).await.text().contains("true")
    })
    .await;
    let (draining, remaining) = if draining_id == "llm-1" {
        (&fixture.llm, &second)
    } else {
        (&second, &fixture.llm)
    };
    for _ in 0..5 {
        assert!(ask(fixture.callers(), "/stream/", &[]).await.is_whole);
    }
    assert_eq!((draining.runs().len(), remaining.runs().len()), (1, 5));
    assert!(stream_task.await.unwrap().is_whole);
}

#[tokio::test]
async fn an_instance_that_the_store_rejects_learns_from_its_peers() {
    let fixture = RouterFixture::start().await;
    let unavailable_store = Store::new(None, None);
    let mut settings = settings("hall-a-2");
    settings.seeds = vec![fixture.router.addresses().peers];
    let router = start(&unavailable_store, settings);
    wait_until_ready(&router).await;
    let callers = router.addresses().callers;
    assert_eq!(ask(callers, "/once/", &[]).await.status, StatusCode::OK);
    // The instance learns of later configurations from its peers too.
    fixture.store.configuration.send_replace(Some(Configuration {
        routes: Vec::new(),
        ..configuration(9)
    }));
    wait_for("version 9", async || router.configuration_version() == 9).await;
    assert_eq!(ask(callers, "/once/", &[]).await.status, StatusCode::NOT_FOUND);
}

#[tokio::test]
async fn a_planned_stop_finishes_accepted_requests_and_closes_connections() {
    let fixture = RouterFixture::start().await;
    let slow_stream = RoutedAnswer::Stream {
        events: 150,
        pause_after: None,
    };
    fixture.llm.answer_with(&[slow_stream]);
    let callers = fixture.callers();
    let readiness = fixture.router.addresses().readiness;
    let mut streaming = Caller::connect(callers).await;
    let response = streaming.send(request("/stream/", &[])).await;
    let stream = tokio::spawn(read(response));
    let mut kept_alive = Caller::connect(callers).await;
    assert_eq!(kept_alive.ask("/once/", &[]).await.header("connection"), "");
    let router = fixture.router;
    let stop_task = tokio::spawn(router.close());
    wait_for("not ready", async || {
        ask(readiness, "/ready", &[]).await.status == StatusCode::SERVICE_UNAVAILABLE
    })
    .await;
    let reply = kept_alive.ask("/once/", &[]).await;
    assert_eq!(
        (reply.status, reply.header("connection")),
        (StatusCode::OK, "close")
    );
    let reply = stream.await.unwrap();
    assert!(reply.is_whole);
    assert_eq!(reply.text().matches("data:").count(), 150);
    assert!(stop_task.await.unwrap(), "every request was finished");
}

#[tokio::test]
async fn late_in_a_stop_only_requests_that_end_in_time_are_accepted() {
    let fixture = RouterFixture::start_with(|settings| settings.stop.end_ms = 15_000).await;
    let endless_stream = RoutedAnswer::Stream {
        events: 9,
        pause_after: Some(2),
    };
    fixture.llm.answer_with(&[endless_stream]);
    let callers = fixture.callers();
    let mut streaming = Caller::connect(callers).await;
    let long_deadline = [("reedsail-deadline-ms", "60000")];
    let open_response = streaming.send(request("/stream/", &long_deadline)).await;
    let stop_task = tokio::spawn(fixture.router.close());
    // The open stream keeps the router running after it stops accepting new requests.
    wait_for("refusal", async || {
        ask(callers, "/open/", &long_deadline)
            .await
            .text()
            .starts_with("stopping")
    })
    .await;
    let short_deadline = [("reedsail-deadline-ms", "500")];
    let reply = ask(callers, "/once/", &short_deadline).await;
    assert_eq!(
        (reply.status, reply.header("connection")),
        (StatusCode::OK, "close")
    );
    drop(open_response);
    drop(streaming);
    assert!(stop_task.await.unwrap());
}

#[tokio::test]
async fn a_router_on_port_zero_finds_a_port_free_for_both_protocols() {
    // So many TCP ports are in use that at least one of these starts gets a UDP port whose TCP port is in use.
    let used_ports: Vec<_> = (0..700)
        .map_while(|_| std::net::TcpListener::bind("127.0.0.1:0").ok())
        .collect();
    let store = Store::new(None, None);
    for _ in 0..60 {
        start(&store, settings("hall-a-1")).kill();
    }
    drop(used_ports);
}

#[tokio::test]
async fn a_peer_with_an_unknown_list_digest_gets_gone_and_fetches_the_whole_list() {
    let fixture = RouterFixture::start().await;
    let admin = fixture.router.addresses().admin;
    let unknown = ask(admin, "/servers?digest=00000000000000ff", &[]).await;
    assert_eq!(unknown.status, StatusCode::GONE);
    let whole = ask(admin, "/servers", &[]).await;
    assert_eq!(whole.status, StatusCode::OK);
    assert!(whole.text().contains("app-1") && whole.text().contains("llm-1"));
    // Before the first server was listed the digest was zero, so the difference contains all servers.
    let difference = ask(admin, "/servers?digest=0000000000000000", &[]).await;
    assert_eq!(difference.status, StatusCode::OK);
    assert!(
        difference.text().contains("\"differs_from\":0"),
        "{}",
        difference.text()
    );
    assert!(difference.text().contains("app-1") && difference.text().contains("llm-1"));
}

/// Another writer may list servers with any numbers, and thousands of them. The others go on being used.
#[tokio::test]
async fn odd_servers_in_the_list_do_not_keep_a_router_from_following_it() {
    let fixture = RouterFixture::start().await;
    let sound = record("app-1", "app", &fixture.app);
    let odd = (0..ODD_SERVERS).map(|number| ServerRecord {
        address: SocketAddr::from(([127, 0, 0, 1], number % 2)),
        slots: u32::MAX,
        cold_left_ms: u64::MAX,
        born_ms: Some(u64::MAX),
        software_version: Some("v".repeat(usize::from(number))),
        ..record(&format!("odd-{number}"), "odd", &fixture.app)
    });
    let mut listed: Vec<ServerRecord> = odd.collect();
    listed.push(sound);
    listed.push(ServerRecord {
        slots: u32::MAX,
        cold_left_ms: u64::MAX,
        ..record("app-odd", "app", &fixture.app)
    });
    fixture.store.servers.send_replace(Some(listed.clone()));
    let admin = fixture.router.addresses().admin;
    let lists = async |id: &str| ask(admin, "/servers", &[]).await.text().contains(id);
    wait_for("the odd servers", async || lists("app-odd").await).await;
    let reply = ask(fixture.callers(), "/once/a", &[]).await;
    assert_eq!(reply.status, StatusCode::OK, "{}", reply.text());
    listed.push(record("app-later", "app", &fixture.app));
    fixture.store.servers.send_replace(Some(listed));
    wait_for("a later server", async || lists("app-later").await).await;
    let reply = ask(fixture.callers(), "/once/a", &[]).await;
    assert_eq!(reply.status, StatusCode::OK, "{}", reply.text());
}
