//! Simulates a fleet whose servers crash: what instances learn about the crashes from each other, and which
//! requests they quarantine.

use std::collections::BTreeMap;
use std::collections::HashMap;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use reedsail_core::NameHash;
use reedsail_core::ServerKey;
use reedsail_core::TimeMs;
use reedsail_dispatch::ATTEMPTS_MAX;
use reedsail_dispatch::AllowedRegions;
use reedsail_dispatch::Attempt;
use reedsail_dispatch::AttemptOutcome;
use reedsail_dispatch::Decision;
use reedsail_dispatch::Demand;
use reedsail_dispatch::DispatchSettings;
use reedsail_dispatch::Dispatcher;
use reedsail_dispatch::LoadReport;
use reedsail_dispatch::Priority;
use reedsail_dispatch::ServerSetup;
use reedsail_dispatch::SoftwareVersion;
use reedsail_dispatch::SuspectKey;
use reedsail_dispatch::SuspectRow;
use reedsail_dispatch::VersionDemand;
use reedsail_dispatch::WriterPosition;

use crate::CrashOutcome;
use crate::CrashScenario;
use crate::EndMoment;
use crate::PoisonOutcome;
use crate::crash_event::Event;
use crate::crash_requests::Request;
use crate::crash_requests::draw_poison_request;
use crate::crash_requests::draw_sound_request;
use crate::crash_run::Instance;
use crate::crash_run::LastReport;
use crate::crash_run::Run;
use crate::crash_run::record_written;
use crate::crash_scenario::PROPAGATION_MAX_MS;
use crate::crash_scenario::QUARANTINE_DEADLINE_MS;
use crate::event_queue::EventQueue;

/// Interval at which instances check servers and update their state, in milliseconds.
const TICK_MS: u64 = 50;
/// How long a caller waits before it retries a broken request, in milliseconds.
const RETRY_DELAY_MS: u64 = 100;
/// Silence after which a peer counts as new when it reports again, in milliseconds. The load exchange uses the
/// same value.
const PEER_SILENT_MS: u64 = 1_000;
/// Interval at which instances read the events of an answer, in milliseconds. They read several at once.
const READ_INTERVAL_MS: u64 = 100;
/// For how long the instances have run that the simulation begins with, in milliseconds.
const FIRST_UPTIME_MS: u64 = 60_000;
/// Interval at which instances write to the store, and read again what it did not answer, in milliseconds.
const STORE_INTERVAL_MS: u64 = 250;
/// Time from the start of an instance until it has read the store, in milliseconds.
const STORE_READ_AFTER_MS: u64 = 400;
/// One in this many instances reads the store when it starts. The others learn from their peers.
const STORE_READERS_EVERY: usize = 3;
/// Maximum number of requests that a server runs at the same time.
const SLOTS: u32 = 64;

/// A server position of the fleet. Each start at a position has its own server name.
struct Server {
    starts: u64,
    is_up: bool,
}

struct CrashFleet<'a> {
    scenario: &'a CrashScenario,
    random: StdRng,
    events: EventQueue<Event>,
    instances: Vec<Instance>,
    servers: Vec<Server>,
    /// Server records in the store, each with the server's index. The record of a crashed server stays until it
    /// expires.
    records: Vec<(ServerSetup, usize)>,
    runs: HashMap<u64, Run>,
    /// The records of quarantined suspects in the store, each with the time of its write.
    saved: BTreeMap<SuspectKey, (SuspectRow, u64)>,
    /// The last number that was given to a request or a run.
    last_id: u64,
    outcome: CrashOutcome,
}

/// Simulates a scenario to its end.
pub fn simulate_crashes(scenario: &CrashScenario) -> CrashOutcome {
    let mut fleet = CrashFleet::new(scenario);
    fleet.schedule_first_events();
    while let Some((now_ms, event)) = fleet.events.next() {
        if now_ms >= scenario.duration_ms {
            break;
        }
        fleet.handle(event, now_ms);
    }
    fleet.outcome
}

