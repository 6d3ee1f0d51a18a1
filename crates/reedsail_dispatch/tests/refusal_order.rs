//! Who is refused first under scarcity: less urgent requests.

use reedsail_core::NameHash;
use reedsail_core::TimeMs;
use reedsail_dispatch::AllowedRegions;
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
use reedsail_dispatch::SoftwareVersion;
use reedsail_dispatch::VersionDemand;
use reedsail_dispatch::WorkspaceUseRow;

const START: TimeMs = TimeMs(10_000);
const SHORT_TARGET_MS: u64 = 400;
const LONG_TARGET_MS: u64 = 1_200;
/// A queue that a long target allows and a short one does not.
const QUEUE_TOKENS: u32 = 22_000;

fn engine(number: u32) -> ServerSetup {
    ServerSetup {
        name: NameHash::of(&format!("engine-{number}")),
        service: NameHash::of("llm"),
        failure_domain: NameHash::of("hall"),
        region: None,
        slots: 64,
        is_draining: false,
        cold_until: None,
        version: SoftwareVersion::of("v1"),
    }
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
        version: VersionDemand::Any,
    }
}

fn workspace_use(name: &str, requested_cost: f32, sent_cost: f32) -> WorkspaceUseRow {
    WorkspaceUseRow {
        workspace: NameHash::of(name),
        requested_cost,
        sent_cost,
        ..WorkspaceUseRow::default()
    }
}

/// Returns a dispatcher whose only engine has a queue.
fn behind_a_queue(queue_tokens: u32) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(DispatchSettings::default(), NameHash::of("hall"));
    dispatcher.set_servers(&[engine(0)]);
    let row = ServerLoadRow {
        server: engine(0).name,
        prefill_tokens: queue_tokens,
        ..ServerLoadRow::default()
    };
    let report = LoadReport {
        servers: vec![row],
        workspaces: vec![workspace_use("elsewhere", 1e8, 1e8)],
        ..LoadReport::default()
    };
    dispatcher.receive_report(NameHash::of("peer"), report, START);
    dispatcher
}

/// Returns whether a request is sent.
fn is_sent(dispatcher: &mut Dispatcher, tokens: u32, target_ms: u64, priority: u8, now: TimeMs) -> bool {
    let prompt = prompt(77, tokens);
    let demand = demand(&prompt, target_ms, priority);
    dispatcher.record_arrival(&demand, now);
    matches!(dispatcher.decide(&demand, now), Decision::Send(_))
}

/// Load: requests of two priorities at a server with a queue.
#[test]
fn a_less_urgent_request_does_not_queue_while_more_urgent_ones_are_refused() {
    let mut dispatcher = behind_a_queue(QUEUE_TOKENS);
    assert!(is_sent(&mut dispatcher, 500, LONG_TARGET_MS, 2, START));
    assert!(!is_sent(&mut dispatcher, 500, SHORT_TARGET_MS, 1, START));
    assert!(!is_sent(&mut dispatcher, 500, LONG_TARGET_MS, 2, START));
    assert!(
        is_sent(&mut dispatcher, 500, LONG_TARGET_MS, 1, START),
        "as urgent"
    );
    assert!(
        is_sent(&mut dispatcher, 500, LONG_TARGET_MS, 0, START),
        "more urgent"
    );
    assert!(is_sent(
        &mut dispatcher,
        500,
        LONG_TARGET_MS,
        2,
        START.plus_ms(600)
    ));
}

#[test]
fn a_refusal_that_no_other_request_caused_makes_nobody_yield() {
    for queue_tokens in [QUEUE_TOKENS, 60_000] {
        let mut dispatcher = behind_a_queue(queue_tokens);
        assert!(!is_sent(&mut dispatcher, 40_000, SHORT_TARGET_MS, 1, START));
        assert!(
            is_sent(&mut dispatcher, 500, LONG_TARGET_MS, 2, START),
            "{queue_tokens}"
        );
    }
}

/// Load: a workspace that requests far more urgent prompts than its share.
#[test]
fn a_flood_of_urgent_requests_makes_nobody_yield() {
    let mut dispatcher = behind_a_queue(QUEUE_TOKENS);
    let report = LoadReport {
        workspaces: vec![workspace_use("labska", 1e8, 5e7)],
        ..LoadReport::default()
    };
    dispatcher.receive_report(NameHash::of("flooded peer"), report, START);
    assert!(!is_sent(&mut dispatcher, 500, SHORT_TARGET_MS, 1, START));
    let prompt = prompt(79, 500);
    let other = Demand {
        workspace: NameHash::of("small"),
        ..demand(&prompt, LONG_TARGET_MS, 2)
    };
    assert!(matches!(dispatcher.decide(&other, START), Decision::Send(_)));
}
