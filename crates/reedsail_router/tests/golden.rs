//! Snapshots of a router's interface to operators and other instances: settings, metrics, log lines, and the pages that
//! peers fetch. A changed snapshot means a changed name that operators or other instances rely on.

mod common;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Mutex;

use reedsail_core::NameHash;
use reedsail_core::StorePosition;
use reedsail_dispatch::EvacuationRow;
use reedsail_dispatch::EvacuationUpdate;
use reedsail_dispatch::ServerChange;
use reedsail_dispatch::ServerRecord;
use reedsail_dispatch::ServerUpdate;
use reedsail_document::render_faults;
use reedsail_events::Event;
use reedsail_events::EventKind;
use reedsail_router::Configuration;
use reedsail_router::OperatorUpdate;
use reedsail_router::RouterSettings;
use reedsail_router::RunningRouter;
use reedsail_router::SourceError;
use reedsail_router::Sources;
use reedsail_standin::RoutedAnswer;
use tokio::sync::mpsc;

use common::BUILD;
use common::Caller;
use common::ChannelSource;
use common::HEADERS;
use common::MemoryQuarantine;
use common::RouterFixture;
use common::Store;
use common::ask;
use common::configuration;
use common::read_body;
use common::request;
use common::settings;
use common::start;
use common::upload;
use common::wait_for;
use common::wait_until_ready;

const FULL_SETTINGS: &str = "\
instance: hall-a-1
failure_domain: hall-a
listen:
  callers: 127.0.0.1:1
  readiness: 127.0.0.1:2
  admin: 127.0.0.1:3
  peers: 127.0.0.1:4
readiness_path: /ready
store: 127.0.0.1:5
seeds: [127.0.0.1:6, 127.0.0.1:7]
memory_mb: 200
body_memory_mb: 60
processor_share: 0.12
stop:
  accept_ms: 11
  end_ms: 12
dispatch:
  repeat_ratio: 0.5
  repeat_window_ms: 13
  repeat_slack: 14
  share_window_ms: 15
  report_valid_ms: 16
log_lines_per_s: 17
";

const MINIMAL_SETTINGS: &str = "\
instance: hall-a-1
failure_domain: hall-a
listen: {callers: 127.0.0.1:1, readiness: 127.0.0.1:2, admin: 127.0.0.1:3, peers: 127.0.0.1:4}
readiness_path: /ready
store: 127.0.0.1:5
";

/// Lists every value under its key in the settings file.
fn render_settings(settings: &RouterSettings) -> String {
    let listen = settings.listen;
    let (stop, dispatch) = (settings.stop, settings.dispatch);
    let rows = [
        ("instance", settings.instance.clone()),
        ("failure_domain", settings.failure_domain.clone()),
        ("listen.callers", listen.callers.to_string()),
        ("listen.readiness", listen.readiness.to_string()),
        ("listen.admin", listen.admin.to_string()),
        ("listen.peers", listen.peers.to_string()),
        ("readiness_path", settings.readiness_path.clone()),
        ("store", settings.store.to_string()),
        ("seeds", format!("{:?}", settings.seeds)),
        ("memory_mb", settings.memory_mb.to_string()),
        ("body_memory_mb", settings.body_memory_mb.to_string()),
        (
            "memory_mb, open requests",
            settings.open_requests_max().to_string(),
        ),
        ("memory_mb, connections", settings.connections_max().to_string()),
        ("processor_share", settings.processor_share.to_string()),
        (
            "processor_share, thousandths",
            settings.processor_milli().to_string(),
        ),
        ("stop.accept_ms", stop.accept_ms.to_string()),
        ("stop.end_ms", stop.end_ms.to_string()),
        ("dispatch.repeat_ratio", dispatch.retry_ratio.to_string()),
        ("dispatch.repeat_window_ms", dispatch.retry_window_ms.to_string()),
        ("dispatch.repeat_slack", dispatch.retry_slack.to_string()),
        ("dispatch.share_window_ms", dispatch.share_window_ms.to_string()),
        ("dispatch.report_valid_ms", dispatch.report_valid_ms.to_string()),
        ("log_lines_per_s", settings.log_lines_per_s.to_string()),
    ];
    rows.map(|(key, value)| format!("{key} = {value}\n")).concat()
}

#[test]
fn settings_keep_their_keys_and_defaults() {
    insta::assert_snapshot!(
        "settings_full",
        render_settings(&RouterSettings::read(FULL_SETTINGS).unwrap())
    );
    insta::assert_snapshot!(
        "settings_least",
        render_settings(&RouterSettings::read(MINIMAL_SETTINGS).unwrap())
    );
}

