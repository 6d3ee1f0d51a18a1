//! Runs `reedsaild` as a process and checks its settings, signal handling and exit codes.

use std::fmt::Write;
use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

use reedsail_bench::Caller;
use reedsail_bench::DaemonSetup;
use reedsail_bench::Fleet;
use reedsail_bench::FleetSetup;
use reedsail_bench::Outcome;
use reedsail_bench::RequestPlan;
use reedsail_bench::ServiceSetup;
use reedsail_bench::WorkspacePlan;
use reedsail_bundle::SecretKey;
use reedsail_daemon::PolicyChoice;
use reedsail_standin::PlatformConfig;
use tokio::task::JoinSet;

fn setup() -> FleetSetup {
    FleetSetup {
        name: "process".to_owned(),
        daemons: vec![DaemonSetup {
            instance: "hall-a-1".to_owned(),
            failure_domain: "hall-a".to_owned(),
        }],
        services: vec![ServiceSetup {
            name: "assistant-llm".to_owned(),
            model: Some("hut-writer".to_owned()),
            path_prefix: None,
            keyed_prefix: None,
            servers_by_domain: [("hall-a".to_owned(), 2)].into(),
            slots: 32,
            token_interval_ms: 5,
        }],
        workspaces: vec![WorkspacePlan {
            name: "labska".to_owned(),
            weight: 1.0,
            queued_max: None,
        }],
    }
}

/// Returns the settings with which a separate process joins the fleet. It listens on free ports.
fn settings_yaml(fleet: &Fleet) -> String {
    let mut text = format!(
        "instance: hall-a-2\nfailure_domain: hall-a\n\
         listen: {{callers: '127.0.0.1:0', peers: '127.0.0.1:0', admin: '127.0.0.1:0'}}\n\
         platform: {}\nlimits: {{stop_notice_ms: 200}}\ntrusted_keys:\n",
        fleet.platform.address()
    );
    // The keys with which a benchmark fleet signs its bundles.
    for (name, role, byte) in [("bench-author", "author", 1), ("bench-approver", "approver", 2)] {
        let key = hex::encode(SecretKey::from_bytes([byte; 32]).public().0);
        writeln!(text, "  - {{name: {name}, role: {role}, key: {key}}}").unwrap();
    }
    text.push_str("peers:\n");
    for daemon in fleet.daemons.values() {
        let (name, peers) = (daemon.instance(), daemon.addresses().peers);
        writeln!(
            text,
            "  - {{instance: {name}, failure_domain: hall-a, address: '{peers}'}}"
        )
        .unwrap();
    }
    text
}

/// Starts a process that joins the fleet, and returns it with its address for callers.
fn start_process(fleet: &Fleet, folder: &std::path::Path) -> (Child, SocketAddr) {
    let file = folder.join("hall-a-2.yaml");
    std::fs::write(&file, settings_yaml(fleet)).unwrap();
    let mut child = Command::new(env!("CARGO_BIN_EXE_reedsaild"))
        .arg("--config")
        .arg(&file)
        .env("RUST_LOG", "error")
        .stdout(Stdio::piped())
        // If the shell that started the tests ends, the kernel sends SIGHUP to a stopped process of their group.
        .process_group(0)
        .spawn()
        .unwrap();
    let mut line = String::new();
    let stdout = child.stdout.take().unwrap();
    BufReader::new(stdout).read_line(&mut line).unwrap();
    let address_text = line
        .split("callers=")
        .nth(1)
        .and_then(|rest| rest.split(' ').next());
    let address = address_text
        .and_then(|address| address.parse().ok())
        .expect("the daemon prints its addresses");
    (child, address)
}

fn signal(child: &Child, name: &str) {
    let sent = Command::new("kill")
        .arg(name)
        .arg(child.id().to_string())
        .status()
        .unwrap();
    assert!(sent.success());
}

