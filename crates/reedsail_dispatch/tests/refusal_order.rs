//! Who is refused first: floods, prompts with long latency targets, and less urgent requests.

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
use reedsail_dispatch::Priority;
use reedsail_dispatch::Prompt;
use reedsail_dispatch::PromptSegment;
use reedsail_dispatch::ServerLoadRow;
use reedsail_dispatch::ServerSetup;
use reedsail_dispatch::WorkspaceUseRow;

const START: TimeMs = TimeMs(10_000);
const SHORT_TARGET_MS: u64 = 400;
const LONG_TARGET_MS: u64 = 1_000;

fn engine(number: u32) -> ServerSetup {
    ServerSetup {
        name: NameHash::of(&format!("engine-{number}")),
        service: NameHash::of("llm"),
        failure_domain: NameHash::of("hall"),
        region: None,
        slots: 64,
        is_draining: false,
        cold_until: None,
    }
}

fn fleet(engines: u32) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(DispatchSettings::default(), NameHash::of("hall"));
    let setups: Vec<ServerSetup> = (0..engines).map(engine).collect();
    dispatcher.set_servers(&setups);
    dispatcher
}

fn prompt(segment: u64, tokens: u32) -> Prompt {
    Prompt {
        segments: vec![PromptSegment { id: segment, tokens }],
        output_tokens: 20,
    }
}

fn demand(prompt: &Prompt, latency_target_ms: u64, priority: u8) -> Demand<'_> {
    Demand {
        service: NameHash::of("llm"),
        workspace: NameHash::of("labska"),
        prompt: Some(prompt),
        latency_target_ms,
        gap_target_ms: None,
        priority: Priority(priority),
        waited_ms: 0,
        tried: &[],
        regions: &AllowedRegions::Any,
        fingerprint: None,
    }
}

/// Sends prompts until one is refused, and returns how many were sent.
fn fill(dispatcher: &mut Dispatcher, tokens: u32, target_ms: u64, now: TimeMs) -> u32 {
    for sent in 0..1_000 {
        let prompt = prompt(u64::from(sent), tokens);
        let demand = Demand {
            workspace: NameHash(sent),
            ..demand(&prompt, target_ms, 1)
        };
        dispatcher.record_arrival(&demand, now);
        let Decision::Send(placement) = dispatcher.decide(&demand, now) else {
            return sent;
        };
        // The attempt stays unanswered, so its prompt stays in the engine's queue.
        let _unanswered = dispatcher.begin_attempt(&demand, &placement, now);
    }
    panic!("a queue without a bound");
}

/// Returns whether a request is sent.
fn is_sent(dispatcher: &mut Dispatcher, tokens: u32, target_ms: u64, priority: u8, now: TimeMs) -> bool {
    let prompt = prompt(77, tokens);
    let demand = demand(&prompt, target_ms, priority);
    dispatcher.record_arrival(&demand, now);
    matches!(dispatcher.decide(&demand, now), Decision::Send(_))
}

/// Load: many large prompts with a long target, beside small ones with a short target.
#[test]
fn prompts_with_a_long_target_leave_room_for_those_with_a_short_one() {
    let mut alone = fleet(1);
    let unbounded = fill(&mut alone, 3_000, LONG_TARGET_MS, START);
    let mut shared = fleet(1);
    assert!(is_sent(&mut shared, 500, SHORT_TARGET_MS, 1, START));
    let bounded = fill(&mut shared, 3_000, LONG_TARGET_MS, START);
    assert!(bounded < unbounded, "{bounded} and {unbounded}");
    assert!(is_sent(&mut shared, 500, SHORT_TARGET_MS, 1, START));
    assert!(!is_sent(&mut alone, 500, SHORT_TARGET_MS, 1, START));
    // Without such prompts the bound ends.
    let later = START.plus_ms(10_000);
    assert!(fill(&mut shared, 3_000, LONG_TARGET_MS, later) + bounded >= unbounded);
}

