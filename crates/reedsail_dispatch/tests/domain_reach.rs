//! A network partition between failure domains in a service with so many servers that an instance seldom sends to the
//! same server twice.

use reedsail_core::NameHash;
use reedsail_core::ServerKey;
use reedsail_core::TimeMs;
use reedsail_dispatch::AllowedRegions;
use reedsail_dispatch::AttemptOutcome;
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

const SERVERS: u32 = 10_000;
const DOMAINS: u32 = 5;
const START_MS: u64 = 10_000;
/// Connect timeout of the router, in milliseconds.
const CONNECT_MS: u64 = 250;
/// Time between two requests of an instance, in milliseconds.
const REQUEST_INTERVAL_MS: u64 = 600;
const PARTITION_MS: u64 = 6_000;

fn server(number: u32) -> ServerSetup {
    ServerSetup {
        name: NameHash::of(&format!("server-{number}")),
        service: NameHash::of("llm"),
        failure_domain: NameHash::of(&format!("hall-{}", number % DOMAINS)),
        region: None,
        slots: 16,
        is_draining: false,
        cold_until: None,
        version: SoftwareVersion::of("v1"),
    }
}

fn prompt(segment: u64) -> Prompt {
    let part = |id, tokens| PromptSegment { id, tokens };
    Prompt {
        segments: vec![part(segment, 5_000), part(u64::MAX, 500)],
        output_tokens: 100,
    }
}

fn demand<'a>(prompt: &'a Prompt, tried: &'a [ServerKey]) -> Demand<'a> {
    Demand {
        service: NameHash::of("llm"),
        workspace: NameHash::of("labska"),
        prompt: Some(prompt),
        latency_target_ms: 1_000,
        gap_target_ms: None,
        priority: Priority::default(),
        waited_ms: tried.len() as u64 * CONNECT_MS,
        tried,
        regions: &AllowedRegions::Any,
        fingerprint: None,
        version: VersionDemand::Any,
    }
}

/// An instance of failure domain hall-0, which may be partitioned from the others.
struct Instance {
    dispatcher: Dispatcher,
    domains: Vec<(ServerKey, u32)>,
}

impl Instance {
    fn new() -> Self {
        let setups: Vec<ServerSetup> = (0..SERVERS).map(server).collect();
        let mut dispatcher = Dispatcher::new(DispatchSettings::default(), NameHash::of("hall-0"));
        dispatcher.set_servers(&setups);
        let domains = (0..SERVERS).map(|number| {
            let key = dispatcher.server_key(server(number).name).unwrap();
            (key, number % DOMAINS)
        });
        Self {
            domains: domains.collect(),
            dispatcher,
        }
    }

    fn domain(&self, server: ServerKey) -> u32 {
        let found = self.domains.iter().find(|(key, _)| *key == server);
        found.unwrap().1
    }

    /// Sends a request until a server accepts it. Returns the number of unanswered connects.
    fn request(&mut self, segment: u64, is_partitioned: bool, began_ms: u64) -> u64 {
        let prompt = prompt(segment);
        let mut tried = Vec::new();
        loop {
            let unanswered = tried.len() as u64;
            let now = TimeMs(began_ms + unanswered * CONNECT_MS);
            let demand = demand(&prompt, &tried);
            let Decision::Send(placement) = self.dispatcher.decide(&demand, now) else {
                panic!("no server accepts the request");
            };
            let is_answered = !is_partitioned || self.domain(placement.server) == 0;
            let mut attempt = self.dispatcher.begin_attempt(&demand, &placement, now);
            if is_answered {
                let answered_at = now.plus_ms(placement.expected_ms);
                self.dispatcher.record_first_event(&mut attempt, answered_at);
                self.dispatcher
                    .finish_attempt(attempt, AttemptOutcome::Answered, answered_at);
                return unanswered;
            }
            let failed_at = now.plus_ms(CONNECT_MS);
            self.dispatcher
                .finish_attempt(attempt, AttemptOutcome::Unreachable, failed_at);
            tried.push(placement.server);
        }
    }
}

/// Returns the number of unanswered connects of each request, during a partition and after it.
fn simulate_partition(first_segment: u64) -> (Vec<u64>, Vec<u64>) {
    let mut instance = Instance::new();
    let mut segment = first_segment;
    let mut send_requests = |is_partitioned, from_ms: u64, span_ms: u64| {
        let requests = (0..span_ms / REQUEST_INTERVAL_MS).map(|number| {
            segment += 1;
            instance.request(segment, is_partitioned, from_ms + number * REQUEST_INTERVAL_MS)
        });
        requests.collect::<Vec<u64>>()
    };
    let before = send_requests(false, START_MS, 3_000);
    assert!(before.iter().all(|unanswered| *unanswered == 0));
    let during_partition = send_requests(true, START_MS + 3_000, PARTITION_MS);
    let after = send_requests(false, START_MS + 3_000 + PARTITION_MS, 6_000);
    (during_partition, after)
}

#[test]
fn a_partition_costs_a_request_one_unanswered_connect_at_most_and_most_requests_none() {
    let mut requests = 0;
    let mut unanswered = 0;
    for seed in 0..20 {
        let (during_partition, after) = simulate_partition(seed * 1_000);
        assert!(
            during_partition.iter().all(|unanswered| *unanswered <= 1),
            "{during_partition:?}"
        );
        assert!(after.iter().all(|unanswered| *unanswered == 0), "{after:?}");
        requests += during_partition.len();
        unanswered += during_partition.iter().sum::<u64>() as usize;
    }
    // The preferred server of four requests in five is on the other side of the partition.
    assert!(unanswered * 2 <= requests, "{unanswered} of {requests}");
}

#[test]
fn a_domain_that_answers_again_is_used_again() {
    let mut instance = Instance::new();
    for request in 0..40 {
        instance.request(request, true, START_MS + request * 100);
    }
    let later_ms = START_MS + 20_000;
    for request in 100..150 {
        assert_eq!(instance.request(request, false, later_ms + request), 0);
    }
    let prompts_in_other_domains = (200..300).filter(|segment| {
        let prompt = prompt(*segment);
        let demand = demand(&prompt, &[]);
        let now = TimeMs(later_ms + 1_000);
        let Decision::Send(placement) = instance.dispatcher.decide(&demand, now) else {
            panic!("no server accepts the request");
        };
        instance.domain(placement.server) != 0
    });
    assert!(prompts_in_other_domains.count() > 60);
}

#[test]
fn a_kept_connection_is_used_where_a_server_has_answered_recently() {
    let mut instance = Instance::new();
    let now = |later_ms| TimeMs(START_MS + later_ms);
    let in_domain = |instance: &Instance, domain| {
        let mut servers = instance.domains.iter();
        servers.find(|(_, other)| *other == domain).unwrap().0
    };
    let (own, other) = (in_domain(&instance, 0), in_domain(&instance, 3));
    assert!(instance.dispatcher.may_reuse_connection(own, now(0)));
    assert!(!instance.dispatcher.may_reuse_connection(other, now(0)));
    // Requests reach every failure domain, and answers arrive within a few hundred milliseconds.
    for segment in 0..40 {
        instance.request(segment, false, START_MS);
    }
    assert!(instance.dispatcher.may_reuse_connection(other, now(400)));
    assert!(!instance.dispatcher.may_reuse_connection(other, now(2_000)));
}