fn plan(number: u64) -> RequestPlan {
    RequestPlan::Chat {
        model: "hut-writer".to_owned(),
        prompt: format!("prompt {number}"),
        tokens: 60,
        stream: true,
        class: "interactive".to_owned(),
    }
}

/// Sends requests until the process answers one, at most 200, and returns the outcome of the last one.
async fn retry_until_answered(address: SocketAddr) -> Outcome {
    // Overwritten by the first request.
    let mut outcome = Outcome::Crossed;
    for _ in 0..200 {
        outcome = Caller::run(address, "labska", &plan(9_999)).await.outcome;
        if outcome == Outcome::Answered {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    outcome
}

#[test]
fn sigterm_with_200_open_streams_aborts_none_and_exits_with_0() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let folder = tempfile::tempdir().unwrap();
        let fleet = Fleet::start(setup(), PolicyChoice::Fleet, PlatformConfig::default(), |_| {})
            .await
            .unwrap();
        let (mut child, address) = start_process(&fleet, folder.path());
        assert_eq!(
            retry_until_answered(address).await,
            Outcome::Answered,
            "the process must become ready"
        );
        let mut callers = JoinSet::new();
        for number in 0..200 {
            callers.spawn(async move { Caller::run(address, "labska", &plan(number)).await });
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
        signal(&child, "-TERM");
        for caller in callers.join_all().await {
            assert_eq!(caller.outcome, Outcome::Answered);
        }
        let status = tokio::task::spawn_blocking(move || child.wait())
            .await
            .unwrap()
            .unwrap();
        assert_eq!(status.code(), Some(0));
        fleet.close().await;
    });
}

#[test]
fn slots_of_a_process_paused_past_its_lease_go_to_the_other_daemon() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let folder = tempfile::tempdir().unwrap();
        let fleet = Fleet::start(setup(), PolicyChoice::Fleet, PlatformConfig::default(), |_| {})
            .await
            .unwrap();
        let (mut child, address) = start_process(&fleet, folder.path());
        assert_eq!(
            retry_until_answered(address).await,
            Outcome::Answered,
            "the process must become ready"
        );
        signal(&child, "-STOP");
        let other_address = fleet.callers["hall-a-1"];
        // The service has two backend servers with 32 slots each.
        let mut has_all_slots = false;
        for _ in 0..300 {
            has_all_slots = fleet.daemons["hall-a-1"].slot_counts("assistant-llm").0 == 64;
            if has_all_slots {
                break;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        assert!(
            has_all_slots,
            "the leases of the paused process expire, and its slots go to the other daemon"
        );
        assert_eq!(
            Caller::run(other_address, "labska", &plan(1)).await.outcome,
            Outcome::Answered
        );
        signal(&child, "-CONT");
        assert_eq!(
            Caller::run(address, "labska", &plan(2)).await.outcome,
            Outcome::Answered
        );
        signal(&child, "-TERM");
        let status = tokio::task::spawn_blocking(move || child.wait())
            .await
            .unwrap()
            .unwrap();
        assert_eq!(status.code(), Some(0));
        fleet.close().await;
    });
}

#[test]
fn the_version_flag_needs_no_settings() {
    let output = Command::new(env!("CARGO_BIN_EXE_reedsaild"))
        .arg("--version")
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(0));
    let text = String::from_utf8(output.stdout).unwrap();
    assert_eq!(text, format!("reedsaild {}\n", reedsail_daemon::BUILD));
}

#[test]
fn invalid_settings_exit_with_2_and_name_the_fault() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("wrong.yaml");
    std::fs::write(&file, "instance: hall a\n").unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_reedsaild"))
        .args(["--check", "--config"])
        .arg(&file)
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8(output.stderr).unwrap();
    assert!(
        text.contains("line 1, column 11: `instance`: invalid name `hall a`"),
        "{text}"
    );
    assert!(text.contains("key `platform` is missing"), "{text}");
}
