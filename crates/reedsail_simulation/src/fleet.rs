//! Simulates the instances, engines and callers of a scenario, event by event.

use std::collections::HashMap;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use reedsail_core::ErrorKind;
use reedsail_core::NameHash;
use reedsail_core::ServerKey;
use reedsail_core::TableKey;
use reedsail_core::TimeMs;
use reedsail_dispatch::ATTEMPTS_MAX;
use reedsail_dispatch::AllowedRegions;
use reedsail_dispatch::Attempt;
use reedsail_dispatch::AttemptOutcome;
use reedsail_dispatch::Decision;
use reedsail_dispatch::Demand;
use reedsail_dispatch::DispatchSettings;
use reedsail_dispatch::Dispatcher;
use reedsail_dispatch::Placement;
use reedsail_dispatch::Priority;
use reedsail_dispatch::ServerNotice;
use reedsail_dispatch::ServerSetup;
use reedsail_dispatch::SoftwareVersion;
use reedsail_dispatch::VersionDemand;

use crate::ArrivalRow;
use crate::DecisionRow;
use crate::NoticeRow;
use crate::Outcome;
use crate::Scenario;
use crate::Shedding;
use crate::WorkspaceOutcome;
use crate::callers::draw_entry_instance;
use crate::callers::next_request_us;
use crate::engine::Engine;
use crate::engine::Job;
use crate::engine::Started;
use crate::event_queue::EventQueue;
use crate::exchange::Exchange;
use crate::requests::PromptSource;
use crate::requests::Request;

/// Number of failure domains over which instances and engines are distributed.
const FAILURE_DOMAINS: usize = 3;
/// Interval at which instances check for overdue answers, in milliseconds.
const TICK_MS: u64 = 50;
/// A caller waits at most its deadline divided by this before it retries, like the users' callers.
const RETRY_DELAY_DIVISOR: u64 = 3;

/// A scheduled event.
#[derive(Debug)]
enum Event {
    /// A workspace's next request arrives.
    Arrival { workspace: usize },
    /// A caller retries a refused request.
    Retry(Box<Request>),
    /// The first event of a request's answer arrives.
    AnswerBegins { number: u64 },
    /// A request's answer ends.
    AnswerEnds { number: u64 },
    /// Instances exchange load reports.
    Exchange,
    /// Instances check for overdue answers.
    Tick,
}

/// A request that was sent to an engine.
#[derive(Debug)]
struct Run {
    request: Request,
    attempt: Option<Attempt>,
    engine: usize,
    arrived_us: u64,
}

struct Fleet<'a> {
    scenario: &'a Scenario,
    random: StdRng,
    prompts: PromptSource,
    instances: Vec<Dispatcher>,
    engines: Vec<Engine>,
    exchange: Exchange,
    events: EventQueue<Event>,
    runs: HashMap<u64, Run>,
    last_number: u64,
    outcome: Outcome,
}

/// Simulates a scenario to its end.
pub fn simulate(scenario: &Scenario) -> Outcome {
    let mut fleet = Fleet::new(scenario);
    fleet.schedule_first_events();
    let end_us = scenario.duration_ms * 1_000;
    while let Some((now_us, event)) = fleet.events.next() {
        if now_us >= end_us {
            break;
        }
        fleet.handle(event, now_us);
    }
    fleet.outcome
}

fn service() -> NameHash {
    NameHash::of("engines")
}

fn engine_setup(number: usize, slots: u32) -> ServerSetup {
    ServerSetup {
        name: NameHash::of(&format!("engine-{number}")),
        service: service(),
        failure_domain: NameHash::of(&format!("domain-{}", number % FAILURE_DOMAINS)),
        region: None,
        slots,
        is_draining: false,
        cold_until: None,
        version: SoftwareVersion::of("v1"),
    }
}

/// Returns the names of an instance and of its failure domain.
fn member(number: usize) -> (NameHash, NameHash) {
    let domain = NameHash::of(&format!("domain-{}", number % FAILURE_DOMAINS));
    (NameHash::of(&format!("instance-{number}")), domain)
}

fn to_time(now_us: u64) -> TimeMs {
    // Starts at 1 s, because a time of zero means never.
    TimeMs(1_000 + now_us / 1_000)
}

