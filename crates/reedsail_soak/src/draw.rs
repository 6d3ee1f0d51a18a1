//! Draws a schedule from a seed.

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::AnswerFault;
use crate::EngineEnd;
use crate::Fault;
use crate::FaultKind;
use crate::Link;
use crate::LinkFault;
use crate::Schedule;

/// No fault begins before this time, so that all processes have started and served for a while.
const FAULT_FREE_START_MS: u64 = 2_000;
/// Every fault ends at least this long before the end.
const FAULT_FREE_END_MS: u64 = 8_000;
/// Average time between two series of faults.
const SERIES_INTERVAL_MS: u64 = 1_500;
/// Maximum number of faults in one series.
const FAULTS_PER_SERIES_MAX: u64 = 4;
/// Number of software versions of engines.
const VERSION_COUNT: u32 = 3;
/// Maximum duration of a fault.
const FAULT_DURATION_MAX_MS: u64 = 4_000;
/// How long the answers of the store are held up while a server leaves, in milliseconds. Shorter than the time after which
/// an instance gives up an answer.
const HELD_ANSWERS_MS: std::ops::RangeInclusive<u64> = 300..=760;
/// Time from then until the server leaves, in milliseconds.
const HELD_BEFORE_LEAVING_MS: u64 = 60;

/// Distinguishes the random numbers of emptied tables of workspaces from those of all other faults.
const EMPTIED_SEED: u64 = 0x5eed_0000_0000_0000;
/// Maximum number of times that a schedule empties the table of workspaces.
const EMPTIED_MAX: u32 = 3;
/// How long the table stays empty, in milliseconds.
const EMPTIED_MS: std::ops::RangeInclusive<u64> = 50..=2_500;

/// The rates of requests with a segment that ends servers, in requests in ten seconds.
const POISON_RATES_PER_10_S: [u64; 4] = [5, 20, 60, 200];
/// Largest number of events before an engine ends.
const ENGINE_EVENTS_MAX: f64 = 200.0;
/// Times between two events of an engine that ends, in milliseconds.
const EVENT_INTERVALS_MS: [u64; 5] = [0, 1, 5, 20, 50];
/// Longest time between two restarts while the segment comes.
const RESTART_GAP_MAX_MS: u64 = 6_000;
/// Longest time for which instances are away in these restarts.
const RESTART_MAX_MS: u64 = 1_500;

/// Draws a schedule. The same seed, duration and number of instances give the same schedule.
pub fn draw_schedule(seed: u64, for_ms: u64, instances: Option<usize>) -> Schedule {
    let mut random = StdRng::seed_from_u64(seed);
    let daemons = instances.unwrap_or_else(|| random.random_range(3..=5));
    let engines = random.random_range(4..=6);
    let versions_at_start = random.random_range(1..=VERSION_COUNT);
    let mut schedule = Schedule {
        seed,
        for_ms,
        daemons,
        engines,
        plain_servers: 2,
        engine_versions: (0..engines)
            .map(|_| random.random_range(1..=versions_at_start))
            .collect(),
        faults: Vec::new(),
        cause: String::new(),
    };
    let last_ms = for_ms
        .saturating_sub(FAULT_FREE_END_MS)
        .max(FAULT_FREE_START_MS + 1);
    for _ in 0..(last_ms / SERIES_INTERVAL_MS).max(1) {
        let series = draw_series(&mut random, &schedule, last_ms);
        schedule.faults.extend(series);
    }
    schedule.faults.extend(draw_emptied_workspaces(seed, last_ms));
    schedule.faults.sort_by_key(|fault| fault.at_ms);
    schedule
}

/// Draws times without workspaces, in half of the schedules. They have random numbers of their own, so that the other faults
/// of a seed stay the same.
fn draw_emptied_workspaces(seed: u64, last_ms: u64) -> Vec<Fault> {
    let mut random = StdRng::seed_from_u64(seed ^ EMPTIED_SEED);
    if random.random_bool(0.5) {
        return Vec::new();
    }
    let count = random.random_range(1..=EMPTIED_MAX);
    let faults = (0..count).map(|_| {
        let at_ms = random.random_range(FAULT_FREE_START_MS..last_ms);
        let for_ms = random.random_range(EMPTIED_MS).min(last_ms - at_ms);
        Fault {
            at_ms,
            for_ms,
            kind: FaultKind::EmptyWorkspaces,
        }
    });
    faults.collect()
}

