//! Requests with allowed regions, over three regions in which servers fail, drain, are evacuated and become
//! unreachable.

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use reedsail_core::NameHash;
use reedsail_core::ServerKey;
use reedsail_core::TimeMs;
use reedsail_dispatch::AllowedRegions;
use reedsail_dispatch::AttemptOutcome;
use reedsail_dispatch::Decision;
use reedsail_dispatch::Demand;
use reedsail_dispatch::DispatchSettings;
use reedsail_dispatch::Dispatcher;
use reedsail_dispatch::LoadReport;
use reedsail_dispatch::PrefixRow;
use reedsail_dispatch::Priority;
use reedsail_dispatch::Prompt;
use reedsail_dispatch::PromptSegment;
use reedsail_dispatch::ServerSetup;
use reedsail_dispatch::SoftwareVersion;
use reedsail_dispatch::VersionDemand;

const SEEDS: u64 = 200;
const REQUESTS: u64 = 150;
const REGIONS: [&str; 3] = ["west", "east", "north"];
const SERVERS: usize = 18;

fn region_of(server: usize) -> Option<NameHash> {
    // The failure domain of the last server is not assigned to a region.
    (server + 1 < SERVERS).then(|| NameHash::of(REGIONS[server % REGIONS.len()]))
}

fn server(number: usize, is_draining: bool) -> ServerSetup {
    ServerSetup {
        name: NameHash::of(&format!("server-{number}")),
        service: NameHash::of(if number.is_multiple_of(2) { "llm" } else { "app" }),
        failure_domain: NameHash::of(&format!("domain-{}", number % 6)),
        region: region_of(number),
        slots: 4,
        is_draining,
        cold_until: None,
        version: SoftwareVersion::of("v1"),
    }
}

fn random_regions(random: &mut StdRng) -> AllowedRegions {
    match random.random_range(0..4) {
        0 => AllowedRegions::Any,
        1 => AllowedRegions::from_names(Some(&REGIONS[..2])),
        2 => AllowedRegions::from_names(Some(&[REGIONS[random.random_range(0..3)]])),
        _ => AllowedRegions::from_names::<&str>(Some(&[])),
    }
}

fn prompt(random: &mut StdRng) -> Prompt {
    let segment = |id, tokens| PromptSegment { id, tokens };
    Prompt {
        segments: vec![
            segment(random.random_range(0..8), 5_000),
            segment(random.random(), 500),
        ],
        output_tokens: 20,
    }
}

fn random_outcome(random: &mut StdRng) -> AttemptOutcome {
    let outcomes = [
        AttemptOutcome::Answered,
        AttemptOutcome::Broken,
        AttemptOutcome::Down,
        AttemptOutcome::Rejected,
    ];
    *outcomes.choose(random).unwrap()
}

/// Places a request and its retries. Returns the number of attempts.
fn attempt_all(dispatcher: &mut Dispatcher, random: &mut StdRng, now: TimeMs) -> usize {
    let regions = random_regions(random).intersection(&random_regions(random));
    let prompt = prompt(random);
    let has_prompt = random.random_bool(0.5);
    let mut tried: Vec<ServerKey> = Vec::new();
    for _ in 0..4 {
        let demand = Demand {
            service: NameHash::of(if has_prompt { "llm" } else { "app" }),
            workspace: NameHash::of("labska"),
            prompt: has_prompt.then_some(&prompt),
            latency_target_ms: 1_000,
            gap_target_ms: None,
            priority: Priority::default(),
            waited_ms: 0,
            tried: &tried,
            regions: &regions,
            fingerprint: None,
            version: VersionDemand::Any,
        };
        // A stream that resumes on another server is placed by the same rule.
        let is_resumed = random.random_bool(0.3);
        let demand = if is_resumed {
            demand.resumed(10_000)
        } else {
            demand
        };
        let Decision::Send(placement) = dispatcher.decide(&demand, now) else {
            break;
        };
        assert!(!regions.is_empty());
        let keys = [Some(placement.server), placement.cache_source];
        for key in keys.into_iter().flatten() {
            let number = (0..SERVERS).find(|number| {
                let name = server(*number, false).name;
                dispatcher.server_key(name) == Some(key)
            });
            assert!(regions.allows(region_of(number.unwrap())), "{regions:?}");
        }
        let attempt = dispatcher.begin_attempt(&demand, &placement, now);
        tried.push(placement.server);
        dispatcher.finish_attempt(attempt, random_outcome(random), now);
    }
    tried.len()
}

