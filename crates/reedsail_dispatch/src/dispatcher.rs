//! The facade of all request decisions. It owns their state and has no rule of its own.
//!
//! Each method calls the modules whose rules it needs; the crate's documentation lists them. The caller
//! passes the time and reports every outcome: nothing here waits or sends.

use std::collections::HashMap;
use std::collections::HashSet;

use reedsail_core::ErrorKind;
use reedsail_core::NameHash;
use reedsail_core::ServerKey;
use reedsail_core::TimeMs;

use crate::Attempt;
use crate::AttemptOutcome;
use crate::BrokenRequest;
use crate::Decision;
use crate::Demand;
use crate::DispatchSettings;
use crate::FirstEventModel;
use crate::GossipTiming;
use crate::LoadReport;
use crate::Placement;
use crate::Prompt;
use crate::QuarantineEvent;
use crate::ServerEnd;
use crate::ServerNotice;
use crate::ServerSetup;
use crate::SlowStartLimit;
use crate::SoftwareVersion;
use crate::WorkspaceShare;
use crate::admission::admit;
use crate::admission::is_in_time_alone;
use crate::admission::refuse_paced;
use crate::admission::refuse_unplaced;
use crate::attempt::UnansweredAttempts;
use crate::domain_reach::DomainReach;
use crate::fair_share::UsageTable;
use crate::latency_estimate::engine_alone_ms;
use crate::latency_estimate::plain_mean_ms;
use crate::latency_estimate::plain_rounds;
use crate::load_pressure::pressure;
use crate::pacing::Pacer;
use crate::pacing::PrefillCapacity;
use crate::peer_reports::PeerReports;
use crate::placement::Placer;
use crate::prefix_cache_index::PrefixCacheIndex;
use crate::priority_pressure::PriorityPressure;
use crate::quarantine::Quarantine;
use crate::retry::RetryBudgets;
use crate::server_backoff::return_delay_ms;
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

    /// Takes a retry from the service's budget. Returns `false` if the budget has no room.
    pub fn take_retry(&mut self, service: NameHash, now: TimeMs) -> bool {
        let instances = self.instances();
        self.retries.take(service, instances, &self.settings, now)
    }

    /// Sets the number of instances in the fleet, this one included. A peer's report may cover several
    /// instances.
    pub fn set_instances(&mut self, instances: usize) {
        self.instances = instances;
    }

    /// Decides where a request goes, or refuses it.
    pub fn decide(&mut self, demand: &Demand<'_>, now: TimeMs) -> Decision {
        // The quarantine must outlive the attempts of a request. A caller's retry is a new request, usually
        // at another instance, and each retry would crash one more server.
        let quarantine = &mut self.quarantine;
        let is_quarantined = |fingerprint| quarantine.refuses(fingerprint, now);
        if demand.fingerprint.is_some_and(is_quarantined) {
            return Decision::Quarantined;
        }
        self.servers.refresh_speeds(now);
        if let Some(target_ms) = demand.gap_target_ms {
            let pauses = self.pauses.entry(demand.service).or_default();
            pauses.record_target(target_ms, now);
        }
        let placer = Placer {
            servers: &self.servers,
            reach: &self.reach,
            prefixes: &self.prefixes,
            own_domain: self.own_domain,
            own_region: self.own_region,
            model: self.first_event_model(demand.service),
            pause_bound: self
                .pauses
                .get(&demand.service)
                .and_then(|pauses| pauses.bound(now)),
            now,
        };
        let placement = placer.choose(demand);
        if demand.tried.is_empty() {
            let prefill_tokens = placement.map_or(0, |placement| placement.prefill_tokens);
            self.usage.record_prefill(demand.workspace, prefill_tokens, now);
        }
        let Some(placement) = placement else {
            let returns_at = self.servers.returns_at(demand.service, demand.regions, now);
            return refuse_unplaced(demand, returns_at, now);
        };
        let yields = self.priorities.yields(demand.service, demand.priority, now);
        let usage = &mut self.usage;
        let mut decision = admit(demand, placement, yields, || usage.share(demand.workspace, now));
        if !yields {
            self.record_priority_pressure(demand, &decision, now);
        }
        if let Decision::Send(placement) = &decision
            && !self.take_pacing_tokens(demand, placement, now)
        {
            decision = refuse_paced(demand, placement);
        }
        decision
    }

    /// Records the refusal of a request within its workspace's share that another time or server would have served. The
    /// refusal of one that yields would make the next lower priority yield in turn.
    fn record_priority_pressure(&mut self, demand: &Demand<'_>, decision: &Decision, now: TimeMs) {
        let Decision::Refuse {
            kind: ErrorKind::WouldMissTarget,
            placement: Some(placement),
            ..
        } = decision
        else {
            return;
        };
        let share = self.usage.share(demand.workspace, now);
        let is_within_share = share.requested_cost <= share.level_cost;
        let is_first_attempt = demand.tried.is_empty();
        let server = self.servers.get(placement.server);
        let alone_ms = match demand.engine_prompt() {
            Some(_) => engine_alone_ms(server, placement.work, &self.first_event_model(demand.service)),
            None => plain_mean_ms(server),
        };
        if is_first_attempt && is_within_share && is_in_time_alone(demand, alone_ms) {
            self.priorities
                .record_refusal(demand.service, demand.priority, now);
        }
    }

    /// Returns whether a request may be written to an idle connection to a server. If no server of another
    /// failure domain has answered recently, that domain may be partitioned. A new connection detects this
    /// within the connect timeout. A request written to a partitioned connection is lost for seconds and may
    /// not be safe to retry.
    pub fn may_reuse_connection(&self, server: ServerKey, now: TimeMs) -> bool {
        let domain = self.servers.get(server).setup.failure_domain;
        domain == self.own_domain || !self.reach.is_suspect(domain, now)
    }

    /// Applies the pacing rule to a prompt that admission would send.
    fn take_pacing_tokens(&mut self, demand: &Demand<'_>, placement: &Placement, now: TimeMs) -> bool {
        let is_retry = !demand.tried.is_empty();
        if is_retry || demand.engine_prompt().is_none() {
            return true;
        }
        let capacity = self.prefill_capacity(demand.service);
        let prefill_tokens = f64::from(placement.prefill_tokens);
        self.usage.capped(demand.workspace, now).is_none_or(|workspace| {
            self.pacer
                .try_take(demand.workspace, &workspace, capacity, prefill_tokens, now)
        })
    }

    /// Returns the total prefill rate of all servers that prompts go to. Shares cover all services, so a
    /// route to a service with few servers must not be paced by the capacity of these servers alone.
    fn prefill_capacity(&self, service: NameHash) -> PrefillCapacity {
        let tokens_per_ms_of = |service: NameHash| {
            let servers = self.servers.of_service(service).len() as f64;
            servers / self.first_event_model(service).prefill_ms(1.0)
        };
        let others = self.models.keys().filter(|other| **other != service);
        let others_tokens_per_ms: f64 = others.map(|other| tokens_per_ms_of(*other)).sum();
        PrefillCapacity {
            tokens_per_ms: tokens_per_ms_of(service) + others_tokens_per_ms,
        }
    }

    /// Returns the requested and the sent cost of a workspace within the window, and the max-min level.
    pub fn workspace_share(&mut self, workspace: NameHash, now: TimeMs) -> WorkspaceShare {
        self.usage.share(workspace, now)
    }

    /// Returns the share of each workspace that sent a request to this instance within the window.
    pub fn own_workspace_shares(&mut self, now: TimeMs) -> Vec<(NameHash, WorkspaceShare)> {
        self.usage.own_shares(now)
    }

    /// Records that a request is being sent to the server of its placement.
    pub fn begin_attempt(&mut self, demand: &Demand<'_>, placement: &Placement, now: TimeMs) -> Attempt {
        self.usage.record_sent(demand.workspace, demand.cost(), now);
        let limit = self.servers.limit(demand.service);
        let server = self.servers.get_mut(placement.server);
        server.record_sent(limit, now);
        let rounds = plain_rounds(server);
        let window_permit = server.backoff.begin();
        server.own.running += 1;
        server.own.prefill_tokens += u64::from(placement.prefill_tokens);
        let name = server.setup.name;
        for segment in demand.prompt.map_or(&[][..], Prompt::shared_segments) {
            self.prefixes.record_sent(segment.id, placement.server, name, now);
        }
        let mut attempt = self.unanswered.begin(demand, placement, rounds, now);
        attempt.window_permit = window_permit;
        attempt
    }

    /// Records the first event of an answer. Later calls for the same attempt do nothing.
    pub fn record_first_event(&mut self, attempt: &mut Attempt, now: TimeMs) {
        if attempt.has_answered {
            return;
        }
        self.end_prefill(attempt);
        let took_ms = now.since_ms(attempt.began_at) as f64;
        let server = self.servers.get_mut(attempt.server);
        if let Some(permit) = attempt.window_permit.take() {
            server.backoff.widen(permit, server.setup.slots);
        }
        if server.setup.failure_domain != self.own_domain {
            self.reach.record_answered(server.setup.failure_domain, now);
        }
        if attempt.has_prompt {
            server.health.learn_slowness(took_ms, attempt.expected_ms);
            let engine_ms = (took_ms - attempt.other_wait_ms as f64).max(0.0);
            let model = self.models.entry(attempt.service).or_default();
            server
                .speed
                .record(engine_ms, model.expected_ms(attempt.work), now);
            // The model describes an engine of the service's mean speed.
            model.learn(attempt.work, engine_ms / server.speed.slowness());
        } else {
            // The wait for a slot is no measure of the server's speed.
            server.health.learn_plain_time(took_ms / attempt.rounds);
        }
    }

    /// Records an event of an answer, the first one included.
    pub fn record_event(&mut self, attempt: &mut Attempt, now: TimeMs) {
        self.record_first_event(attempt, now);
        let Some(gap_ms) = attempt.gaps.record_event(now) else {
            return;
        };
        let server = self.servers.get_mut(attempt.server);
        server.streams.end_wait(attempt.number);
        if attempt.has_prompt {
            let slowness = server.speed.slowness();
            let pauses = self.pauses.entry(attempt.service).or_default();
            pauses.record_gap(gap_ms, slowness, now);
        }
    }

    /// Records that the caller has room for the next event of an answer; until then a pause is the caller's. Later calls
    /// do nothing until that event.
    pub fn record_writable(&mut self, attempt: &mut Attempt, now: TimeMs) {
        if !attempt.is_caller_busy() {
            return;
        }
        attempt.gaps.record_writable(now);
        if attempt.gap_target_ms.is_some() {
            let server = self.servers.get_mut(attempt.server);
            server.streams.begin_wait(attempt.number, now);
        }
    }

    /// Ends an attempt and updates the server's health by the outcome.
    pub fn finish_attempt(&mut self, mut attempt: Attempt, outcome: AttemptOutcome, now: TimeMs) {
        if !attempt.may_have_run(outcome) {
            self.usage
                .refund(attempt.workspace, attempt.cost, attempt.began_at);
        }
        if !attempt.has_answered {
            self.end_prefill(&mut attempt);
        }
        self.record_broken(&attempt, outcome, now);
        if let (AttemptOutcome::Answered, Some(fingerprint)) = (outcome, attempt.fingerprint) {
            self.quarantine.record_answer(fingerprint, now);
        }
        if outcome == AttemptOutcome::Down {
            self.servers.record_down(attempt.server, true, now);
        }
        let server = self.servers.get_mut(attempt.server);
        server.own.running = server.own.running.saturating_sub(1);
        server.streams.end_wait(attempt.number);
        if let Some(permit) = attempt.window_permit.take() {
            server.backoff.release(permit);
        }
        // A rejection with a back-off time does not count against the server's health.
        if outcome != AttemptOutcome::Rejected || !server.backoff.is_active(now) {
            server.health.record_outcome(outcome, now);
        }
        let domain = server.setup.failure_domain;
        if domain != self.own_domain {
            self.reach.record(domain, attempt.server, outcome, now);
        }
    }

    /// Records a server's notice from the headers of its answer. Returns the parts that are new.
    pub fn record_notice(&mut self, server: ServerKey, notice: ServerNotice, now: TimeMs) -> ServerNotice {
        let delay_ms = self.return_delay_ms(server);
        let backoff = &mut self.servers.get_mut(server).backoff;
        let is_new = |backoff_ms: &u64| backoff.record(backoff_ms.saturating_add(delay_ms), now);
        ServerNotice {
            backoff_ms: notice.backoff_ms.filter(is_new),
            is_draining: notice.is_draining && self.servers.record_draining(server, true),
        }
    }

    /// Returns the servers that peers reported as draining since the last call. The peers learned it from an
    /// answer of the server.
    pub fn take_draining_from_peers(&mut self) -> Vec<ServerKey> {
        self.servers.take_draining_from_peers()
    }

    fn return_delay_ms(&self, server: ServerKey) -> u64 {
        let setup = &self.servers.get(server).setup;
        return_delay_ms(self.servers.own(), setup.name, self.instances(), setup.slots)
    }

    /// Returns the number of known instances in the fleet.
    fn instances(&self) -> usize {
        self.instances.max(self.peers.count() + 1)
    }

    /// Returns how many servers requested a back-off from this instance that has not elapsed.
    pub fn backed_off(&self, now: TimeMs) -> usize {
        self.servers.backed_off(now)
    }

    /// Returns whether a request that was placed on a server may still be sent there. Changes learned from a
    /// list or an answer since the placement also apply to requests that are still connecting.
    pub fn may_still_send_to(&self, server: ServerKey, now: TimeMs) -> bool {
        self.servers.may_still_send_to(server, now)
    }

    /// Keeps a request whose connection broke until it is known whether its server ended.
    fn record_broken(&mut self, attempt: &Attempt, outcome: AttemptOutcome, now: TimeMs) {
        if let (AttemptOutcome::Broken, Some(fingerprint)) = (outcome, attempt.fingerprint) {
            let request = BrokenRequest {
                fingerprint,
                workspace: attempt.workspace,
                broke_at: now,
            };
            self.broken.record(attempt.server, request);
        }
    }

    /// Returns the requests that entered or left quarantine since the last call.
    pub fn take_quarantine_events(&mut self) -> Vec<QuarantineEvent> {
        self.quarantine.take_events()
    }

    /// Returns the number of quarantined requests.
    pub fn quarantined(&self) -> usize {
        self.quarantine.count()
    }

    /// Returns the servers whose connections broke. The caller connects to each to check whether it has
    /// ended.
    pub fn take_servers_to_check(&mut self) -> Vec<ServerKey> {
        self.broken.take_unchecked()
    }

    /// Records whether a checked server listens. A listening server is not thereby considered healthy.
    pub fn record_check(&mut self, server: ServerKey, is_listening: bool, now: TimeMs) {
        if is_listening {
            self.broken.forget(server);
            return;
        }
        self.servers.record_down(server, true, now);
        let health = &mut self.servers.get_mut(server).health;
        health.record_outcome(AttemptOutcome::Down, now);
    }

    /// Returns the servers that were found to have ended since the last call, each with the requests that
    /// broke off there.
    pub fn take_server_ends(&mut self) -> Vec<ServerEnd> {
        std::mem::take(&mut self.server_ends)
    }

    /// Records overdue answers against the health of their servers, detects servers that have ended, and
    /// drops expired reports of peers.
    pub fn tick(&mut self, now: TimeMs) {
        for server in self.unanswered.take_overdue(now) {
            self.servers.get_mut(server).health.record_overdue(now);
        }
        let ends = self.broken.take_ends(&self.servers, now);
        for end in &ends {
            for request in &end.requests {
                self.quarantine.record_end(request, end.name, now);
            }
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

    /// Marks an attempt as answered and subtracts its prompt from its server's load.
    fn end_prefill(&mut self, attempt: &mut Attempt) {
        attempt.has_answered = true;
        self.unanswered.remove(attempt);
        let load = &mut self.servers.get_mut(attempt.server).own;
        load.prefill_tokens = load
            .prefill_tokens
            .saturating_sub(u64::from(attempt.prefill_tokens));
    }
}
