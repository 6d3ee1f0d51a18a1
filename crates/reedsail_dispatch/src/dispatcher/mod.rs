//! The facade of all request decisions. It owns their state and has no rule of its own.
//!
//! Each method calls the modules whose rules it needs; the crate's documentation lists them. The caller
//! passes the time and reports every outcome: nothing here waits or sends. `decide` has the decision about a request, and
//! `attempts` the life of an attempt.

mod attempts;
mod decide;

use std::collections::HashMap;
use std::collections::HashSet;

use reedsail_core::NameHash;
use reedsail_core::ServerKey;
use reedsail_core::TimeMs;

use crate::Demand;
use crate::DispatchSettings;
use crate::FirstEventModel;
use crate::GossipTiming;
use crate::LoadReport;
use crate::LoanRequest;
use crate::QuarantineEvent;
use crate::RetryDecision;
use crate::RetryLoan;
use crate::RetryPermit;
use crate::RetryPurpose;
use crate::ServerEnd;
use crate::ServerSetup;
use crate::SlowStartLimit;
use crate::SoftwareVersion;
use crate::SuspectRecord;
use crate::SuspectRow;
use crate::WorkspaceShare;
use crate::WriterPosition;
use crate::attempt::UnansweredAttempts;
use crate::domain_reach::DomainReach;
use crate::fair_share::UsageTable;
use crate::load_pressure::pressure;
use crate::pacing::Pacer;
use crate::peer_reports::PeerReports;
use crate::prefix_cache_index::PrefixCacheIndex;
use crate::priority_pressure::PriorityPressure;
use crate::quarantine::Quarantine;
use crate::recent_ends::RecentEnds;
use crate::retry_budget::RetryBudgets;
use crate::server_ends::BrokenAttempts;
use crate::server_table::ServerTable;
use crate::slow_start::Senders;
use crate::stream_pause::StreamPauses;

/// Decides where requests go. Each instance has one.
#[derive(Debug)]
pub struct Dispatcher {
    settings: DispatchSettings,
    own_domain: NameHash,
    own_region: Option<NameHash>,
    servers: ServerTable,
    reach: DomainReach,
    peers: PeerReports,
    usage: UsageTable,
    pacer: Pacer,
    prefixes: PrefixCacheIndex,
    retries: RetryBudgets,
    unanswered: UnansweredAttempts,
    broken: BrokenAttempts,
    /// Detected server ends that the caller has not taken yet.
    server_ends: Vec<ServerEnd>,
    quarantine: Quarantine,
    recent_ends: RecentEnds,
    priorities: PriorityPressure,
    /// Number of known instances, which may exceed the number of peers that send reports.
    instances: usize,
    /// Learned first-event models, by service.
    models: HashMap<NameHash, FirstEventModel>,
    /// Pauses of streams, by service.
    pauses: HashMap<NameHash, StreamPauses>,
}

impl Dispatcher {
    /// Makes a dispatcher that knows no servers.
    pub fn new(settings: DispatchSettings, own_domain: NameHash) -> Self {
        Self {
            settings,
            own_domain,
            own_region: None,
            servers: ServerTable::default(),
            reach: DomainReach::default(),
            peers: PeerReports::default(),
            usage: UsageTable::new(settings.share_window_ms),
            pacer: Pacer::default(),
            prefixes: PrefixCacheIndex::default(),
            retries: RetryBudgets::default(),
            unanswered: UnansweredAttempts::default(),
            broken: BrokenAttempts::default(),
            server_ends: Vec::new(),
            quarantine: Quarantine::default(),
            recent_ends: RecentEnds::default(),
            priorities: PriorityPressure::default(),
            instances: 0,
            models: HashMap::new(),
            pauses: HashMap::new(),
        }
    }

    /// Sets the region of this instance; `None` if it is unknown.
    pub fn set_region(&mut self, region: Option<NameHash>) {
        self.own_region = region;
    }

    /// Replaces the list of backend servers.
    pub fn set_servers(&mut self, setups: &[ServerSetup]) {
        if self.servers.configure(setups) {
            self.peers.recount(&mut self.servers);
        }
    }

    /// Adds or updates the servers in `setups` and removes those in `gone` from the list.
    pub fn update_servers(&mut self, setups: &[ServerSetup], gone: &[NameHash]) {
        if self.servers.update(setups, gone) {
            self.peers.recount(&mut self.servers);
        }
    }

    /// Returns how urgently peers need load reports, from 0 (idle fleet) to 1 (busy fleet).
    pub fn load_pressure(&self) -> f64 {
        let peer_servers = self.peers.servers();
        let peer_keys = peer_servers.filter_map(|name| self.servers.key(name));
        let active: HashSet<ServerKey> = peer_keys.chain(self.servers.active()).collect();
        pressure(&self.servers, active.into_iter())
    }

    /// Replaces the configured slow-start limits, by service.
    pub fn set_slow_starts(&mut self, limits: HashMap<NameHash, SlowStartLimit>) {
        self.servers.set_limits(limits);
    }

