//! Notices of servers in answers, against what lists and peers say.

use reedsail_core::ErrorKind;
use reedsail_core::Fingerprint;
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
use reedsail_dispatch::Priority;
use reedsail_dispatch::ServerNotice;
use reedsail_dispatch::ServerSetup;
use reedsail_dispatch::SoftwareVersion;
use reedsail_dispatch::VersionDemand;

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
        version: SoftwareVersion::of("v1"),
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
        gap_target_ms: None,
        priority: Priority::default(),
        waited_ms: 0,
        tried: &[],
        regions: &AllowedRegions::Any,
        fingerprint: None,
        version: VersionDemand::Any,
    }
}

/// Sends a request. Returns `None` if it is refused.
fn send(dispatcher: &mut Dispatcher, now: TimeMs) -> Option<Attempt> {
    match dispatcher.decide(&demand(), now) {
        Decision::Send(placement) => Some(dispatcher.begin_attempt(&demand(), &placement, now)),
        Decision::Refuse { .. } | Decision::Quarantined(_) | Decision::VersionGone => None,
    }
}

/// Returns whether a server gets any of several concurrent requests.
fn gets_requests(dispatcher: &mut Dispatcher, name: &str, now: TimeMs) -> bool {
    let server = key(dispatcher, name);
    let attempts: Vec<Attempt> = (0..6).filter_map(|_| send(dispatcher, now)).collect();
    let has_request = attempts.iter().any(|attempt| attempt.server() == server);
    answer(dispatcher, attempts, now);
    has_request
}

fn backoff(backoff_ms: u64) -> ServerNotice {
    ServerNotice {
        is_draining: false,
        backoff_ms: Some(backoff_ms),
    }
}

/// Makes a server reject a request and ask for back-off. Returns the server.
fn reject_with_backoff(dispatcher: &mut Dispatcher, backoff_ms: u64, now: TimeMs) -> ServerKey {
    let attempt = send(dispatcher, now).unwrap();
    let server = attempt.server();
    dispatcher.record_notice(server, backoff(backoff_ms), now);
    dispatcher.finish_attempt(attempt, AttemptOutcome::Rejected, now);
    server
}

/// Sends requests until one is refused. Returns the sent ones.
fn send_until_refused(dispatcher: &mut Dispatcher, now: TimeMs) -> Vec<Attempt> {
    let sent = (0..100).map_while(|_| send(dispatcher, now));
    sent.collect()
}

fn answer(dispatcher: &mut Dispatcher, attempts: Vec<Attempt>, now: TimeMs) {
    for mut attempt in attempts {
        dispatcher.record_first_event(&mut attempt, now);
        dispatcher.finish_attempt(attempt, AttemptOutcome::Answered, now);
    }
}

fn is_reported_draining(report: &LoadReport, name: &str) -> bool {
    let row = report.servers.iter().find(|row| row.server == NameHash::of(name));
    row.is_some_and(|row| row.is_draining)
}

#[test]
fn an_older_list_does_not_revoke_a_draining_notice() {
    let mut dispatcher = instance(&["app-1", "app-2"]);
    let draining_server = key(&dispatcher, "app-1");
    assert!(gets_requests(&mut dispatcher, "app-1", START));
    assert!(
        dispatcher
            .record_notice(draining_server, DRAINING, START)
            .is_draining
    );
    assert!(
        !dispatcher
            .record_notice(draining_server, DRAINING, START)
            .is_draining,
        "must be known already"
    );
    assert!(!gets_requests(&mut dispatcher, "app-1", START));
    // The same record once more, and a new record after the first has expired.
    dispatcher.update_servers(&[server("app-1")], &[]);
    assert!(!gets_requests(&mut dispatcher, "app-1", START));
    dispatcher.update_servers(&[], &[NameHash::of("app-1")]);
    dispatcher.update_servers(&[server("app-1")], &[]);
    let much_later = START.plus_ms(600_000);
    assert!(!gets_requests(&mut dispatcher, "app-1", much_later));
    // A restart of the server is a new incarnation.
    dispatcher.set_servers(&[server("app-1@2")]);
    assert!(gets_requests(&mut dispatcher, "app-1@2", much_later));
}

#[test]
fn a_connecting_request_is_not_sent_to_a_server_that_has_started_draining() {
    let mut dispatcher = instance(&["app-1"]);
    let attempt = send(&mut dispatcher, START).unwrap();
    assert!(dispatcher.may_still_send_to(attempt.server(), START));
    dispatcher.record_notice(attempt.server(), DRAINING, START);
    assert!(!dispatcher.may_still_send_to(attempt.server(), START));
    assert!(send(&mut dispatcher, START).is_none());
}

#[test]
fn a_draining_notice_is_reported_to_peers_until_the_list_shows_it() {
    let mut first = instance(&["app-1", "app-2"]);
    let mut second = instance(&["app-1", "app-2"]);
    let draining_server = key(&first, "app-1");
    first.record_notice(draining_server, DRAINING, START);
    assert_eq!(first.take_draining_from_peers(), []);
    let report = first.report(START);
    assert!(is_reported_draining(&report, "app-1") && !is_reported_draining(&report, "app-2"));
    second.receive_report(NameHash::of("hall-a-1"), report, START);
    assert!(!gets_requests(&mut second, "app-1", START));
    assert_eq!(second.take_draining_from_peers(), [draining_server]);
    assert_eq!(second.take_draining_from_peers(), []);
    // An instance reports only what servers told it directly. Otherwise two instances could keep reporting it to each
    // other forever.
    assert!(!is_reported_draining(&second.report(START), "app-1"));
    // An instance that starts later learns it as well.
    let later = START.plus_ms(60_000);
    assert!(is_reported_draining(&first.report(later), "app-1"));
    let draining = ServerSetup {
        is_draining: true,
        ..server("app-1")
    };
    first.update_servers(&[draining], &[]);
    assert!(!is_reported_draining(&first.report(later), "app-1"));
}

