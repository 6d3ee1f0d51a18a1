//! A seeded run of all decisions with a digest of every one of them. A code change that is meant to preserve
//! the decisions must preserve the digest.
//!
//! Three instances share five engines and three plain servers and exchange load reports, some of
//! which are lost. Server lists change, and the store fails and recovers. The snapshot shows one decision in
//! fifty and the digest of all.

use std::fmt::Write;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use reedsail_core::NameHash;
use reedsail_core::StorePosition;
use reedsail_core::TimeMs;
use reedsail_dispatch::AllowedRegions;
use reedsail_dispatch::Attempt;
use reedsail_dispatch::AttemptOutcome;
use reedsail_dispatch::Decision;
use reedsail_dispatch::Demand;
use reedsail_dispatch::DispatchSettings;
use reedsail_dispatch::Dispatcher;
use reedsail_dispatch::GossipTiming;
use reedsail_dispatch::ListComparison;
use reedsail_dispatch::ListDelta;
use reedsail_dispatch::LoadReport;
use reedsail_dispatch::PeerListState;
use reedsail_dispatch::Placement;
use reedsail_dispatch::Priority;
use reedsail_dispatch::Prompt;
use reedsail_dispatch::PromptSegment;
use reedsail_dispatch::RetryPurpose;
use reedsail_dispatch::ServerChange;
use reedsail_dispatch::ServerList;
use reedsail_dispatch::ServerRecord;
use reedsail_dispatch::ServerSetup;
use reedsail_dispatch::ServerUpdate;
use reedsail_dispatch::SoftwareVersion;
use reedsail_dispatch::VersionDemand;
use twox_hash::XxHash64;

const STEPS: u64 = 12_000;
const SAMPLE_INTERVAL: u64 = 50;
const INSTANCES: usize = 3;
const WORKSPACES: u32 = 6;

/// All decisions as lines, and a sample of them for readers.
#[derive(Default)]
struct Trace {
    lines: String,
    sample: String,
    count: u64,
}

impl Trace {
    fn push_line(&mut self, line: &str) {
        writeln!(self.lines, "{line}").unwrap();
        if self.count.is_multiple_of(SAMPLE_INTERVAL) {
            writeln!(self.sample, "{line}").unwrap();
        }
        self.count += 1;
    }

    fn finish(self) -> String {
        let digest = XxHash64::oneshot(0, self.lines.as_bytes());
        format!("{} decisions, digest {digest:016x}\n{}", self.count, self.sample)
    }
}

/// An open request, with the times at which it is answered and ends.
struct OpenRequest {
    attempt: Attempt,
    answers_at: TimeMs,
    ends_at: TimeMs,
    outcome: AttemptOutcome,
    has_answered: bool,
}

struct Instance {
    name: NameHash,
    dispatcher: Dispatcher,
    open: Vec<OpenRequest>,
}

/// Returns the time that a server takes before random variation: 25 ms for a plain request, or 50 ms plus the
/// prefill at 40 tokens per millisecond.
fn service_time_ms(placement: &Placement) -> u64 {
    if placement.prefill_tokens == 0 {
        return 25;
    }
    50 + (placement.work.queued_tokens as u64 + u64::from(placement.prefill_tokens)) / 40
}

/// A deployment of a few instances, simulated step by step.
struct Deployment {
    random: StdRng,
    now: TimeMs,
    instances: Vec<Instance>,
    setups: Vec<ServerSetup>,
    /// Time until which the reports of instance 2 are lost.
    silent_until: TimeMs,
    trace: Trace,
}

fn setup(index: u32) -> ServerSetup {
    let is_engine = index < 5;
    ServerSetup {
        name: NameHash::of(&format!("server-{index}")),
        service: NameHash::of(if is_engine { "llm" } else { "app" }),
        failure_domain: NameHash::of(&format!("hall-{}", index % 3)),
        region: None,
        slots: if is_engine { 16 } else { 4 },
        is_draining: false,
        cold_until: None,
        version: SoftwareVersion::of("v1"),
    }
}

fn instance(index: usize) -> Instance {
    let settings = DispatchSettings {
        retry_ratio: 0.2,
        retry_slack: 8.0,
        ..DispatchSettings::default()
    };
    Instance {
        name: NameHash::of(&format!("instance-{index}")),
        dispatcher: Dispatcher::new(settings, NameHash::of(&format!("hall-{index}"))),
        open: Vec::new(),
    }
}

