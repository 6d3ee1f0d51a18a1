//! Which servers requests are placed on, and when requests are refused.

use reedsail_core::ErrorKind;
use reedsail_core::NameHash;
use reedsail_core::TimeMs;
use reedsail_dispatch::AllowedRegions;
use reedsail_dispatch::AttemptOutcome;
use reedsail_dispatch::Decision;
use reedsail_dispatch::Demand;
use reedsail_dispatch::DispatchSettings;
use reedsail_dispatch::Dispatcher;
use reedsail_dispatch::LoadReport;
use reedsail_dispatch::Placement;
use reedsail_dispatch::Priority;
use reedsail_dispatch::Prompt;
use reedsail_dispatch::PromptSegment;
use reedsail_dispatch::ServerLoadRow;
use reedsail_dispatch::ServerSetup;
use reedsail_dispatch::SoftwareVersion;
use reedsail_dispatch::SpeedSums;
use reedsail_dispatch::VersionDemand;

const LATENCY_TARGET_MS: u64 = 800;
const START: TimeMs = TimeMs(10_000);

fn engine(number: u32) -> ServerSetup {
    ServerSetup {
        name: NameHash::of(&format!("engine-{number}")),
        service: NameHash::of("llm"),
        failure_domain: NameHash::of(&format!("hall-{}", number % 3)),
        region: None,
        slots: 64,
        is_draining: false,
        cold_until: None,
        version: SoftwareVersion::of("v1"),
    }
}

fn engines(count: u32) -> Vec<ServerSetup> {
    (0..count).map(engine).collect()
}

fn dispatcher(servers: &[ServerSetup]) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(DispatchSettings::default(), NameHash::of("hall-0"));
    dispatcher.set_servers(servers);
    dispatcher
}

fn prompt(shared: u64, own_tokens: u32) -> Prompt {
    Prompt {
        segments: vec![
            PromptSegment {
                id: shared,
                tokens: 13_000,
            },
            PromptSegment {
                id: shared ^ 0xffff_ffff,
                tokens: own_tokens,
            },
        ],
        output_tokens: 100,
    }
}

fn demand<'a>(workspace: &str, prompt: &'a Prompt) -> Demand<'a> {
    Demand {
        service: NameHash::of("llm"),
        workspace: NameHash::of(workspace),
        prompt: Some(prompt),
        latency_target_ms: LATENCY_TARGET_MS,
        gap_target_ms: None,
        priority: Priority::default(),
        waited_ms: 0,
        tried: &[],
        regions: &AllowedRegions::Any,
        fingerprint: None,
        version: VersionDemand::Any,
    }
}

fn expect_placement(decision: Decision) -> Placement {
    match decision {
        Decision::Send(placement) => placement,
        Decision::Refuse { kind, .. } => panic!("refused as {}", kind.name()),
        other @ (Decision::Quarantined(_) | Decision::VersionGone) => panic!("{other:?}"),
    }
}

/// Sends a request and completes its answer.
fn serve(dispatcher: &mut Dispatcher, prompt: &Prompt, now: TimeMs) -> Placement {
    let demand = demand("labska", prompt);
    let placement = expect_placement(dispatcher.decide(&demand, now));
    let mut attempt = dispatcher.begin_attempt(&demand, &placement, now);
    dispatcher.record_first_event(&mut attempt, now.plus_ms(placement.expected_ms));
    dispatcher.finish_attempt(attempt, AttemptOutcome::Answered, now.plus_ms(900));
    placement
}

#[test]
fn a_full_prefix_table_evicts_only_the_oldest_segments() {
    let mut dispatcher = dispatcher(&engines(9));
    let mut now = START;
    for segment in 0..9_000 {
        now = now.plus_ms(1);
        serve(&mut dispatcher, &prompt(segment, 100), now);
    }
    for segment in 5_000..9_000 {
        let prompt = prompt(segment, 100);
        let placement = expect_placement(dispatcher.decide(&demand("labska", &prompt), now));
        assert_eq!(placement.prefill_tokens, 100, "segment {segment}");
    }
}

