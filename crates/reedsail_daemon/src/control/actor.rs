//! The control actor: its state and its message handlers.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;

use reedsail_bundle::BundleFollower;
use reedsail_core::NameHash;
use reedsail_core::ServiceKey;
use reedsail_core::TimeMs;
use reedsail_scheduling::Allocator;
use reedsail_scheduling::BytePacer;
use reedsail_scheduling::Membership;
use reedsail_scheduling::SharePolicy;
use reedsail_wire::Grant;
use tokio::sync::mpsc;
use tokio::sync::watch;
use xtra::Actor;
use xtra::Context;
use xtra::Handler;

use super::messages::BeginStop;
use super::messages::BundleFetched;
use super::messages::CheckpointDone;
use super::messages::ExchangeDone;
use super::messages::InstancesChanged;
use super::messages::LinkAction;
use super::messages::LogReachable;
use super::messages::LogRead;
use super::messages::PeerAddress;
use super::messages::PeerReport;
use super::messages::ReadBundle;
use super::messages::ReadContent;
use super::messages::ReadStatus;
use super::messages::Tick;
use super::report_plan::Assignment;
use super::report_plan::PeerSchedule;
use super::report_plan::ReportPlan;
use crate::Settings;
use crate::shared::Shared;
use crate::shared::Status;

/// The control state of one daemon.
#[allow(
    clippy::struct_excessive_bools,
    reason = "the flags are independent of each other, not the states of one state machine"
)]
pub(crate) struct Control<P: SharePolicy> {
    pub(super) shared: Arc<Shared<P>>,
    pub(super) own_name: NameHash,
    pub(super) own_domain: NameHash,
    pub(super) actions: mpsc::UnboundedSender<LinkAction>,
    pub(super) domain_daemons: watch::Sender<Vec<PeerAddress>>,
    pub(super) follower: BundleFollower,
    /// When the first bundle was put in force on this daemon.
    pub(super) applied_at: Option<TimeMs>,
    pub(super) is_log_caught_up: bool,
    pub(super) is_log_reachable: bool,
    pub(super) log_lost_at: Option<TimeMs>,
    /// When the log last confirmed the version in force, by the log's clock.
    pub(super) in_force_seen_unix_ms: u64,
    pub(super) is_checkpoint_pending: bool,
    /// When this daemon noticed that the log dropped records before it read them.
    pub(super) log_gap_since: Option<TimeMs>,
    /// The peer that has a newer version of the bundle, and when this daemon noticed.
    pub(super) newer_version_at_peer: Option<(TimeMs, NameHash)>,
    pub(super) membership: Membership,
    pub(super) servers_leaving: HashSet<NameHash>,
    pub(super) advertised_departures: HashMap<NameHash, TimeMs>,
    pub(super) allocators: HashMap<ServiceKey, Allocator>,
    pub(super) assignments: HashMap<ServiceKey, Assignment>,
    pub(super) domain_assignments: HashMap<(ServiceKey, NameHash), Assignment>,
    pub(super) peers: HashMap<NameHash, PeerSchedule>,
    pub(super) plans: HashMap<NameHash, ReportPlan>,
    pub(super) planned_at: Option<TimeMs>,
    pub(super) pacer: BytePacer,
    pub(super) exchanges: u64,
    pub(super) paced_at: TimeMs,
    pub(super) paced_bytes: u64,
    pub(super) paced_exchanges: u64,
    pub(super) ticks: u64,
    pub(super) is_stopping: bool,
}

impl<P: SharePolicy> Control<P> {
    pub(crate) fn new(
        shared: Arc<Shared<P>>,
        actions: mpsc::UnboundedSender<LinkAction>,
        domain_daemons: watch::Sender<Vec<PeerAddress>>,
    ) -> Self {
        let settings = &shared.settings;
        let membership = peers_from_settings(settings);
        Self {
            own_name: NameHash::of(&settings.instance),
            own_domain: NameHash::of(&settings.failure_domain),
            follower: BundleFollower::new(settings.trusted_keys.clone()),
            pacer: BytePacer::new(settings.control.budget_bytes_per_s as f64),
            actions,
            domain_daemons,
            applied_at: None,
            is_log_caught_up: false,
            is_log_reachable: true,
            log_lost_at: None,
            in_force_seen_unix_ms: 0,
            is_checkpoint_pending: false,
            log_gap_since: None,
            newer_version_at_peer: None,
            membership,
            servers_leaving: HashSet::new(),
            advertised_departures: HashMap::new(),
            allocators: HashMap::new(),
            assignments: HashMap::new(),
            domain_assignments: HashMap::new(),
            peers: HashMap::new(),
            plans: HashMap::new(),
            planned_at: None,
            exchanges: 0,
            paced_at: shared.clock.now(),
            paced_bytes: 0,
            paced_exchanges: 0,
            ticks: 0,
            is_stopping: false,
            shared,
        }
    }
}

