//! Runs a router as a program: flags, settings, signals and exit codes.

use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::Context as _;
use reedsail_core::BuildInfo;
use reedsail_document::read_file;
use reedsail_events::LineSink;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::HeaderProtocol;
use crate::OperatorSource;
use crate::QuarantineStore;
use crate::RouterSettings;
use crate::RunningRouter;
use crate::ServerSource;
use crate::Sources;

/// Exit code if a stop cut off open requests.
const EXIT_CUT: u8 = 3;
/// Exit code if the program could not start.
const EXIT_UNUSABLE: u8 = 2;

/// How long the program waits at its end until the last log lines are written, in milliseconds.
const LOG_FLUSH_TIMEOUT_MS: u64 = 100;

/// The flags of the command line, and what the program was built from.
#[derive(Clone, Debug)]
pub struct ProgramFlags {
    /// What the program was built from.
    pub build: BuildInfo,
    /// The settings file, if it is given on the command line.
    pub settings: Option<PathBuf>,
    /// The environment variable that names the settings file otherwise.
    pub settings_variable: &'static str,
    /// Whether to check the settings and exit.
    pub check: bool,
}

/// Runs a router until a signal ends it. SIGTERM and SIGINT begin a planned stop; SIGHUP reloads the settings.
pub fn run_program<H, C, S, Q>(
    flags: &ProgramFlags,
    protocol: H,
    make_sources: impl FnOnce(&RouterSettings) -> Sources<C, S, Q> + Send + 'static,
) -> ExitCode
where
    H: HeaderProtocol,
    C: OperatorSource,
    S: ServerSource,
    Q: QuarantineStore,
{
    match run(flags, protocol, make_sources) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(EXIT_CUT),
        Err(error) => {
            eprintln!("reedsail: {error:#}");
            ExitCode::from(EXIT_UNUSABLE)
        }
    }
}

fn run<H, C, S, Q>(
    flags: &ProgramFlags,
    protocol: H,
    make_sources: impl FnOnce(&RouterSettings) -> Sources<C, S, Q> + Send + 'static,
) -> anyhow::Result<bool>
where
    H: HeaderProtocol,
    C: OperatorSource,
    S: ServerSource,
    Q: QuarantineStore,
{
    let path = settings_path(flags)?;
    let settings = read_file(&path, RouterSettings::read)?;
    if flags.check {
        println!("{}: the settings are valid", path.display());
        return Ok(true);
    }
    let (sink, sink_end) = LineSink::to_stdout()?;
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info"))
        .target(env_logger::Target::Pipe(Box::new(sink)))
        .init();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let build = flags.build;
    let outcome = runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let mut hangup = signal(SignalKind::hangup())?;
        let source_settings = settings.clone();
        let router = RunningRouter::start(build, settings, protocol, move || make_sources(&source_settings))?;
        loop {
            tokio::select! {
                _ = terminate.recv() => break,
                _ = interrupt.recv() => break,
                _ = hangup.recv() => match read_file(&path, RouterSettings::read) {
                    Ok(settings) => router.reload(&settings).await,
                    Err(error) => router.report_invalid_settings(&format!("{error:#}")),
                },
            }
        }
        Ok(router.close().await)
    });
    sink_end.close(LOG_FLUSH_TIMEOUT_MS);
    outcome
}

fn settings_path(flags: &ProgramFlags) -> anyhow::Result<PathBuf> {
    let variable = flags.settings_variable;
    let from_environment = || std::env::var_os(variable).map(PathBuf::from);
    let path = flags.settings.clone().or_else(from_environment);
    path.with_context(|| format!("name the settings file with --config or {variable}"))
}
