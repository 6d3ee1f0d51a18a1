//! Drives the decision crate's schedulers and allocators directly, in a time of its own.
//!
//! No sockets, no threads: what is measured and tested here is the decisions alone. Backlogged
//! workspaces always have work waiting wherever their callers are.

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

/// The step of the driven time.
const STEP_MS: u64 = 10;

/// What is driven.
#[derive(Clone, Debug)]
pub(crate) struct DriveSetup {
    /// Failure domains.
    pub(crate) domains: usize,
    /// Daemons in each.
    pub(crate) daemons_per_domain: usize,
    /// Backend servers in each.
    pub(crate) servers_per_domain: usize,
    /// Slots of each server.
    pub(crate) slots: u32,
    /// The daemons that each workspace's callers reach.
    pub(crate) reach: Vec<Vec<usize>>,
    /// The weight of each workspace.
    pub(crate) weights: Vec<f64>,
    /// Cost of a request, drawn evenly between the two.
    pub(crate) cost: (u64, u64),
    /// Time between two units of cost on one slot.
    pub(crate) unit_ms: u64,
    /// Time between two reports of a daemon.
    pub(crate) report_ms: u64,
    /// Time between two reports of an allocator to another domain's.
    pub(crate) domain_report_ms: u64,
    /// The allocators' settings.
    pub(crate) config: AllocatorConfig,
    /// The seed.
    pub(crate) seed: u64,
}

struct RunningRequest {
    running: Running,
    cost: u64,
    received: u64,
    next_unit_at: TimeMs,
}

struct DriveDaemon {
    domain: usize,
    scheduler: Scheduler<FleetPolicy, u64>,
    running: Vec<RunningRequest>,
    next_report_at: TimeMs,
    session: u32,
    allocator_start: u32,
    paused: bool,
}

/// The driven fleet.
pub(crate) struct Drive {
    setup: DriveSetup,
    now: TimeMs,
    daemons: Vec<DriveDaemon>,
    allocators: Vec<Allocator>,
    /// Counts the starts of each domain's allocator.
    starts: Vec<u32>,
    seen_starts: BTreeMap<(usize, usize), u32>,
    next_domain_report_at: Vec<TimeMs>,
    cut: Vec<bool>,
    served: Vec<f64>,
    busy_slot_ms: f64,
    offered_slot_ms: f64,
    random: StdRng,
    idle: Vec<bool>,
}

impl Drive {
    /// Makes a fleet in which every workspace is backlogged.
    pub(crate) fn new(setup: DriveSetup) -> Self {
        let now = TimeMs(1_000);
        let mut daemons = Vec::new();
        for domain in 0..setup.domains {
            for _ in 0..setup.daemons_per_domain {
                let mut scheduler = Scheduler::new(FleetPolicy, 1);
                scheduler.configure(&all_servers(&setup), all_workspaces(&setup));
                daemons.push(DriveDaemon {
                    domain,
                    scheduler,
                    running: Vec::new(),
                    // Daemons do not report at the same moment.
                    next_report_at: now.plus_ms(daemons.len() as u64 * 37 % setup.report_ms.max(1)),
                    session: 1,
                    allocator_start: 0,
                    paused: false,
                });
            }
        }
        let mut drive = Self {
            allocators: (0..setup.domains)
                .map(|_| Allocator::new(setup.config, now))
                .collect(),
            starts: vec![0; setup.domains],
            seen_starts: BTreeMap::new(),
            next_domain_report_at: (0..setup.domains)
                .map(|domain| now.plus_ms(domain as u64 * 173))
                .collect(),
            cut: vec![false; setup.domains],
            served: vec![0.0; setup.reach.len()],
            busy_slot_ms: 0.0,
            offered_slot_ms: 0.0,
            random: StdRng::seed_from_u64(setup.seed),
            idle: vec![false; setup.reach.len()],
            now,
            daemons,
            setup,
        };
        for domain in 0..drive.setup.domains {
            drive.configure_allocator(domain);
        }
        drive
    }

    fn configure_allocator(&mut self, domain: usize) {
        let servers = (0..self.setup.servers_per_domain).map(|index| ServerCapacity {
            server: server_key(&self.setup, domain, index),
            slots: self.setup.slots,
        });
        let allocator = &mut self.allocators[domain];
        allocator.set_servers(servers.collect(), self.setup.daemons_per_domain);
        allocator.set_workspaces(all_workspaces(&self.setup));
    }

