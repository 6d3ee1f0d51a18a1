//! Simulates the retries of a fleet: real retry budgets, simulated requests, failures, restarts and partitions. Retries
//! are counted where they arrive.

use std::collections::HashMap;
use std::ops::Range;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use reedsail_core::NameHash;
use reedsail_core::TimeMs;
use reedsail_dispatch::ATTEMPTS_MAX;
use reedsail_dispatch::LENDERS_ASKED;
use reedsail_dispatch::RetryPurpose;
use reedsail_retry_audit::RetryAudit;
use reedsail_retry_audit::RetryBound;
use reedsail_wire::RetryLoanMessage;

use crate::Failing;
use crate::FailureMode;
use crate::RetryDesign;
use crate::RetryOutcome;
use crate::RetryScenario;
use crate::event_queue::EventQueue;
use crate::retry_limit::RetryLimit;
use crate::retry_limit::WINDOW_MS;

/// Attempts of a request that its route allows, if they may have run.
const FAILED_ATTEMPTS_MAX: usize = 2;
/// Interval between two ticks of an instance, in milliseconds.
const TICK_MS: u64 = 50;
/// Longest time from the decision to retry until the arrival at a server, in milliseconds.
const ARRIVAL_DELAY_MAX_MS: u64 = 250;
/// Longest time that a datagram takes, in milliseconds.
const DATAGRAM_DELAY_MAX_MS: u64 = 40;
/// Bytes of the headers of a datagram.
const DATAGRAM_HEADER_BYTES: usize = 28;

/// A scheduled event.
#[derive(Debug)]
enum Event {
    Request,
    Tick,
    /// A message about loans arrives.
    Message {
        from: usize,
        to: usize,
        message: RetryLoanMessage,
    },
    /// Instances end.
    Kill(usize),
    /// Instances start again.
    Start(usize),
    /// A retry arrives at a server.
    Retry(Retry),
}

/// An instance.
struct Instance {
    /// `None` while the instance is down.
    limit: Option<RetryLimit>,
    /// How many times a process of the instance has started.
    starts: u32,
}

/// A retry on its way to a server.
#[derive(Debug)]
struct Retry {
    instance: usize,
    /// The process that sent it.
    start: u32,
    purpose: RetryPurpose,
    /// Attempts of its request so far, this one included.
    attempts: usize,
}

struct RetryFleet<'a> {
    scenario: &'a RetryScenario,
    random: StdRng,
    instances: Vec<Instance>,
    starts: u32,
    events: EventQueue<Event>,
    audit: RetryAudit,
    /// Bytes sent for loans, by instance and second.
    loan_bytes: HashMap<(usize, u64), usize>,
    outcome: RetryOutcome,
}

/// Simulates a scenario to the end of its traffic.
pub fn simulate_retries(scenario: &RetryScenario) -> RetryOutcome {
    let mut fleet = RetryFleet::new(scenario);
    fleet.schedule_first_events();
    while let Some((now_us, event)) = fleet.events.next() {
        if now_us >= scenario.traffic_ms.end * 1_000 {
            break;
        }
        fleet.handle(event, now_us);
    }
    fleet.end()
}

fn name(instance: usize) -> NameHash {
    NameHash::of(&format!("instance-{instance}"))
}

impl<'a> RetryFleet<'a> {
    fn new(scenario: &'a RetryScenario) -> Self {
        let mut fleet = Self {
            scenario,
            random: StdRng::seed_from_u64(scenario.seed),
            instances: Vec::new(),
            starts: 0,
            events: EventQueue::default(),
            audit: RetryAudit::default(),
            loan_bytes: HashMap::new(),
            outcome: RetryOutcome::default(),
        };
        for _ in 0..scenario.instances {
            fleet.instances.push(Instance {
                limit: None,
                starts: 0,
            });
        }
        fleet.start(0..scenario.instances, scenario.design);
        fleet
    }

    /// Starts a process of each of some instances.
    fn start(&mut self, instances: Range<usize>, design: RetryDesign) {
        for instance in &mut self.instances[instances] {
            self.starts += 1;
            instance.starts = self.starts;
            instance.limit = Some(RetryLimit::new(design, self.scenario, self.starts));
        }
    }

    fn schedule_first_events(&mut self) {
        self.events
            .add(self.scenario.traffic_ms.start * 1_000, Event::Request);
        self.events.add(0, Event::Tick);
        for (number, restart) in self.scenario.restarts.iter().enumerate() {
            self.events.add(restart.at_ms * 1_000, Event::Kill(number));
            let start_ms = restart.at_ms + restart.down_ms;
            self.events.add(start_ms * 1_000, Event::Start(number));
        }
    }

    fn handle(&mut self, event: Event, now_us: u64) {
        let now = TimeMs(now_us / 1_000);
        match event {
            Event::Request => {
                let next_us = now_us + 1_000_000 / self.scenario.requests_per_s;
                self.events.add(next_us, Event::Request);
                self.request(now);
            }
            Event::Tick => {
                self.events.add(now_us + TICK_MS * 1_000, Event::Tick);
                for instance in 0..self.instances.len() {
                    self.tick(instance, now);
                }
            }
            Event::Message { from, to, message } => self.receive(from, to, &message, now),
            Event::Kill(number) => {
                for instance in self.scenario.restarts[number].instances.clone() {
                    self.instances[instance].limit = None;
                }
            }
            Event::Start(number) => {
                let restart = &self.scenario.restarts[number];
                let design = restart.design.unwrap_or(self.scenario.design);
                self.start(restart.instances.clone(), design);
            }
            Event::Retry(retry) => self.receive_retry(&retry, now),
        }
    }