    /// Replaces the set of evacuated failure domains. Their servers get no new work.
    pub fn set_evacuated(&mut self, failure_domains: &[NameHash], now: TimeMs) {
        self.servers.set_evacuated(failure_domains, now);
    }

    /// Sets this instance's name and the known instances, this one included, each with its failure domain.
    /// Until the first call this instance sends nothing to cold servers.
    pub fn set_members(&mut self, own: NameHash, members: &[(NameHash, NameHash)]) {
        self.servers.set_senders(Senders::new(own, members));
    }

    /// Returns the learned first-event model of a service, or the initial model if nothing was learned.
    pub fn first_event_model(&self, service: NameHash) -> FirstEventModel {
        self.models.get(&service).copied().unwrap_or_default()
    }

    /// Sets the time as of which the server list is current.
    pub fn set_list_current_at(&mut self, current_at: TimeMs) {
        self.servers.versions_mut().set_list_current_at(current_at);
    }

    /// Returns the software version at which every stream of a service that may be continued began; `None` if there may
    /// be two, or if this instance doesn't know.
    pub fn only_version(&self, service: NameHash, now: TimeMs) -> Option<SoftwareVersion> {
        self.servers.versions().only_version(service, now)
    }

    /// Returns whether a service may run servers of two versions, as far as this instance knows.
    pub fn may_run_two_versions(&self, service: NameHash, now: TimeMs) -> bool {
        self.servers.versions().may_run_two(service, now)
    }

    /// Accepts a peer's word that all streams of a service began at one version.
    pub fn accept_only_version(&mut self, service: NameHash, version: SoftwareVersion, now: TimeMs) {
        self.servers
            .versions_mut()
            .accept_only_version(service, version, now);
    }

    /// Returns the software versions that each service runs, with the number of listed servers.
    pub fn listed_versions(&self) -> Vec<(NameHash, Option<SoftwareVersion>, u32)> {
        self.servers.versions().listed().collect()
    }

    /// Returns the software version of a server; `None` if it is unknown.
    pub fn software_version(&self, server: ServerKey) -> Option<SoftwareVersion> {
        self.servers.get(server).setup.version
    }

    /// Returns the key of a server that is or was listed.
    pub fn server_key(&self, name: NameHash) -> Option<ServerKey> {
        self.servers.key(name)
    }

    /// Counts an arriving request. Each request is counted once, regardless of its outcome.
    pub fn record_arrival(&mut self, demand: &Demand<'_>, now: TimeMs) {
        self.usage.record_request(demand.workspace, demand.cost(), now);
        self.retries.count_request(demand.service, &self.settings, now);
    }

    /// Takes a retry from the service's budget, if the budget has room and the retry is worth it.
    pub fn take_retry(&mut self, service: NameHash, purpose: RetryPurpose, now: TimeMs) -> RetryDecision {
        self.retries.take(service, purpose, &self.settings, now)
    }

    /// Takes back the permit of a retry that was not sent.
    pub fn refund_retry(&mut self, permit: &RetryPermit) {
        self.retries.refund(permit);
    }

    /// Records whether a retry was answered.
    pub fn record_retry_outcome(
        &mut self,
        service: NameHash,
        purpose: RetryPurpose,
        is_success: bool,
        now: TimeMs,
    ) {
        self.retries.record_outcome(service, purpose, is_success, now);
    }

    /// Returns the retries that each service may still make on this instance.
    pub fn retry_rooms(&self, now: TimeMs) -> Vec<(NameHash, f64)> {
        self.retries.rooms(&self.settings, now)
    }

    /// Sets a number that is different for each start of this instance, so that a loan for an earlier process is not
    /// taken for one of this process.
    pub fn set_incarnation(&mut self, incarnation: u32) {
        self.retries.set_incarnation(incarnation);
    }

    /// Returns the requests for loans of retries that are due. Each goes to [`LENDERS_ASKED`](crate::LENDERS_ASKED)
    /// peers.
    pub fn loan_requests(&mut self, now: TimeMs) -> Vec<LoanRequest> {
        self.retries.loan_requests(now)
    }

    /// Lends retries to a peer; `None` if this instance has no more than it needs.
    pub fn lend_retries(&mut self, request: &LoanRequest, now: TimeMs) -> Option<RetryLoan> {
        self.retries.lend(request, &self.settings, now)
    }

    /// Receives a loan of retries from a peer.
    pub fn receive_loan(&mut self, lender: NameHash, loan: &RetryLoan, now: TimeMs) {
        self.retries.receive_loan(lender, loan, now);
    }

    /// Sets the number of instances in the fleet, this one included. A peer's report may cover several
    /// instances.
    pub fn set_instances(&mut self, instances: usize) {
        self.instances = instances;
        self.retries.set_instances(instances);
    }

    /// Returns the requested and the sent cost of a workspace within the window, and the max-min level.
    pub fn workspace_share(&mut self, workspace: NameHash, now: TimeMs) -> WorkspaceShare {
        self.usage.share(workspace, now)
    }