/// Load: requests of two priorities at a server with a queue.
#[test]
fn a_less_urgent_request_does_not_queue_while_more_urgent_ones_are_refused() {
    let mut dispatcher = fleet(1);
    let row = ServerLoadRow {
        server: engine(0).name,
        prefill_tokens: 10_000,
        ..ServerLoadRow::default()
    };
    let report = LoadReport {
        servers: vec![row],
        ..LoadReport::default()
    };
    dispatcher.receive_report(NameHash::of("peer"), report, START);
    assert!(is_sent(&mut dispatcher, 500, LONG_TARGET_MS, 2, START));
    let prompt = prompt(78, 500);
    let waited = Demand {
        waited_ms: LONG_TARGET_MS,
        ..demand(&prompt, LONG_TARGET_MS, 1)
    };
    assert!(matches!(
        dispatcher.decide(&waited, START),
        Decision::Refuse { .. }
    ));
    assert!(!is_sent(&mut dispatcher, 500, LONG_TARGET_MS, 2, START));
    assert!(
        is_sent(&mut dispatcher, 500, LONG_TARGET_MS, 1, START),
        "as urgent"
    );
    assert!(
        is_sent(&mut dispatcher, 500, LONG_TARGET_MS, 0, START),
        "more urgent"
    );
    let later = START.plus_ms(600);
    assert!(is_sent(&mut dispatcher, 500, LONG_TARGET_MS, 2, later));
}

/// Returns how many prompts of a workspace are sent within a second that requests `flood_tokens` on forty engines,
/// beside another one whose prompts are refused or not.
fn sent_of_a_flood(flood_tokens: u32, is_other_refused: bool) -> u32 {
    let mut dispatcher = fleet(40);
    let report = LoadReport {
        workspaces: vec![WorkspaceUseRow {
            workspace: NameHash::of("elsewhere"),
            requested_cost: 40_000_000.0,
            sent_cost: 5_000_000.0,
            recent_prefill_tokens: 4_000_000.0,
            recent_sent_cost: 1_000_000.0,
        }],
        ..LoadReport::default()
    };
    let mut sent = 0;
    for number in 0..20_000 {
        let now = START.plus_ms(number / 10);
        if number % 500 == 0 {
            dispatcher.receive_report(NameHash::of("peer"), report.clone(), now);
        }
        if is_other_refused && number % 20 == 0 {
            refuse_within_share(&mut dispatcher, now);
        }
        let prompt = prompt(number, flood_tokens);
        let flood = Demand {
            workspace: NameHash::of("flood"),
            ..demand(&prompt, 100_000, 1)
        };
        dispatcher.record_arrival(&flood, now);
        if let Decision::Send(placement) = dispatcher.decide(&flood, now) {
            let mut attempt = dispatcher.begin_attempt(&flood, &placement, now);
            dispatcher.record_first_event(&mut attempt, now.plus_ms(60));
            dispatcher.finish_attempt(attempt, AttemptOutcome::Answered, now);
            sent += u32::from(number > 10_000);
        }
    }
    sent
}

/// Has a prompt of a small workspace refused that can't be in time.
fn refuse_within_share(dispatcher: &mut Dispatcher, now: TimeMs) {
    let prompt = prompt(5, 100);
    let queue = ServerLoadRow {
        prefill_tokens: 1_000_000,
        ..ServerLoadRow::default()
    };
    let busy = |number| ServerLoadRow {
        server: engine(number).name,
        ..queue
    };
    let report = LoadReport {
        servers: (0..40).map(busy).collect(),
        ..LoadReport::default()
    };
    let peer = NameHash::of("busy peer");
    dispatcher.receive_report(peer, report, now);
    let small = Demand {
        workspace: NameHash::of("small"),
        ..demand(&prompt, 50, 1)
    };
    dispatcher.record_arrival(&small, now);
    let decision = dispatcher.decide(&small, now);
    assert!(matches!(
        decision,
        Decision::Refuse {
            kind: ErrorKind::WouldMissTarget,
            ..
        }
    ));
    dispatcher.drop_peer(peer);
}

/// Load: a workspace that requests many times its share.
#[test]
fn a_flood_gets_less_headroom_while_workspaces_within_their_share_are_refused() {
    let (calm, pressed) = (sent_of_a_flood(1_000, false), sent_of_a_flood(1_000, true));
    let ratio = f64::from(pressed) / f64::from(calm);
    assert!((0.4..0.9).contains(&ratio), "{pressed} and {calm}");
}
