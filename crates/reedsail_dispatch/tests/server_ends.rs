//! Which broken connections count as the end of a server.

use reedsail_core::Fingerprint;
use reedsail_core::NameHash;
use reedsail_core::TimeMs;
use reedsail_dispatch::AllowedRegions;
use reedsail_dispatch::AttemptOutcome;
use reedsail_dispatch::Decision;
use reedsail_dispatch::Demand;
use reedsail_dispatch::DispatchSettings;
use reedsail_dispatch::Dispatcher;
use reedsail_dispatch::LoadReport;
use reedsail_dispatch::Priority;
use reedsail_dispatch::ServerLoadRow;
use reedsail_dispatch::ServerSetup;
use reedsail_dispatch::SoftwareVersion;
use reedsail_dispatch::VersionDemand;

const BROKE_AT: TimeMs = TimeMs(10_000);
const REQUEST: Fingerprint = Fingerprint(7);

fn setup(is_draining: bool) -> ServerSetup {
    ServerSetup {
        name: NameHash::of("server"),
        service: NameHash::of("service"),
        failure_domain: NameHash::of("domain"),
        region: None,
        slots: 4,
        is_draining,
        cold_until: None,
        version: SoftwareVersion::of("v1"),
    }
}

fn demand() -> Demand<'static> {
    Demand {
        service: NameHash::of("service"),
        workspace: NameHash::of("workspace"),
        prompt: None,
        latency_target_ms: 500,
        gap_target_ms: None,
        priority: Priority::default(),
        waited_ms: 0,
        tried: &[],
        regions: &AllowedRegions::Any,
        fingerprint: Some(REQUEST),
        version: VersionDemand::Any,
    }
}

/// Returns an instance with one attempt that ended with this outcome.
fn instance_after(outcome: AttemptOutcome) -> Dispatcher {
    let mut instance = Dispatcher::new(DispatchSettings::default(), NameHash::of("domain"));
    instance.set_servers(&[setup(false)]);
    end_attempt(&mut instance, outcome, BROKE_AT);
    instance
}

fn end_attempt(instance: &mut Dispatcher, outcome: AttemptOutcome, now: TimeMs) {
    let Decision::Send(placement) = instance.decide(&demand(), now) else {
        panic!("the request was not sent");
    };
    let mut attempt = instance.begin_attempt(&demand(), &placement, now);
    attempt.set_written(true);
    instance.finish_attempt(attempt, outcome, now);
}

/// Returns the requests of all server ends that are detected by `now`.
fn ended_requests(instance: &mut Dispatcher, now: TimeMs) -> Vec<Fingerprint> {
    instance.tick(now);
    let server_ends = instance.take_server_ends();
    server_ends
        .iter()
        .flat_map(|end| end.requests.iter().map(|request| request.fingerprint))
        .collect()
}

fn report_down(instance: &mut Dispatcher, now: TimeMs) {
    let report = LoadReport {
        servers: vec![ServerLoadRow {
            server: NameHash::of("server"),
            is_down: true,
            is_draining: false,
            is_backed_off: false,
            ..ServerLoadRow::default()
        }],
        ..LoadReport::default()
    };
    instance.receive_report(NameHash::of("peer"), report, now);
}

#[test]
fn a_broken_connection_alone_is_no_server_end() {
    let mut instance = instance_after(AttemptOutcome::Broken);
    assert_eq!(ended_requests(&mut instance, BROKE_AT.plus_ms(50)), []);
}

#[test]
fn a_server_that_no_longer_listens_has_ended_once() {
    let mut instance = instance_after(AttemptOutcome::Broken);
    end_attempt(&mut instance, AttemptOutcome::Down, BROKE_AT.plus_ms(3));
    assert_eq!(ended_requests(&mut instance, BROKE_AT.plus_ms(50)), [REQUEST]);
    assert_eq!(ended_requests(&mut instance, BROKE_AT.plus_ms(100)), []);
}

#[test]
fn a_connect_refused_just_before_the_break_was_read_shows_the_end() {
    let mut instance = instance_after(AttemptOutcome::Broken);
    end_attempt(&mut instance, AttemptOutcome::Down, TimeMs(BROKE_AT.0 - 20));
    assert_eq!(ended_requests(&mut instance, BROKE_AT.plus_ms(50)), [REQUEST]);
}

#[test]
fn a_peers_report_shows_the_end_as_well() {
    let mut instance = instance_after(AttemptOutcome::Broken);
    report_down(&mut instance, BROKE_AT.plus_ms(80));
    assert_eq!(ended_requests(&mut instance, BROKE_AT.plus_ms(100)), [REQUEST]);
}

#[test]
fn a_server_whose_record_is_gone_has_ended() {
    let mut instance = instance_after(AttemptOutcome::Broken);
    instance.set_servers(&[]);
    assert_eq!(ended_requests(&mut instance, BROKE_AT.plus_ms(3_300)), [REQUEST]);
}

#[test]
fn a_server_that_drained_has_ended_as_planned() {
    let mut instance = instance_after(AttemptOutcome::Broken);
    instance.set_servers(&[setup(true)]);
    instance.set_servers(&[]);
    assert_eq!(ended_requests(&mut instance, BROKE_AT.plus_ms(1_000)), []);
}

#[test]
fn an_end_long_after_the_break_is_not_attributed_to_the_request() {
    let mut instance = instance_after(AttemptOutcome::Broken);
    assert_eq!(ended_requests(&mut instance, BROKE_AT.plus_ms(5_000)), []);
    report_down(&mut instance, BROKE_AT.plus_ms(5_050));
    assert_eq!(ended_requests(&mut instance, BROKE_AT.plus_ms(5_100)), []);
}

#[test]
fn requests_with_other_outcomes_are_not_attributed_to_an_end() {
    for outcome in [
        AttemptOutcome::Answered,
        AttemptOutcome::Failed,
        AttemptOutcome::Rejected,
        AttemptOutcome::Abandoned,
    ] {
        let mut instance = instance_after(outcome);
        report_down(&mut instance, BROKE_AT.plus_ms(10));
        assert_eq!(
            ended_requests(&mut instance, BROKE_AT.plus_ms(50)),
            [],
            "{outcome:?}"
        );
    }
}

/// A check that another answer asked for may be under way when the server ends.
#[test]
fn a_check_that_began_before_the_break_does_not_show_that_the_server_runs() {
    let mut instance = instance_after(AttemptOutcome::Broken);
    let server = instance.server_key(NameHash::of("server")).unwrap();
    let checked_at = TimeMs(BROKE_AT.0 - 1);
    instance.record_check(server, true, checked_at, BROKE_AT);
    instance.set_servers(&[]);
    assert_eq!(ended_requests(&mut instance, BROKE_AT.plus_ms(50)), [REQUEST]);
}
