//! A daemon that runs inside the calling process, which is `reedsaild`, a test or the benchmark.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context as _;
use reedsail_events::Event;
use reedsail_events::EventKind;
use reedsail_net::NetGate;
use reedsail_net::Workers;
use reedsail_net::listen_on;
use reedsail_scheduling::FifoPolicy;
use reedsail_scheduling::FleetPolicy;
use reedsail_scheduling::SharePolicy;
use reedsail_scheduling::SplitPolicy;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep;
use xtra::Address;

use crate::BUILD;
use crate::control::BeginStop;
use crate::control::Control;
use crate::control::ControlThread;
use crate::control::run_control;
use crate::settings::PolicyChoice;
use crate::settings::Settings;
use crate::shared::Shared;
use crate::stage::Stage;
use crate::traffic::TrafficThread;
use crate::traffic::run_traffic;

/// The maximum number of claims queued for the control thread.
const CLAIM_JOBS_MAX: usize = 8_192;
/// The interval at which a stopping daemon checks for open requests.
const STOP_POLL_MS: u64 = 20;

/// Options that tests and the benchmark set besides the settings.
#[derive(Clone, Debug, Default)]
pub struct DaemonOptions {
    /// Simulates network partitions between the daemon and other processes.
    pub gate: NetGate,
}

/// The addresses that a daemon listens on, with the actual ports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DaemonAddresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For other daemons.
    pub peers: SocketAddr,
    /// For health, metrics and the event timeline.
    pub admin: SocketAddr,
}

/// A handle to a daemon with any policy.
#[derive(Debug)]
pub struct RunningDaemon {
    instance: String,
    addresses: DaemonAddresses,
    policy_handle: PolicyHandle,
    workers: Workers,
}

/// The handle of each policy.
#[derive(Debug)]
enum PolicyHandle {
    Fifo(Handle<FifoPolicy>),
    Split(Handle<SplitPolicy>),
    Fleet(Handle<FleetPolicy>),
}

struct Handle<P: SharePolicy> {
    shared: Arc<Shared<P>>,
    control: Address<Control<P>>,
    stage_changed: watch::Sender<Stage>,
}

impl<P: SharePolicy> std::fmt::Debug for Handle<P> {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("Handle")
            .field("instance", &self.shared.settings.instance)
            .finish_non_exhaustive()
    }
}

macro_rules! with_handle {
    ($policy_handle:expr, $handle:ident => $body:expr) => {
        match $policy_handle {
            PolicyHandle::Fifo($handle) => $body,
            PolicyHandle::Split($handle) => $body,
            PolicyHandle::Fleet($handle) => $body,
        }
    };
}

impl RunningDaemon {
    /// Starts a daemon.
    ///
    /// # Errors
    /// Returns an error if an address cannot be listened on or a thread cannot be started, and names it.
    pub async fn start(settings: Settings, options: DaemonOptions) -> anyhow::Result<Self> {
        let instance = settings.instance.clone();
        let (policy_handle, addresses, workers) = match settings.policy {
            PolicyChoice::Fifo => {
                let (handle, addresses, workers) = launch(settings, FifoPolicy, options).await?;
                (PolicyHandle::Fifo(handle), addresses, workers)
            }
            PolicyChoice::Split { daemons } => {
                let policy = SplitPolicy { instances: daemons };
                let (handle, addresses, workers) = launch(settings, policy, options).await?;
                (PolicyHandle::Split(handle), addresses, workers)
            }
            PolicyChoice::Fleet => {
                let (handle, addresses, workers) = launch(settings, FleetPolicy, options).await?;
                (PolicyHandle::Fleet(handle), addresses, workers)
            }
        };
        Ok(Self {
            instance,
            addresses,
            policy_handle,
            workers,
        })
    }

    /// Returns the instance's name.
    pub fn instance(&self) -> &str {
        &self.instance
    }

    /// Returns the addresses that the daemon listens on.
    pub fn addresses(&self) -> DaemonAddresses {
        self.addresses
    }

    /// Returns the stage.
    pub fn stage(&self) -> Stage {
        with_handle!(&self.policy_handle, handle => handle.shared.stage.get())
    }

    /// Returns the version of the bundle in force, or zero if there is none.
    pub fn bundle_version(&self) -> u32 {
        with_handle!(&self.policy_handle, handle => handle.shared.view.load().version)
    }

    /// Returns the number of requests of a workspace that are queued for a service.
    pub fn queued(&self, service: &str, workspace: &str) -> u32 {
        with_handle!(&self.policy_handle, handle => handle.shared.queued(service, workspace))
    }