    /// A caller sends a request to a random instance. While the instance is down, the request counts for nothing.
    fn request(&mut self, now: TimeMs) {
        let instance = self.random.random_range(0..self.instances.len());
        let Some(limit) = &mut self.instances[instance].limit else {
            return;
        };
        self.audit.record_request(now.0);
        limit.count_request(now);
        if let Some(failing) = self.fails(instance, now) {
            self.outcome.failed += 1;
            self.retry(instance, failing, 1, now);
        }
    }

    /// Returns the fault by which an attempt of an instance fails, if it does.
    fn fails(&mut self, instance: usize, now: TimeMs) -> Option<&'a Failing> {
        let mut active = self.scenario.failing.iter();
        let failing = active
            .find(|failing| failing.span_ms.contains(&now.0) && failing.instances.contains(&instance))?;
        self.random.random_bool(failing.share).then_some(failing)
    }

    /// Retries a request whose last attempt has failed, if its route and the budget allow it.
    fn retry(&mut self, instance: usize, failing: &Failing, attempts: usize, now: TimeMs) {
        let (purpose, attempts_max) = match failing.mode {
            FailureMode::Failed => (RetryPurpose::RepeatFailed, FAILED_ATTEMPTS_MAX),
            FailureMode::Rejected => (RetryPurpose::RepeatRejected, ATTEMPTS_MAX),
        };
        let sender = &mut self.instances[instance];
        let Some(limit) = sender.limit.as_mut().filter(|_| attempts < attempts_max) else {
            return;
        };
        let Some(granted) = limit.take(purpose, now) else {
            return;
        };
        if self.random.random_bool(failing.unsent_share) {
            limit.refund(granted);
            return;
        }
        let retry = Retry {
            instance,
            start: sender.starts,
            purpose,
            attempts: attempts + 1,
        };
        let delay_ms = self.random.random_range(0..=ARRIVAL_DELAY_MAX_MS);
        let arrives_at = now.plus_ms(delay_ms);
        self.events.add(arrives_at.0 * 1_000, Event::Retry(retry));
    }

    /// A server receives a retry, and the process that sent it learns what has come of it, if it still runs.
    fn receive_retry(&mut self, retry: &Retry, now: TimeMs) {
        self.audit.record_retry(now.0);
        self.outcome.retries += 1;
        let failing = self.fails(retry.instance, now);
        let sender = &mut self.instances[retry.instance];
        let is_same_process = sender.starts == retry.start;
        let Some(limit) = sender.limit.as_mut().filter(|_| is_same_process) else {
            return;
        };
        limit.record_outcome(retry.purpose, failing.is_none(), now);
        match failing {
            None => self.outcome.answered += 1,
            Some(failing) => self.retry(retry.instance, failing, retry.attempts, now),
        }
    }

    fn tick(&mut self, instance: usize, now: TimeMs) {
        let Some(limit) = &mut self.instances[instance].limit else {
            return;
        };
        limit.tick(now);
        let Some(dispatcher) = limit.lending() else {
            return;
        };
        let requests = dispatcher.loan_requests(now);
        if requests.is_empty() {
            return;
        }
        let reachable = self.reachable(instance, now);
        if reachable.is_empty() {
            return;
        }
        let message = RetryLoanMessage {
            instance: name(instance),
            requests,
            ..RetryLoanMessage::default()
        };
        for _ in 0..LENDERS_ASKED {
            let lender = reachable[self.random.random_range(0..reachable.len())];
            self.send(instance, lender, message.clone(), now);
        }
    }

    fn receive(&mut self, from: usize, to: usize, message: &RetryLoanMessage, now: TimeMs) {
        let limit = self.instances[to].limit.as_mut();
        let Some(dispatcher) = limit.and_then(RetryLimit::lending) else {
            return;
        };
        for loan in &message.loans {
            dispatcher.receive_loan(message.instance, loan, now);
        }
        let requests = message.requests.iter();
        let loans: Vec<_> = requests
            .filter_map(|request| dispatcher.lend_retries(request, now))
            .collect();
        if !loans.is_empty() {
            let answer = RetryLoanMessage {
                instance: name(to),
                loans,
                ..RetryLoanMessage::default()
            };
            self.send(to, from, answer, now);
        }
    }

    fn send(&mut self, from: usize, to: usize, message: RetryLoanMessage, now: TimeMs) {
        let bytes = message.encode().expect("a short message fits into memory");
        let sent = self.loan_bytes.entry((from, now.0 / 1_000)).or_default();
        *sent += bytes.len() + DATAGRAM_HEADER_BYTES;
        let delay_ms = self.random.random_range(1..=DATAGRAM_DELAY_MAX_MS);
        let event = Event::Message { from, to, message };
        self.events.add(now.plus_ms(delay_ms).0 * 1_000, event);
    }

    /// Returns the running instances on the same side of all partitions, without the instance itself.
    fn reachable(&self, instance: usize, now: TimeMs) -> Vec<usize> {
        let active: Vec<_> = self
            .scenario
            .partitions
            .iter()
            .filter(|partition| partition.span_ms.contains(&now.0))
            .collect();
        let is_reachable = |other: &usize| {
            let is_together = active.iter().all(|partition| {
                partition.instances.contains(other) == partition.instances.contains(&instance)
            });
            *other != instance && self.instances[*other].limit.is_some() && is_together
        };
        (0..self.instances.len()).filter(is_reachable).collect()
    }

    fn end(mut self) -> RetryOutcome {
        let bound = RetryBound {
            ratio: self.scenario.ratio,
            slack: self.scenario.slack,
            window_ms: WINDOW_MS,
        };
        self.outcome.worst = self.audit.worst_window(&bound);
        self.outcome.loan_bytes_per_s_max = self.loan_bytes.values().copied().max().unwrap_or(0);
        self.outcome
    }
}
