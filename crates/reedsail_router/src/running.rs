//! Starts a router's threads and stops them.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context as _;
use reedsail_core::BuildInfo;
use reedsail_events::EventKind;
use reedsail_net::Clock;
use reedsail_net::Workers;
use reedsail_net::listen_on;
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::HeaderProtocol;
use crate::ListenAddresses;
use crate::OperatorSource;
use crate::QuarantineStore;
use crate::RouterSettings;
use crate::ServerSource;
use crate::Sources;
use crate::control::ControlThread;
use crate::control::run_control;
use crate::shared::Shared;
use crate::traffic::TrafficThread;
use crate::traffic::run_traffic;

/// Interval at which a stopping router checks for open requests, in milliseconds.
const STOP_POLL_MS: u64 = 20;

/// Maximum number of ports to try if the settings allow any port.
const PORT_ATTEMPTS_MAX: u32 = 20;

/// The addresses on which a router listens, with the actual ports in place of port 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouterAddresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For the balancer.
    pub readiness: SocketAddr,
    /// For metrics.
    pub admin: SocketAddr,
    /// For peers.
    pub peers: SocketAddr,
}

/// A running router.
#[derive(Debug)]
pub struct RunningRouter<H> {
    shared: Arc<Shared<H>>,
    addresses: RouterAddresses,
    seeds: mpsc::Sender<Vec<SocketAddr>>,
    workers: Workers,
}

impl<H: HeaderProtocol> RunningRouter<H> {
    /// Starts a router, which logs and shows `build`. `make_sources` runs on the control thread.
    ///
    /// # Errors
    /// Returns an error that names the address that cannot be bound, or the thread that cannot be started.
    pub fn start<C, S, Q>(
        build: BuildInfo,
        settings: RouterSettings,
        protocol: H,
        make_sources: impl FnOnce() -> Sources<C, S, Q> + Send + 'static,
    ) -> anyhow::Result<Self>
    where
        C: OperatorSource,
        S: ServerSource,
        Q: QuarantineStore,
    {
        Self::start_at(Clock::default(), build, settings, protocol, make_sources)
    }

    /// Starts a router that uses the given clock for all time measurements.
    ///
    /// # Errors
    /// Returns the same errors as [`RunningRouter::start`].
    pub fn start_at<C, S, Q>(
        clock: Clock,
        build: BuildInfo,
        settings: RouterSettings,
        protocol: H,
        make_sources: impl FnOnce() -> Sources<C, S, Q> + Send + 'static,
    ) -> anyhow::Result<Self>
    where
        C: OperatorSource,
        S: ServerSource,
        Q: QuarantineStore,
    {
        let listeners = Listeners::bind(&settings.listen)?;
        let addresses = listeners.addresses()?;
        let sending_socket = listeners.peer_socket.try_clone()?;
        let shared = Arc::new(Shared::new(clock, build, settings, protocol, sending_socket));
        let fields = [
            ("failure_domain", shared.settings.failure_domain.clone()),
            ("callers", addresses.callers.to_string()),
            ("peers", addresses.peers.to_string()),
            ("version", build.version.to_owned()),
            ("sources", build.sources.to_owned()),
        ];
        shared.emit(EventKind::InstanceStarted, &fields);
        let (seeds, seeds_receiver) = mpsc::channel(1);
        let traffic = TrafficThread {
            shared: Arc::clone(&shared),
            listener: listeners.callers,
        };
        let control_shared = Arc::clone(&shared);
        let control = move || {
            run_control(ControlThread {
                shared: control_shared,
                sources: make_sources(),
                peer_socket: listeners.peer_socket,
                http_listeners: vec![listeners.readiness, listeners.admin, listeners.peers],
                seeds: seeds_receiver,
            })
        };
        let mut workers = Workers::default();
        workers.start("traffic", || run_traffic(traffic))?;
        workers.start("control", control)?;
        Ok(Self {
            shared,
            addresses,
            seeds,
            workers,
        })
    }

    /// Returns the addresses on which the router listens.
    pub fn addresses(&self) -> RouterAddresses {
        self.addresses
    }

