//! Runs one schedule, from the start of all processes to the report.

use std::collections::BTreeMap;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anyhow::Context as _;
use tokio::process::Command;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::unbounded_channel;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::Attempt;
use crate::History;
use crate::Probe;
use crate::Schedule;
use crate::ServerLife;
use crate::ServerLine;
use crate::SoakReport;
use crate::caller::CallerProfile;
use crate::caller::CallerShared;
use crate::caller::run_caller;
use crate::check;
use crate::fleet::Fleet;
use crate::layout;
use crate::player::Player;
use crate::player::PlayerRecord;
use crate::poison::is_poison;
use crate::prober::run_prober;
use crate::report::count_continued;
use crate::report::count_outcomes;
use crate::soak_clock::SoakClock;

/// Interval at which servers that ended by themselves are looked for.
const CRASH_WATCH_INTERVAL_MS: u64 = 5;
/// Time from the removal of the record of such a server until another starts.
const CRASHED_FOR_MS: u64 = 500;
/// Time for the processes to start before callers begin.
const SETTLE_MS: u64 = 1_500;
/// Time for callers to finish their last attempt.
const LAST_ATTEMPT_MS: u64 = 4_000;
/// Interval between two memory samples.
const MEMORY_INTERVAL_MS: u64 = 500;

/// The callers: their number, workspace and pause.
const CALLERS: [(u64, CallerProfile); 3] = [
    (
        16,
        CallerProfile {
            workspace: "large",
            pause_ms: 20,
        },
    ),
    (
        3,
        CallerProfile {
            workspace: "small",
            pause_ms: 80,
        },
    ),
    (
        3,
        CallerProfile {
            workspace: layout::CHANGING_WORKSPACE,
            pause_ms: 80,
        },
    ),
];

/// Paths of the programs that a soak starts.
#[derive(Clone, Debug)]
pub struct Programs {
    /// The router.
    pub router: PathBuf,
    /// The program with the commands `soak-store` and `soak-server`.
    pub standins: PathBuf,
}

/// Runs a schedule.
///
/// `is_untimed` ignores violations that load on the machine can cause. A run with violations stores its
/// schedule, its history and the instances' logs in `keep`, in a folder named after the seed.
///
/// # Errors
/// Returns an error if a process cannot be started or a file cannot be written.
pub async fn run_soak(
    programs: &Programs,
    schedule: &Schedule,
    is_untimed: bool,
    keep: Option<&Path>,
) -> anyhow::Result<SoakReport> {
    let folder = tempfile::tempdir().context("cannot create a temporary folder for logs")?;
    let (line_sender, lines) = unbounded_channel();
    let fleet = Fleet::start(programs, schedule, folder.path(), line_sender).await?;
    sleep(Duration::from_millis(SETTLE_MS)).await;
    let observations = play(&fleet, schedule).await?;
    let (history, figures) = observations.into_history(schedule, lines, fleet.lives.take());
    let processes = fleet.processes();
    let fleet = Arc::into_inner(fleet).context("cannot stop the fleet: a task still uses it")?;
    fleet.close().await;
    let mut violations = check(&history);
    violations.retain(|violation| !is_untimed || !violation.is_timed());
    let report = SoakReport {
        router_build: build_of(&programs.router).await?,
        seed: schedule.seed,
        for_ms: schedule.for_ms,
        processes,
        peak_memory_mb: figures.peak_memory_kb / 1_024,
        faults: figures.faults,
        outcomes: count_outcomes(&history),
        continued: count_continued(&history),
        runs: history.runs.len(),
        violations,
    };
    if let Some(keep) = keep.filter(|_| !report.is_clean()) {
        save_run(
            &keep.join(format!("seed-{}", schedule.seed)),
            folder.path(),
            schedule,
            &history,
            &report,
        )?;
    }
    Ok(report)
}

