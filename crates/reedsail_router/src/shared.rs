//! State that all threads of a router share. Each field has its own lock or needs none.
//!
//! The control thread owns `routes` and `servers`, the traffic thread `overload` and `connections`. Both use the
//! dispatcher, whose lock is held for microseconds.

use std::net::UdpSocket;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use arc_swap::ArcSwap;
use rand::Rng;
use reedsail_core::BuildInfo;
use reedsail_core::NameHash;
use reedsail_core::TimeMs;
use reedsail_dispatch::BodyMemory;
use reedsail_dispatch::CLOSE_ONE_IN;
use reedsail_dispatch::Dispatcher;
use reedsail_dispatch::OverloadMonitor;
use reedsail_dispatch::Shutdown;
use reedsail_events::EventKind;
use reedsail_events::EventLog;
use reedsail_net::Clock;
use reedsail_net::UnwrittenResponses;
use tokio::sync::Notify;

use crate::RouterSettings;
use crate::metrics::Metrics;
use crate::route_table::RouteTable;
use crate::server_views::ServerViews;
use crate::stream_exchange::StreamExchange;

/// State shared by all threads.
#[derive(Debug)]
pub(crate) struct Shared<H> {
    pub(crate) settings: RouterSettings,
    pub(crate) protocol: H,
    pub(crate) clock: Clock,
    pub(crate) events: EventLog,
    pub(crate) metrics: Metrics,
    pub(crate) shutdown: Shutdown,
    pub(crate) overload: OverloadMonitor,
    /// The account of the bytes of bodies.
    pub(crate) body_memory: BodyMemory,
    /// The connections of callers with a response that is not yet written to the socket.
    pub(crate) unwritten_responses: UnwrittenResponses,
    /// The number of open connections from callers.
    pub(crate) connections: AtomicUsize,
    pub(crate) routes: ArcSwap<RouteTable>,
    pub(crate) servers: ServerViews,
    pub(crate) streams: StreamExchange,
    /// Wakes the control thread to send a message to peers immediately.
    pub(crate) peer_send_requested: Notify,
    /// Wakes the traffic thread to check a server after a connection to it broke.
    pub(crate) connection_failed: Notify,
    /// The mean time at which the known load of other instances was measured. Zero while each instance reports its load
    /// to this one directly.
    load_known_at: AtomicU64,
    dispatcher: Mutex<Dispatcher>,
}

impl<H> Shared<H> {
    /// Creates the state. `peer_socket` is the socket on which peers' messages arrive.
    pub(crate) fn new(
        clock: Clock,
        build: BuildInfo,
        settings: RouterSettings,
        protocol: H,
        peer_socket: UdpSocket,
    ) -> Self {
        let own_domain = NameHash::of(&settings.failure_domain);
        let mut dispatcher = Dispatcher::new(settings.dispatch, own_domain);
        dispatcher.set_region(settings.region_of(&settings.failure_domain));
        let metrics = Metrics::new(build);
        Self {
            events: EventLog::bounded(&settings.instance, 0, settings.log_lines_per_s),
            dispatcher: Mutex::new(dispatcher),
            body_memory: BodyMemory::new(settings.body_memory_mb),
            settings,
            protocol,
            clock,
            streams: StreamExchange::new(peer_socket, metrics.versions.messages.clone()),
            metrics,
            shutdown: Shutdown::default(),
            overload: OverloadMonitor::default(),
            unwritten_responses: UnwrittenResponses::default(),
            connections: AtomicUsize::new(0),
            routes: ArcSwap::default(),
            servers: ServerViews::default(),
            peer_send_requested: Notify::new(),
            connection_failed: Notify::new(),
            load_known_at: AtomicU64::new(0),
        }
    }

    /// Sets the mean time at which the known load of other instances was measured.
    pub(crate) fn set_load_known_at(&self, known_at: Option<TimeMs>) {
        let known_at = known_at.map_or(0, |known_at| known_at.0.max(1));
        self.load_known_at.store(known_at, Ordering::Relaxed);
    }

    /// Returns the mean age of the known load of other instances, in milliseconds, or `None` while each instance
    /// reports its load to this one directly.
    pub(crate) fn load_age_ms(&self) -> Option<u64> {
        let known_at = self.load_known_at.load(Ordering::Relaxed);
        (known_at > 0).then(|| self.clock.now().since_ms(TimeMs(known_at)))
    }

    /// Locks the dispatcher. The lock is never held across an await.
    pub(crate) fn dispatcher(&self) -> MutexGuard<'_, Dispatcher> {
        self.dispatcher.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Logs an event.
    pub(crate) fn emit(&self, kind: EventKind, fields: &[(&str, String)]) {
        let fields: Vec<(&str, &str)> = fields
            .iter()
            .map(|(name, value)| (*name, value.as_str()))
            .collect();
        self.events.emit(kind, &fields);
    }

    /// Logs an event. The fields are computed only if the rate limit of the log doesn't drop it.
    pub(crate) fn emit_with(&self, kind: EventKind, fields: impl FnOnce() -> Vec<(&'static str, String)>) {
        self.events.emit_with(kind, || {
            let fields = fields().into_iter();
            fields.map(|(name, value)| (name.to_owned(), value)).collect()
        });
    }

    /// Returns whether a connection should close after its next response: always while the instance stops or has more
    /// open connections than its memory allows, and for one in [`CLOSE_ONE_IN`] responses while it sheds callers.
    pub(crate) fn should_close_connection(&self) -> bool {
        self.shutdown.has_begun()
            || (self.overload.sheds_callers() && rand::rng().random_ratio(1, CLOSE_ONE_IN))
            || self.connections.load(Ordering::Relaxed) as u64 > self.settings.connections_max()
    }

    /// Returns whether the load balancer may send new connections.
    pub(crate) fn is_ready(&self) -> bool {
        !self.shutdown.has_begun()
            && self.overload.is_ready(self.clock.now())
            && self.routes.load().version() > 0
            && !self.servers.is_empty()
    }
}