#[test]
fn settings_faults_keep_their_texts() {
    let bad = "\
instance: 'a b'
failure_domain: ''
listen: {callers: here, readiness: 1, admin: [], peers: 127.0.0.1:99999, colour: red}
readiness_path: {}
store: nowhere
seeds: [127.0.0.1]
memory_mb: 1
body_memory_mb: 0
processor_share: 0
stop: {accept_ms: 0, end_ms: 86400001, colour: red}
dispatch: {repeat_ratio: -1, repeat_window_ms: 0, repeat_slack: x, share_window_ms: -1, report_valid_ms: 1.5}
log_lines_per_s: 0
colour: red
";
    insta::assert_snapshot!(
        "settings_faults",
        render_faults(&RouterSettings::read(bad).unwrap_err())
    );
    let order = format!("{MINIMAL_SETTINGS}stop: {{accept_ms: 9, end_ms: 8}}\n");
    insta::assert_snapshot!(
        "settings_order",
        render_faults(&RouterSettings::read(&order).unwrap_err())
    );
    insta::assert_snapshot!(
        "settings_none",
        render_faults(&RouterSettings::read("{}").unwrap_err())
    );
}

#[tokio::test]
async fn peer_pages_keep_their_format() {
    let fixture = RouterFixture::start().await;
    let peers = fixture.router.addresses().peers;
    let page = ask(peers, "/configuration", &[]).await;
    assert_eq!(page.header("content-type"), "application/json");
    insta::assert_snapshot!("page_configuration", page.text());
    let servers = ask(peers, "/servers", &[]).await;
    assert_eq!(servers.header("content-type"), "application/json");
    let mut text = servers.text().to_owned();
    for (server, name) in [(&fixture.app, "APP"), (&fixture.llm, "LLM")] {
        text = text.replace(&server.address().to_string(), name);
    }
    let mut parsed: serde_json::Value = serde_json::from_str(&text).unwrap();
    parsed["age_ms"] = 0.into();
    let records = parsed["records"].as_array_mut().unwrap();
    records.sort_by_key(|record| record["id"].to_string());
    insta::assert_snapshot!("page_servers", parsed.to_string());
}

/// Returns the names of the metrics on a page, each with its labels and their values.
fn metric_names(page: &str) -> String {
    let mut names = BTreeSet::new();
    for line in page.lines().filter(|line| !line.starts_with('#')) {
        names.insert(line.rsplit_once(' ').unwrap().0.to_owned());
    }
    names.into_iter().map(|name| name + "\n").collect()
}

#[tokio::test]
async fn metrics_keep_their_names_and_labels() {
    let fixture = RouterFixture::start().await;
    let second = fixture.add_server("app-2", "app").await;
    let failure = RoutedAnswer::Whole {
        status: 500,
        bytes: 1,
    };
    let whole = RoutedAnswer::Whole {
        status: 200,
        bytes: 1,
    };
    for (bad, good) in [(&fixture.app, &second), (&second, &fixture.app)] {
        bad.answer_with(&[failure]);
        good.answer_with(&[whole]);
        ask(fixture.callers(), "/again/", &[]).await;
    }
    ask(fixture.callers(), "/nowhere/", &[]).await;
    let mut other = settings("hall-a-2");
    other.seeds = vec![fixture.router.addresses().peers];
    let other = start(&Store::new(None, None), other);
    wait_until_ready(&other).await;
    let admin = fixture.router.addresses().admin;
    wait_for("every metric", async || {
        let page = ask(admin, "/metrics", &[]).await;
        let page = page.text();
        ["sent", "received", "servers", "unknown_route", "server_failure"]
            .iter()
            .all(|value| page.contains(&format!("\"{value}\"")))
    })
    .await;
    let page = ask(admin, "/metrics", &[]).await;
    insta::assert_snapshot!("metrics", metric_names(page.text()));
}

/// A logger that keeps every log line of this process.
struct Lines(Mutex<Vec<String>>);

static LINES: Lines = Lines(Mutex::new(Vec::new()));

impl log::Log for Lines {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        if record.target() == "reedsail" {
            self.0.lock().unwrap().push(record.args().to_string());
        }
    }

    fn flush(&self) {}
}

fn has_line(kind: EventKind, text: &str) -> bool {
    let name = format!("\"name\":\"{}\"", kind.name());
    let lines = LINES.0.lock().unwrap();
    lines
        .iter()
        .any(|line| line.contains(&name) && line.contains(text))
}

async fn wait_for_line(kind: EventKind, text: &str) {
    wait_for(kind.name(), async || has_line(kind, text)).await;
}

fn server(is_draining: bool) -> ServerRecord {
    ServerRecord {
        id: "app-1".to_owned(),
        service: "app".to_owned(),
        address: "127.0.0.1:9".parse().unwrap(),
        failure_domain: "hall-a".to_owned(),
        slots: 4,
        is_draining,
        cold_left_ms: 0,
        born_ms: None,
        software_version: Some("v1".to_owned()),
    }
}