impl Deployment {
    fn new(seed: u64) -> Self {
        let mut deployment = Self {
            random: StdRng::seed_from_u64(seed),
            now: TimeMs(10_000),
            instances: (0..INSTANCES).map(instance).collect(),
            setups: (0..8).map(setup).collect(),
            silent_until: TimeMs(0),
            trace: Trace::default(),
        };
        deployment.set_servers();
        deployment
    }

    fn set_servers(&mut self) {
        for instance in &mut self.instances {
            instance.dispatcher.set_servers(&self.setups);
        }
    }

    fn step(&mut self) {
        self.now = self.now.plus_ms(self.random.random_range(0..9));
        match self.random.random_range(0..1_000) {
            0..600 => self.send_request(),
            600..760 => self.exchange_reports(),
            760..900 => self.tick(),
            900..940 => self.take_retry(),
            940..960 => self.change_server(),
            960..970 => self.silent_until = self.now.plus_ms(2_000),
            970..980 => self.drop_peer(),
            _ => {}
        }
        self.advance_open_requests();
    }

    fn prompt(&mut self) -> Prompt {
        let family = self.random.random_range(0..7);
        let lengths = [800, 3_200, 6_000];
        let shared = (0..self.random.random_range(0..3_usize)).map(|place| PromptSegment {
            id: family * 10 + place as u64,
            tokens: lengths[place],
        });
        let mut all_segments: Vec<PromptSegment> = shared.collect();
        all_segments.push(PromptSegment {
            id: self.random.random(),
            tokens: self.random.random_range(20..4_000),
        });
        Prompt {
            segments: all_segments,
            output_tokens: self.random.random_range(10..200),
        }
    }

    fn send_request(&mut self) {
        let index = self.random.random_range(0..INSTANCES);
        let prompt = (self.random.random_range(0..3) > 0).then(|| self.prompt());
        // One workspace sends about half of all requests.
        let workspace = self.random.random_range(0..WORKSPACES * 2).min(WORKSPACES);
        let base = Demand {
            service: NameHash::of(if prompt.is_some() { "llm" } else { "app" }),
            workspace: NameHash(workspace),
            prompt: prompt.as_ref(),
            latency_target_ms: [150, 600, 800, 5_000][self.random.random_range(0..4)],
            gap_target_ms: None,
            priority: Priority::default(),
            waited_ms: self.random.random_range(0..40),
            tried: &[],
            regions: &AllowedRegions::Any,
            fingerprint: None,
            version: VersionDemand::Any,
        };
        let now = self.now;
        let instance = &mut self.instances[index];
        instance.dispatcher.record_arrival(&base, now);
        let mut tried = Vec::new();
        for _ in 0..3 {
            let demand = Demand {
                tried: &tried,
                regions: &AllowedRegions::Any,
                fingerprint: None,
                ..base
            };
            let decision = instance.dispatcher.decide(&demand, now);
            self.trace
                .push_line(&format_decision(now, index, &demand, &decision));
            let Decision::Send(placement) = decision else {
                return;
            };
            let attempt = instance.dispatcher.begin_attempt(&demand, &placement, now);
            let outcome = self.random.random_range(0..100);
            if outcome < 8 {
                // The request did not reach the server, so it is placed again.
                instance
                    .dispatcher
                    .finish_attempt(attempt, AttemptOutcome::Unreachable, now);
                tried.push(placement.server);
                continue;
            }
            let delay_ms = service_time_ms(&placement) * self.random.random_range(5..30) / 10;
            let answers_at = now.plus_ms(delay_ms);
            instance.open.push(OpenRequest {
                attempt,
                answers_at,
                ends_at: answers_at.plus_ms(self.random.random_range(0..900)),
                outcome: match outcome {
                    8..80 => AttemptOutcome::Answered,
                    80..88 => AttemptOutcome::Failed,
                    88..94 => AttemptOutcome::Rejected,
                    _ => AttemptOutcome::Abandoned,
                },
                has_answered: false,
            });
            return;
        }
    }

    fn advance_open_requests(&mut self) {
        let now = self.now;
        for instance in &mut self.instances {
            let mut remaining = Vec::new();
            for mut open in instance.open.drain(..) {
                if !open.has_answered && open.answers_at <= now && open.outcome == AttemptOutcome::Answered {
                    instance.dispatcher.record_first_event(&mut open.attempt, now);
                    open.has_answered = true;
                }
                if open.ends_at <= now {
                    instance
                        .dispatcher
                        .finish_attempt(open.attempt, open.outcome, now);
                } else {
                    remaining.push(open);
                }
            }
            instance.open = remaining;
        }
    }