impl<'a> Fleet<'a> {
    fn new(scenario: &'a Scenario) -> Self {
        let setups: Vec<ServerSetup> = (0..scenario.engines)
            .map(|number| engine_setup(number, scenario.speed.slots))
            .collect();
        let members: Vec<(NameHash, NameHash)> = (0..scenario.instances).map(member).collect();
        let instances = members.iter().map(|(own, domain)| {
            let mut instance = Dispatcher::new(DispatchSettings::default(), *domain);
            instance.set_members(*own, &members);
            instance.set_servers(&setups);
            instance.set_instances(scenario.instances);
            instance
        });
        Self {
            scenario,
            random: StdRng::seed_from_u64(scenario.seed),
            prompts: PromptSource::new(&scenario.kinds, scenario.workspaces.len()),
            instances: instances.collect(),
            engines: (0..scenario.engines)
                .map(|_| Engine::new(scenario.speed))
                .collect(),
            exchange: Exchange::new(scenario.instances, scenario.report_delay_ms),
            events: EventQueue::default(),
            runs: HashMap::new(),
            last_number: 0,
            outcome: Outcome {
                workspaces: vec![WorkspaceOutcome::default(); scenario.workspaces.len()],
                ..Outcome::default()
            },
        }
    }

    fn schedule_first_events(&mut self) {
        for workspace in 0..self.scenario.workspaces.len() {
            let at_us = next_request_us(self.scenario, workspace, 0, &mut self.random);
            self.events.add(at_us, Event::Arrival { workspace });
        }
        self.events.add(0, Event::Exchange);
        self.events.add(0, Event::Tick);
    }

    fn handle(&mut self, event: Event, now_us: u64) {
        match event {
            Event::Arrival { workspace } => {
                let at_us = next_request_us(self.scenario, workspace, now_us, &mut self.random);
                self.events.add(at_us, Event::Arrival { workspace });
                let instance = draw_entry_instance(self.scenario, workspace, &mut self.random);
                let request = self.prompts.draw(workspace, instance, &mut self.random);
                self.arrive(request, now_us);
            }
            Event::Retry(request) => self.arrive(*request, now_us),
            Event::AnswerBegins { number } => self.record_first_event(number, now_us),
            Event::AnswerEnds { number } => self.end(number, now_us),
            Event::Exchange => {
                self.exchange.tick(&mut self.instances, to_time(now_us));
                let next_us = now_us + self.scenario.report_interval_ms * 1_000;
                self.events.add(next_us, Event::Exchange);
            }
            Event::Tick => {
                for instance in &mut self.instances {
                    instance.tick(to_time(now_us));
                }
                self.events.add(now_us + TICK_MS * 1_000, Event::Tick);
            }
        }
    }

    /// Passes a request to its instance, which tries engines until one accepts the request.
    fn arrive(&mut self, request: Request, now_us: u64) {
        self.count_arrival(&request, now_us);
        let mut tried = Vec::new();
        while tried.len() < ATTEMPTS_MAX {
            match self.decide(&request, &tried, now_us) {
                Decision::Send(placement) => {
                    let attempt = self.begin_attempt(&request, &placement, &tried, now_us);
                    let engine = engine_index(placement.server);
                    let Some(shedding) = self.shedding(engine, now_us) else {
                        self.send(request, attempt, &placement, now_us);
                        return;
                    };
                    self.reject(&request, attempt, shedding, now_us);
                    tried.push(placement.server);
                }
                Decision::Refuse {
                    kind, retry_after_ms, ..
                } => {
                    self.refuse(request, kind, retry_after_ms, now_us);
                    return;
                }
                Decision::Quarantined(_) => unreachable!("no request of this fleet has a fingerprint"),
                Decision::VersionGone => unreachable!("no request of this fleet continues a stream"),
            }
        }
        let kind = ErrorKind::NoBackend;
        self.refuse(request, kind, kind.retry_after_ms().unwrap_or(0), now_us);
    }