    /// Returns the version of the configuration in force, or zero if there is none.
    pub fn configuration_version(&self) -> u64 {
        self.shared.routes.load().version()
    }

    /// Applies the seeds of reloaded settings; changes of all other settings need a restart.
    pub async fn reload(&self, settings: &RouterSettings) {
        let before = &self.shared.settings;
        let with_old_seeds = RouterSettings {
            seeds: before.seeds.clone(),
            ..settings.clone()
        };
        let needs_restart = with_old_seeds != *before;
        // The receiver ends only with the control thread.
        let _ = self.seeds.send(settings.seeds.clone()).await;
        let fields = [
            ("seeds", settings.seeds.len().to_string()),
            ("needs_restart", needs_restart.to_string()),
        ];
        self.shared.emit(EventKind::SettingsReloaded, &fields);
    }

    /// Logs that the settings could not be reloaded; the old settings stay in force.
    pub fn report_invalid_settings(&self, fault: &str) {
        let fields = [("fault", fault.to_owned())];
        self.shared.emit(EventKind::SettingsReloaded, &fields);
    }

    /// Performs a planned stop, which first finishes every accepted request and writes its response. Returns whether all
    /// requests finished.
    pub async fn close(self) -> bool {
        let shared = &self.shared;
        let stop = shared.settings.stop;
        let now = shared.clock.now();
        let accept_until = now.plus_ms(stop.accept_ms);
        let end_at = now.plus_ms(stop.end_ms);
        shared.shutdown.begin(now, accept_until, end_at);
        shared.emit(EventKind::StopBegun, &[]);
        let has_finished = loop {
            let now = shared.clock.now();
            let open = shared.metrics.open_requests.get();
            let unwritten = shared.unwritten_responses.count();
            if now >= accept_until && open <= 0 && unwritten == 0 {
                shared.emit(EventKind::StopEnded, &[]);
                break true;
            }
            if now >= end_at {
                let fields = [("open", open.to_string()), ("unwritten", unwritten.to_string())];
                shared.emit(EventKind::StopCut, &fields);
                break false;
            }
            sleep(Duration::from_millis(STOP_POLL_MS)).await;
        };
        self.workers.close();
        has_finished
    }

    /// Ends immediately, like a crash.
    pub fn kill(self) {
        self.workers.close();
    }
}

/// The sockets of a router. They are bound before the threads start, so that a port that is in use is reported at once.
struct Listeners {
    callers: TcpListener,
    readiness: TcpListener,
    admin: TcpListener,
    peer_socket: UdpSocket,
    peers: TcpListener,
}

impl Listeners {
    fn bind(listen: &ListenAddresses) -> anyhow::Result<Self> {
        let callers = listen_on(listen.callers)?;
        let readiness = listen_on(listen.readiness)?;
        let admin = listen_on(listen.admin)?;
        let (peer_socket, peers) = bind_peers(listen.peers)?;
        Ok(Self {
            callers,
            readiness,
            admin,
            peer_socket,
            peers,
        })
    }

    fn addresses(&self) -> anyhow::Result<RouterAddresses> {
        Ok(RouterAddresses {
            callers: self.callers.local_addr()?,
            readiness: self.readiness.local_addr()?,
            admin: self.admin.local_addr()?,
            peers: self.peers.local_addr()?,
        })
    }
}

/// Binds one port for both UDP and TCP. If the address has port 0, a port that is free for UDP may be in use for TCP;
/// another port is tried then.
fn bind_peers(address: SocketAddr) -> anyhow::Result<(UdpSocket, TcpListener)> {
    let mut attempts_left = if address.port() == 0 { PORT_ATTEMPTS_MAX } else { 1 };
    loop {
        let socket = UdpSocket::bind(address)
            .with_context(|| format!("cannot bind UDP to {address}; free the port or change the setting"))?;
        socket.set_nonblocking(true)?;
        attempts_left -= 1;
        match listen_on(socket.local_addr()?) {
            Ok(listener) => return Ok((socket, listener)),
            Err(error) if attempts_left == 0 => return Err(error),
            Err(_) => {}
        }
    }
}