/// Returns the peers that the settings name, which are used until the platform's list is known.
fn peers_from_settings(settings: &Settings) -> Membership {
    let mut membership = Membership::default();
    let others = settings
        .peers
        .iter()
        .filter(|peer| peer.instance != settings.instance);
    for peer in others {
        let address = peer.address.to_string();
        membership.list(&peer.instance, &peer.failure_domain, &address, false);
    }
    membership
}

impl<P: SharePolicy> Actor for Control<P> {
    type Stop = ();

    async fn stopped(self) {}
}

impl<P: SharePolicy> Handler<Tick> for Control<P> {
    type Return = ();

    async fn handle(&mut self, _tick: Tick, _context: &mut Context<Self>) {
        self.tick();
    }
}

impl<P: SharePolicy> Handler<PeerReport> for Control<P> {
    type Return = Grant;

    async fn handle(&mut self, report: PeerReport, _context: &mut Context<Self>) -> Grant {
        self.answer_report(&report.0)
    }
}

impl<P: SharePolicy> Handler<ExchangeDone> for Control<P> {
    type Return = ();

    async fn handle(&mut self, done: ExchangeDone, _context: &mut Context<Self>) {
        self.finish_exchange(done);
    }
}

impl<P: SharePolicy> Handler<LogRead> for Control<P> {
    type Return = u64;

    /// Returns the offset of the next read.
    async fn handle(&mut self, read: LogRead, _context: &mut Context<Self>) -> u64 {
        self.follow_log(&read.0)
    }
}

impl<P: SharePolicy> Handler<LogReachable> for Control<P> {
    type Return = ();

    async fn handle(&mut self, reachable: LogReachable, _context: &mut Context<Self>) {
        self.note_log_reachable(reachable.0);
    }
}

impl<P: SharePolicy> Handler<CheckpointDone> for Control<P> {
    type Return = ();

    async fn handle(&mut self, done: CheckpointDone, _context: &mut Context<Self>) {
        self.finish_checkpoint(done.0);
    }
}

impl<P: SharePolicy> Handler<InstancesChanged> for Control<P> {
    type Return = ();

    async fn handle(&mut self, changed: InstancesChanged, _context: &mut Context<Self>) {
        self.apply_instance_list(&changed.0);
    }
}

impl<P: SharePolicy> Handler<BundleFetched> for Control<P> {
    type Return = ();

    async fn handle(&mut self, fetched: BundleFetched, _context: &mut Context<Self>) {
        self.apply_peer_bundle(&fetched.0);
    }
}

impl<P: SharePolicy> Handler<ReadBundle> for Control<P> {
    type Return = Option<(u32, Vec<u8>)>;

    async fn handle(&mut self, _read: ReadBundle, _context: &mut Context<Self>) -> Self::Return {
        // A daemon that missed records of the log must not vouch for its version.
        if !self.follower.is_sure() {
            return None;
        }
        let version = self.follower.in_force()?.version;
        Some((version, self.follower.checkpoint()?.to_bytes()))
    }
}

impl<P: SharePolicy> Handler<ReadContent> for Control<P> {
    type Return = Option<String>;

    async fn handle(&mut self, _read: ReadContent, _context: &mut Context<Self>) -> Self::Return {
        self.follower.content().map(ToOwned::to_owned)
    }
}

impl<P: SharePolicy> Handler<ReadStatus> for Control<P> {
    type Return = Status;

    async fn handle(&mut self, _read: ReadStatus, _context: &mut Context<Self>) -> Status {
        let members = self.allocators.values().map(Allocator::member_count).sum();
        let alive = self.membership.alive(None, self.shared.clock.now()).len() + 1;
        self.shared.status(members, alive)
    }
}

impl<P: SharePolicy> Handler<BeginStop> for Control<P> {
    type Return = ();

    async fn handle(&mut self, _stop: BeginStop, _context: &mut Context<Self>) {
        self.begin_stop();
    }
}
