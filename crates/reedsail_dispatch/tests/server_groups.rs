//! The cost of a decision, and the servers chosen for prompts, as a service grows from 100 servers to 10,000.

use std::collections::HashMap;

use allocation_counter::measure;
use reedsail_core::NameHash;
use reedsail_core::ServerKey;
use reedsail_core::TimeMs;
use reedsail_dispatch::AllowedRegions;
use reedsail_dispatch::Decision;
use reedsail_dispatch::Demand;
use reedsail_dispatch::DispatchSettings;
use reedsail_dispatch::Dispatcher;
use reedsail_dispatch::Priority;
use reedsail_dispatch::Prompt;
use reedsail_dispatch::PromptSegment;
use reedsail_dispatch::ServerSetup;
use reedsail_dispatch::SoftwareVersion;
use reedsail_dispatch::VersionDemand;

const NOW: TimeMs = TimeMs(10_000);
const SERVERS: u32 = 10_000;
const SEGMENTS: u64 = 4_000;

fn server(number: u32) -> ServerSetup {
    ServerSetup {
        name: NameHash::of(&format!("server-{number}")),
        service: NameHash::of("llm"),
        failure_domain: NameHash::of(&format!("hall-{}", number % 5)),
        region: None,
        slots: 16,
        is_draining: false,
        cold_until: None,
        version: SoftwareVersion::of("v1"),
    }
}

fn servers(count: u32) -> Vec<ServerSetup> {
    (0..count).map(server).collect()
}

fn dispatcher(servers: &[ServerSetup]) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(DispatchSettings::default(), NameHash::of("hall-0"));
    dispatcher.set_servers(servers);
    dispatcher
}

fn prompt(shared: u64) -> Prompt {
    let segment = |id, tokens| PromptSegment { id, tokens };
    Prompt {
        segments: vec![segment(shared, 5_000), segment(u64::MAX, 500)],
        output_tokens: 100,
    }
}

fn demand<'a>(prompt: Option<&'a Prompt>, tried: &'a [ServerKey]) -> Demand<'a> {
    Demand {
        service: NameHash::of("llm"),
        workspace: NameHash::of("labska"),
        prompt,
        latency_target_ms: 1_000,
        gap_target_ms: None,
        priority: Priority::default(),
        waited_ms: 0,
        tried,
        regions: &AllowedRegions::Any,
        fingerprint: None,
        version: VersionDemand::Any,
    }
}

fn preferred_server(dispatcher: &mut Dispatcher, segment: u64, tried: &[ServerKey]) -> Option<ServerKey> {
    let prompt = prompt(segment);
    match dispatcher.decide(&demand(Some(&prompt), tried), NOW) {
        Decision::Send(placement) => Some(placement.server),
        Decision::Refuse { .. } | Decision::Quarantined(_) | Decision::VersionGone => None,
    }
}

fn preferred_servers(dispatcher: &mut Dispatcher) -> Vec<ServerKey> {
    (0..SEGMENTS)
        .map(|segment| preferred_server(dispatcher, segment, &[]).unwrap())
        .collect()
}

#[test]
fn a_decision_allocates_nothing_that_grows_with_the_servers() {
    let bytes = [100, SERVERS].map(|count| {
        let mut dispatcher = dispatcher(&servers(count));
        let prompt = prompt(7);
        let mut decide = || {
            dispatcher.decide(&demand(Some(&prompt), &[]), NOW);
            dispatcher.decide(&demand(None, &[]), NOW);
        };
        decide();
        measure(decide).bytes_total
    });
    assert_eq!(bytes[0], bytes[1]);
}

#[test]
fn a_report_allocates_nothing_that_grows_with_idle_servers() {
    let bytes = [100, SERVERS].map(|count| {
        let mut dispatcher = dispatcher(&servers(count));
        dispatcher.report(NOW);
        let allocated = measure(|| {
            dispatcher.tick(NOW);
            dispatcher.report(NOW);
            dispatcher.load_pressure();
        });
        allocated.bytes_total
    });
    assert_eq!(bytes[0], bytes[1]);
}

#[test]
fn segments_are_spread_over_all_servers() {
    let mut dispatcher = dispatcher(&servers(1_000));
    let mut segments_of: HashMap<ServerKey, u32> = HashMap::new();
    for server in preferred_servers(&mut dispatcher) {
        *segments_of.entry(server).or_default() += 1;
    }
    // Four segments per server on average. By chance alone the fullest of a thousand servers has about thirteen.
    assert!(segments_of.len() > 950, "{}", segments_of.len());
    assert!(segments_of.values().all(|segments| *segments <= 20));
}

#[test]
fn removing_a_server_moves_only_its_own_segments() {
    let all = servers(SERVERS);
    let mut dispatcher = dispatcher(&all);
    let before = preferred_servers(&mut dispatcher);
    let gone = &all[..100];
    let names: Vec<NameHash> = gone.iter().map(|setup| setup.name).collect();
    let gone_keys: Vec<ServerKey> = names
        .iter()
        .map(|name| dispatcher.server_key(*name).unwrap())
        .collect();
    dispatcher.update_servers(&[], &names);
    let after = preferred_servers(&mut dispatcher);
    for (before, after) in before.iter().zip(&after) {
        assert!(before == after || gone_keys.contains(before));
        assert!(!gone_keys.contains(after));
    }
    dispatcher.update_servers(gone, &[]);
    assert_eq!(preferred_servers(&mut dispatcher), before);
}

#[test]
fn instances_with_the_same_list_agree_whatever_updates_led_to_it() {
    let all = servers(3_000);
    let mut whole = dispatcher(&all);
    let mut grown = dispatcher(&all[..10]);
    for setup in &all[10..] {
        grown.update_servers(&[*setup], &[]);
    }
    let mut shrunk = dispatcher(&servers(SERVERS));
    let names: Vec<NameHash> = (3_000..SERVERS).map(|number| server(number).name).collect();
    shrunk.update_servers(&[], &names);
    for segment in 0..SEGMENTS {
        let name = |dispatcher: &mut Dispatcher| {
            let key = preferred_server(dispatcher, segment, &[]).unwrap();
            let number = all
                .iter()
                .position(|setup| dispatcher.server_key(setup.name) == Some(key));
            number.unwrap()
        };
        let expected = name(&mut whole);
        assert_eq!(name(&mut grown), expected);
        assert_eq!(name(&mut shrunk), expected);
    }
}

#[test]
fn a_request_goes_to_another_group_if_its_group_has_no_usable_server() {
    let mut all = servers(1_000);
    for setup in &mut all[..999] {
        setup.is_draining = true;
    }
    let mut dispatcher = dispatcher(&all);
    let only = dispatcher.server_key(all[999].name).unwrap();
    for segment in 0..50 {
        assert_eq!(preferred_server(&mut dispatcher, segment, &[]), Some(only));
        assert_eq!(preferred_server(&mut dispatcher, segment, &[only]), None);
    }
    let Decision::Send(placement) = dispatcher.decide(&demand(None, &[]), NOW) else {
        panic!("the only usable server was not chosen");
    };
    assert_eq!(placement.server, only);
}
