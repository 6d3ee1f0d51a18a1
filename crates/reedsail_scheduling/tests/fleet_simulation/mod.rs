//! Simulates a fleet of schedulers and allocators in virtual time.
//!
//! There are no sockets and no threads, so tests measure only the scheduling decisions. Backlogged workspaces
//! always have waiting requests on every instance that their callers reach.

use std::collections::BTreeMap;
use std::sync::Arc;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use reedsail_core::NameHash;
use reedsail_core::ServerKey;
use reedsail_core::TimeMs;
use reedsail_core::WorkspaceKey;
use reedsail_scheduling::Allocator;
use reedsail_scheduling::AllocatorConfig;
use reedsail_scheduling::Class;
use reedsail_scheduling::FleetPolicy;
use reedsail_scheduling::QueueLimits;
use reedsail_scheduling::Running;
use reedsail_scheduling::Scheduler;
use reedsail_scheduling::ServerCapacity;
use reedsail_scheduling::ServerSetup;
use reedsail_scheduling::Waiting;
use reedsail_scheduling::WorkspaceSetup;
use reedsail_scheduling::WorkspaceTable;

/// The step of the virtual time.
const STEP_MS: u64 = 10;

/// The parameters of a simulated fleet.
#[derive(Clone, Debug)]
pub(crate) struct SimulationSetup {
    /// The number of failure domains.
    pub(crate) domains: usize,
    /// Instances per domain.
    pub(crate) instances_per_domain: usize,
    /// Backend servers per domain.
    pub(crate) servers_per_domain: usize,
    /// Slots per server.
    pub(crate) slots: u32,
    /// The instances that each workspace's callers reach.
    pub(crate) reachable: Vec<Vec<usize>>,
    /// The weight of each workspace.
    pub(crate) weights: Vec<f64>,
    /// The minimum and maximum cost of a request, uniformly distributed.
    pub(crate) cost: (u64, u64),
    /// The time per unit of cost on one slot.
    pub(crate) unit_ms: u64,
    /// The interval between two reports of an instance.
    pub(crate) report_ms: u64,
    /// The interval between two reports of an allocator to another domain's.
    pub(crate) domain_report_ms: u64,
    /// The allocators' settings.
    pub(crate) config: AllocatorConfig,
    /// The seed of the random requests.
    pub(crate) seed: u64,
}

struct RunningRequest {
    running: Running,
    cost: u64,
    received: u64,
    next_unit_at: TimeMs,
}

struct SimulatedInstance {
    domain: usize,
    scheduler: Scheduler<FleetPolicy, u64>,
    running: Vec<RunningRequest>,
    next_report_at: TimeMs,
    session: u32,
    seen_allocator_start: u32,
    is_paused: bool,
}

/// The simulated fleet.
pub(crate) struct FleetSimulation {
    setup: SimulationSetup,
    now: TimeMs,
    instances: Vec<SimulatedInstance>,
    allocators: Vec<Allocator>,
    /// The number of starts of each domain's allocator.
    allocator_starts: Vec<u32>,
    seen_sessions: BTreeMap<(usize, usize), u32>,
    next_domain_report_at: Vec<TimeMs>,
    is_partitioned: Vec<bool>,
    served: Vec<f64>,
    busy_slot_ms: f64,
    offered_slot_ms: f64,
    random: StdRng,
    is_idle: Vec<bool>,
}