#[test]
fn a_server_that_asked_for_backoff_gets_no_requests_until_it_ends() {
    let mut dispatcher = instance(&["app-1", "app-2"]);
    let backed_off_server = reject_with_backoff(&mut dispatcher, 3_000, START);
    for after_ms in [0, 1_000, 2_999] {
        let now = START.plus_ms(after_ms);
        let sent = send_until_refused(&mut dispatcher, now);
        assert!(!sent.is_empty());
        assert!(sent.iter().all(|attempt| attempt.server() != backed_off_server));
        assert!(
            !dispatcher.may_still_send_to(backed_off_server, now),
            "a connecting request must not be sent either"
        );
        answer(&mut dispatcher, sent, now);
    }
    assert!(dispatcher.may_still_send_to(backed_off_server, START.plus_ms(3_000)));
}

#[test]
fn the_window_doubles_with_each_round_of_answers() {
    let mut dispatcher = instance(&["app-1"]);
    reject_with_backoff(&mut dispatcher, 3_000, START);
    let mut now = START.plus_ms(3_000);
    for expected in [1, 2, 4, 8] {
        let sent = send_until_refused(&mut dispatcher, now);
        assert_eq!(sent.len(), expected);
        answer(&mut dispatcher, sent, now);
        now = now.plus_ms(30);
    }
    // Once the window is as wide as the server has slots, it no longer limits anything.
    let sent = send_until_refused(&mut dispatcher, now);
    assert!(sent.len() > 8, "{}", sent.len());
    answer(&mut dispatcher, sent, now);
    // A finished request returns its permit, whatever its outcome.
    reject_with_backoff(&mut dispatcher, 1_000, now);
    now = now.plus_ms(1_000);
    let outcomes = [
        AttemptOutcome::Rejected,
        AttemptOutcome::Failed,
        AttemptOutcome::Abandoned,
    ];
    for outcome in outcomes {
        let mut sent = send_until_refused(&mut dispatcher, now);
        assert_eq!(sent.len(), 1);
        dispatcher.finish_attempt(sent.remove(0), outcome, now);
    }
}

#[test]
fn a_refusal_tells_when_the_first_backoff_ends() {
    let mut dispatcher = instance(&["app-1", "app-2"]);
    reject_with_backoff(&mut dispatcher, 3_000, START);
    reject_with_backoff(&mut dispatcher, 5_000, START);
    for (now, left_ms) in [(START, 3_000), (START.plus_ms(1_200), 1_800)] {
        for fingerprint in 0..1_000_u128 {
            let demand = Demand {
                fingerprint: Some(Fingerprint(fingerprint * 7_919)),
                ..demand()
            };
            let Decision::Refuse {
                kind, retry_after_ms, ..
            } = dispatcher.decide(&demand, now)
            else {
                panic!("the request was not refused");
            };
            assert_eq!(kind, ErrorKind::BackendsBackedOff);
            assert!(
                (left_ms..left_ms + 500).contains(&retry_after_ms),
                "{retry_after_ms}"
            );
        }
    }
}

#[test]
fn a_server_that_asks_for_backoff_has_not_failed() {
    let mut dispatcher = instance(&["app-1"]);
    for _ in 0..10 {
        reject_with_backoff(&mut dispatcher, 0, START);
    }
    let failure_rate_byte = |report: &LoadReport| report.servers.first().map(|row| row.failure_rate);
    assert!(failure_rate_byte(&dispatcher.report(START)).is_some_and(|rate| rate > 0));
    let mut dispatcher = instance(&["app-1"]);
    for round in 0..10 {
        reject_with_backoff(&mut dispatcher, 1_000, START.plus_ms(round * 1_000));
    }
    let report = dispatcher.report(START.plus_ms(9_000));
    assert_eq!(failure_rate_byte(&report), Some(0));
    assert!(report.servers[0].is_backed_off);
    assert_eq!(dispatcher.backed_off(START.plus_ms(9_999)), 1);
    assert_eq!(dispatcher.backed_off(START.plus_ms(10_000)), 0);
}

#[test]
fn an_instance_whose_peer_was_asked_for_backoff_sends_through_a_window() {
    let mut first = instance(&["app-1"]);
    let mut second = instance(&["app-1"]);
    reject_with_backoff(&mut first, 3_000, START);
    let peer = NameHash::of("hall-a-1");
    second.receive_report(peer, first.report(START), START);
    let sent = send_until_refused(&mut second, START);
    assert_eq!(sent.len(), 1);
    answer(&mut second, sent, START);
    // A repeated report does not narrow the window again.
    second.receive_report(peer, first.report(START), START);
    assert_eq!(send_until_refused(&mut second, START).len(), 2);
    // The server did not ask this instance for back-off, so the instance does not report one.
    assert!(!second.report(START).servers[0].is_backed_off);
}