fn configuration_update(configuration: Result<Configuration, SourceError>) -> OperatorUpdate {
    OperatorUpdate {
        configuration: Some(configuration),
        ..OperatorUpdate::default()
    }
}

fn evacuation_update(revision: u64, is_active: bool) -> OperatorUpdate {
    let row = EvacuationRow {
        failure_domain: NameHash::of("hall-a"),
        revision: StorePosition::new(0, revision),
        is_active,
    };
    OperatorUpdate {
        evacuations: EvacuationUpdate {
            rows: vec![row],
            whole_until: None,
        },
        ..OperatorUpdate::default()
    }
}

/// Triggers every kind of change of a router's control state.
async fn trigger_state_changes() {
    let (configurations, source) = mpsc::unbounded_channel();
    let (servers, server_source) = mpsc::unbounded_channel();
    let make_sources = move || Sources {
        operator: ChannelSource(source),
        servers: ChannelSource(server_source),
        quarantine: MemoryQuarantine::default(),
    };
    let router = RunningRouter::start(BUILD, settings("hall-b-1"), HEADERS, make_sources).unwrap();
    let send_changes_at = |offset: u64, changes: Vec<ServerChange>| {
        let position = StorePosition::new(0, offset);
        let update = ServerUpdate {
            revision: position,
            is_whole: false,
            changes: changes.into_iter().map(|change| change.at(position)).collect(),
        };
        servers.send(Ok(update)).unwrap();
    };
    let mut offset = 0;
    let mut send_changes = |changes: Vec<ServerChange>| {
        offset += 1;
        send_changes_at(offset, changes);
    };
    configurations
        .send(Ok(configuration_update(Ok(configuration(1)))))
        .unwrap();
    wait_for_line(EventKind::ConfigurationInForce, "hall-b-1").await;
    let unreadable = SourceError::Unreadable("it is torn".to_owned());
    configurations
        .send(Ok(configuration_update(Err(unreadable))))
        .unwrap();
    wait_for_line(EventKind::ConfigurationInvalid, "torn").await;
    wait_for_line(EventKind::SourceLost, "hall-b-1").await;
    configurations
        .send(Ok(configuration_update(Ok(configuration(2)))))
        .unwrap();
    wait_for_line(EventKind::SourceBack, "hall-b-1").await;
    send_changes(vec![ServerChange::Announced(server(false))]);
    wait_for_line(EventKind::ServerListed, "hall-b-1").await;
    send_changes_at(1, vec![ServerChange::Announced(server(true))]);
    wait_for_line(EventKind::ServerRecordsOutdated, "hall-b-1").await;
    let restarted = ServerRecord {
        born_ms: Some(1_796_246_000_000),
        ..server(false)
    };
    send_changes(vec![ServerChange::Announced(restarted.clone())]);
    wait_for_line(EventKind::ServerRestarted, "hall-b-1").await;
    send_changes(vec![ServerChange::Announced(ServerRecord {
        cold_left_ms: 2_000,
        ..restarted
    })]);
    wait_for_line(EventKind::ServerCold, "hall-b-1").await;
    for (revision, is_active) in [(1, true), (2, false)] {
        configurations
            .send(Ok(evacuation_update(revision, is_active)))
            .unwrap();
    }
    wait_for_line(EventKind::DomainEvacuated, "hall-b-1").await;
    wait_for_line(EventKind::DomainReturned, "hall-b-1").await;
    send_changes(vec![ServerChange::Announced(server(true))]);
    wait_for_line(EventKind::ServerDraining, "hall-b-1").await;
    send_changes(vec![ServerChange::Unreadable {
        id: "app-2".to_owned(),
        fault: "it is torn".to_owned(),
    }]);
    wait_for_line(EventKind::ServerRecordInvalid, "hall-b-1").await;
    send_changes(vec![ServerChange::Dropped {
        id: "app-1".to_owned(),
    }]);
    wait_for_line(EventKind::ServerUnlisted, "hall-b-1").await;
    router.report_invalid_settings("they are torn");
    router.reload(&settings("hall-b-1")).await;
    router.kill();
}