/// Returns what a router prints as its build.
async fn build_of(router: &Path) -> anyhow::Result<String> {
    let output = Command::new(router)
        .arg("--version")
        .output()
        .await
        .with_context(|| format!("cannot start {}", router.display()))?;
    if !output.status.success() {
        return Ok("the router does not tell what it was built from".to_owned());
    }
    Ok(String::from_utf8_lossy(&output.stdout).trim_end().to_owned())
}

/// What was observed while a schedule ran.
struct Observations {
    attempts: UnboundedReceiver<Attempt>,
    probes: UnboundedReceiver<Probe>,
    player_record: PlayerRecord,
    ended_by_themselves: Vec<usize>,
    clock: SoakClock,
    peak_memory_kb: u64,
}

/// Figures of the report that are not in the history.
struct Figures {
    faults: BTreeMap<String, u64>,
    peak_memory_kb: u64,
}

impl Observations {
    fn into_history(
        mut self,
        schedule: &Schedule,
        mut lines: UnboundedReceiver<ServerLine>,
        mut server_lives: Vec<ServerLife>,
    ) -> (History, Figures) {
        for life in &mut server_lives {
            life.from_ms = self.clock.since_start_ms(life.from_ms);
            if life.until_ms < u64::MAX {
                life.until_ms = self.clock.since_start_ms(life.until_ms);
            }
        }
        let mut history = History {
            for_ms: schedule.for_ms,
            timeout_ms: layout::TIMEOUT_MS,
            daemons: schedule.daemons,
            attempts_max: layout::ATTEMPTS_MAX as usize,
            faults: self.player_record.faults,
            poison_spans: self.player_record.poison_spans,
            writes: self.player_record.writes,
            departures: self.player_record.departures,
            exits: self.player_record.exits,
            ended_by_themselves: self.ended_by_themselves,
            lives: server_lives,
            ..History::default()
        };
        while let Ok(attempt) = self.attempts.try_recv() {
            history.attempts.push(attempt);
        }
        while let Ok(probe) = self.probes.try_recv() {
            history.probes.push(probe);
        }
        while let Ok(line) = lines.try_recv() {
            match line {
                ServerLine::Arrival(mut arrival) => {
                    arrival.at_ms = self.clock.since_start_ms(arrival.at_ms);
                    history.arrivals.push(arrival);
                }
                ServerLine::Run(mut run) => {
                    run.began_ms = self.clock.since_start_ms(run.began_ms);
                    if is_poison(&run.id) {
                        history.poison_runs.push(run);
                    } else {
                        history.runs.push(run);
                    }
                }
                ServerLine::PoisonEnd(ended_ms) => {
                    history.poison_ends_ms.push(self.clock.since_start_ms(ended_ms));
                }
                ServerLine::Notice(mut notice) => {
                    notice.at_ms = self.clock.since_start_ms(notice.at_ms);
                    history.notices.push(notice);
                }
            }
        }
        history.probes.sort_by_key(|probe| probe.ended_ms);
        history.poison_runs.sort_by_key(|run| run.began_ms);
        history.poison_ends_ms.sort_unstable();
        let counts = self.player_record.counts.into_iter();
        let figures = Figures {
            faults: counts.map(|(name, count)| (name.to_owned(), count)).collect(),
            peak_memory_kb: self.peak_memory_kb,
        };
        (history, figures)
    }
}

