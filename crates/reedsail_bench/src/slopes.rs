//! Drives the decisions and the wire at growing sizes, and fits a line through each cost.

mod wire;

use std::sync::Arc;
use std::time::Instant;

use reedsail_core::Allocator;
use reedsail_core::AllocatorConfig;
use reedsail_core::Class;
use reedsail_core::DemandRow;
use reedsail_core::FleetPolicy;
use reedsail_core::LeaseRow;
use reedsail_core::MemberKind;
use reedsail_core::NameHash;
use reedsail_core::QueueLimits;
use reedsail_core::Scheduler;
use reedsail_core::ServerCapacity;
use reedsail_core::ServerKey;
use reedsail_core::ServerSetup;
use reedsail_core::ServiceGrant;
use reedsail_core::ServiceReport;
use reedsail_core::SlotRow;
use reedsail_core::TimeMs;
use reedsail_core::VirtualTimeRow;
use reedsail_core::Waiting;
use reedsail_core::WorkspaceKey;
use reedsail_core::WorkspaceSetup;
use reedsail_core::WorkspaceTable;
use serde::Deserialize;
use serde::Serialize;
use stats_alloc::INSTRUMENTED_SYSTEM;
use stats_alloc::Region;

pub(crate) use wire::large_bundle;

use wire::BundleCost;
use wire::claim_memory;
use wire::claim_record;
use wire::measure_bundle;
use wire::measure_exchange;

/// Backend servers of one service in one failure domain, at the size to design for.
const SERVERS: u16 = 6;
/// Slots of one backend server, at the size to design for.
const SLOTS: u32 = 160;

/// A cost as a line: what it is with no rows, and what each row adds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Slope {
    /// What is counted, and its unit.
    pub what: String,
    /// What a row is.
    pub per: String,
    /// The cost with no rows.
    pub base: f64,
    /// What each row adds.
    pub each: f64,
    /// The points that were measured: rows and cost.
    pub points: Vec<(f64, f64)>,
}

impl Slope {
    /// Returns the cost of so many rows.
    pub fn at(&self, rows: f64) -> f64 {
        self.base + self.each * rows
    }

    /// Fits a line by least squares.
    fn fit(what: &str, per: &str, points: Vec<(f64, f64)>) -> Self {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let joint: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
        let each = if spread > 0.0 { joint / spread } else { 0.0 };
        Self {
            what: what.to_owned(),
            per: per.to_owned(),
            base: (mean_y - each * mean_x).max(0.0),
            each,
            points,
        }
    }
}

/// Every slope that docs/CAPACITY.md rests on.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SlopesReport {
    /// Microseconds to answer one report, by the workspaces that the allocator sees active, with
    /// 53 members.
    pub allocator_report_us: Slope,
    /// Microseconds to answer one report, by members, with 18 active workspaces.
    pub allocator_members_us: Slope,
    /// Bytes of memory of an allocator, by member, each with 18 active workspaces.
    pub allocator_memory_bytes: Slope,
    /// Microseconds of a daemon's tick and report on one service, by active workspaces.
    pub daemon_report_us: Slope,
    /// Microseconds to queue, dispatch and finish one request, by active workspaces.
    pub daemon_request_us: Slope,
    /// Bytes of memory of one service on one daemon, by workspace known.
    pub daemon_memory_bytes: Slope,
    /// Bytes on the wire of one report and its grant, by demand rows that changed.
    pub exchange_bytes: Slope,
    /// Microseconds of processor time of one report and its grant, both ends together.
    pub exchange_cpu_us: Slope,
    /// Bytes of a bundle's content, by workspace.
    pub bundle_bytes: Slope,
    /// Bytes of a bundle packed as a checkpoint, by workspace.
    pub bundle_packed_bytes: Slope,
    /// Bytes of a change of one workspace's weight as a record, by workspace.
    pub bundle_patch_bytes: Slope,
    /// Milliseconds to read and check a bundle, by workspace.
    pub bundle_read_ms: Slope,
    /// Bytes of memory of the claim fold, by key.
    pub claim_memory_bytes: Slope,
    /// Bytes of one claim record, by claim and end.
    pub claim_record_bytes: Slope,
}

