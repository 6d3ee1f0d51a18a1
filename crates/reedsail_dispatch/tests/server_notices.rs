//! What servers say of themselves in answers, against what lists and peers say.

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
    answer(dispatcher, attempts, now);
    is_there
}

fn backoff(backoff_ms: u64) -> ServerNotice {
    ServerNotice {
        is_draining: false,
        backoff_ms: Some(backoff_ms),
    }
}

/// Has a server turn a request away and ask for time.
fn turn_away(dispatcher: &mut Dispatcher, backoff_ms: u64, now: TimeMs) -> ServerKey {
    let attempt = send(dispatcher, now).unwrap();
    let server = attempt.server();
    dispatcher.record_notice(server, backoff(backoff_ms), now);
    dispatcher.finish_attempt(attempt, AttemptOutcome::Rejected, now);
    server
}

/// Sends requests until one is refused; returns those that were sent.
fn send_all(dispatcher: &mut Dispatcher, now: TimeMs) -> Vec<Attempt> {
    let sent = (0..100).map_while(|_| send(dispatcher, now));
    sent.collect()
}

fn answer(dispatcher: &mut Dispatcher, attempts: Vec<Attempt>, now: TimeMs) {
    for mut attempt in attempts {
        dispatcher.record_first_event(&mut attempt, now);
        dispatcher.finish_attempt(attempt, AttemptOutcome::Answered, now);
    }
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
    assert!(dispatcher.record_notice(told, DRAINING, START).is_draining);
    assert!(
        !dispatcher.record_notice(told, DRAINING, START).is_draining,
        "known"
    );
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
    assert!(dispatcher.may_still_send_to(attempt.server(), START));
    dispatcher.record_notice(attempt.server(), DRAINING, START);
    assert!(!dispatcher.may_still_send_to(attempt.server(), START));
    assert!(send(&mut dispatcher, START).is_none());
}

#[test]
fn peers_are_told_for_as_long_as_the_list_does_not_say_it() {
    let mut first = instance(&["app-1", "app-2"]);
    let mut second = instance(&["app-1", "app-2"]);
    let told = key(&first, "app-1");
    first.record_notice(told, DRAINING, START);
    assert_eq!(first.take_draining_from_peers(), []);
    let report = first.report(START);
    assert!(draining_row(&report, "app-1") && !draining_row(&report, "app-2"));
    second.receive_report(NameHash::of("hall-a-1"), report, START);
    assert!(!gets_requests(&mut second, "app-1", START));
    assert_eq!(second.take_draining_from_peers(), [told]);
    assert_eq!(second.take_draining_from_peers(), []);
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

#[test]
fn a_server_that_asked_for_time_gets_nothing_until_it_is_over() {
    let mut dispatcher = instance(&["app-1", "app-2"]);
    let resting = turn_away(&mut dispatcher, 3_000, START);
    for after_ms in [0, 1_000, 2_999] {
        let now = START.plus_ms(after_ms);
        let sent = send_all(&mut dispatcher, now);
        assert!(!sent.is_empty());
        assert!(sent.iter().all(|attempt| attempt.server() != resting));
        assert!(
            !dispatcher.may_still_send_to(resting, now),
            "also not one that is connecting"
        );
        answer(&mut dispatcher, sent, now);
    }
    assert!(dispatcher.may_still_send_to(resting, START.plus_ms(3_000)));
}

#[test]
fn requests_return_one_by_one_and_twice_as_many_with_each_round_of_answers() {
    let mut dispatcher = instance(&["app-1"]);
    turn_away(&mut dispatcher, 3_000, START);
    let mut now = START.plus_ms(3_000);
    for expected in [1, 2, 4, 8] {
        let sent = send_all(&mut dispatcher, now);
        assert_eq!(sent.len(), expected);
        answer(&mut dispatcher, sent, now);
        now = now.plus_ms(30);
    }
    // As wide as the server has slots, the window bounds nothing any more.
    let sent = send_all(&mut dispatcher, now);
    assert!(sent.len() > 8, "{}", sent.len());
    answer(&mut dispatcher, sent, now);
    // Whatever becomes of a request, it makes room for another one.
    turn_away(&mut dispatcher, 1_000, now);
    now = now.plus_ms(1_000);
    let outcomes = [
        AttemptOutcome::Rejected,
        AttemptOutcome::Failed,
        AttemptOutcome::Abandoned,
    ];
    for outcome in outcomes {
        let mut sent = send_all(&mut dispatcher, now);
        assert_eq!(sent.len(), 1);
        dispatcher.finish_attempt(sent.remove(0), outcome, now);
    }
}

#[test]
fn a_caller_is_told_when_the_first_server_takes_requests_again() {
    let mut dispatcher = instance(&["app-1", "app-2"]);
    turn_away(&mut dispatcher, 3_000, START);
    turn_away(&mut dispatcher, 5_000, START);
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
                panic!("sent");
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
fn a_server_that_asks_for_time_has_not_failed() {
    let mut dispatcher = instance(&["app-1"]);
    for _ in 0..10 {
        turn_away(&mut dispatcher, 0, START);
    }
    let named = |report: &LoadReport| report.servers.first().map(|row| row.failure_rate);
    assert!(named(&dispatcher.report(START)).is_some_and(|rate| rate > 0));
    let mut dispatcher = instance(&["app-1"]);
    for round in 0..10 {
        turn_away(&mut dispatcher, 1_000, START.plus_ms(round * 1_000));
    }
    let report = dispatcher.report(START.plus_ms(9_000));
    assert_eq!(named(&report), Some(0));
    assert!(report.servers[0].is_backed_off);
    assert_eq!(dispatcher.backed_off(START.plus_ms(9_999)), 1);
    assert_eq!(dispatcher.backed_off(START.plus_ms(10_000)), 0);
}

#[test]
fn an_instance_whose_peer_was_asked_for_time_goes_on_through_a_window() {
    let mut first = instance(&["app-1"]);
    let mut second = instance(&["app-1"]);
    turn_away(&mut first, 3_000, START);
    let peer = NameHash::of("hall-a-1");
    second.receive_report(peer, first.report(START), START);
    let sent = send_all(&mut second, START);
    assert_eq!(sent.len(), 1);
    answer(&mut second, sent, START);
    // The same report again narrows nothing.
    second.receive_report(peer, first.report(START), START);
    assert_eq!(send_all(&mut second, START).len(), 2);
    // It was not asked itself, and tells nobody so.
    assert!(!second.report(START).servers[0].is_backed_off);
}
