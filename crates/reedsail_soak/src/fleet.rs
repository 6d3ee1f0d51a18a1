//! All processes of a soak: store, backend servers and instances.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use anyhow::Context as _;
use reedsail_net::Clock;
use reedsail_platform_standin::ServerSpec;
use reedsail_platform_standin::StoreCommand;
use tokio::io::AsyncBufReadExt;
use tokio::io::AsyncWriteExt;
use tokio::io::BufReader;
use tokio::io::Lines;
use tokio::process::ChildStdin;
use tokio::process::ChildStdout;
use tokio::process::Command;
use tokio::sync::Mutex;
use tokio::sync::mpsc::UnboundedSender;

use crate::AnswerFault;
use crate::Programs;
use crate::Schedule;
use crate::ServerLine;
use crate::instance::Instance;
use crate::layout;
use crate::process::Process;
use crate::proxy::Proxy;
use crate::server_lives::ServerLives;

/// Number of concurrent requests that a server announces.
const SLOTS: u32 = 8;

/// The store's process and its command input.
#[derive(Debug)]
pub(crate) struct Store {
    process: Process,
    input: Mutex<ChildStdin>,
    pub(crate) address: SocketAddr,
}

impl Store {
    async fn start(programs: &Programs) -> anyhow::Result<Self> {
        let mut command = Command::new(&programs.standins);
        command.arg("soak-store");
        let (process, input, _, address) = start_standin(&mut command).await?;
        Ok(Self {
            process,
            input: Mutex::new(input),
            address,
        })
    }

    /// Sends a command; commands are executed in order.
    pub(crate) async fn send_command(&self, command: &StoreCommand) -> anyhow::Result<()> {
        let line = serde_json::to_string(command)? + "\n";
        let mut input = self.input.lock().await;
        input
            .write_all(line.as_bytes())
            .await
            .context("cannot send a command: the store process has ended")
    }
}

/// One process of a backend server.
#[derive(Debug)]
pub(crate) struct RunningServer {
    pub(crate) id: String,
    pub(crate) version: String,
    /// When it started, in milliseconds of Unix time.
    born_ms: u64,
    pub(crate) process: Process,
    input: ChildStdin,
}

impl RunningServer {
    /// Sets or clears the server's answer fault; a server that has ended is ignored.
    pub(crate) async fn set_answer_fault(&mut self, fault: Option<AnswerFault>) {
        let line = serde_json::to_string(&fault).expect("an answer fault serializes to JSON") + "\n";
        let _ = self.input.write_all(line.as_bytes()).await;
    }
}

/// A backend server, across its restarts; each process has its own id.
#[derive(Debug)]
pub(crate) struct Server {
    number: usize,
    service: &'static str,
    standins: PathBuf,
    pub(crate) proxy: Proxy,
    pub(crate) running: Mutex<Option<RunningServer>>,
    start_count: AtomicU64,
    /// The software version of the next process.
    version: AtomicU32,
    lives: ServerLives,
    lines: UnboundedSender<ServerLine>,
}

impl Server {
    /// Starts and announces a process, unless one runs.
    pub(crate) async fn start_process(&self, store: &Store) -> anyhow::Result<()> {
        let mut running = self.running.lock().await;
        if running.is_some() {
            return Ok(());
        }
        let start = self.start_count.fetch_add(1, Ordering::Relaxed);
        let id = format!("server-{}-{start}", self.number);
        let started = self.spawn_process(&id, Clock::unix_ms()).await?;
        store
            .send_command(&StoreCommand::Announce(self.spec(&started, false)))
            .await?;
        self.lives
            .begin(self.number, self.is_engine(), &id, &started.version);
        *running = Some(started);
        Ok(())
    }

    /// Returns whether the server answers streams.
    pub(crate) fn is_engine(&self) -> bool {
        self.service == layout::ENGINE_SERVICE
    }

    /// Sets the software version of the next process.
    pub(crate) fn set_version(&self, version: u32) {
        self.version.store(version, Ordering::Relaxed);
    }

    /// Starts a process with an id, behind the proxy.
    pub(crate) async fn spawn_process(&self, id: &str, born_ms: u64) -> anyhow::Result<RunningServer> {
        let version = format!("v{}", self.version.load(Ordering::Relaxed));
        let mut command = Command::new(&self.standins);
        command.arg("soak-server").arg("--id").arg(id);
        command.arg("--version").arg(&version);
        command.arg("--born-ms").arg(born_ms.to_string());
        if self.is_engine() {
            command.arg("--streams");
        }
        let (process, input, output, address) = start_standin(&mut command).await?;
        tokio::spawn(forward_lines(output, self.lines.clone()));
        self.proxy.set_upstream(Some(address));
        Ok(RunningServer {
            id: id.to_owned(),
            version,
            born_ms,
            process,
            input,
        })
    }

