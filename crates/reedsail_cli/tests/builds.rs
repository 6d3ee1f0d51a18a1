//! Runs `reedsail fleet builds` against instances of different builds.

use std::process::Command;

use reedsail_bench::DaemonSetup;
use reedsail_bench::Fleet;
use reedsail_bench::FleetSetup;
use reedsail_bench::ServiceSetup;
use reedsail_bench::WorkspacePlan;
use reedsail_daemon::BUILD;
use reedsail_daemon::PolicyChoice;
use reedsail_standin::PlatformConfig;
use reedsail_standin::RawAnswer;
use reedsail_standin::RawServer;

/// Runs the command for the given admin addresses. Returns the exit code and the standard output.
fn fleet_builds(instances: &[String], further: &[&str]) -> (Option<i32>, String) {
    let flags = instances.iter().flat_map(|address| ["--instance", address]);
    let output = Command::new(env!("CARGO_BIN_EXE_reedsail"))
        .args(["fleet", "builds"])
        .args(flags)
        .args(further)
        .output()
        .unwrap();
    (output.status.code(), String::from_utf8(output.stdout).unwrap())
}

/// Starts a server that answers each request with a metrics page.
async fn serve_metrics(page: &str) -> RawServer {
    let length = page.len();
    let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{page}");
    RawServer::start(vec![RawAnswer::closing(answer)]).await.unwrap()
}

/// Returns the row of an instance, without the blanks that align it.
fn row_of(table: &str, instance: &str) -> String {
    let row = table
        .lines()
        .find(|line| line.starts_with(instance))
        .unwrap_or(table);
    row.split_whitespace().collect::<Vec<_>>().join(" ")
}

#[tokio::test(flavor = "multi_thread")]
async fn instances_of_different_builds_are_shown_side_by_side() {
    let setup = FleetSetup {
        name: "builds".to_owned(),
        daemons: vec![DaemonSetup {
            instance: "hall-a-1".to_owned(),
            failure_domain: "hall-a".to_owned(),
        }],
        services: vec![ServiceSetup {
            name: "booking-api".to_owned(),
            model: None,
            path_prefix: Some("/booking/".to_owned()),
            keyed_prefix: None,
            servers_by_domain: [("hall-a".to_owned(), 1)].into(),
            slots: 8,
            token_interval_ms: 0,
        }],
        workspaces: vec![WorkspacePlan {
            name: "labska".to_owned(),
            weight: 1.0,
            queued_max: None,
        }],
    };
    let fleet = Fleet::start(setup, PolicyChoice::Fleet, PlatformConfig::default(), |_| {})
        .await
        .unwrap();
    let daemon = fleet.daemons["hall-a-1"].addresses().admin.to_string();
    let page = "# TYPE reedsail_router_build_info gauge\n\
                reedsail_router_build_info{sources=\"0123456789abcdef\",version=\"1.2.3\"} 1\n";
    let router = serve_metrics(page).await;
    let earlier = serve_metrics("reedsail_router_open_requests 0\n").await;
    let router_address = router.address.to_string();
    let earlier_address = earlier.address.to_string();

    let all = [daemon.clone(), router_address.clone(), earlier_address.clone()];
    let (code, table) = fleet_builds(&all, &[]);
    assert_eq!(code, Some(0));
    let of_daemon = format!("{daemon} reedsaild {} {}", BUILD.version, BUILD.sources);
    assert_eq!(row_of(&table, &daemon), of_daemon);
    let of_router = format!("{router_address} reedsail-router 1.2.3 0123456789abcdef");
    assert_eq!(row_of(&table, &router_address), of_router);
    let of_earlier = format!("{earlier_address} unknown unknown unknown");
    assert_eq!(row_of(&table, &earlier_address), of_earlier);
    assert!(table.ends_with("builds: 3\n"), "{table}");

    // No process listens on port 1.
    let (code, json) = fleet_builds(&[daemon.clone(), "127.0.0.1:1".to_owned()], &["--json"]);
    assert_eq!(code, Some(4));
    let json: serde_json::Value = serde_json::from_str(&json).unwrap();
    assert_eq!(json["instances"][0]["build"]["sources"], BUILD.sources);
    assert_eq!(json["silent"][0], "127.0.0.1:1");
    fleet.close().await;
}

#[test]
fn without_an_instance_the_usage_is_told() {
    assert_eq!(fleet_builds(&[], &[]).0, Some(2));
}