    fn count_arrival(&mut self, request: &Request, now_us: u64) {
        let cost = request.prompt.cost();
        let name = &self.scenario.workspaces[request.workspace].name;
        self.outcome.workspaces[request.workspace].requested_cost += cost;
        self.outcome.ledger.record_request(name, cost, now_us / 1_000);
        self.outcome
            .accepted_ledger
            .record_request(name, cost, now_us / 1_000);
        let demand = demand(request, name, &[]);
        self.instances[request.instance].record_arrival(&demand, to_time(now_us));
    }

    fn decide(&mut self, request: &Request, tried: &[ServerKey], now_us: u64) -> Decision {
        let name = &self.scenario.workspaces[request.workspace].name;
        let demand = demand(request, name, tried);
        let instance = &mut self.instances[request.instance];
        let decision = instance.decide(&demand, to_time(now_us));
        let row = decision_row(request, name, &decision, instance, now_us);
        self.outcome.decisions.push(row);
        decision
    }

    fn begin_attempt(
        &mut self,
        request: &Request,
        placement: &Placement,
        tried: &[ServerKey],
        now_us: u64,
    ) -> Attempt {
        self.outcome.arrivals.push(ArrivalRow {
            at_ms: now_us / 1_000,
            instance: request.instance,
            engine: engine_index(placement.server),
        });
        let name = &self.scenario.workspaces[request.workspace].name;
        let demand = demand(request, name, tried);
        self.instances[request.instance].begin_attempt(&demand, placement, to_time(now_us))
    }

    /// Returns the load shedding that is active at an engine.
    fn shedding(&self, engine: usize, now_us: u64) -> Option<Shedding> {
        let at_ms = now_us / 1_000;
        let is_active = |shedding: &&Shedding| {
            shedding.engine == engine && (shedding.from_ms..shedding.until_ms).contains(&at_ms)
        };
        self.scenario.sheddings.iter().find(is_active).copied()
    }

    fn reject(&mut self, request: &Request, attempt: Attempt, shedding: Shedding, now_us: u64) {
        let notice = ServerNotice {
            is_draining: false,
            backoff_ms: Some(shedding.backoff_ms),
        };
        self.send_notice(request.instance, shedding.engine, notice, now_us);
        let instance = &mut self.instances[request.instance];
        instance.finish_attempt(attempt, AttemptOutcome::Rejected, to_time(now_us));
    }

    /// Sends a server notice from an engine to an instance.
    fn send_notice(&mut self, instance: usize, engine: usize, notice: ServerNotice, now_us: u64) {
        let server = ServerKey::from_index(engine);
        self.instances[instance].record_notice(server, notice, to_time(now_us));
        self.outcome.notices.push(NoticeRow {
            at_ms: now_us / 1_000,
            instance,
            engine,
            notice,
        });
    }

    fn is_draining(&self, engine: usize, now_us: u64) -> bool {
        let mut drainings = self.scenario.drainings.iter();
        drainings.any(|draining| draining.engine == engine && draining.from_ms <= now_us / 1_000)
    }

    fn send(&mut self, request: Request, attempt: Attempt, placement: &Placement, now_us: u64) {
        self.last_number += 1;
        let number = self.last_number;
        let engine = engine_index(placement.server);
        let job = Job {
            number,
            prompt: request.prompt.clone(),
            is_transferred: placement.cache_source.is_some(),
        };
        let run = Run {
            request,
            attempt: Some(attempt),
            engine,
            arrived_us: now_us,
        };
        self.runs.insert(number, run);
        let started = self.engines[engine].accept(job, now_us);
        self.schedule(started);
    }

    /// Counts a refusal. The caller retries once, at a random instance.
    fn refuse(&mut self, mut request: Request, kind: ErrorKind, retry_after_ms: u64, now_us: u64) {
        let workspace = &mut self.outcome.workspaces[request.workspace];
        match kind {
            ErrorKind::OverShare => workspace.over_share += 1,
            _ => workspace.would_miss_target += 1,
        }
        let name = &self.scenario.workspaces[request.workspace].name;
        self.outcome.ledger.record_refused_or_late(name, now_us / 1_000);
        self.outcome
            .accepted_ledger
            .record_refused_or_late(name, now_us / 1_000);
        if request.has_retried {
            return;
        }
        request.has_retried = true;
        request.instance = self.random.random_range(0..self.instances.len());
        let delay_ms = retry_after_ms.min(request.deadline_ms / RETRY_DELAY_DIVISOR);
        let at_us = now_us + delay_ms * 1_000;
        self.events.add(at_us, Event::Retry(Box::new(request)));
    }