    /// Returns the record of a server process.
    pub(crate) fn spec(&self, running: &RunningServer, is_draining: bool) -> ServerSpec {
        ServerSpec {
            id: running.id.clone(),
            service: self.service.to_owned(),
            address: self.proxy.address,
            failure_domain: layout::domain(self.number),
            slots: SLOTS,
            is_draining,
            version: running.version.clone(),
            born_ms: Some(running.born_ms),
        }
    }
}

/// All processes of a soak.
#[derive(Debug)]
pub(crate) struct Fleet {
    pub(crate) store: Store,
    pub(crate) servers: Vec<Server>,
    pub(crate) lives: ServerLives,
    pub(crate) instances: Vec<Instance>,
}

impl Fleet {
    /// Starts all processes; each line that a server prints is sent to `lines`.
    pub(crate) async fn start(
        programs: &Programs,
        schedule: &Schedule,
        folder: &Path,
        lines: UnboundedSender<ServerLine>,
    ) -> anyhow::Result<Arc<Self>> {
        let store = Store::start(programs).await?;
        let configuration = layout::configuration(&layout::first_version());
        store
            .send_command(&StoreCommand::Configure(configuration))
            .await?;
        let server_lives = ServerLives::default();
        let mut servers = Vec::new();
        for number in 0..schedule.servers() {
            let server = Server {
                number,
                service: if number < schedule.engines {
                    layout::ENGINE_SERVICE
                } else {
                    layout::PLAIN_SERVICE
                },
                standins: programs.standins.clone(),
                proxy: Proxy::start(None)?,
                running: Mutex::new(None),
                start_count: AtomicU64::new(0),
                version: AtomicU32::new(schedule.engine_versions.get(number).copied().unwrap_or(1)),
                lives: server_lives.clone(),
                lines: lines.clone(),
            };
            server.start_process(&store).await?;
            servers.push(server);
        }
        let mut instances = Vec::new();
        for number in 0..schedule.daemons {
            let router = programs.router.clone();
            let folder = folder.to_owned();
            instances.push(Instance::start(
                number,
                router,
                folder,
                store.address,
                schedule.daemons,
            )?);
        }
        Ok(Arc::new(Self {
            store,
            servers,
            lives: server_lives,
            instances,
        }))
    }

    /// Returns the maximum number of processes.
    pub(crate) fn processes(&self) -> usize {
        1 + self.servers.len() + self.instances.len()
    }

    /// Returns the resident memory of all processes in kilobytes.
    pub(crate) async fn resident_kb(&self) -> u64 {
        let mut sum_kb = self.store.process.resident_kb();
        for server in &self.servers {
            let running = server.running.lock().await;
            sum_kb += running
                .as_ref()
                .map_or(0, |running| running.process.resident_kb());
        }
        sum_kb + self.instances.iter().map(Instance::resident_kb).sum::<u64>()
    }

    /// Stops every process.
    pub(crate) async fn close(self) {
        for instance in self.instances {
            instance.close().await;
        }
        for server in self.servers {
            let running = server.running.lock().await.take();
            if let Some(running) = running {
                running.process.close().await;
            }
            server.proxy.close();
        }
        self.store.process.close().await;
    }
}

type Standin = (Process, ChildStdin, Lines<BufReader<ChildStdout>>, SocketAddr);

/// Starts a stand-in and reads its address from its first line.
async fn start_standin(command: &mut Command) -> anyhow::Result<Standin> {
    let mut process = Process::start(command, None)?;
    let child = process.child();
    let input = child.stdin.take().context("the stand-in has no input")?;
    let output = child.stdout.take().context("the stand-in has no output")?;
    let mut lines = BufReader::new(output).lines();
    let first = lines
        .next_line()
        .await?
        .context("the stand-in ended without printing its address")?;
    let address = first
        .parse()
        .with_context(|| format!("invalid address `{first}` from the stand-in"))?;
    Ok((process, input, lines, address))
}

async fn forward_lines(mut output: Lines<BufReader<ChildStdout>>, lines: UnboundedSender<ServerLine>) {
    while let Ok(Some(text)) = output.next_line().await {
        // A line truncated by a kill belongs to a request that got no answer.
        if let Ok(line) = serde_json::from_str(&text)
            && lines.send(line).is_err()
        {
            return;
        }
    }
}