    /// Has a domain's allocator start again with nothing, as on another daemon.
    pub(crate) fn restart_allocator(&mut self, domain: usize) {
        self.allocators[domain] = Allocator::new(self.setup.config, self.now);
        self.starts[domain] += 1;
        self.configure_allocator(domain);
    }

    /// Cuts a domain off from the others, or mends the cut.
    pub(crate) fn set_cut(&mut self, domain: usize, cut: bool) {
        self.cut[domain] = cut;
    }

    /// Has a daemon stand still: it neither reports nor ticks, while its requests go on.
    pub(crate) fn set_paused(&mut self, daemon: usize, paused: bool) {
        self.daemons[daemon].paused = paused;
    }

    /// Has a workspace's callers stop, or go on.
    pub(crate) fn set_idle(&mut self, workspace: usize, idle: bool) {
        self.idle[workspace] = idle;
    }

    /// Returns the cost that each workspace has received.
    pub(crate) fn served(&self) -> &[f64] {
        &self.served
    }

    /// Returns busy by offered slot time so far, and begins to count again.
    pub(crate) fn take_utilisation(&mut self) -> f64 {
        let ratio = self.busy_slot_ms / self.offered_slot_ms.max(1.0);
        self.busy_slot_ms = 0.0;
        self.offered_slot_ms = 0.0;
        ratio
    }

    /// Returns how many requests run on each server, and its slots.
    pub(crate) fn server_loads(&self) -> Vec<(u32, u32)> {
        let mut loads = vec![0; self.setup.domains * self.setup.servers_per_domain];
        for request in self.daemons.iter().flat_map(|daemon| &daemon.running) {
            loads[usize::from(request.running.server.0)] += 1;
        }
        loads.into_iter().map(|load| (load, self.setup.slots)).collect()
    }

    /// Lets so many milliseconds pass.
    pub(crate) fn run(&mut self, span_ms: u64) {
        for _ in 0..span_ms / STEP_MS {
            self.now = self.now.plus_ms(STEP_MS);
            self.advance_requests();
            self.refill();
            self.exchange_reports();
            self.exchange_domain_reports();
            let running: usize = self.daemons.iter().map(|daemon| daemon.running.len()).sum();
            let slots = self.setup.domains * self.setup.servers_per_domain * self.setup.slots as usize;
            self.busy_slot_ms += running as f64 * STEP_MS as f64;
            self.offered_slot_ms += slots as f64 * STEP_MS as f64;
        }
    }

    fn advance_requests(&mut self) {
        let now = self.now;
        for daemon in &mut self.daemons {
            let mut index = 0;
            while index < daemon.running.len() {
                let request = &mut daemon.running[index];
                while request.next_unit_at <= now && request.received < request.cost {
                    request.received += 1;
                    request.next_unit_at = request.next_unit_at.plus_ms(self.setup.unit_ms);
                    self.served[request.running.workspace.0 as usize] += 1.0;
                }
                let received = request.received as f64;
                daemon.scheduler.progress(&mut request.running, received);
                if request.received == request.cost {
                    let ended = daemon.running.swap_remove(index);
                    daemon.scheduler.finish(ended.running, ended.cost as f64, true);
                } else {
                    index += 1;
                }
            }
            if !daemon.paused {
                // With deadlines far ahead, nothing expires.
                daemon.scheduler.tick(now);
            }
        }
    }