    /// Returns the share of each workspace that sent a request to this instance within the window.
    pub fn own_workspace_shares(&mut self, now: TimeMs) -> Vec<(NameHash, WorkspaceShare)> {
        self.usage.own_shares(now)
    }

    /// Returns the servers that peers reported as draining since the last call. The peers learned it from an
    /// answer of the server.
    pub fn take_draining_from_peers(&mut self) -> Vec<ServerKey> {
        self.servers.take_draining_from_peers()
    }

    /// Returns the number of known instances in the fleet.
    fn instances(&self) -> usize {
        self.instances.max(self.peers.count() + 1)
    }

    /// Returns how many servers requested a back-off from this instance that has not elapsed.
    pub fn backed_off(&self, now: TimeMs) -> usize {
        self.servers.backed_off(now)
    }

    /// Returns the requests that entered or left quarantine since the last call.
    pub fn take_quarantine_events(&mut self) -> Vec<QuarantineEvent> {
        self.quarantine.take_events()
    }

    /// Records an era of the platform's store.
    pub fn observe_store_era(&mut self, era: u32) {
        self.quarantine.observe_store_era(era);
    }

    /// Returns the records of quarantined suspects that this instance writes to the platform's store now.
    pub fn due_suspect_records(&mut self, writer: WriterPosition, now: TimeMs) -> Vec<SuspectRecord> {
        self.quarantine.due_records(writer, now)
    }

    /// Records that the store has taken records, in an era of it.
    pub fn record_suspects_written(&mut self, records: &[SuspectRecord], era: u32, now: TimeMs) {
        self.quarantine.record_written(records, era, now);
    }

    /// Restores the quarantined suspects that the store holds, in an era of it.
    pub fn restore_suspects(&mut self, rows: &[SuspectRow], era: u32, now: TimeMs) {
        self.quarantine.restore(rows, era, now);
    }

    /// Returns the number of quarantined requests.
    pub fn quarantined_requests(&self) -> usize {
        self.quarantine.requests()
    }

    /// Returns the number of quarantined segments.
    pub fn quarantined_segments(&self) -> usize {
        self.quarantine.segments()
    }

    /// Records overdue answers against the health of their servers, detects servers that have ended, and
    /// drops expired reports of peers.
    pub fn tick(&mut self, now: TimeMs) {
        self.retries.tick(now);
        self.servers.versions_mut().refresh(now);
        for server in self.unanswered.take_overdue(now) {
            self.servers.get_mut(server).health.record_overdue(now);
        }
        let ends = self.broken.take_ends(&self.servers, now);
        for end in &ends {
            for request in &end.requests {
                self.quarantine.record_end(request, end.name, now);
            }
            // A server that drains ends as planned, after its last answers.
            if !self.is_draining(end.server) {
                self.quarantine.record_server_end(end.name, end.ended_at(), now);
                self.recent_ends.add(end.clone());
            }
        }
        for end in self.recent_ends.take_settled(now) {
            self.quarantine.record_segment_end(&end, now);
        }
        self.server_ends.extend(ends);
        self.quarantine.tick(now);
        self.peers.drop_expired(&mut self.servers, &mut self.usage, now);
    }

    /// Receives a peer's load report, which replaces its previous one.
    pub fn receive_report(&mut self, peer: NameHash, report: LoadReport, now: TimeMs) {
        let peer_silent_ms = GossipTiming::of(self.peers.count()).peer_silent_ms;
        let valid_until = now.plus_ms(self.settings.report_valid_ms.max(peer_silent_ms));
        for row in &report.prefixes {
            if let Some(server) = self.servers.key(row.server) {
                self.prefixes.record_reported(row.segment, server, now);
            }
        }
        self.quarantine.merge(&report.suspects, now);
        self.peers
            .receive(peer, report, valid_until, &mut self.servers, &mut self.usage, now);
    }

    /// Includes all suspected requests in the next load reports, for a peer that has just started or was
    /// partitioned.
    pub fn announce_suspects(&mut self, now: TimeMs) {
        self.quarantine.announce_all(now);
    }

    /// Drops the report of a peer that is stopping or silent.
    pub fn drop_peer(&mut self, peer: NameHash) {
        self.peers.remove(peer, &mut self.servers, &mut self.usage);
    }

    /// Returns this instance's load report.
    pub fn report(&mut self, now: TimeMs) -> LoadReport {
        LoadReport {
            servers: self.servers.report(now),
            workspaces: self.usage.report(now),
            prefixes: self.prefixes.report(),
            suspects: self.quarantine.rows(now),
        }
    }

    /// Returns the slowness of an engine relative to the mean of its service; `None` while the engines of the service
    /// count as equally fast.
    pub fn relative_slowness(&self, server: ServerKey) -> Option<f64> {
        self.servers.get(server).speed.relative_slowness()
    }

    /// Returns the number of requests that run on a server: those from this instance, and those from all
    /// instances.
    pub fn running(&self, server: ServerKey) -> (u32, u32) {
        let state = self.servers.get(server);
        (state.own.running, state.running())
    }
}