/// Draws consecutive faults of one kind, all on the same target or each on the next target.
fn draw_series(random: &mut StdRng, schedule: &Schedule, last_ms: u64) -> Vec<Fault> {
    let count = random.random_range(1..=FAULTS_PER_SERIES_MAX);
    let mut at_ms = random.random_range(FAULT_FREE_START_MS..last_ms);
    let kind = random.random_range(0..KIND_COUNT);
    let first_target = random.random_range(0..64);
    if kind >= POISON_KIND {
        return draw_poison_segment(random, schedule, at_ms, last_ms);
    }
    if kind >= LATE_ANSWER_KIND {
        return draw_late_answers(random, schedule, at_ms, last_ms);
    }
    let version = random.random_range(1..=VERSION_COUNT);
    let is_target_advancing = random.random_bool(0.5);
    let mut faults = Vec::new();
    for number in 0..count {
        let target = first_target + if is_target_advancing { number as usize } else { 0 };
        let for_ms = random
            .random_range(100..=FAULT_DURATION_MAX_MS)
            .min(last_ms - at_ms);
        faults.push(Fault {
            at_ms,
            for_ms,
            kind: draw_kind(random, schedule, kind, target, version),
        });
        at_ms += random.random_range(for_ms / 2..=for_ms + 500);
        if at_ms >= last_ms {
            break;
        }
    }
    faults
}

/// Draws servers that leave, one after the other, each while some instances get the answers of the store late.
fn draw_late_answers(random: &mut StdRng, schedule: &Schedule, begin_ms: u64, last_ms: u64) -> Vec<Fault> {
    let mut at_ms = begin_ms;
    let mut faults = Vec::new();
    for _ in 0..random.random_range(1..=FAULTS_PER_SERIES_MAX) {
        let held_ms = random.random_range(HELD_ANSWERS_MS);
        if at_ms + held_ms >= last_ms {
            break;
        }
        let first_instance = random.random_range(0..schedule.daemons);
        for number in 0..random.random_range(1..schedule.daemons) {
            let instance = (first_instance + number) % schedule.daemons;
            faults.push(Fault {
                at_ms,
                for_ms: held_ms,
                kind: FaultKind::Link(Link::Store(instance), LinkFault::HoldAnswers),
            });
        }
        faults.push(Fault {
            at_ms: at_ms + HELD_BEFORE_LEAVING_MS,
            for_ms: held_ms - HELD_BEFORE_LEAVING_MS,
            kind: FaultKind::LeaveUnannounced(random.random_range(0..schedule.servers())),
        });
        at_ms += held_ms + random.random_range(0..2_000);
    }
    faults
}

/// Draws a segment that ends servers until the end, and restarts of instances while its requests come: of one, of several in
/// series or of all, killed or planned.
fn draw_poison_segment(random: &mut StdRng, schedule: &Schedule, begin_ms: u64, last_ms: u64) -> Vec<Fault> {
    let interval_ms = 10_000 / POISON_RATES_PER_10_S[random.random_range(0..POISON_RATES_PER_10_S.len())];
    let mut faults = vec![Fault {
        at_ms: begin_ms,
        for_ms: last_ms - begin_ms,
        kind: FaultKind::PoisonSegmentAt {
            interval_ms,
            engine_end: draw_engine_end(random),
        },
    }];
    let first_instance = random.random_range(0..schedule.daemons);
    let way = random.random_range(0..4);
    let mut at_ms = begin_ms;
    for number in 0..random.random_range(0..=FAULTS_PER_SERIES_MAX as usize) {
        at_ms += random.random_range(500..=RESTART_GAP_MAX_MS);
        let for_ms = random.random_range(100..=RESTART_MAX_MS);
        if at_ms + for_ms >= last_ms {
            break;
        }
        let instance = (first_instance + number) % schedule.daemons;
        let kind = match way {
            0 => FaultKind::KillAllDaemons,
            1 => FaultKind::StopAllDaemons,
            2 => FaultKind::KillDaemon(instance),
            _ => FaultKind::StopDaemon(instance),
        };
        faults.push(Fault { at_ms, for_ms, kind });
    }
    faults
}

