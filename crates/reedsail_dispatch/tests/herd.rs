//! Many instances receive the same load sums at the same time, for a plain service with few servers. They must not
//! all choose the server that was idle in those sums.

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use reedsail_core::NameHash;
use reedsail_core::TimeMs;
use reedsail_dispatch::AllowedRegions;
use reedsail_dispatch::Attempt;
use reedsail_dispatch::AttemptOutcome;
use reedsail_dispatch::Decision;
use reedsail_dispatch::Demand;
use reedsail_dispatch::DispatchSettings;
use reedsail_dispatch::Dispatcher;
use reedsail_dispatch::LoadReport;
use reedsail_dispatch::Priority;
use reedsail_dispatch::ServerLoadRow;
use reedsail_dispatch::ServerSetup;
use reedsail_dispatch::SoftwareVersion;
use reedsail_dispatch::VersionDemand;

const INSTANCES: usize = 295;
const SERVERS: usize = 5;
const SLOTS: usize = 6;
/// Mean time of a request on an idle server, in milliseconds.
const WORK_MS: f64 = 30.0;
/// Interval at which all instances receive the load sums, in milliseconds.
const SUM_INTERVAL_MS: u64 = 50;
const TARGET_MS: u64 = 150;
const RUN_MS: u64 = 20_000;

struct Running {
    instance: usize,
    attempt: Attempt,
    arrived_at: u64,
    ends_at: u64,
}

/// A server, with the time at which each slot becomes free.
struct Server {
    slots: [u64; SLOTS],
}

struct Outcome {
    sent: u64,
    late: u64,
    refused: u64,
}

fn setups() -> Vec<ServerSetup> {
    (0..SERVERS)
        .map(|index| ServerSetup {
            name: NameHash::of(&format!("app-{index}")),
            service: NameHash::of("app"),
            failure_domain: NameHash::of(&format!("hall-{index}")),
            region: None,
            slots: SLOTS as u32,
            is_draining: false,
            cold_until: None,
            version: SoftwareVersion::of("v1"),
        })
        .collect()
}

fn without(total: &[ServerLoadRow], own: &LoadReport) -> LoadReport {
    let servers = total.iter().map(|row| {
        let own = own.servers.iter().find(|own| own.server == row.server);
        ServerLoadRow {
            running: row.running - own.map_or(0, |own| own.running),
            ..*row
        }
    });
    LoadReport {
        servers: servers.collect(),
        ..LoadReport::default()
    }
}

fn run(requests_per_s: f64, seed: u64) -> Outcome {
    let mut random = StdRng::seed_from_u64(seed);
    let setups = setups();
    let mut instances: Vec<Dispatcher> = (0..INSTANCES)
        .map(|index| {
            let domain = NameHash::of(&format!("hall-{}", index % SERVERS));
            let mut dispatcher = Dispatcher::new(DispatchSettings::default(), domain);
            dispatcher.set_servers(&setups);
            dispatcher
        })
        .collect();
    let mut servers: Vec<Server> = (0..SERVERS).map(|_| Server { slots: [0; SLOTS] }).collect();
    let mut running: Vec<Running> = Vec::new();
    let mut outcome = Outcome {
        sent: 0,
        late: 0,
        refused: 0,
    };
    for now in 1..RUN_MS {
        let (ended, still_running): (Vec<Running>, Vec<Running>) =
            running.into_iter().partition(|request| request.ends_at <= now);
        running = still_running;
        for mut request in ended {
            let dispatcher = &mut instances[request.instance];
            dispatcher.record_first_event(&mut request.attempt, TimeMs(now));
            dispatcher.finish_attempt(request.attempt, AttemptOutcome::Answered, TimeMs(now));
            outcome.late += u64::from(now - request.arrived_at > TARGET_MS);
        }
        if now % SUM_INTERVAL_MS == 0 {
            exchange_sums(&mut instances, &setups, TimeMs(now));
        }
        let mut arrivals = requests_per_s / 1_000.0;
        while arrivals > 0.0 {
            if random.random_bool(arrivals.min(1.0)) {
                let instance = random.random_range(0..INSTANCES);
                let work_ms = -random.random_range(0.01_f64..1.0).ln() * WORK_MS;
                match send(&mut instances[instance], &mut servers, work_ms, now) {
                    Some((attempt, ends_at)) => {
                        outcome.sent += 1;
                        running.push(Running {
                            instance,
                            attempt,
                            arrived_at: now,
                            ends_at,
                        });
                    }
                    None => outcome.refused += 1,
                }
            }
            arrivals -= 1.0;
        }
    }
    outcome
}

fn exchange_sums(instances: &mut [Dispatcher], setups: &[ServerSetup], now: TimeMs) {
    let reports: Vec<LoadReport> = instances
        .iter_mut()
        .map(|instance| {
            instance.tick(now);
            instance.report(now)
        })
        .collect();
    let total: Vec<ServerLoadRow> = setups
        .iter()
        .map(|setup| ServerLoadRow {
            server: setup.name,
            running: reports
                .iter()
                .flat_map(|report| &report.servers)
                .filter(|row| row.server == setup.name)
                .map(|row| row.running)
                .sum(),
            ..ServerLoadRow::default()
        })
        .collect();
    for (instance, own) in instances.iter_mut().zip(&reports) {
        instance.receive_report(NameHash::of("fleet"), without(&total, own), now);
    }
}

/// Sends one request. Returns the attempt and the time of its answer; `None` if it was refused.
fn send(
    dispatcher: &mut Dispatcher,
    servers: &mut [Server],
    work_ms: f64,
    now: u64,
) -> Option<(Attempt, u64)> {
    let demand = Demand {
        service: NameHash::of("app"),
        workspace: NameHash::of("labska"),
        prompt: None,
        latency_target_ms: TARGET_MS,
        gap_target_ms: None,
        priority: Priority::default(),
        waited_ms: 0,
        tried: &[],
        regions: &AllowedRegions::Any,
        fingerprint: None,
        version: VersionDemand::Any,
    };
    dispatcher.record_arrival(&demand, TimeMs(now));
    let Decision::Send(placement) = dispatcher.decide(&demand, TimeMs(now)) else {
        return None;
    };
    let attempt = dispatcher.begin_attempt(&demand, &placement, TimeMs(now));
    let server = &mut servers[usize::from(placement.server.0)];
    let slot = server.slots.iter_mut().min().unwrap();
    *slot = (*slot).max(now) + work_ms as u64 + 1;
    Some((attempt, *slot))
}

#[test]
fn instances_with_the_same_load_sums_do_not_choose_the_same_server() {
    for (requests_per_s, served_in_time_min) in [(330.0, 0.99), (560.0, 0.97)] {
        for seed in [1, 2, 3] {
            let outcome = run(requests_per_s, seed);
            let all = outcome.sent + outcome.refused;
            let in_time = (outcome.sent - outcome.late) as f64 / all as f64;
            assert!(
                in_time > served_in_time_min,
                "{requests_per_s} requests a second, seed {seed}: {in_time} served in time"
            );
        }
    }
}