impl FleetSimulation {
    /// Creates a fleet in which every workspace is backlogged.
    pub(crate) fn new(setup: SimulationSetup) -> Self {
        let now = TimeMs(1_000);
        let mut instances = Vec::new();
        for domain in 0..setup.domains {
            for _ in 0..setup.instances_per_domain {
                let mut scheduler = Scheduler::new(FleetPolicy, 1);
                scheduler.configure(&all_servers(&setup), all_workspaces(&setup));
                instances.push(SimulatedInstance {
                    domain,
                    scheduler,
                    running: Vec::new(),
                    // Instances report at different times.
                    next_report_at: now.plus_ms(instances.len() as u64 * 37 % setup.report_ms.max(1)),
                    session: 1,
                    seen_allocator_start: 0,
                    is_paused: false,
                });
            }
        }
        let mut simulation = Self {
            allocators: (0..setup.domains)
                .map(|_| Allocator::new(setup.config, now))
                .collect(),
            allocator_starts: vec![0; setup.domains],
            seen_sessions: BTreeMap::new(),
            next_domain_report_at: (0..setup.domains)
                .map(|domain| now.plus_ms(domain as u64 * 173))
                .collect(),
            is_partitioned: vec![false; setup.domains],
            served: vec![0.0; setup.reachable.len()],
            busy_slot_ms: 0.0,
            offered_slot_ms: 0.0,
            random: StdRng::seed_from_u64(setup.seed),
            is_idle: vec![false; setup.reachable.len()],
            now,
            instances,
            setup,
        };
        for domain in 0..simulation.setup.domains {
            simulation.configure_allocator(domain);
        }
        simulation
    }

    fn configure_allocator(&mut self, domain: usize) {
        let servers = (0..self.setup.servers_per_domain).map(|index| ServerCapacity {
            server: server_key(&self.setup, domain, index),
            slots: self.setup.slots,
        });
        let allocator = &mut self.allocators[domain];
        allocator.set_servers(servers.collect(), self.setup.instances_per_domain);
        allocator.set_workspaces(all_workspaces(&self.setup));
    }

    /// Restarts a domain's allocator without state, as on another instance.
    pub(crate) fn restart_allocator(&mut self, domain: usize) {
        self.allocators[domain] = Allocator::new(self.setup.config, self.now);
        self.allocator_starts[domain] += 1;
        self.configure_allocator(domain);
    }

    /// Partitions a domain from the others, or heals the partition.
    pub(crate) fn set_partitioned(&mut self, domain: usize, is_partitioned: bool) {
        self.is_partitioned[domain] = is_partitioned;
    }

    /// Pauses or resumes an instance's control thread: while paused, the instance neither reports nor ticks,
    /// but its requests continue.
    pub(crate) fn set_paused(&mut self, instance: usize, is_paused: bool) {
        self.instances[instance].is_paused = is_paused;
    }

    /// Stops or resumes a workspace's callers.
    pub(crate) fn set_idle(&mut self, workspace: usize, is_idle: bool) {
        self.is_idle[workspace] = is_idle;
    }

    /// Returns the cost that each workspace has received.
    pub(crate) fn served(&self) -> &[f64] {
        &self.served
    }

    /// Returns the ratio of busy to offered slot time since the last call, and resets both counters.
    pub(crate) fn take_utilisation(&mut self) -> f64 {
        let ratio = self.busy_slot_ms / self.offered_slot_ms.max(1.0);
        self.busy_slot_ms = 0.0;
        self.offered_slot_ms = 0.0;
        ratio
    }

    /// Returns the number of running requests and of slots for each server.
    pub(crate) fn server_loads(&self) -> Vec<(u32, u32)> {
        let mut loads = vec![0; self.setup.domains * self.setup.servers_per_domain];
        for request in self.instances.iter().flat_map(|instance| &instance.running) {
            loads[usize::from(request.running.server.0)] += 1;
        }
        loads.into_iter().map(|load| (load, self.setup.slots)).collect()
    }

    /// Advances the simulation by `span_ms`.
    pub(crate) fn advance(&mut self, span_ms: u64) {
        for _ in 0..span_ms / STEP_MS {
            self.now = self.now.plus_ms(STEP_MS);
            self.advance_requests();
            self.refill();
            self.exchange_reports();
            self.exchange_domain_reports();
            let running: usize = self.instances.iter().map(|instance| instance.running.len()).sum();
            let slots = self.setup.domains * self.setup.servers_per_domain * self.setup.slots as usize;
            self.busy_slot_ms += running as f64 * STEP_MS as f64;
            self.offered_slot_ms += slots as f64 * STEP_MS as f64;
        }
    }

