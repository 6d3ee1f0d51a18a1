//! What servers say of themselves in answers, against what lists and peers say.

use reedsail_core::NameHash;
use reedsail_core::ServerKey;
use reedsail_core::TimeMs;
use reedsail_dispatch::AllowedRegions;
use reedsail_dispatch::Attempt;
use reedsail_dispatch::AttemptOutcome;
use reedsail_dispatch::Decision;
use reedsail_dispatch::Demand;
use reedsail_dispatch::DispatchSettings;
use reedsail_dispatch::Dispatcher;
use reedsail_dispatch::LoadReport;
use reedsail_dispatch::ServerNotice;
use reedsail_dispatch::ServerSetup;

const START: TimeMs = TimeMs(10_000);
const DRAINING: ServerNotice = ServerNotice {
    is_draining: true,
    backoff_ms: None,
};

fn server(name: &str) -> ServerSetup {
    ServerSetup {
        name: NameHash::of(name),
        service: NameHash::of("app"),
        failure_domain: NameHash::of("hall-a"),
        region: None,
        slots: 8,
        is_draining: false,
        cold_until: None,
    }
}

fn instance(servers: &[&str]) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(DispatchSettings::default(), NameHash::of("hall-a"));
    let setups: Vec<ServerSetup> = servers.iter().map(|name| server(name)).collect();
    dispatcher.set_servers(&setups);
    dispatcher
}

fn key(dispatcher: &Dispatcher, name: &str) -> ServerKey {
    dispatcher.server_key(NameHash::of(name)).unwrap()
}

fn demand() -> Demand<'static> {
    Demand {
        service: NameHash::of("app"),
        workspace: NameHash::of("labska"),
        prompt: None,
        latency_target_ms: 800,
        waited_ms: 0,
        tried: &[],
        regions: &AllowedRegions::Any,
        fingerprint: None,
    }
}

/// Sends a request; `None` if it is refused.
fn send(dispatcher: &mut Dispatcher, now: TimeMs) -> Option<Attempt> {
    match dispatcher.decide(&demand(), now) {
        Decision::Send(placement) => Some(dispatcher.begin_attempt(&demand(), &placement, now)),
        Decision::Refuse { .. } | Decision::Quarantined => None,
    }
}

/// Tells whether a server gets any of a number of requests that run side by side.
fn gets_requests(dispatcher: &mut Dispatcher, name: &str, now: TimeMs) -> bool {
    let server = key(dispatcher, name);
    let attempts: Vec<Attempt> = (0..6).filter_map(|_| send(dispatcher, now)).collect();
    let is_there = attempts.iter().any(|attempt| attempt.server() == server);
    for mut attempt in attempts {
        dispatcher.record_first_event(&mut attempt, now);
        dispatcher.finish_attempt(attempt, AttemptOutcome::Answered, now);
    }
    is_there
}

fn draining_row(report: &LoadReport, name: &str) -> bool {
    let row = report.servers.iter().find(|row| row.server == NameHash::of(name));
    row.is_some_and(|row| row.is_draining)
}

#[test]
fn an_older_list_does_not_take_back_that_a_server_drains() {
    let mut dispatcher = instance(&["app-1", "app-2"]);
    let told = key(&dispatcher, "app-1");
    assert!(gets_requests(&mut dispatcher, "app-1", START));
    assert!(dispatcher.record_notice(told, DRAINING).is_draining);
    assert!(!dispatcher.record_notice(told, DRAINING).is_draining, "known");
    assert!(!gets_requests(&mut dispatcher, "app-1", START));
    // The same record once more, and the record after one that had lapsed.
    dispatcher.update_servers(&[server("app-1")], &[]);
    assert!(!gets_requests(&mut dispatcher, "app-1", START));
    dispatcher.update_servers(&[], &[NameHash::of("app-1")]);
    dispatcher.update_servers(&[server("app-1")], &[]);
    let much_later = START.plus_ms(600_000);
    assert!(!gets_requests(&mut dispatcher, "app-1", much_later));
    // The next start of the server is another one.
    dispatcher.set_servers(&[server("app-1@2")]);
    assert!(gets_requests(&mut dispatcher, "app-1@2", much_later));
}

#[test]
fn a_request_that_is_connecting_is_not_sent_to_a_server_that_drains_by_now() {
    let mut dispatcher = instance(&["app-1"]);
    let attempt = send(&mut dispatcher, START).unwrap();
    assert!(dispatcher.still_takes(attempt.server(), START));
    dispatcher.record_notice(attempt.server(), DRAINING);
    assert!(!dispatcher.still_takes(attempt.server(), START));
    assert!(send(&mut dispatcher, START).is_none());
}

#[test]
fn peers_are_told_for_as_long_as_the_list_does_not_say_it() {
    let mut first = instance(&["app-1", "app-2"]);
    let mut second = instance(&["app-1", "app-2"]);
    let told = key(&first, "app-1");
    first.record_notice(told, DRAINING);
    let report = first.report(START);
    assert!(draining_row(&report, "app-1") && !draining_row(&report, "app-2"));
    second.receive_report(NameHash::of("hall-a-1"), report, START);
    assert!(!gets_requests(&mut second, "app-1", START));
    // An instance tells what it was told itself; else two could tell each other for ever.
    assert!(!draining_row(&second.report(START), "app-1"));
    // One that starts later hears it as well.
    let later = START.plus_ms(60_000);
    assert!(draining_row(&first.report(later), "app-1"));
    let draining = ServerSetup {
        is_draining: true,
        ..server("app-1")
    };
    first.update_servers(&[draining], &[]);
    assert!(!draining_row(&first.report(later), "app-1"));
}