    fn exchange_reports(&mut self) {
        let from = self.random.random_range(0..INSTANCES);
        let name = self.instances[from].name;
        let mut report = self.instances[from].dispatcher.report(self.now);
        report.workspaces.sort_by_key(|row| row.workspace);
        self.trace.push_line(&format!(
            "{} {from} reports {}",
            self.now.0,
            format_report(&report)
        ));
        if from == 2 && self.now < self.silent_until {
            return;
        }
        for (index, instance) in self.instances.iter_mut().enumerate() {
            if index != from {
                instance.dispatcher.receive_report(name, report.clone(), self.now);
            }
        }
    }

    fn tick(&mut self) {
        for instance in &mut self.instances {
            instance.dispatcher.tick(self.now);
        }
        let server = self.setups[self.random.random_range(0..8)].name;
        for (index, instance) in self.instances.iter().enumerate() {
            let key = instance.dispatcher.server_key(server).unwrap();
            let (own, all) = instance.dispatcher.running(key);
            self.trace.push_line(&format!(
                "{} {index} runs {own} of {all} at {}",
                self.now.0, key.0
            ));
        }
    }

    fn take_retry(&mut self) {
        let index = self.random.random_range(0..INSTANCES);
        let service = NameHash::of(["llm", "app"][self.random.random_range(0..2)]);
        let granted =
            self.instances[index]
                .dispatcher
                .take_retry(service, RetryPurpose::RepeatFailed, self.now);
        self.trace
            .push_line(&format!("{} {index} retry {}", self.now.0, granted.is_granted()));
    }

    fn change_server(&mut self) {
        let index = self.random.random_range(0..8);
        self.setups[index].is_draining = !self.setups[index].is_draining;
        if self.random.random_range(0..4) == 0 {
            let kept = self.setups.clone();
            self.setups.remove(index);
            self.set_servers();
            self.setups = kept;
        } else {
            self.set_servers();
        }
    }

    fn drop_peer(&mut self) {
        let peer = self.instances[self.random.random_range(0..INSTANCES)].name;
        let index = self.random.random_range(0..INSTANCES);
        self.instances[index].dispatcher.drop_peer(peer);
    }
}

fn format_decision(now: TimeMs, instance: usize, demand: &Demand<'_>, decision: &Decision) -> String {
    let description = match decision {
        Decision::Send(placement) => format!(
            "to {} copy {:?} prefill {} expected {} queue {}",
            placement.server.0,
            placement.cache_source.map(|key| key.0),
            placement.prefill_tokens,
            placement.expected_ms,
            placement.queue_ms
        ),
        Decision::Quarantined(_) => "quarantined".to_owned(),
        Decision::VersionGone => "version gone".to_owned(),
        Decision::Refuse {
            kind,
            retry_after_ms,
            placement,
        } => {
            let expected_ms = placement.map(|placement| placement.expected_ms);
            format!("{} after {retry_after_ms} expected {expected_ms:?}", kind.name())
        }
    };
    let (workspace, target_ms) = (demand.workspace.0, demand.latency_target_ms);
    format!(
        "{} {instance} workspace {workspace} target {target_ms}: {description}",
        now.0
    )
}

fn format_report(report: &LoadReport) -> String {
    let mut text = String::new();
    for row in &report.servers {
        let (running, tokens, rate) = (row.running, row.prefill_tokens, row.failure_rate);
        write!(text, "s{:x}:{running},{tokens},{rate} ", row.server.0).unwrap();
    }
    for row in &report.workspaces {
        write!(
            text,
            "w{}:{},{} ",
            row.workspace.0, row.requested_cost, row.sent_cost
        )
        .unwrap();
    }
    for row in &report.prefixes {
        write!(text, "p{:x}:{:x} ", row.segment, row.server.0).unwrap();
    }
    text
}

#[test]
fn seeded_decisions_stay_the_same() {
    let mut deployment = Deployment::new(11);
    for _ in 0..STEPS {
        deployment.step();
    }
    insta::assert_snapshot!("dispatcher", deployment.trace.finish());
}