    fn advance_requests(&mut self) {
        let now = self.now;
        for instance in &mut self.instances {
            let mut index = 0;
            while index < instance.running.len() {
                let request = &mut instance.running[index];
                while request.next_unit_at <= now && request.received < request.cost {
                    request.received += 1;
                    request.next_unit_at = request.next_unit_at.plus_ms(self.setup.unit_ms);
                    self.served[request.running.workspace.0 as usize] += 1.0;
                }
                let received = request.received as f64;
                instance.scheduler.progress(&mut request.running, received);
                if request.received == request.cost {
                    let ended = instance.running.swap_remove(index);
                    instance.scheduler.finish(ended.running, ended.cost as f64, true);
                } else {
                    index += 1;
                }
            }
            if !instance.is_paused {
                // Deadlines are far in the future, so no request expires.
                instance.scheduler.tick(now);
            }
        }
    }

    /// Keeps the queues filled and starts dispatched requests.
    fn refill(&mut self) {
        let now = self.now;
        for (workspace, reachable) in self.setup.reachable.iter().enumerate() {
            if self.is_idle[workspace] {
                continue;
            }
            let key = WorkspaceKey(workspace as u32);
            for instance in reachable {
                let scheduler = &mut self.instances[*instance].scheduler;
                while scheduler.queue().queued_of(key) < 200 {
                    let cost = self.random.random_range(self.setup.cost.0..=self.setup.cost.1);
                    let waiting = Waiting {
                        workspace: key,
                        class: Class::Interactive,
                        deadline: now.plus_ms(100_000_000),
                        body_bytes: 0,
                        prefix: None,
                        preemptible: true,
                        waker: cost,
                    };
                    if scheduler.submit(waiting, now).is_err() {
                        break;
                    }
                }
            }
        }
        for instance in &mut self.instances {
            for dispatch in instance.scheduler.dispatch(now) {
                instance.running.push(RunningRequest {
                    running: dispatch.running,
                    cost: dispatch.waker,
                    received: 0,
                    next_unit_at: now.plus_ms(self.setup.unit_ms),
                });
            }
        }
    }

    fn exchange_reports(&mut self) {
        let now = self.now;
        for (index, instance) in self.instances.iter_mut().enumerate() {
            if instance.is_paused || instance.next_report_at > now {
                continue;
            }
            instance.next_report_at = now.plus_ms(self.setup.report_ms);
            let report = instance.scheduler.report(now);
            let grant = self.allocators[instance.domain].on_report(instance_name(index), &report, now);
            let start_count = self.allocator_starts[instance.domain];
            if start_count != instance.seen_allocator_start {
                instance.seen_allocator_start = start_count;
                instance.session += 1;
                instance.scheduler.begin_session(instance.session);
            }
            let deadline = now.plus_ms(self.setup.config.lease_ms);
            instance.scheduler.apply_grant(&grant, deadline);
        }
    }

    fn exchange_domain_reports(&mut self) {
        let now = self.now;
        for from in 0..self.setup.domains {
            if self.next_domain_report_at[from] > now {
                continue;
            }
            self.next_domain_report_at[from] = now.plus_ms(self.setup.domain_report_ms);
            for to in 0..self.setup.domains {
                if to == from || self.is_partitioned[from] || self.is_partitioned[to] {
                    continue;
                }
                let starts = (self.allocator_starts[from], self.allocator_starts[to]);
                let session = 1 + starts.0 * 1_000 + starts.1;
                if self.seen_sessions.get(&(from, to)) != Some(&session) {
                    self.seen_sessions.insert((from, to), session);
                    self.allocators[from].begin_domain_session(domain_name(to), session);
                }
                let report = self.allocators[from].domain_report(domain_name(to), now);
                let grant = self.allocators[to].on_report(domain_name(from), &report, now);
                let deadline = now.plus_ms(self.setup.config.lease_ms);
                self.allocators[from].apply_domain_grant(domain_name(to), &grant, deadline);
            }
        }
    }
}

