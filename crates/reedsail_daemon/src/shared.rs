//! The state that all threads of a daemon share.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use arc_swap::ArcSwap;
use reedsail_core::Directory;
use reedsail_core::NameHash;
use reedsail_core::WorkspaceKey;
use reedsail_events::EventLog;
use reedsail_net::ByteCounter;
use reedsail_net::Clock;
use reedsail_net::NetGate;
use reedsail_net::UnwrittenResponses;
use reedsail_scheduling::RateLimit;
use reedsail_scheduling::SharePolicy;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::mpsc;

use crate::claims::ClaimJob;
use crate::metrics::Metrics;
use crate::settings::Settings;
use crate::stage::StageCell;
use crate::view::View;

/// Counters of the bytes of control traffic, by kind. Bytes of requests and answers are not counted.
#[derive(Clone, Debug, Default)]
pub(crate) struct ControlBytes {
    /// Calls to other daemons.
    pub(crate) peer_calls: ByteCounter,
    /// Calls from other daemons.
    pub(crate) peer_served: ByteCounter,
    /// Reads of the bundle stream and the instance list, and appended checkpoints.
    pub(crate) platform: ByteCounter,
    /// Reads and appends of claim streams.
    pub(crate) claims: ByteCounter,
}

impl ControlBytes {
    pub(crate) fn kinds(&self) -> [(&'static str, &ByteCounter); 4] {
        [
            ("peer_calls", &self.peer_calls),
            ("peer_served", &self.peer_served),
            ("platform", &self.platform),
            ("claims", &self.claims),
        ]
    }
}

/// The state that all threads share. Each field has its own lock or needs none.
#[derive(Debug)]
pub(crate) struct Shared<P: SharePolicy> {
    pub(crate) settings: Settings,
    pub(crate) policy: P,
    pub(crate) clock: Clock,
    pub(crate) events: EventLog,
    pub(crate) metrics: Metrics,
    pub(crate) gate: NetGate,
    pub(crate) bytes: ControlBytes,
    pub(crate) directory: ArcSwap<Directory>,
    pub(crate) view: ArcSwap<View<P>>,
    pub(crate) stage: StageCell,
    pub(crate) open_requests: AtomicUsize,
    /// The connections of callers with an answer that is not yet written to the socket.
    pub(crate) unwritten_responses: UnwrittenResponses,
    pub(crate) claim_jobs: mpsc::Sender<ClaimJob>,
    pub(crate) incarnation: u32,
    pub(crate) digest_in_force: Mutex<String>,
    rate_limits: Mutex<HashMap<WorkspaceKey, RateLimit>>,
}

impl<P: SharePolicy> Shared<P> {
    pub(crate) fn new(
        settings: Settings,
        policy: P,
        gate: NetGate,
        claim_jobs: mpsc::Sender<ClaimJob>,
    ) -> Self {
        Self {
            events: EventLog::new(&settings.instance, settings.timeline.kept_max),
            settings,
            policy,
            clock: Clock::default(),
            metrics: Metrics::new(),
            gate,
            bytes: ControlBytes::default(),
            directory: ArcSwap::default(),
            view: ArcSwap::from_pointee(View::default()),
            stage: StageCell::default(),
            open_requests: AtomicUsize::new(0),
            unwritten_responses: UnwrittenResponses::default(),
            claim_jobs,
            incarnation: rand::random::<u32>().max(1),
            digest_in_force: Mutex::default(),
            rate_limits: Mutex::default(),
        }
    }

    pub(crate) fn with_directory<T>(&self, operation: impl FnOnce(&Directory) -> T) -> T {
        operation(&self.directory.load())
    }