fn service() -> NameHash {
    NameHash::of("service")
}

fn instance_name(instance: usize) -> NameHash {
    NameHash::of(&format!("instance-{instance}"))
}

fn setup(server: usize, start: u64) -> ServerSetup {
    ServerSetup {
        name: NameHash::of(&format!("server-{server}-{start}")),
        service: service(),
        failure_domain: NameHash::of("domain"),
        region: None,
        slots: SLOTS,
        is_draining: false,
        cold_until: None,
        version: SoftwareVersion::of("v1"),
    }
}

/// Returns a row of the store with the ages that it has some time after its write.
fn aged_row(row: &SuspectRow, age_ms: u64) -> SuspectRow {
    let mut row = row.clone();
    row.add_age(u32::try_from(age_ms).unwrap_or(u32::MAX));
    row
}

impl<'a> CrashFleet<'a> {
    fn new(scenario: &'a CrashScenario) -> Self {
        let new_server = |_| Server {
            starts: 1,
            is_up: true,
        };
        let mut fleet = Self {
            scenario,
            random: StdRng::seed_from_u64(scenario.seed),
            events: EventQueue::default(),
            instances: Vec::new(),
            servers: (0..scenario.servers).map(new_server).collect(),
            records: (0..scenario.servers)
                .map(|server| (setup(server, 1), server))
                .collect(),
            runs: HashMap::new(),
            saved: BTreeMap::new(),
            last_id: 0,
            outcome: CrashOutcome {
                poisons: vec![PoisonOutcome::default(); scenario.poisons.len()],
                ..CrashOutcome::default()
            },
        };
        fleet.instances = (0..scenario.instances).map(|_| fleet.new_instance(0)).collect();
        fleet
    }

    fn new_instance(&self, now_ms: u64) -> Instance {
        let mut dispatcher = Dispatcher::new(DispatchSettings::default(), NameHash::of("domain"));
        dispatcher.set_servers(&self.setups());
        Instance {
            dispatcher,
            started_ms: now_ms,
            started_at: if now_ms == 0 {
                TimeMs::PROCESS_START.plus_ms(FIRST_UPTIME_MS)
            } else {
                TimeMs::PROCESS_START
            },
            last_reports: HashMap::new(),
        }
    }

    fn setups(&self) -> Vec<ServerSetup> {
        self.records.iter().map(|(setup, _)| *setup).collect()
    }

    fn publish(&mut self) {
        let setups = self.setups();
        for instance in &mut self.instances {
            instance.dispatcher.set_servers(&setups);
        }
    }

    fn schedule_first_events(&mut self) {
        self.events.add(0, Event::Arrival);
        self.events.add(0, Event::Report);
        self.events.add(0, Event::Tick);
        self.events.add(0, Event::StoreWrites);
        for (poison, plan) in self.scenario.poisons.iter().enumerate() {
            self.events.add(plan.from_ms, Event::PoisonArrival { poison });
        }
        for crash in &self.scenario.mass_crashes {
            let fraction = crash.fraction;
            self.events.add(crash.at_ms, Event::MassCrash { fraction });
        }
        for (instance, at_ms) in &self.scenario.restarts {
            let instance = *instance;
            self.events.add(*at_ms, Event::InstanceRestarts { instance });
        }
    }