/// Measures every slope; `progress` gets a line for each.
pub fn measure_slopes(progress: impl Fn(&str)) -> SlopesReport {
    progress("allocator");
    let allocator_report_us = Slope::fit(
        "microseconds to answer a report, 53 members",
        "active workspace",
        [4, 18, 76, 230, 460]
            .map(|active| (f64::from(active), time_allocator(53, active).0))
            .to_vec(),
    );
    let members = [9, 53, 160, 320].map(|members| {
        let (time_us, bytes) = time_allocator(members, 18);
        (f64::from(members), time_us, bytes)
    });
    progress("daemon");
    let daemon = [16, 76, 230, 460].map(|active| {
        let (report_us, request_us) = time_scheduler(active);
        (f64::from(active), report_us, request_us)
    });
    let daemon_memory = [16, 460, 1_150, 4_600].map(|known| (f64::from(known), scheduler_memory(known)));
    progress("wire");
    let wire = [1, 4, 16, 64].map(|rows| {
        let (bytes, cpu_us) = measure_exchange(rows);
        (f64::from(rows), bytes, cpu_us)
    });
    progress("bundle");
    let bundles =
        [16, 230, 1_150, 4_600].map(|workspaces| (f64::from(workspaces), measure_bundle(workspaces)));
    progress("claims");
    let claims = [1_000, 10_000, 100_000].map(|keys| (f64::from(keys), claim_memory(keys)));
    let records = [1, 10, 100].map(|rows| (f64::from(rows), claim_record(rows)));
    let of_bundles = |what: &str, pick: fn(&BundleCost) -> f64| {
        let points = bundles.iter().map(|(rows, cost)| (*rows, pick(cost)));
        Slope::fit(what, "workspace", points.collect())
    };
    SlopesReport {
        allocator_report_us,
        allocator_members_us: Slope::fit(
            "microseconds to answer a report, 18 active workspaces",
            "member",
            members.iter().map(|(x, time_us, _)| (*x, *time_us)).collect(),
        ),
        allocator_memory_bytes: Slope::fit(
            "bytes of memory of an allocator, 18 active workspaces a member",
            "member",
            members.iter().map(|(x, _, bytes)| (*x, *bytes)).collect(),
        ),
        daemon_report_us: Slope::fit(
            "microseconds of a tick and a report of one service",
            "active workspace",
            daemon.iter().map(|(x, report_us, _)| (*x, *report_us)).collect(),
        ),
        daemon_request_us: Slope::fit(
            "microseconds to queue, dispatch and finish a request",
            "active workspace",
            daemon
                .iter()
                .map(|(x, _, request_us)| (*x, *request_us))
                .collect(),
        ),
        daemon_memory_bytes: Slope::fit(
            "bytes of memory of one service on one daemon",
            "workspace known",
            daemon_memory.to_vec(),
        ),
        exchange_bytes: Slope::fit(
            "bytes on the wire of a report and its grant",
            "demand row",
            wire.iter().map(|(x, bytes, _)| (*x, *bytes)).collect(),
        ),
        exchange_cpu_us: Slope::fit(
            "microseconds of both ends for a report and its grant",
            "demand row",
            wire.iter().map(|(x, _, cpu_us)| (*x, *cpu_us)).collect(),
        ),
        bundle_bytes: of_bundles("bytes of a bundle", |cost| cost.size.whole_bytes as f64),
        bundle_packed_bytes: of_bundles("bytes of a checkpoint's content", |cost| {
            cost.size.packed_bytes as f64
        }),
        bundle_patch_bytes: of_bundles("bytes of a change", |cost| cost.size.patch_bytes as f64),
        bundle_read_ms: of_bundles("milliseconds to read and check a bundle", |cost| cost.read_ms),
        claim_memory_bytes: Slope::fit("bytes of memory of the claim fold", "key", claims.to_vec()),
        claim_record_bytes: Slope::fit("bytes of a claim record", "claim with its end", records.to_vec()),
    }
}

/// Runs a piece of work often enough to time it, and returns the microseconds of one run.
fn time_us(mut work: impl FnMut()) -> f64 {
    const RUNS: u32 = 200;
    for _ in 0..RUNS / 10 {
        work();
    }
    let started = Instant::now();
    for _ in 0..RUNS {
        work();
    }
    started.elapsed().as_secs_f64() * 1e6 / f64::from(RUNS)
}

/// Makes many of a thing and returns how many bytes each takes, as the allocator counts them.
fn memory_of<T>(copies: usize, make: impl Fn() -> T) -> f64 {
    let region = Region::new(&INSTRUMENTED_SYSTEM);
    let held: Vec<T> = (0..copies).map(|_| make()).collect();
    let change = region.change();
    let bytes = change.bytes_allocated as f64 - change.bytes_deallocated as f64;
    drop(held);
    bytes / copies as f64
}