    /// Takes one request from a workspace's rate limit. If the limit is reached, returns the delay until the
    /// next request in milliseconds as the error.
    pub(crate) fn take_rate_token(&self, workspace: WorkspaceKey, per_s: f64) -> Result<(), u64> {
        let now = self.clock.now();
        let mut rate_limits = self.rate_limits.lock().unwrap_or_else(PoisonError::into_inner);
        let limit = rate_limits
            .entry(workspace)
            .or_insert_with(|| RateLimit::new(per_s, per_s.max(1.0), now));
        limit.set_rate(per_s);
        limit.take(1.0, now)
    }

    /// Returns the number of queued requests of a workspace at a service, or 0 if either is unknown.
    pub(crate) fn queued(&self, service: &str, workspace: &str) -> u32 {
        let view = self.view.load();
        let key = self.with_directory(|directory| directory.workspaces.find(NameHash::of(workspace)));
        let found = view.services().find(|(_, candidate)| candidate.name == service);
        match (found, key) {
            (Some((_, found)), Some(key)) => found.cell.lock().queue().queued_of(key),
            _ => 0,
        }
    }

    /// Returns the numbers of leased slots and of slots in use of a service, or zeros if it is unknown.
    pub(crate) fn slot_counts(&self, service: &str) -> (u32, u32) {
        let view = self.view.load();
        let found = view.services().find(|(_, candidate)| candidate.name == service);
        found.map_or((0, 0), |(_, found)| found.cell.lock().slot_counts())
    }

    /// Returns whether a request is open, or an answer is not yet written.
    pub(crate) fn has_unfinished_requests(&self) -> bool {
        self.open_requests.load(Ordering::Acquire) > 0 || self.unwritten_responses.count() > 0
    }

    /// Counts a request as open until the returned guard is dropped.
    pub(crate) fn open_request(self: &Arc<Self>) -> OpenRequest<P> {
        self.open_requests.fetch_add(1, Ordering::AcqRel);
        OpenRequest(Arc::clone(self))
    }

    pub(crate) fn status(&self, members: usize, alive_daemons: usize) -> Status {
        let view = self.view.load();
        let services = view
            .services()
            .map(|(_, service)| {
                let scheduler = service.cell.lock();
                let (leased, in_use) = scheduler.slot_counts();
                ServiceStatus {
                    name: service.name.clone(),
                    queued: scheduler.queue().queued(),
                    slots_leased: leased,
                    slots_in_use: in_use,
                }
            })
            .collect();
        Status {
            instance: self.settings.instance.clone(),
            failure_domain: self.settings.failure_domain.clone(),
            stage: self.stage.get().name().to_owned(),
            bundle_version: view.version,
            bundle_digest: self
                .digest_in_force
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .clone(),
            open_requests: self.open_requests.load(Ordering::Acquire),
            members,
            alive_daemons,
            services,
        }
    }
}

/// Guard that counts an open request. A graceful stop waits until all guards are dropped.
#[derive(Debug)]
pub(crate) struct OpenRequest<P: SharePolicy>(Arc<Shared<P>>);

impl<P: SharePolicy> Drop for OpenRequest<P> {
    fn drop(&mut self) {
        self.0.open_requests.fetch_sub(1, Ordering::AcqRel);
    }
}

/// The status of one daemon, as `reedsail fleet status` shows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The name of the instance.
    pub instance: String,
    /// Its failure domain.
    pub failure_domain: String,
    /// The name of its stage.
    pub stage: String,
    /// The version of the bundle in force.
    pub bundle_version: u32,
    /// The digest of the bundle's content.
    pub bundle_digest: String,
    /// The number of open requests.
    pub open_requests: usize,
    /// The number of members to which it leases slots.
    pub members: usize,
    /// The number of daemons that it considers alive, including itself.
    pub alive_daemons: usize,
    /// The status of each service.
    pub services: Vec<ServiceStatus>,
}

/// The status of one service on one daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// The name of the service.
    pub name: String,
    /// The number of queued requests.
    pub queued: u32,
    /// The number of slots leased to the daemon.
    pub slots_leased: u32,
    /// The number of slots in use.
    pub slots_in_use: u32,
}