    fn handle(&mut self, event: Event, now_ms: u64) {
        match event {
            Event::Arrival => self.draw_request(now_ms),
            Event::PoisonArrival { poison } => self.draw_poison(poison, now_ms),
            Event::Retry(request) => self.arrive(request, now_ms),
            Event::RunBegins { run } => self.begin_answer(run, now_ms),
            Event::RunGoesOn { run } => self.read_events(run, now_ms),
            Event::RunEnds { run } => self.end_run(run, now_ms),
            Event::MassCrash { fraction } => self.crash_fraction(fraction, now_ms),
            Event::ServerRestarts { server } => self.start_server(server),
            Event::RecordExpires { name } => {
                self.records.retain(|(setup, _)| setup.name != name);
                self.publish();
            }
            Event::InstanceRestarts { instance } => {
                self.runs.retain(|_, run| run.instance != instance);
                self.instances[instance] = self.new_instance(now_ms);
                if instance.is_multiple_of(STORE_READERS_EVERY) {
                    self.events
                        .add(now_ms + STORE_READ_AFTER_MS, Event::StoreRead { instance });
                }
            }
            Event::StoreRead { instance } => self.read_store(instance, now_ms),
            Event::StoreWrites => self.write_store(now_ms),
            Event::Report => self.send_reports(now_ms),
            Event::ReportArrives { from, to, report } => self.receive_report(from, to, *report, now_ms),
            Event::Tick => {
                self.check_servers(now_ms);
                for instance in &mut self.instances {
                    let now = instance.time(now_ms);
                    instance.dispatcher.tick(now);
                }
                self.events.add(now_ms + TICK_MS, Event::Tick);
            }
        }
    }

    /// Delivers a report to an instance. The instance announces its suspected requests if the sender is new, has
    /// restarted or was silent.
    fn receive_report(&mut self, from: usize, to: usize, report: LoadReport, now_ms: u64) {
        let last = LastReport {
            started_ms: self.instances[from].started_ms,
            at_ms: now_ms,
        };
        let receiver = &mut self.instances[to];
        let previous = receiver.last_reports.insert(from, last);
        let is_known = previous.is_some_and(|previous| {
            previous.started_ms == last.started_ms && now_ms < previous.at_ms + PEER_SILENT_MS
        });
        let now = receiver.time(now_ms);
        let dispatcher = &mut receiver.dispatcher;
        if !is_known {
            dispatcher.announce_suspects(now);
        }
        dispatcher.receive_report(instance_name(from), report, now);
    }

    /// Restores the suspects of an instance from the store, or tries again later.
    fn read_store(&mut self, instance: usize, now_ms: u64) {
        if !self.scenario.has_store(now_ms) {
            let event = Event::StoreRead { instance };
            self.events.add(now_ms + STORE_INTERVAL_MS, event);
            return;
        }
        let aged = |(row, written_ms): &(SuspectRow, u64)| aged_row(row, now_ms - written_ms);
        let rows: Vec<SuspectRow> = self.saved.values().map(aged).collect();
        let instance = &mut self.instances[instance];
        let now = instance.time(now_ms);
        instance.dispatcher.restore_suspects(&rows, 0, now);
    }

    fn write_store(&mut self, now_ms: u64) {
        self.events.add(now_ms + STORE_INTERVAL_MS, Event::StoreWrites);
        let instances = self.instances.len();
        for (position, instance) in self.instances.iter_mut().enumerate() {
            let writer = WriterPosition { position, instances };
            let now = instance.time(now_ms);
            let dispatcher = &mut instance.dispatcher;
            let records = dispatcher.due_suspect_records(writer, now);
            if !self.scenario.has_store(now_ms) {
                continue;
            }
            for record in &records {
                match &record.row {
                    Some(row) => self.saved.insert(record.key, (row.clone(), now_ms)),
                    None => self.saved.remove(&record.key),
                };
            }
            dispatcher.record_suspects_written(&records, 0, now);
        }
    }

    /// Lets each instance check the servers at which its connections broke.
    fn check_servers(&mut self, now_ms: u64) {
        for instance in 0..self.instances.len() {
            for key in self.instances[instance].dispatcher.take_servers_to_check() {
                let is_listening = self.listening_server(instance, key).is_some();
                let instance = &mut self.instances[instance];
                let now = instance.time(now_ms);
                instance.dispatcher.record_check(key, is_listening, now, now);
            }
        }
    }

