//! Services without prompts. Their expected times are learned only from their answers.

use reedsail_core::NameHash;
use reedsail_core::TimeMs;
use reedsail_dispatch::AllowedRegions;
use reedsail_dispatch::AttemptOutcome;
use reedsail_dispatch::Decision;
use reedsail_dispatch::Demand;
use reedsail_dispatch::DispatchSettings;
use reedsail_dispatch::Dispatcher;
use reedsail_dispatch::Priority;
use reedsail_dispatch::ServerSetup;
use reedsail_dispatch::SoftwareVersion;
use reedsail_dispatch::VersionDemand;

const START: TimeMs = TimeMs(10_000);

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

fn dispatcher() -> Dispatcher {
    let mut dispatcher = Dispatcher::new(DispatchSettings::default(), NameHash::of("hall-a"));
    dispatcher.set_servers(&[ServerSetup {
        name: NameHash::of("app-1"),
        service: NameHash::of("app"),
        failure_domain: NameHash::of("hall-a"),
        region: None,
        slots: 4,
        is_draining: false,
        cold_until: None,
        version: SoftwareVersion::of("v1"),
    }]);
    dispatcher
}

/// Has a server answer increasing numbers of concurrent requests after `took_ms` each, until a request is
/// refused. Returns when the last request ended.
fn answer_until_refused(dispatcher: &mut Dispatcher, took_ms: u64) -> TimeMs {
    let mut now = START;
    for concurrent in 1..100 {
        let mut attempts = Vec::new();
        let mut is_refused = false;
        for _ in 0..concurrent {
            match dispatcher.decide(&demand(), now) {
                Decision::Send(placement) => {
                    attempts.push(dispatcher.begin_attempt(&demand(), &placement, now));
                }
                Decision::Refuse { .. } => is_refused = true,
                other @ (Decision::Quarantined(_) | Decision::VersionGone) => panic!("{other:?}"),
            }
        }
        now = now.plus_ms(took_ms);
        for mut attempt in attempts {
            dispatcher.record_first_event(&mut attempt, now);
            dispatcher.finish_attempt(attempt, AttemptOutcome::Answered, now);
        }
        if is_refused {
            return now;
        }
    }
    panic!("no request was refused");
}

#[test]
fn a_slow_plain_service_gets_requests_again_once_it_is_idle() {
    let mut dispatcher = dispatcher();
    let refused_at = answer_until_refused(&mut dispatcher, 3_000);
    for delay_ms in [0, 60_000] {
        let retried_at = refused_at.plus_ms(delay_ms);
        dispatcher.tick(retried_at);
        let decision = dispatcher.decide(&demand(), retried_at);
        assert!(matches!(decision, Decision::Send(_)), "{decision:?}");
    }
}

#[test]
fn the_estimate_of_a_plain_service_recovers_after_fast_answers() {
    let mut dispatcher = dispatcher();
    let mut now = answer_until_refused(&mut dispatcher, 3_000);
    for _ in 0..40 {
        let Decision::Send(placement) = dispatcher.decide(&demand(), now) else {
            panic!("an idle service refuses");
        };
        let mut attempt = dispatcher.begin_attempt(&demand(), &placement, now);
        now = now.plus_ms(20);
        dispatcher.record_first_event(&mut attempt, now);
        dispatcher.finish_attempt(attempt, AttemptOutcome::Answered, now);
    }
    let Decision::Send(placement) = dispatcher.decide(&demand(), now) else {
        panic!("an idle service refuses");
    };
    assert!(placement.expected_ms < 200, "{placement:?}");
}