fn record(index: u64, is_draining: bool) -> ServerRecord {
    ServerRecord {
        id: format!("i-{index}"),
        service: "llm".to_owned(),
        address: ([127, 0, 0, 1], 1_000 + index as u16).into(),
        failure_domain: "hall-a".to_owned(),
        slots: 16,
        is_draining,
        cold_left_ms: 0,
        born_ms: None,
        software_version: Some("v1".to_owned()),
    }
}

fn changes(random: &mut StdRng) -> Vec<ServerChange> {
    (0..random.random_range(0..4))
        .map(|_| {
            let index = random.random_range(0..9);
            let id = format!("i-{index}");
            match random.random_range(0..10) {
                0..6 => ServerChange::Announced(record(index, false)),
                6..8 => ServerChange::Announced(record(index, true)),
                8 => ServerChange::Dropped { id },
                _ => ServerChange::Unreadable {
                    id,
                    fault: "it is torn".to_owned(),
                },
            }
        })
        .collect()
}

fn format_list(list: &ServerList, now: TimeMs) -> String {
    let mut departures = list.departures();
    departures.sort();
    let mut records = list.records(now);
    records.sort_by(|left, right| left.id.cmp(&right.id));
    let records: Vec<String> = records
        .iter()
        .map(|record| format!("{}{}", record.id, if record.is_draining { "-" } else { "" }))
        .collect();
    format!(
        "revision {} age {} digest {:x} departures {departures:?} {}",
        list.revision().offset,
        list.age_ms(now),
        list.digest(),
        records.join(" ")
    )
}

fn format_delta(delta: &ListDelta) -> String {
    format!(
        "ListDelta {{ listed: {:?}, leaving: {:?}, unlisted: {:?}, unreadable: {:?} }}",
        delta.listed, delta.draining, delta.unlisted, delta.unreadable
    )
}

#[test]
fn seeded_server_list_changes_stay_the_same() {
    let mut random = StdRng::seed_from_u64(12);
    let mut trace = Trace::default();
    let mut lists = [ServerList::default(), ServerList::default()];
    let mut now = TimeMs(1_000);
    let mut revision = 0;
    for _ in 0..STEPS {
        now = now.plus_ms(random.random_range(0..300));
        let index = random.random_range(0..2);
        let mut delta = match random.random_range(0..20) {
            0..8 => {
                let changes = changes(&mut random);
                revision += changes.len() as u64;
                let position = StorePosition::new(0, revision);
                let update = ServerUpdate {
                    revision: position,
                    is_whole: random.random_range(0..5) == 0,
                    changes: changes.into_iter().map(|change| change.at(position)).collect(),
                };
                lists[index].apply(update, TimeMs(now.0 - 20), now)
            }
            8..10 => {
                lists[index].record_store_failure();
                continue;
            }
            10..12 => {
                let listing = lists[1 - index].listing(now);
                lists[index].apply_listing(listing, now)
            }
            12..16 => {
                let other = &lists[1 - index];
                let departures = other.departures();
                let peer_state = PeerListState {
                    revision: other.revision(),
                    digest: other.digest(),
                    age_ms: other.age_ms(now),
                    departures: &departures,
                };
                let comparison = lists[index].compare_with_peer(&peer_state, now);
                let outcome = match comparison {
                    ListComparison::NothingNew => 0,
                    ListComparison::Newer => 1,
                    ListComparison::NewerWithDepartures(_) => 2,
                    ListComparison::DeparturesChanged(_) => 3,
                };
                trace.push_line(&format!("{} {index} peer {outcome}", now.0));
                continue;
            }
            _ => lists[index].tick(now),
        };
        for ids in [&mut delta.listed, &mut delta.draining, &mut delta.unlisted] {
            ids.sort();
        }
        let formatted_list = format_list(&lists[index], now);
        trace.push_line(&format!(
            "{} {index} {} {formatted_list}",
            now.0,
            format_delta(&delta)
        ));
    }
    insta::assert_snapshot!("server_list", trace.finish());
}

#[test]
fn gossip_timing_stays_the_same() {
    let rows: Vec<String> = [0, 1, 8, 25, 26, 59, 99, 320, 1_000]
        .iter()
        .map(|peers| {
            let timing = GossipTiming::of(*peers);
            let (interval, silent) = (timing.interval_ms, timing.peer_silent_ms);
            format!(
                "{peers} {interval} {silent} {} {}",
                timing.reader_silent_ms, timing.update_delay_ms
            )
        })
        .collect();
    insta::assert_snapshot!("gossip_timing", rows.join("\n"));
}