    fn draw_request(&mut self, now_ms: u64) {
        self.last_id += 1;
        let uniform: f64 = self.random.random_range(f64::MIN_POSITIVE..1.0);
        let wait_ms = -uniform.ln() / self.scenario.requests_per_s * 1_000.0;
        self.events.add(now_ms + wait_ms as u64, Event::Arrival);
        let request = draw_sound_request(self.scenario, &mut self.random, self.last_id);
        self.outcome.arrived += 1;
        self.arrive(request, now_ms);
    }

    fn draw_poison(&mut self, poison: usize, now_ms: u64) {
        let plan = self.scenario.poisons[poison];
        let next_ms = now_ms + self.random.random_range(1..=plan.mean_interval_ms * 2);
        if next_ms < plan.until_ms {
            self.events.add(next_ms, Event::PoisonArrival { poison });
        }
        self.last_id += 1;
        let request = draw_poison_request(self.scenario, &mut self.random, poison, self.last_id);
        self.arrive(request, now_ms);
    }

    /// Passes a request to a random instance, which tries servers until one accepts the request.
    fn arrive(&mut self, request: Request, now_ms: u64) {
        let instance = self.random.random_range(0..self.instances.len());
        let now = self.instances[instance].time(now_ms);
        let mut tried: Vec<ServerKey> = Vec::new();
        while tried.len() < ATTEMPTS_MAX {
            let demand = Demand {
                service: service(),
                workspace: request.workspace,
                prompt: Some(&request.prompt),
                latency_target_ms: 2_000,
                gap_target_ms: None,
                priority: Priority::default(),
                waited_ms: 0,
                tried: &tried,
                regions: &AllowedRegions::Any,
                fingerprint: Some(request.fingerprint),
                version: VersionDemand::Any,
            };
            let dispatcher = &mut self.instances[instance].dispatcher;
            if tried.is_empty() {
                dispatcher.record_arrival(&demand, now);
            }
            let placement = match dispatcher.decide(&demand, now) {
                Decision::Send(placement) => placement,
                Decision::Quarantined(_) => return self.count_quarantined(&request),
                Decision::Refuse { .. } | Decision::VersionGone => return self.count_refusal(&request),
            };
            let mut attempt = dispatcher.begin_attempt(&demand, &placement, now);
            tried.push(placement.server);
            let Some(server) = self.listening_server(instance, placement.server) else {
                let dispatcher = &mut self.instances[instance].dispatcher;
                dispatcher.finish_attempt(attempt, AttemptOutcome::Down, now);
                continue;
            };
            attempt.set_written(true);
            let is_first = tried.len() == 1;
            return self.run(request, is_first, (instance, server), attempt, now_ms);
        }
        self.outcome.refused += 1;
    }

    /// Returns the index of a server if it is up and has not restarted under another name.
    fn listening_server(&self, instance: usize, key: ServerKey) -> Option<usize> {
        let dispatcher = &self.instances[instance].dispatcher;
        let (setup, server) = self
            .records
            .iter()
            .find(|(setup, _)| dispatcher.server_key(setup.name) == Some(key))?;
        let state = &self.servers[*server];
        let is_current_start = setup.name == self::setup(*server, state.starts).name;
        (state.is_up && is_current_start).then_some(*server)
    }

    fn run(
        &mut self,
        request: Request,
        is_first: bool,
        (instance, server): (usize, usize),
        attempt: Attempt,
        now_ms: u64,
    ) {
        self.last_id += 1;
        let run_ms = if let Some(poison) = request.poison {
            self.count_send(poison, instance, now_ms);
            self.draw_poison_run_ms(poison)
        } else {
            let (shortest_ms, longest_ms) = self.scenario.run_ms;
            self.random.random_range(shortest_ms..=longest_ms)
        };
        let run = Run {
            is_first_attempt: is_first && !request.has_retried,
            request,
            instance,
            server,
            attempt,
            begun_ms: None,
            events_read: 0,
        };
        self.runs.insert(self.last_id, run);
        let run = self.last_id;
        self.events
            .add(now_ms + self.scenario.time_to_begin_ms, Event::RunBegins { run });
        self.events.add(now_ms + run_ms, Event::RunEnds { run });
    }