    /// Returns the numbers of slots leased and in use for a service.
    pub fn slot_counts(&self, service: &str) -> (u32, u32) {
        with_handle!(&self.policy_handle, handle => handle.shared.slot_counts(service))
    }

    /// Returns the control bytes sent and received so far: those between daemons, and the total.
    /// Bytes of requests and answers are not counted.
    pub fn control_bytes(&self) -> (u64, u64) {
        with_handle!(&self.policy_handle, handle => {
            let bytes = &handle.shared.bytes;
            let peers = bytes.peer_calls.total_bytes() + bytes.peer_served.total_bytes();
            (peers, peers + bytes.platform.total_bytes() + bytes.claims.total_bytes())
        })
    }

    /// Returns the events in the timeline.
    pub fn events(&self) -> Vec<Event> {
        with_handle!(&self.policy_handle, handle => handle.shared.events.kept())
    }

    /// Returns the number of open requests.
    pub fn open_requests(&self) -> usize {
        with_handle!(&self.policy_handle, handle => {
            handle.shared.open_requests.load(std::sync::atomic::Ordering::Acquire)
        })
    }

    /// Stops gracefully after open requests have finished. Returns whether all of them finished in time.
    pub async fn close(self) -> bool {
        let finished = with_handle!(&self.policy_handle, handle => stop_gracefully(handle).await);
        self.workers.close();
        finished
    }

    /// Stops immediately, to simulate a crash.
    pub fn kill(self) {
        self.workers.close();
    }
}

async fn launch<P: SharePolicy>(
    settings: Settings,
    policy: P,
    options: DaemonOptions,
) -> anyhow::Result<(Handle<P>, DaemonAddresses, Workers)> {
    let callers = listen_on(settings.listen.callers)?;
    let peers = listen_on(settings.listen.peers)?;
    let admin = listen_on(settings.listen.admin)?;
    let addresses = DaemonAddresses {
        callers: callers.local_addr()?,
        peers: peers.local_addr()?,
        admin: admin.local_addr()?,
    };
    let traffic_threads = settings.traffic_threads;
    let (claim_jobs, claim_queue) = mpsc::channel(CLAIM_JOBS_MAX);
    let shared = Arc::new(Shared::new(settings, policy, options.gate, claim_jobs));
    let domain = shared.settings.failure_domain.as_str();
    let fields = [
        ("failure_domain", domain),
        ("version", BUILD.version),
        ("sources", BUILD.sources),
    ];
    shared.events.emit(EventKind::InstanceStarted, &fields);
    let (stage_changed, stage_watch) = watch::channel(Stage::Starting);
    let mut workers = Workers::default();
    for index in 0..traffic_threads {
        let thread = TrafficThread {
            shared: Arc::clone(&shared),
            listener: callers
                .try_clone()
                .context("cannot share the listener for callers with a traffic thread")?,
            stage_changed: stage_watch.clone(),
        };
        workers.start(&format!("traffic-{index}"), || run_traffic(thread))?;
    }
    let (started, control) = oneshot::channel();
    let thread = ControlThread {
        shared: Arc::clone(&shared),
        peer_listener: peers,
        admin_listener: admin,
        claim_jobs: claim_queue,
        started,
    };
    workers.start("control", || run_control(thread))?;
    let control = control.await.context("the control thread ended during startup")?;
    let handle = Handle {
        shared,
        control,
        stage_changed,
    };
    Ok((handle, addresses, workers))
}

/// Hands over allocator duties, waits until the load balancer has noticed, then waits for open requests.
async fn stop_gracefully<P: SharePolicy>(handle: &Handle<P>) -> bool {
    let shared = &handle.shared;
    let limits = &shared.settings.limits;
    shared.stage.advance(Stage::Draining);
    shared.events.emit(EventKind::StopBegun, &[]);
    // The actor runs until the daemon stops, so the send succeeds.
    let _ = handle.control.send(BeginStop).await;
    let deadline = Instant::now() + Duration::from_millis(limits.stop_max_ms);
    sleep(Duration::from_millis(limits.stop_notice_ms)).await;
    shared.stage.advance(Stage::Closing);
    handle.stage_changed.send_replace(Stage::Closing);
    while shared.has_unfinished_requests() {
        if Instant::now() >= deadline {
            shared.events.emit(EventKind::StopCut, &[]);
            return false;
        }
        sleep(Duration::from_millis(STOP_POLL_MS)).await;
    }
    shared.events.emit(EventKind::StopEnded, &[]);
    true
}