async fn play(fleet: &Arc<Fleet>, schedule: &Schedule) -> anyhow::Result<Observations> {
    let (attempt_sender, attempts) = unbounded_channel();
    let (probe_sender, probes) = unbounded_channel();
    let clock = SoakClock::start();
    let newest_version = Arc::new(AtomicU64::new(1));
    let shared = Arc::new(CallerShared {
        fleet: Arc::clone(fleet),
        attempts: attempt_sender,
        newest_key: AtomicU64::new(1),
        clock,
        end_ms: schedule.for_ms,
    });
    let player = Arc::new(Player::new(
        Arc::clone(fleet),
        Arc::clone(&shared),
        Arc::clone(&newest_version),
    ));
    let mut watchers = JoinSet::new();
    for instance in 0..schedule.daemons {
        let versions = Arc::clone(&newest_version);
        let probes = probe_sender.clone();
        watchers.spawn(run_prober(Arc::clone(fleet), instance, versions, clock, probes));
    }
    watchers.spawn(watch_crashes(Arc::clone(&player)));
    let peak_memory_kb = Arc::new(AtomicU64::new(0));
    watchers.spawn(watch_memory(Arc::clone(fleet), Arc::clone(&peak_memory_kb)));
    let mut callers = start_callers(&shared, schedule.seed);
    play_faults(&player, schedule).await?;
    let last_attempts = Duration::from_millis(schedule.for_ms + LAST_ATTEMPT_MS);
    // Callers stop by themselves; a caller that does not is dropped together with its attempt.
    let _ = tokio::time::timeout(last_attempts, async {
        while callers.join_next().await.is_some() {}
    })
    .await;
    callers.shutdown().await;
    watchers.shutdown().await;
    Ok(Observations {
        attempts,
        probes,
        player_record: player.take_record(),
        ended_by_themselves: (0..schedule.daemons)
            .filter(|instance| fleet.instances[*instance].has_ended())
            .collect(),
        clock,
        peak_memory_kb: peak_memory_kb.load(Ordering::Relaxed),
    })
}

async fn play_faults(player: &Arc<Player>, schedule: &Schedule) -> anyhow::Result<()> {
    let mut faults = JoinSet::new();
    for fault in schedule.faults.iter().copied() {
        let player = Arc::clone(player);
        faults.spawn(async move { player.play(fault).await });
    }
    while let Some(ended) = faults.join_next().await {
        ended??;
    }
    Ok(())
}

fn start_callers(shared: &Arc<CallerShared>, seed: u64) -> JoinSet<()> {
    let mut callers = JoinSet::new();
    let profiles = CALLERS
        .iter()
        .flat_map(|(count, profile)| (0..*count).map(move |_| *profile));
    for (number, profile) in profiles.enumerate() {
        callers.spawn(run_caller(Arc::clone(shared), profile, number as u64, seed));
    }
    callers
}

/// Replaces the servers that end by themselves.
async fn watch_crashes(player: Arc<Player>) {
    let mut replacements = JoinSet::new();
    loop {
        for number in player.crashed_servers().await {
            player.record_crash(number);
            let player = Arc::clone(&player);
            // A server that can't start again shows as one that answers nothing.
            replacements.spawn(async move { player.kill_server(number, CRASHED_FOR_MS).await });
        }
        sleep(Duration::from_millis(CRASH_WATCH_INTERVAL_MS)).await;
    }
}

async fn watch_memory(fleet: Arc<Fleet>, peak_kb: Arc<AtomicU64>) {
    loop {
        let now_kb = fleet.resident_kb().await;
        peak_kb.fetch_max(now_kb, Ordering::Relaxed);
        sleep(Duration::from_millis(MEMORY_INTERVAL_MS)).await;
    }
}

/// Writes the files needed to trace and replay a failure.
fn save_run(
    target: &Path,
    logs: &Path,
    schedule: &Schedule,
    history: &History,
    report: &SoakReport,
) -> anyhow::Result<()> {
    std::fs::create_dir_all(target)?;
    std::fs::write(
        target.join("schedule.json"),
        serde_json::to_string_pretty(schedule)?,
    )?;
    std::fs::write(target.join("history.json"), serde_json::to_string(history)?)?;
    std::fs::write(target.join("report.json"), serde_json::to_string_pretty(report)?)?;
    for entry in std::fs::read_dir(logs)? {
        let entry = entry?;
        std::fs::copy(entry.path(), target.join(entry.file_name()))?;
    }
    Ok(())
}
