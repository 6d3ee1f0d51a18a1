//! The instances: processes that are started, signalled and restarted.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use anyhow::Context as _;
use reedsail_net::Clock;
use rustix::process::Signal;
use tokio::process::Command;

use crate::layout;
use crate::layout::InstanceAddresses;
use crate::process::Process;
use crate::proxy::Proxy;

/// Log lines that an instance may write per second in a soak, so that a failure can be traced.
const LOG_LINES_PER_S: u32 = 1_000;

/// One instance, across its restarts.
#[derive(Debug)]
pub(crate) struct Instance {
    number: usize,
    router: PathBuf,
    folder: PathBuf,
    seeds: Vec<SocketAddr>,
    /// Proxy in front of the callers' port.
    pub(crate) callers: Proxy,
    /// Proxy in front of the store.
    pub(crate) store: Proxy,
    process: Mutex<Option<Process>>,
    /// Number of starts.
    start_count: AtomicU64,
    /// Time of the last start, in Unix milliseconds.
    pub(crate) started_unix_ms: AtomicU64,
    /// Whether the last request to its readiness page succeeded.
    pub(crate) is_ready: AtomicBool,
}

impl Instance {
    /// Starts an instance and its proxies.
    pub(crate) fn start(
        number: usize,
        router: PathBuf,
        folder: PathBuf,
        store: SocketAddr,
        instances: usize,
    ) -> anyhow::Result<Self> {
        let addresses = InstanceAddresses::of(number);
        let seeds = (0..instances)
            .map(|seed| InstanceAddresses::of(seed).peers)
            .collect();
        let instance = Self {
            number,
            router,
            folder,
            seeds,
            callers: Proxy::start(Some(addresses.callers))?,
            store: Proxy::start(Some(store))?,
            process: Mutex::new(None),
            start_count: AtomicU64::new(0),
            started_unix_ms: AtomicU64::new(0),
            is_ready: AtomicBool::new(false),
        };
        instance.write_settings(LOG_LINES_PER_S)?;
        instance.start_process()?;
        Ok(instance)
    }

    /// Returns how many times the instance was started.
    pub(crate) fn start_count(&self) -> u64 {
        self.start_count.load(Ordering::Relaxed)
    }

    /// Starts the process unless it runs. Returns whether it was started.
    pub(crate) fn start_process(&self) -> anyhow::Result<bool> {
        let mut process = self.lock();
        if process.is_some() {
            return Ok(false);
        }
        let log = self.folder.join(format!("daemon-{}.log", self.number));
        let mut command = Command::new(&self.router);
        command.arg("--config").arg(self.settings_file());
        *process = Some(Process::start(&mut command, Some(&log))?);
        self.started_unix_ms.store(Clock::unix_ms(), Ordering::Relaxed);
        self.start_count.fetch_add(1, Ordering::Relaxed);
        Ok(true)
    }

    /// Sends a signal to the process if it runs and was not restarted since the given start.
    pub(crate) fn signal(&self, signal: Signal, start_count: u64) {
        let process = self.lock();
        if let Some(process) = process.as_ref()
            && self.start_count() == start_count
        {
            process.signal(signal);
        }
    }

    /// Takes the process out, so that no other fault ends it.
    pub(crate) fn take_process(&self) -> Option<Process> {
        self.lock().take()
    }

    /// Returns whether the process exited without being stopped or killed by the soak.
    pub(crate) fn has_ended(&self) -> bool {
        self.lock().as_mut().is_some_and(Process::has_ended)
    }

    /// Writes changed settings to disk.
    pub(crate) fn change_settings(&self) -> anyhow::Result<()> {
        let start_count = self.start_count() as u32;
        self.write_settings(LOG_LINES_PER_S + start_count)
    }

    /// Returns the resident memory in kilobytes, or zero if no process runs.
    pub(crate) fn resident_kb(&self) -> u64 {
        self.lock().as_ref().map_or(0, Process::resident_kb)
    }

    /// Stops the instance and its proxies.
    pub(crate) async fn close(self) {
        let process = self.take_process();
        if let Some(process) = process {
            process.close().await;
        }
        self.callers.close();
        self.store.close();
    }

    fn write_settings(&self, log_lines_per_s: u32) -> anyhow::Result<()> {
        let text = layout::settings(self.number, self.store.address, &self.seeds, log_lines_per_s);
        let file = self.settings_file();
        std::fs::write(&file, text).with_context(|| format!("cannot write {}", file.display()))
    }

    fn settings_file(&self) -> PathBuf {
        self.folder.join(format!("daemon-{}.yaml", self.number))
    }

    fn lock(&self) -> MutexGuard<'_, Option<Process>> {
        self.process.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