/// Tracks the fairness gap between backlogged workspaces during a simulation.
#[derive(Clone, Debug)]
pub(crate) struct FairnessGapTracker {
    baseline: Vec<f64>,
    low: Vec<f64>,
    high: Vec<f64>,
    fair_per_s: f64,
    weights: Vec<f64>,
    workspaces: Vec<usize>,
}

impl FairnessGapTracker {
    /// Starts tracking the given workspaces.
    pub(crate) fn start(simulation: &FleetSimulation, workspaces: Vec<usize>) -> Self {
        let setup = &simulation.setup;
        let slots = setup.domains * setup.servers_per_domain * setup.slots as usize;
        let capacity_per_s = slots as f64 * 1_000.0 / setup.unit_ms as f64;
        let weight: f64 = setup.weights.iter().sum();
        let pairs = workspaces.len() * workspaces.len();
        Self {
            baseline: simulation.served().to_vec(),
            low: vec![0.0; pairs],
            high: vec![0.0; pairs],
            fair_per_s: capacity_per_s / weight,
            weights: setup.weights.clone(),
            workspaces,
        }
    }

    /// Records the cost served so far.
    pub(crate) fn record(&mut self, simulation: &FleetSimulation) {
        let served = |workspace: usize| {
            (simulation.served()[workspace] - self.baseline[workspace]) / self.weights[workspace]
        };
        for (row, first) in self.workspaces.iter().enumerate() {
            for (column, second) in self.workspaces.iter().enumerate() {
                let index = row * self.workspaces.len() + column;
                let difference = served(*first) - served(*second);
                self.low[index] = self.low[index].min(difference);
                self.high[index] = self.high[index].max(difference);
            }
        }
    }

    /// Returns the largest gap over any interval of the tracked time, in seconds at a fair share.
    pub(crate) fn gap_s(&self) -> f64 {
        let ranges = self.low.iter().zip(&self.high).map(|(low, high)| high - low);
        ranges.fold(0.0, f64::max) / self.fair_per_s
    }
}

fn server_key(setup: &SimulationSetup, domain: usize, index: usize) -> ServerKey {
    ServerKey((domain * setup.servers_per_domain + index) as u16)
}

fn all_servers(setup: &SimulationSetup) -> Vec<ServerSetup> {
    (0..setup.domains * setup.servers_per_domain)
        .map(|index| ServerSetup {
            server: ServerKey(index as u16),
            capacity: setup.slots,
        })
        .collect()
}

fn all_workspaces(setup: &SimulationSetup) -> Arc<WorkspaceTable> {
    let weights = setup.weights.iter().enumerate();
    Arc::new(WorkspaceTable::new(weights.map(|(index, weight)| {
        WorkspaceSetup {
            workspace: WorkspaceKey(index as u32),
            weight: *weight,
            limits: QueueLimits::default(),
        }
    })))
}

fn instance_name(index: usize) -> NameHash {
    NameHash(1 + index as u32)
}

fn domain_name(index: usize) -> NameHash {
    NameHash(1_000_000 + index as u32)
}

/// The load pattern of the fairness bounds: a few workspaces use all instances, the others one to four, six
/// of them the same one.
pub(crate) fn uneven_setup(seed: u64) -> SimulationSetup {
    let all: Vec<usize> = (0..9).collect();
    let mut reachable = vec![all.clone(), all.clone(), all];
    reachable.extend((0..6).map(|_| vec![0]));
    reachable.extend((6..13).map(|index| (0..2 + index % 3).map(|step| (index + step) % 9).collect()));
    SimulationSetup {
        domains: 3,
        instances_per_domain: 3,
        servers_per_domain: 3,
        slots: 18,
        weights: vec![1.0; reachable.len()],
        reachable,
        cost: (20, 180),
        unit_ms: 20,
        report_ms: 500,
        domain_report_ms: 500,
        config: AllocatorConfig::default(),
        seed,
    }
}