    /// Keeps enough work waiting, and starts what has a slot.
    fn refill(&mut self) {
        let now = self.now;
        for (workspace, reach) in self.setup.reach.iter().enumerate() {
            if self.idle[workspace] {
                continue;
            }
            let key = WorkspaceKey(workspace as u32);
            for daemon in reach {
                let scheduler = &mut self.daemons[*daemon].scheduler;
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
        for daemon in &mut self.daemons {
            for dispatch in daemon.scheduler.dispatch(now) {
                daemon.running.push(RunningRequest {
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
        for (index, daemon) in self.daemons.iter_mut().enumerate() {
            if daemon.paused || daemon.next_report_at > now {
                continue;
            }
            daemon.next_report_at = now.plus_ms(self.setup.report_ms);
            let report = daemon.scheduler.report(now);
            let grant = self.allocators[daemon.domain].on_report(daemon_name(index), &report, now);
            let start = self.starts[daemon.domain];
            if start != daemon.allocator_start {
                daemon.allocator_start = start;
                daemon.session += 1;
                daemon.scheduler.begin_session(daemon.session);
            }
            let deadline = now.plus_ms(self.setup.config.lease_ms);
            daemon.scheduler.apply_grant(&grant, deadline);
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
                if to == from || self.cut[from] || self.cut[to] {
                    continue;
                }
                let seen = (self.starts[from], self.starts[to]);
                let session = 1 + seen.0 * 1_000 + seen.1;
                if self.seen_starts.get(&(from, to)) != Some(&session) {
                    self.seen_starts.insert((from, to), session);
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

/// Watches the gap between backlogged workspaces while a fleet is driven.
#[derive(Clone, Debug)]
pub(crate) struct GapWatch {
    start: Vec<f64>,
    low: Vec<f64>,
    high: Vec<f64>,
    fair_per_s: f64,
    weights: Vec<f64>,
    watched: Vec<usize>,
}

impl GapWatch {
    /// Begins to watch the given workspaces.
    pub(crate) fn begin(drive: &Drive, watched: Vec<usize>) -> Self {
        let setup = &drive.setup;
        let slots = setup.domains * setup.servers_per_domain * setup.slots as usize;
        let capacity_per_s = slots as f64 * 1_000.0 / setup.unit_ms as f64;
        let weight: f64 = setup.weights.iter().sum();
        let pairs = watched.len() * watched.len();
        Self {
            start: drive.served().to_vec(),
            low: vec![0.0; pairs],
            high: vec![0.0; pairs],
            fair_per_s: capacity_per_s / weight,
            weights: setup.weights.clone(),
            watched,
        }
    }

    /// Takes note of what was served by now.
    pub(crate) fn look(&mut self, drive: &Drive) {
        let served =
            |workspace: usize| (drive.served()[workspace] - self.start[workspace]) / self.weights[workspace];
        for (row, one) in self.watched.iter().enumerate() {
            for (column, other) in self.watched.iter().enumerate() {
                let place = row * self.watched.len() + column;
                let difference = served(*one) - served(*other);
                self.low[place] = self.low[place].min(difference);
                self.high[place] = self.high[place].max(difference);
            }
        }
    }

    /// Returns the largest gap within any part of the time watched, in seconds of a fair part.
    pub(crate) fn gap_s(&self) -> f64 {
        let ranges = self.low.iter().zip(&self.high).map(|(low, high)| high - low);
        ranges.fold(0.0, f64::max) / self.fair_per_s
    }
}

fn server_key(setup: &DriveSetup, domain: usize, index: usize) -> ServerKey {
    ServerKey((domain * setup.servers_per_domain + index) as u16)
}

fn all_servers(setup: &DriveSetup) -> Vec<ServerSetup> {
    (0..setup.domains * setup.servers_per_domain)
        .map(|index| ServerSetup {
            server: ServerKey(index as u16),
            capacity: setup.slots,
        })
        .collect()
}

fn all_workspaces(setup: &DriveSetup) -> Arc<WorkspaceTable> {
    let weights = setup.weights.iter().enumerate();
    Arc::new(WorkspaceTable::new(weights.map(|(index, weight)| {
        WorkspaceSetup {
            workspace: WorkspaceKey(index as u32),
            weight: *weight,
            limits: QueueLimits::default(),
        }
    })))
}

fn daemon_name(index: usize) -> NameHash {
    NameHash(1 + index as u32)
}

fn domain_name(index: usize) -> NameHash {
    NameHash(1_000_000 + index as u32)
}

/// The shape of the bars: a few workspaces on all daemons, the others on one to four, six of them
/// on the very same one.
pub(crate) fn uneven_setup(seed: u64) -> DriveSetup {
    let all: Vec<usize> = (0..9).collect();
    let mut reach = vec![all.clone(), all.clone(), all];
    reach.extend((0..6).map(|_| vec![0]));
    reach.extend((6..13).map(|index| (0..2 + index % 3).map(|step| (index + step) % 9).collect()));
    DriveSetup {
        domains: 3,
        daemons_per_domain: 3,
        servers_per_domain: 3,
        slots: 18,
        weights: vec![1.0; reach.len()],
        reach,
        cost: (20, 180),
        unit_ms: 20,
        report_ms: 500,
        domain_report_ms: 500,
        config: AllocatorConfig::default(),
        seed,
    }
}