fn member_report(active: u32, first: u32, cost: u32) -> ServiceReport {
    ServiceReport {
        kind: MemberKind::Daemon,
        session: 1,
        own_slots: 0,
        base: 0.0,
        slots: (0..SERVERS)
            .map(|index| SlotRow {
                server: ServerKey(index),
                held: 3,
                in_use: 3,
            })
            .collect(),
        resting: Vec::new(),
        demands: (0..active)
            .map(|index| DemandRow {
                workspace: WorkspaceKey(first + index),
                queued: 3 + index % 5,
                running: 1,
                cost_total: cost + index,
                lead: 1.0,
            })
            .collect(),
    }
}

fn busy_allocator(members: u32, active: u32) -> Allocator {
    let now = TimeMs(1_000);
    let mut allocator = Allocator::new(AllocatorConfig::default(), now);
    let servers = (0..SERVERS).map(|index| ServerCapacity {
        server: ServerKey(index),
        slots: SLOTS,
    });
    allocator.set_servers(servers.collect(), members as usize);
    for member in 0..members {
        allocator.on_report(NameHash(member + 1), &member_report(active, 0, 0), now);
    }
    allocator
}

/// Returns microseconds of a report and bytes of the allocator.
fn time_allocator(members: u32, active: u32) -> (f64, f64) {
    let mut allocator = busy_allocator(members, active);
    let mut now = TimeMs(1_000);
    let mut turn = 0;
    let time = time_us(|| {
        turn += 1;
        now = now.plus_ms(2);
        let report = member_report(active, 0, turn);
        allocator.on_report(NameHash(1 + turn % members), &report, now);
    });
    let copies = if members > 100 { 16 } else { 64 };
    (time, memory_of(copies, || busy_allocator(members, active)))
}

fn known_scheduler(known: u32) -> Scheduler<FleetPolicy, u32> {
    let mut scheduler = Scheduler::new(FleetPolicy, 1);
    let servers: Vec<ServerSetup> = (0..SERVERS)
        .map(|index| ServerSetup {
            server: ServerKey(index),
            capacity: SLOTS,
        })
        .collect();
    let workspaces = (0..known).map(|index| WorkspaceSetup {
        workspace: WorkspaceKey(index),
        weight: 1.0,
        limits: QueueLimits::default(),
    });
    scheduler.configure(&servers, Arc::new(WorkspaceTable::new(workspaces)));
    scheduler
}

fn scheduler_memory(known: u32) -> f64 {
    memory_of(16, || known_scheduler(known))
}

fn waiting(workspace: u32) -> Waiting<u32> {
    Waiting {
        workspace: WorkspaceKey(workspace),
        class: Class::Interactive,
        deadline: TimeMs(1_000_000_000),
        body_bytes: 100,
        prefix: Some(u64::from(workspace)),
        preemptible: true,
        waker: 0,
    }
}

/// Returns microseconds of a tick with its report, and of a request.
fn time_scheduler(active: u32) -> (f64, f64) {
    let now = TimeMs(1_000);
    let mut scheduler = known_scheduler(4_600);
    for workspace in 0..active {
        for _ in 0..3 {
            // Within the default limits nothing is refused.
            let _ = scheduler.submit(waiting(workspace), now);
        }
    }
    let grant = |slots: u32| ServiceGrant {
        base: 0.0,
        leases: (0..SERVERS)
            .map(|index| LeaseRow {
                server: ServerKey(index),
                slots,
            })
            .collect(),
        virtual_times: (0..active)
            .map(|workspace| VirtualTimeRow {
                workspace: WorkspaceKey(workspace),
                lead: 1.0,
                share: 0.5,
            })
            .collect(),
    };
    let full = grant(0);
    let report_us = time_us(|| {
        scheduler.tick(now);
        scheduler.preempt_excess(now);
        let report = scheduler.report(now);
        assert_eq!(report.demands.len(), active as usize);
        scheduler.apply_grant(&full, now.plus_ms(3_000));
    });
    scheduler.apply_grant(&grant(1), now.plus_ms(1_000_000));
    let mut running: Vec<_> = scheduler
        .dispatch(now)
        .into_iter()
        .map(|dispatch| dispatch.running)
        .collect();
    let mut turn = 0;
    let request_us = time_us(|| {
        turn += 1;
        let _ = scheduler.submit(waiting(turn % active), now);
        if let Some(ended) = running.pop() {
            scheduler.finish(ended, 100.0, true);
        }
        running.extend(
            scheduler
                .dispatch(now)
                .into_iter()
                .map(|dispatch| dispatch.running),
        );
    });
    (report_us, request_us)
}