    /// Draws how long a server runs a poison request before it ends, in milliseconds.
    fn draw_poison_run_ms(&mut self, poison: usize) -> u64 {
        let begin_ms = self.scenario.time_to_begin_ms;
        match self.scenario.poisons[poison].end_moment {
            EndMoment::BeforeHead => begin_ms / 2,
            EndMoment::After(after_ms) => begin_ms + after_ms,
            EndMoment::Events(fewest, most) => {
                let events = u64::from(self.random.random_range(fewest..=most));
                begin_ms + events * self.scenario.event_interval_ms
            }
        }
    }

    /// Counts a send of a poison request if the instance must have known by then that it ends servers.
    fn count_send(&mut self, poison: usize, instance: usize, now_ms: u64) {
        let outcome = &self.outcome.poisons[poison];
        let cause = self.scenario.poisons[poison].cause;
        let is_late = self.must_know(outcome.bounding_end_ms, instance, QUARANTINE_DEADLINE_MS, now_ms);
        let knowable_ms = outcome.bounding_knowable_ms(cause);
        let is_after_propagation = self.must_know(knowable_ms, instance, PROPAGATION_MAX_MS, now_ms);
        let outcome = &mut self.outcome.poisons[poison];
        outcome.late_sends += u64::from(is_late);
        outcome.sends_after_propagation += u64::from(is_after_propagation);
    }

    /// Returns whether an instance must know something that the fleet can know from `knowable_ms` on. This is the
    /// case once `within_ms` have passed, unless the instance started or was partitioned in that time.
    fn must_know(&self, knowable_ms: Option<u64>, instance: usize, within_ms: u64, now_ms: u64) -> bool {
        let is_overdue = |at_ms: u64| now_ms > at_ms + within_ms;
        let started_ms = self.instances[instance].started_ms;
        let is_past_startup = started_ms == 0 || is_overdue(started_ms);
        knowable_ms.is_some_and(is_overdue)
            && is_past_startup
            && !self.scenario.was_partitioned(instance, within_ms, now_ms)
    }

    fn count_quarantined(&mut self, request: &Request) {
        self.outcome.wrongly_quarantined += u64::from(request.poison.is_none());
    }

    fn count_refusal(&mut self, request: &Request) {
        self.outcome.refused += u64::from(request.poison.is_none());
    }

    /// Begins the answer of a run, if its server has not crashed.
    fn begin_answer(&mut self, number: u64, now_ms: u64) {
        let Some(run) = self.runs.get_mut(&number) else {
            return;
        };
        let instance = &mut self.instances[run.instance];
        let now = instance.time(now_ms);
        run.attempt.record_started(now);
        run.begun_ms = Some(now_ms);
        run.events_read = 1;
        instance.dispatcher.record_event(&mut run.attempt, now);
        let is_sound = run.request.poison.is_none();
        self.outcome.begun_at_first += u64::from(is_sound && run.is_first_attempt);
        self.events
            .add(now_ms + READ_INTERVAL_MS, Event::RunGoesOn { run: number });
    }

    /// Reads the events of a run so far, if its server has not crashed.
    fn read_events(&mut self, number: u64, now_ms: u64) {
        let Some(run) = self.runs.get_mut(&number) else {
            return;
        };
        let instance = &mut self.instances[run.instance];
        record_written(run, instance, self.scenario.event_interval_ms, now_ms);
        self.events
            .add(now_ms + READ_INTERVAL_MS, Event::RunGoesOn { run: number });
    }