/// Triggers every outcome of a request that has its own kind of log line.
async fn send_requests(fixture: &RouterFixture) {
    let second = fixture.add_server("llm-2", "llm").await;
    let broken_stream = RoutedAnswer::Stream {
        events: 6,
        pause_after: Some(3),
    };
    let whole = RoutedAnswer::Stream {
        events: 6,
        pause_after: None,
    };
    fixture.llm.answer_with(&[broken_stream, whole]);
    second.answer_with(&[broken_stream, whole]);
    let mut caller = Caller::connect(fixture.callers()).await;
    let mut body = caller.send(request("/resume/", &[])).await.into_body();
    read_body(&mut body, Some("id: 3")).await;
    let (first, other) = if fixture.llm.runs().is_empty() {
        (&second, &fixture.llm)
    } else {
        (&fixture.llm, &second)
    };
    other.answer_with(&[whole]);
    first.crash();
    read_body(&mut body, None).await;
    let failure = RoutedAnswer::Whole {
        status: 500,
        bytes: 1,
    };
    fixture.app.answer_with(&[failure]);
    ask(fixture.callers(), "/again/", &[]).await;
    ask(fixture.callers(), "/nowhere/", &[]).await;
    fixture.app.answer_with(&[RoutedAnswer::NotRun]);
    ask(fixture.callers(), "/once/", &[]).await;
    continue_streams(fixture).await;
}

/// Continues a stream that the router knows, and one that it does not know.
async fn continue_streams(fixture: &RouterFixture) {
    let stream = RoutedAnswer::Stream {
        events: 2,
        pause_after: None,
    };
    fixture.llm.answer_with(&[stream]);
    let first = [("reedsail-request-id", "first")];
    ask(fixture.callers(), "/resume/", &first).await;
    for first_attempt in ["first", "never-sent"] {
        let continuation = [
            ("reedsail-request-id", "second"),
            ("reedsail-resumes", first_attempt),
            ("last-event-id", "1"),
        ];
        ask(fixture.callers(), "/resume/", &continuation).await;
    }
}

/// Sends a request and receives an answer for whose bodies a router has no room.
async fn exceed_body_memory() {
    let fixture = RouterFixture::start_with(|settings| settings.body_memory_mb = 1).await;
    fixture.app.answer_with(&[RoutedAnswer::Whole {
        status: 200,
        bytes: 1_500_000,
    }]);
    let mut caller = Caller::connect(fixture.callers()).await;
    let refused = common::read(caller.send(upload("/once/", &[], 1_500_000)).await).await;
    assert!(refused.text().starts_with("no_body_room"), "{}", refused.text());
    assert_eq!(caller.ask("/once/", &[]).await.body.len(), 1_500_000);
}

/// Fills a router with requests that are never answered, and stops it with the requests still open.
async fn stop_a_full_router() {
    let fixture = RouterFixture::start_with(|settings| {
        "hall-c-1".clone_into(&mut settings.instance);
        settings.memory_mb = 1;
        settings.stop.accept_ms = 10;
        settings.stop.end_ms = 400;
    })
    .await;
    fixture.app.answer_with(&[RoutedAnswer::Silent]);
    let callers = fixture.callers();
    let waiting: Vec<_> = (0..4)
        .map(|_| tokio::spawn(async move { ask(callers, "/once/", &[]).await }))
        .collect();
    wait_for_line(EventKind::CallersShed, "hall-c-1").await;
    assert!(!fixture.router.close().await);
    for request_task in waiting {
        request_task.abort();
    }
}

/// Returns the field names of each logged event, and the values of fields whose values are fixed names.
fn log_line_formats() -> String {
    const NAMES: &[&str] = &["origin", "outcome", "ran", "source"];
    let mut fields_by_event: BTreeMap<(u16, String), BTreeSet<String>> = BTreeMap::new();
    for line in LINES.0.lock().unwrap().iter() {
        let event = Event::parse(line).unwrap();
        let fields = fields_by_event.entry((event.number, event.name)).or_default();
        for (name, value) in event.fields {
            fields.insert(if NAMES.contains(&name.as_str()) {
                format!("{name}={value}")
            } else {
                name
            });
        }
    }
    let row = |((number, name), fields): (&(u16, String), &BTreeSet<String>)| {
        let fields: Vec<&str> = fields.iter().map(String::as_str).collect();
        format!("{number} {name}: {}\n", fields.join(", "))
    };
    fields_by_event.iter().map(row).collect()
}

#[tokio::test]
async fn log_lines_keep_their_numbers_names_and_fields() {
    log::set_logger(&LINES).unwrap();
    log::set_max_level(log::LevelFilter::Trace);
    trigger_state_changes().await;
    let fixture = RouterFixture::start().await;
    send_requests(&fixture).await;
    let mut other = settings("hall-a-2");
    other.seeds = vec![fixture.router.addresses().peers];
    let other = start(&Store::new(None, None), other);
    wait_for_line(EventKind::PeerAlive, "\"hall-a-1\"").await;
    wait_until_ready(&other).await;
    other.kill();
    wait_for_line(EventKind::PeerSuspected, "\"hall-a-1\"").await;
    exceed_body_memory().await;
    stop_a_full_router().await;
    let router = start(&Store::new(None, None), {
        let mut settings = settings("hall-d-1");
        settings.stop.accept_ms = 1;
        settings
    });
    assert!(router.close().await);
    insta::assert_snapshot!("log_lines", log_line_formats());
}