#[test]
fn requests_and_cache_transfers_stay_in_the_allowed_regions() {
    let mut attempts = 0;
    for seed in 0..SEEDS {
        let mut random = StdRng::seed_from_u64(seed);
        let mut dispatcher = Dispatcher::new(DispatchSettings::default(), NameHash::of("domain-0"));
        dispatcher.set_region(region_of(0));
        for request in 0..REQUESTS {
            let now = TimeMs(10_000 + request * 40);
            if request % 30 == 0 {
                let servers: Vec<ServerSetup> = (0..SERVERS)
                    .map(|number| server(number, random.random_bool(0.2)))
                    .collect();
                dispatcher.set_servers(&servers);
                let domain = NameHash::of(&format!("domain-{}", random.random_range(0..6)));
                dispatcher.set_evacuated(&[domain], now);
            }
            // A peer sends requests without allowed regions anywhere, so any server may have a segment
            // cached.
            let report = LoadReport {
                prefixes: vec![PrefixRow {
                    segment: random.random(),
                    server: server(random.random_range(0..SERVERS), false).name,
                }],
                ..LoadReport::default()
            };
            dispatcher.receive_report(NameHash::of("peer"), report, now);
            attempts += attempt_all(&mut dispatcher, &mut random, now);
        }
    }
    assert!(attempts > 20_000, "{attempts}");
}

#[test]
fn allowed_regions_of_a_route_and_a_workspace_intersect() {
    let [west, east] = [REGIONS[0], REGIONS[1]].map(|name| Some(NameHash::of(name)));
    let both = AllowedRegions::from_names(Some(&REGIONS[..2]))
        .intersection(&AllowedRegions::from_names(Some(&REGIONS[1..])));
    assert!(both.allows(east) && !both.allows(west) && !both.allows(None));
    let none = AllowedRegions::from_names(Some(&REGIONS[..1]))
        .intersection(&AllowedRegions::from_names(Some(&REGIONS[2..])));
    assert!(none.is_empty() && !none.allows(west));
    let one = AllowedRegions::Any.intersection(&AllowedRegions::from_names(Some(&REGIONS[..1])));
    assert!(one.allows(west) && !one.allows(east));
    assert!(AllowedRegions::Any.allows(None) && !AllowedRegions::Any.is_empty());
}

#[test]
fn a_request_without_a_prompt_prefers_a_server_in_its_own_region() {
    let mut dispatcher = Dispatcher::new(DispatchSettings::default(), NameHash::of("domain-0"));
    dispatcher.set_region(region_of(0));
    let servers: Vec<ServerSetup> = [1, 3, 5].map(|number| server(number, false)).to_vec();
    dispatcher.set_servers(&servers);
    let demand = Demand {
        service: NameHash::of("app"),
        workspace: NameHash::of("labska"),
        prompt: None,
        latency_target_ms: 1_000,
        gap_target_ms: None,
        priority: Priority::default(),
        waited_ms: 0,
        tried: &[],
        regions: &AllowedRegions::Any,
        fingerprint: None,
        version: VersionDemand::Any,
    };
    let Decision::Send(placement) = dispatcher.decide(&demand, TimeMs(10_000)) else {
        panic!("an idle server refused the request");
    };
    assert_eq!(
        dispatcher.server_key(server(3, false).name),
        Some(placement.server)
    );
}