    /// Ends a run: a poison request crashes its server, and any other request is answered.
    fn end_run(&mut self, number: u64, now_ms: u64) {
        let Some(run) = self.runs.get(&number) else {
            return;
        };
        if let Some(poison) = run.request.poison {
            let server = run.server;
            let knowable_ms = self.scenario.knowable_from_ms(run.instance, now_ms);
            let outcome = &mut self.outcome.poisons[poison];
            outcome.knowable_ends_ms.extend(knowable_ms);
            outcome.servers_ended += 1;
            let bounding_end = self.scenario.poisons[poison].cause.bounding_end();
            if outcome.servers_ended == bounding_end as u64 {
                outcome.bounding_end_ms = Some(now_ms);
            }
            return self.crash(server, now_ms);
        }
        if let Some(run) = self.runs.remove(&number) {
            let instance = &mut self.instances[run.instance];
            let now = instance.time(now_ms);
            instance
                .dispatcher
                .finish_attempt(run.attempt, AttemptOutcome::Answered, now);
            self.outcome.answered += 1;
        }
    }

    fn crash_fraction(&mut self, fraction: f64, now_ms: u64) {
        let mut servers: Vec<usize> = (0..self.servers.len()).collect();
        servers.shuffle(&mut self.random);
        let count = (fraction * servers.len() as f64).round() as usize;
        for server in servers.into_iter().take(count) {
            if self.servers[server].is_up {
                self.crash(server, now_ms);
            }
        }
    }

    /// Crashes a server and breaks all its runs.
    fn crash(&mut self, server: usize, now_ms: u64) {
        self.servers[server].is_up = false;
        let name = setup(server, self.servers[server].starts).name;
        let expires_ms = now_ms + self.scenario.record_ttl_ms;
        self.events.add(expires_ms, Event::RecordExpires { name });
        let restarts_ms = now_ms + self.scenario.downtime_ms;
        self.events.add(restarts_ms, Event::ServerRestarts { server });
        let mut numbers: Vec<u64> = self.runs.keys().copied().collect();
        numbers.retain(|number| self.runs[number].server == server);
        numbers.sort_unstable();
        for number in numbers {
            if let Some(run) = self.runs.remove(&number) {
                self.break_run(run, now_ms);
            }
        }
    }

    fn break_run(&mut self, mut run: Run, now_ms: u64) {
        let instance = &mut self.instances[run.instance];
        let now = instance.time(now_ms);
        record_written(&mut run, instance, self.scenario.event_interval_ms, now_ms);
        instance
            .dispatcher
            .finish_attempt(run.attempt, AttemptOutcome::Broken, now);
        if run.request.poison.is_some() {
            return;
        }
        self.outcome.broken += 1;
        if !run.request.has_retried {
            let request = Request {
                has_retried: true,
                ..run.request
            };
            self.events.add(now_ms + RETRY_DELAY_MS, Event::Retry(request));
        }
    }

    fn start_server(&mut self, server: usize) {
        let state = &mut self.servers[server];
        state.is_up = true;
        state.starts += 1;
        let record = (setup(server, state.starts), server);
        self.records.push(record);
        self.publish();
    }

    fn send_reports(&mut self, now_ms: u64) {
        self.events
            .add(now_ms + self.scenario.report_interval_ms, Event::Report);
        let is_partitioned = |instance: usize| {
            let partitions = &self.scenario.partitions;
            partitions.iter().any(|partition| {
                partition.instance == instance && (partition.from_ms..partition.until_ms).contains(&now_ms)
            })
        };
        for from in 0..self.instances.len() {
            let now = self.instances[from].time(now_ms);
            let report = self.instances[from].dispatcher.report(now);
            for to in 0..self.instances.len() {
                let is_lost = self.random.random_bool(self.scenario.report_loss);
                if to == from || is_partitioned(from) || is_partitioned(to) || is_lost {
                    continue;
                }
                let at_ms = now_ms + self.scenario.report_delay_ms;
                let report = Box::new(report.clone());
                self.events.add(at_ms, Event::ReportArrives { from, to, report });
            }
        }
    }
}