    fn schedule(&mut self, started: Option<Started>) {
        if let Some(started) = started {
            let number = started.number;
            self.events
                .add(started.first_event_us, Event::AnswerBegins { number });
            self.events.add(started.end_us, Event::AnswerEnds { number });
        }
    }

    fn record_first_event(&mut self, number: u64, now_us: u64) {
        let endpoints = self
            .runs
            .get(&number)
            .map(|run| (run.request.instance, run.engine));
        let Some((instance, engine)) = endpoints else {
            return;
        };
        if self.is_draining(engine, now_us) {
            let notice = ServerNotice {
                is_draining: true,
                backoff_ms: None,
            };
            self.send_notice(instance, engine, notice, now_us);
        }
        let Some(run) = self.runs.get_mut(&number) else {
            return;
        };
        let request = &run.request;
        if let Some(attempt) = &mut run.attempt {
            self.instances[request.instance].record_first_event(attempt, to_time(now_us));
        }
        let cost = request.prompt.cost();
        let name = &self.scenario.workspaces[request.workspace].name;
        let outcome = &mut self.outcome.workspaces[request.workspace];
        outcome.begun_cost += cost;
        self.outcome.ledger.record_begun(name, cost, now_us / 1_000);
        self.outcome
            .accepted_ledger
            .record_begun(name, cost, run.arrived_us / 1_000);
        let is_late = now_us - run.arrived_us > request.latency_target_ms * 1_000;
        if is_late {
            outcome.late += 1;
            self.outcome.ledger.record_refused_or_late(name, now_us / 1_000);
            self.outcome
                .accepted_ledger
                .record_refused_or_late(name, now_us / 1_000);
        } else {
            outcome.in_target += 1;
        }
    }

    fn end(&mut self, number: u64, now_us: u64) {
        let Some(run) = self.runs.remove(&number) else {
            return;
        };
        if let Some(attempt) = run.attempt {
            let instance = &mut self.instances[run.request.instance];
            instance.finish_attempt(attempt, AttemptOutcome::Answered, to_time(now_us));
        }
        let started = self.engines[run.engine].end(now_us);
        self.schedule(started);
    }
}

fn demand<'a>(request: &'a Request, workspace: &str, tried: &'a [ServerKey]) -> Demand<'a> {
    Demand {
        service: service(),
        workspace: NameHash::of(workspace),
        prompt: Some(&request.prompt),
        latency_target_ms: request.latency_target_ms,
        gap_target_ms: None,
        priority: Priority::default(),
        waited_ms: 0,
        tried,
        regions: &AllowedRegions::Any,
        fingerprint: None,
        version: VersionDemand::Any,
    }
}

/// Returns the record of a decision. It reads the share only for refusals, which have just computed it: reading it at
/// other times would change when share levels are computed.
fn decision_row(
    request: &Request,
    name: &str,
    decision: &Decision,
    instance: &mut Dispatcher,
    now_us: u64,
) -> DecisionRow {
    let (refusal, placement) = match decision {
        Decision::Send(placement) => (None, Some(*placement)),
        Decision::Refuse { kind, placement, .. } => (Some(*kind), *placement),
        Decision::Quarantined(_) => (Some(ErrorKind::Quarantined), None),
        Decision::VersionGone => (Some(ErrorKind::StreamVersionGone), None),
    };
    DecisionRow {
        at_ms: now_us / 1_000,
        workspace: request.workspace,
        instance: request.instance,
        cost: request.prompt.cost(),
        refusal,
        share: refusal.map(|_| instance.workspace_share(NameHash::of(name), to_time(now_us))),
        latency_target_ms: request.latency_target_ms,
        expected_ms: placement.map_or(0, |placement| placement.expected_ms),
        queue_ms: placement.map_or(0, |placement| placement.queue_ms),
    }
}

/// Returns the index of a key's engine. All instances have the same server list, in the order of the engines.
fn engine_index(server: ServerKey) -> usize {
    server.index()
}