#[test]
fn segments_that_a_peer_sent_to_a_server_are_not_prefilled_again() {
    let mut one = dispatcher(&engines(9));
    let mut other = dispatcher(&engines(9));
    let prompt = prompt(7, 1_000);
    let uncached = serve(&mut one, &prompt, START);
    assert_eq!((uncached.prefill_tokens, uncached.cache_source), (14_000, None));
    other.receive_report(NameHash::of("one"), one.report(START), START);
    let cached = expect_placement(other.decide(&demand("labska", &prompt), START));
    assert_eq!((cached.server, cached.prefill_tokens), (uncached.server, 1_000));
    // A row is included in two reports, in case one is lost, and again only after the report interval.
    assert_eq!(one.report(START).prefixes.len(), 1);
    assert!(one.report(START).prefixes.is_empty());
    serve(&mut one, &prompt, START.plus_ms(1_000));
    assert!(one.report(START.plus_ms(1_000)).prefixes.is_empty());
    serve(&mut one, &prompt, START.plus_ms(6_000));
    assert_eq!(one.report(START.plus_ms(6_000)).prefixes.len(), 1);
    // Cached segments expire.
    let late = expect_placement(other.decide(&demand("labska", &prompt), START.plus_ms(60_000)));
    assert_eq!(late.prefill_tokens, 14_000);
}

#[test]
fn every_instance_sends_a_shared_segment_to_the_same_server() {
    let mut one = dispatcher(&engines(9));
    let mut reversed = engines(9);
    reversed.reverse();
    let mut other = dispatcher(&reversed);
    for shared in 0..50 {
        let prompt = prompt(shared, 1_000);
        let here = expect_placement(one.decide(&demand("labska", &prompt), START)).server;
        let there = expect_placement(other.decide(&demand("labska", &prompt), START)).server;
        let name = |number| NameHash::of(&format!("engine-{number}"));
        let number = (0..9).find(|number| one.server_key(name(*number)) == Some(here));
        assert_eq!(other.server_key(name(number.unwrap())), Some(there));
    }
}

#[test]
fn a_busy_first_server_overflows_to_the_second_which_transfers_its_cache() {
    let mut dispatcher = dispatcher(&engines(9));
    let prompt = prompt(7, 6_000);
    let first = expect_placement(dispatcher.decide(&demand("labska", &prompt), START));
    let mut attempts = Vec::new();
    for _ in 0..8 {
        let demand = demand("labska", &prompt);
        let placement = expect_placement(dispatcher.decide(&demand, START));
        if placement.server != first.server {
            assert_eq!(placement.cache_source, Some(first.server));
            return;
        }
        attempts.push(dispatcher.begin_attempt(&demand, &placement, START));
    }
    panic!("all requests went to the first server");
}

#[test]
fn an_idle_fleet_keeps_a_prompt_on_its_first_server() {
    let mut dispatcher = dispatcher(&engines(9));
    let prompt = prompt(7, 2_000);
    let first = expect_placement(dispatcher.decide(&demand("labska", &prompt), START)).server;
    for step in 0..20 {
        let now = START.plus_ms(step * 1_000);
        let demand = demand("labska", &prompt);
        let placement = expect_placement(dispatcher.decide(&demand, now));
        assert_eq!((placement.server, placement.cache_source), (first, None));
        let mut attempt = dispatcher.begin_attempt(&demand, &placement, now);
        dispatcher.record_first_event(&mut attempt, now.plus_ms(placement.expected_ms));
        dispatcher.finish_attempt(attempt, AttemptOutcome::Answered, now.plus_ms(900));
    }
}

#[test]
fn busy_servers_refuse_requests_with_a_retry_after() {
    let mut dispatcher = dispatcher(&engines(2));
    let prompt = prompt(7, 10_000);
    let mut attempts = Vec::new();
    for _ in 0..100 {
        let demand = demand("labska", &prompt);
        match dispatcher.decide(&demand, START) {
            Decision::Send(placement) => attempts.push(dispatcher.begin_attempt(&demand, &placement, START)),
            other @ (Decision::Quarantined(_) | Decision::VersionGone) => panic!("{other:?}"),
            Decision::Refuse {
                kind,
                retry_after_ms,
                placement,
            } => {
                assert_eq!(kind, ErrorKind::WouldMissTarget);
                assert!(
                    (100..LATENCY_TARGET_MS).contains(&retry_after_ms),
                    "{retry_after_ms}"
                );
                assert!(placement.is_some());
                assert!(!attempts.is_empty());
                return;
            }
        }
    }
    panic!("no request was refused");
}

#[test]
fn reports_of_peers_count_until_they_expire() {
    let mut dispatcher = dispatcher(&engines(1));
    let prompt = prompt(7, 1_000);
    let row = ServerLoadRow {
        server: engine(0).name,
        running: 30,
        failure_rate: 0,
        prefill_tokens: 200_000,
        is_down: false,
        is_draining: false,
        is_backed_off: false,
        speed: SpeedSums::default(),
        pause_ms: 0,
    };
    let report = LoadReport {
        servers: vec![row],
        ..LoadReport::default()
    };
    dispatcher.receive_report(NameHash::of("daemon-2"), report.clone(), START);
    // A report replaces the previous one.
    dispatcher.receive_report(NameHash::of("daemon-2"), report, START);
    let key = dispatcher.server_key(engine(0).name).unwrap();
    assert_eq!(dispatcher.running(key), (0, 30));
    let refused = dispatcher.decide(&demand("labska", &prompt), START);
    assert!(matches!(refused, Decision::Refuse { .. }));
    let later = START.plus_ms(2_000);
    dispatcher.tick(later);
    assert_eq!(dispatcher.running(key), (0, 0));
    expect_placement(dispatcher.decide(&demand("labska", &prompt), later));
}