/// Draws when an engine ends: before the head for one in eight, else after a number of events of which small ones are as
/// likely as large ones.
fn draw_engine_end(random: &mut StdRng) -> EngineEnd {
    if random.random_bool(0.125) {
        return EngineEnd::BeforeHead;
    }
    EngineEnd::AfterEvents {
        events: ENGINE_EVENTS_MAX.powf(random.random_range(0.0..=1.0)) as u32,
        interval_ms: EVENT_INTERVALS_MS[random.random_range(0..EVENT_INTERVALS_MS.len())],
    }
}

/// Number of indices of a series: those below [`LATE_ANSWER_KIND`] that [`draw_kind`] maps to a fault kind, and those of
/// late answers while servers leave, and of a segment that ends servers while instances restart.
const KIND_COUNT: u32 = 35;
const LATE_ANSWER_KIND: u32 = 30;
const POISON_KIND: u32 = 33;

fn draw_kind(random: &mut StdRng, schedule: &Schedule, kind: u32, target: usize, version: u32) -> FaultKind {
    let engine = target % schedule.engines;
    let instance = target % schedule.daemons;
    let server = target % schedule.servers();
    match kind {
        0..3 => FaultKind::Link(draw_link(random, instance, server), draw_link_fault(random)),
        3 => FaultKind::KillDaemon(instance),
        4 => FaultKind::FreezeDaemon(instance),
        5 | 6 => FaultKind::StopDaemon(instance),
        7 => FaultKind::ReloadDaemon(instance),
        8 => FaultKind::KillServer(server),
        9 => FaultKind::FreezeServer(server),
        10 => FaultKind::RetireServer(server),
        11 | 24 => FaultKind::ServerAnswers(server, draw_answer_fault(random)),
        12 => FaultKind::StoreRefuses,
        13 => FaultKind::StoreSlow(random.random_range(50..1_500)),
        14 => FaultKind::StoreLoses(random.random_range(1..4)),
        15 => FaultKind::StoreForgets,
        16 => FaultKind::Configure,
        17 => FaultKind::HideServer(server),
        18 => FaultKind::StoreGoesBack(random.random_range(1..6)),
        19 => FaultKind::DrainByAnswers(server),
        20 | 21 => FaultKind::ReleaseServer(engine, version),
        22 => FaultKind::RestartServer(engine, version),
        23 => FaultKind::KillServer(engine),
        27 | 28 => FaultKind::ServiceFails {
            is_engine: target.is_multiple_of(2),
        },
        29 => FaultKind::KillAllDaemons,
        25 => FaultKind::PoisonSegment(random.random_range(50..600)),
        _ => FaultKind::ReplaceKey,
    }
}

fn draw_link(random: &mut StdRng, instance: usize, server: usize) -> Link {
    match random.random_range(0..3) {
        0 => Link::Callers(instance),
        1 => Link::Store(instance),
        _ => Link::Server(server),
    }
}

fn draw_link_fault(random: &mut StdRng) -> LinkFault {
    match random.random_range(0..6) {
        0 => LinkFault::Delay(random.random_range(20..800)),
        1 => LinkFault::Reset,
        2 => LinkFault::LoseRequests,
        3 => LinkFault::LoseAnswers,
        4 => LinkFault::Silence,
        _ => LinkFault::CutTails,
    }
}

fn draw_answer_fault(random: &mut StdRng) -> AnswerFault {
    match random.random_range(0..12) {
        0 => AnswerFault::Error,
        1 => AnswerFault::Slow(random.random_range(50..1_500)),
        2 => AnswerFault::Hang,
        3 => AnswerFault::Short,
        4 => AnswerFault::WrongId,
        5 => AnswerFault::NotRun,
        6 => AnswerFault::Busy(random.random_range(500..3_000)),
        7 => AnswerFault::Unframed,
        8 => AnswerFault::UnframedCut,
        9 => AnswerFault::UnframedCutInsideEvent,
        10 => AnswerFault::ChunkedCutInsideEvent,
        _ => AnswerFault::Break,
    }
}
