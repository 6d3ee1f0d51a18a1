//! The last workspace of a deployment is taken out of the configuration, and with it its key.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use reedsail_platform_standin::StoreStandin;
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::Verdict;
use crate::fleet::Record;
use crate::fleet::Router;
use crate::fleet::addresses;
use crate::fleet::announce;
use crate::fleet::configure;
use crate::fleet::has_trouble;
use crate::http::Connection;
use crate::plain_engine::Runs;
use crate::plain_engine::serve;

const HOST: &str = "huts.example";
/// `configMs` of the deployment, and half a second more.
const IN_FORCE_MS: u64 = 2_500;

fn configuration(version: u64, tenants: &serde_json::Value) -> serde_json::Value {
    json!({"version": version, "services": [{"name": "booking", "maxConns": 110}],
        "routes": [{"name": "bed", "host": HOST, "prefix": "/bed/", "kind": "non_idempotent", "timeoutMs": 1000.0,
            "goalMs": 150.0, "priority": 2, "attempts": 1, "service": "booking", "anonymous": false}],
        "limits": {"headerBytes": 16384, "bodyBytes": 4_194_304, "headerMs": 5000, "idleMs": 30000, "tokensPerS": 100_000},
        "tenants": tenants})
}

/// Sends one request, and returns the status of its answer; zero if none came.
async fn call(router: SocketAddr, id: &str, key: &str, record: &Record) -> u16 {
    let ask = async {
        let mut connection = Connection::new(TcpStream::connect(router).await.ok()?);
        let request = format!(
            "POST /bed/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 1000\r\nAuthorization: Bearer {key}\r\nContent-Length: 3\r\n\r\nbed"
        );
        connection.stream.write_all(request.as_bytes()).await.ok()?;
        let head = connection.read_head().await.ok()??;
        connection.read_body(&head).await.ok()?;
        Some(head)
    };
    let head = ask.await.unwrap_or_default();
    record.line(&format!(
        "client {id}, key {key}: {:?}, stamp {:?}",
        head.start,
        head.header("x-reply-stamp")
    ));
    head.status()
}

pub async fn run() -> Verdict {
    let record = Record::begin();
    let store = StoreStandin::start().await.unwrap();
    store.enable_long_polling();
    let runs = Runs::default();
    for (id, zone) in [("i-1", "hall-a"), ("i-2", "hall-b")] {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        announce(
            &store,
            id,
            "booking",
            listener.local_addr().unwrap(),
            zone,
            "ready",
            6,
        );
        tokio::spawn(serve(listener, record.clone(), Arc::clone(&runs)));
    }
    configure(
        &store,
        &configuration(3, &json!([{"name": "huts", "keys": ["key-1"]}])),
    );
    let addresses = addresses(2);
    let mut routers: Vec<Router> = (0..2)
        .map(|number| Router::new(number, &addresses, &["hall-a", "hall-b"], store.address))
        .collect();
    for router in &mut routers {
        router.start();
    }
    for router in &routers {
        if !router.wait_ready().await {
            return Verdict::NotRun;
        }
    }
    // The machines are in touch from `contactMs`, 3,000, on.
    sleep(Duration::from_millis(3_500)).await;
    let mut wrong = 0;
    for (number, router) in routers.iter().enumerate() {
        let held = call(router.callers(), &format!("1{number:015x}"), "key-1", &record).await;
        let strange = call(
            router.callers(),
            &format!("2{number:015x}"),
            "key-never-held",
            &record,
        )
        .await;
        if held != 200 || strange != 401 {
            return Verdict::NotRun;
        }
    }
    if has_trouble() {
        configure(&store, &configuration(5, &json!([])));
        record.line("version 5 takes the last workspace and its key away, and the store has taken it");
    }
    sleep(Duration::from_millis(IN_FORCE_MS)).await;
    for (number, router) in routers.iter().enumerate() {
        let page = router
            .page(7401, "/metrics")
            .await
            .map(|(_, body)| body)
            .unwrap_or_default();
        let version = page
            .lines()
            .find(|line| line.starts_with("reedsail_router_configuration_version"));
        record.line(&format!("{}: {}", router.name, version.unwrap_or("no metrics")));
        let keys = [("3", "key-1", has_trouble()), ("4", "key-never-held", true)];
        for (prefix, key, is_dropped) in keys {
            let id = format!("{prefix}{number:015x}");
            let status = call(router.callers(), &id, key, &record).await;
            let has_run = runs.lock().unwrap().contains(&id);
            if is_dropped && (has_run || status == 200) {
                record.line(&format!(
                    "{id} RAN with a key that no configuration in force holds"
                ));
                wrong += 1;
            }
            if !is_dropped && status != 200 {
                return Verdict::NotRun;
            }
        }
    }
    record.line(&format!("{wrong} requests ran without a key"));
    if wrong > 0 { Verdict::Broken } else { Verdict::Held }
}