#[test]
fn a_report_about_a_server_counts_once_the_server_is_listed() {
    let mut dispatcher = dispatcher(&engines(1));
    let row = ServerLoadRow {
        server: engine(1).name,
        running: 5,
        failure_rate: 0,
        prefill_tokens: 9,
        is_down: false,
        is_draining: false,
        is_backed_off: false,
        speed: SpeedSums::default(),
        pause_ms: 0,
    };
    let report = LoadReport {
        servers: vec![row],
        ..LoadReport::default()
    };
    dispatcher.receive_report(NameHash::of("daemon-2"), report, START);
    dispatcher.set_servers(&engines(2));
    let key = dispatcher.server_key(engine(1).name).unwrap();
    assert_eq!(dispatcher.running(key), (0, 5));
    dispatcher.drop_peer(NameHash::of("daemon-2"));
    assert_eq!(dispatcher.running(key), (0, 0));
}

#[test]
fn draining_and_removed_servers_get_no_requests() {
    let prompt = prompt(7, 1_000);
    let mut dispatcher = dispatcher(&engines(3));
    let first = serve(&mut dispatcher, &prompt, START).server;
    let mut servers = engines(3);
    let position = servers
        .iter()
        .position(|server| dispatcher.server_key(server.name) == Some(first))
        .unwrap();
    servers[position].is_draining = true;
    dispatcher.set_servers(&servers);
    let second = expect_placement(dispatcher.decide(&demand("labska", &prompt), START));
    assert_ne!(second.server, first);
    // A draining server still transfers its cached segments.
    assert_eq!(second.cache_source, Some(first));
    servers.remove(position);
    dispatcher.set_servers(&servers);
    let third = expect_placement(dispatcher.decide(&demand("labska", &prompt), START));
    assert_eq!((third.server, third.cache_source), (second.server, None));
    dispatcher.set_servers(&[]);
    let decision = dispatcher.decide(&demand("labska", &prompt), START);
    assert!(matches!(
        decision,
        Decision::Refuse {
            kind: ErrorKind::NoBackend,
            ..
        }
    ));
}

#[test]
fn an_unreachable_server_is_avoided_for_a_while() {
    let prompt = prompt(7, 1_000);
    let mut dispatcher = dispatcher(&engines(3));
    let demand = demand("labska", &prompt);
    let first = expect_placement(dispatcher.decide(&demand, START));
    let attempt = dispatcher.begin_attempt(&demand, &first, START);
    dispatcher.finish_attempt(attempt, AttemptOutcome::Unreachable, START);
    let other = expect_placement(dispatcher.decide(&demand, START));
    assert_ne!(other.server, first.server);
    let later = START.plus_ms(30_000);
    assert_eq!(
        expect_placement(dispatcher.decide(&demand, later)).server,
        first.server
    );
}

#[test]
fn failing_and_unresponsive_servers_lose_their_requests_to_others() {
    for outcome in [Some(AttemptOutcome::Failed), None] {
        let prompt = prompt(7, 1_000);
        let mut dispatcher = dispatcher(&engines(3));
        let demand = demand("labska", &prompt);
        let first = expect_placement(dispatcher.decide(&demand, START));
        let mut now = START;
        let mut unanswered = Vec::new();
        for _ in 0..4 {
            let attempt = dispatcher.begin_attempt(&demand, &first, now);
            now = now.plus_ms(1_000);
            match outcome {
                Some(outcome) => dispatcher.finish_attempt(attempt, outcome, now),
                None => unanswered.push(attempt),
            }
            dispatcher.tick(now);
        }
        for attempt in unanswered {
            dispatcher.finish_attempt(attempt, AttemptOutcome::Abandoned, now);
        }
        assert_ne!(
            expect_placement(dispatcher.decide(&demand, now)).server,
            first.server
        );
    }
}

#[test]
fn a_new_server_transfers_cached_segments_from_the_previous_one() {
    let mut dispatcher = dispatcher(&engines(4));
    for shared in 0..100 {
        serve(&mut dispatcher, &prompt(shared, 1_000), START);
    }
    let later = START.plus_ms(10_000);
    dispatcher.set_servers(&engines(5));
    let newcomer = dispatcher.server_key(engine(4).name).unwrap();
    let placements_on_newcomer = (0..100)
        .map(|shared| prompt(shared, 1_000))
        .map(|prompt| expect_placement(dispatcher.decide(&demand("labska", &prompt), later)))
        .filter(|placement| placement.server == newcomer);
    let copies: Vec<bool> = placements_on_newcomer
        .map(|placement| placement.cache_source.is_some())
        .collect();
    assert!(
        copies.len() > 5 && copies.iter().all(|copies| *copies),
        "{copies:?}"
    );
}

#[test]
fn requests_without_a_prompt_spread_by_load_and_prefer_their_own_failure_domain() {
    let mut dispatcher = dispatcher(&engines(3));
    let demand = Demand {
        service: NameHash::of("llm"),
        workspace: NameHash::of("labska"),
        prompt: None,
        latency_target_ms: 150,
        gap_target_ms: None,
        priority: Priority::default(),
        waited_ms: 0,
        tried: &[],
        regions: &AllowedRegions::Any,
        fingerprint: None,
        version: VersionDemand::Any,
    };
    let own = dispatcher.server_key(engine(0).name).unwrap();
    let mut counts = std::collections::BTreeMap::new();
    for index in 0..30 {
        let placement = expect_placement(dispatcher.decide(&demand, START));
        if index == 0 {
            assert_eq!(placement.server, own);
        }
        let _run = dispatcher.begin_attempt(&demand, &placement, START);
        *counts.entry(placement.server).or_insert(0) += 1;
    }
    assert!(counts.values().all(|count| *count >= 8), "{counts:?}");
}

/// Sends prompts one after the other, each answered after `factor` times the expected time. Returns the time
/// at the end.
fn train_model(dispatcher: &mut Dispatcher, factor: u64, count: u32) -> TimeMs {
    let mut now = START;
    for _ in 0..count {
        let small = prompt(7, 1_000);
        let demand = demand("labska", &small);
        let placement = expect_placement(dispatcher.decide(&demand, now));
        let mut attempt = dispatcher.begin_attempt(&demand, &placement, now);
        now = now.plus_ms(placement.expected_ms.max(1) * factor);
        dispatcher.record_first_event(&mut attempt, now);
        dispatcher.finish_attempt(attempt, AttemptOutcome::Answered, now);
        now = now.plus_ms(1_000);
    }
    now
}

#[test]
fn a_prompt_too_long_for_its_target_is_sent_on_an_idle_fleet() {
    let mut fresh = dispatcher(&engines(3));
    expect_placement(fresh.decide(&demand("labska", &prompt(7, 90_000)), START));
    let mut slow = dispatcher(&engines(3));
    let now = train_model(&mut slow, 3, 20);
    expect_placement(slow.decide(&demand("labska", &prompt(7, 90_000)), now));
}

#[test]
fn slow_engines_get_shorter_queues() {
    let sent_before_refusal = |factor| {
        let mut dispatcher = dispatcher(&engines(1));
        let now = train_model(&mut dispatcher, factor, 20);
        let prompt = prompt(7, 1_000);
        let demand = demand("labska", &prompt);
        let mut attempts = Vec::new();
        while let Decision::Send(placement) = dispatcher.decide(&demand, now) {
            attempts.push(dispatcher.begin_attempt(&demand, &placement, now));
        }
        attempts.len()
    };
    let (normal, slow) = (sent_before_refusal(1), sent_before_refusal(3));
    assert!(slow * 2 < normal, "{slow} of {normal}");
}

#[test]
fn a_restarted_server_starts_without_load_or_cached_segments() {
    let mut servers = engines(1);
    let mut instance = dispatcher(&servers);
    let prompt = prompt(7, 1_000);
    let before = serve(&mut instance, &prompt, START);
    let repeated = expect_placement(instance.decide(&demand("labska", &prompt), START));
    assert_eq!(repeated.prefill_tokens, 1_000);
    let report_before_restart = instance.report(START);
    // The server fails and restarts.
    let demand = demand("labska", &prompt);
    let attempt = instance.begin_attempt(&demand, &repeated, START);
    instance.finish_attempt(attempt, AttemptOutcome::Unreachable, START);
    servers[0].name = NameHash::of("engine-0, started again");
    instance.set_servers(&servers);
    // An old report of a peer still refers to the earlier start.
    instance.receive_report(NameHash::of("peer"), report_before_restart, START);
    let after = expect_placement(instance.decide(&demand, START));
    assert_ne!(after.server, before.server);
    assert_eq!((after.prefill_tokens, after.queue_ms), (14_000, 0));
}
