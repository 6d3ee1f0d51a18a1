//! Backend servers that this instance knows, with the load and the health of each.
//!
//! Owns the arena of servers behind `ServerKey`s, which stay valid for the life of the process. The server list
//! supplies the listed servers, and load reports supply the load from other instances. Whether a request may be sent
//! to a server follows from its life-cycle state (`server_life`) and, while it is cold, from `slow_start`.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;

use reedsail_core::NameHash;
use reedsail_core::ServerKey;
use reedsail_core::TableKey;
use reedsail_core::TimeMs;

use crate::Demand;
use crate::LifeEvent;
use crate::LifeState;
use crate::ServerLife;
use crate::ServerLoadRow;
use crate::SlowStartLimit;
use crate::SoftwareVersion;
use crate::engine_speed::EngineSpeed;
use crate::engine_speed::SpeedSpread;
use crate::server_backoff::ServerBackoff;
use crate::server_groups::GroupedServer;
use crate::server_groups::ServerGroups;
use crate::server_health::ServerHealth;
use crate::slow_start::ColdRateLimit;
use crate::slow_start::Senders;
use crate::stream_pause::RunningStreams;
use crate::version_history::VersionHistory;

/// Value of a failure rate of one in a load report, where the rate is one byte.
pub(crate) const FAILURE_RATE_ONE: f64 = 255.0;
/// Minimum failure rate that is reported for an idle server, in the unit above.
const FAILURE_RATE_REPORTED_MIN: u8 = 8;
/// Minimum number of answers, in the decaying sum, that are reported for an idle server.
const SPEED_ANSWERS_REPORTED_MIN: f64 = 0.5;
/// Interval at which the speeds of a service's engines are compared, in milliseconds.
const SPEED_COMPARISON_MS: u64 = 250;
/// How long peers are told that nothing listens at a server's address, in milliseconds: some reports may be lost.
const DOWN_REPORTED_MS: u64 = 1_000;

/// A backend server as described by service discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerSetup {
    /// Its name; each incarnation of a server has a new one (see `ServerRecord::name`).
    pub name: NameHash,
    /// The service that it belongs to.
    pub service: NameHash,
    /// Its failure domain.
    pub failure_domain: NameHash,
    /// The region of the failure domain; `None` if unknown.
    pub region: Option<NameHash>,
    /// The version of its software; `None` if unknown.
    pub version: Option<SoftwareVersion>,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is draining: it finishes its running requests and gets no new ones.
    pub is_draining: bool,
    /// Until when it is cold according to its record; `None` for a warm server.
    pub cold_until: Option<TimeMs>,
}

/// Requests, and prompt tokens that wait for prefill, on a server.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Load {
    pub(crate) running: u32,
    pub(crate) prefill_tokens: u64,
}

#[derive(Clone, Debug)]
pub(crate) struct ServerState {
    pub(crate) setup: ServerSetup,
    pub(crate) life: ServerLife,
    pub(crate) cold: ColdRateLimit,
    pub(crate) backoff: ServerBackoff,
    /// When this instance last found that nothing listens at the server's address.
    down_at: Option<TimeMs>,
    /// When this instance or a peer last found so.
    pub(crate) found_down_at: Option<TimeMs>,
    /// Whether it announced in an answer to this instance that it is draining.
    has_own_draining_notice: bool,
    pub(crate) own: Load,
    pub(crate) peers: Load,
    pub(crate) health: ServerHealth,
    pub(crate) speed: EngineSpeed,
    pub(crate) streams: RunningStreams,
}

impl ServerState {
    fn new(setup: ServerSetup) -> Self {
        Self {
            setup,
            life: ServerLife::default(),
            cold: ColdRateLimit::default(),
            backoff: ServerBackoff::default(),
            down_at: None,
            found_down_at: None,
            has_own_draining_notice: false,
            own: Load::default(),
            peers: Load::default(),
            health: ServerHealth::default(),
            speed: EngineSpeed::default(),
            streams: RunningStreams::default(),
        }
    }

    pub(crate) fn running(&self) -> u32 {
        self.own.running + self.peers.running
    }

    pub(crate) fn prefill_tokens(&self) -> u64 {
        self.own.prefill_tokens + self.peers.prefill_tokens
    }

    fn grouped(&self, key: ServerKey) -> GroupedServer {
        GroupedServer {
            key,
            name: self.setup.name,
        }
    }

    /// Returns this instance's report row for the server.
    fn row(&self, now: TimeMs) -> ServerLoadRow {
        let running = self.own.running.min(u32::from(u16::MAX)) as u16;
        let failure_rate = (self.health.own_failure_rate(now) * FAILURE_RATE_ONE) as u8;
        let is_rate_negligible = running == 0 && failure_rate < FAILURE_RATE_REPORTED_MIN;
        ServerLoadRow {
            server: self.setup.name,
            running,
            failure_rate: if is_rate_negligible { 0 } else { failure_rate },
            prefill_tokens: self.own.prefill_tokens.min(u64::from(u32::MAX)) as u32,
            is_down: self.down_at.is_some_and(|at| now.since_ms(at) < DOWN_REPORTED_MS),
            is_draining: self.has_own_draining_notice && self.life.is_draining_by_notice_only(),
            is_backed_off: self.backoff.is_active(now),
            speed: self.speed.own(now),
            pause_ms: self.streams.own_pause_ms(now),
        }
    }

    /// Returns whether this instance has nothing to report about the server, and will not until its next action on
    /// it.
    fn has_nothing_to_report(&self, now: TimeMs) -> bool {
        let row = self.row(now);
        let has_flags = row.is_down || row.is_draining || row.is_backed_off;
        let has_speed = row.speed.answers >= SPEED_ANSWERS_REPORTED_MIN;
        row.running == 0 && row.failure_rate == 0 && !has_flags && !has_speed
    }

    /// Records that a request is sent to the server.
    pub(crate) fn record_sent(&mut self, limit: SlowStartLimit, now: TimeMs) {
        if self.life.state(now) == LifeState::Cold {
            self.cold.record_sent(limit, now);
        }
    }
}

/// An arena of servers; keys stay valid for the life of the process.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServerTable {
    servers: Vec<ServerState>,
    by_name: HashMap<NameHash, ServerKey>,
    by_service: HashMap<NameHash, ServerGroups>,
    /// The total slots of each service's listed servers.
    slots: HashMap<NameHash, u64>,
    /// Servers that this instance may have something to report about.
    active: BTreeSet<ServerKey>,
    /// Servers found to be draining through peers since the last call of `take_draining_from_peers`.
    peer_reported_draining: Vec<ServerKey>,
    limits: HashMap<NameHash, SlowStartLimit>,
    evacuated: Vec<NameHash>,
    senders: Senders,
    /// Whether the engines of each service differ in speed.
    spreads: HashMap<NameHash, SpeedSpread>,
    spreads_until: TimeMs,
    versions: VersionHistory,
    /// Returned for a service without servers.
    no_servers: ServerGroups,
}

impl ServerTable {
    /// Replaces the list of servers. Servers that are no longer listed get no new work. Returns whether a server is
    /// new.
    pub(crate) fn configure(&mut self, setups: &[ServerSetup]) -> bool {
        let named: HashSet<NameHash> = setups.iter().map(|setup| setup.name).collect();
        let listed = self.servers.iter().filter(|server| server.life.is_listed());
        let gone: Vec<NameHash> = listed
            .map(|server| server.setup.name)
            .filter(|name| !named.contains(name))
            .collect();
        self.update(setups, &gone)
    }

    /// Adds or updates servers and delists those that are gone. Returns whether a server is new.
    pub(crate) fn update(&mut self, setups: &[ServerSetup], gone: &[NameHash]) -> bool {
        for name in gone {
            if let Some(key) = self.key(*name) {
                self.remove_from_service(key);
                self.servers[key.index()].life.apply(LifeEvent::Unlisted);
            }
        }
        let known = self.servers.len();
        for setup in setups {
            self.apply_setup(setup);
        }
        self.servers.len() > known
    }

    fn apply_setup(&mut self, setup: &ServerSetup) {
        let key = self.key_or_new(setup);
        self.remove_from_service(key);
        let is_evacuated = self.evacuated.contains(&setup.failure_domain);
        let server = &mut self.servers[key.index()];
        server.setup = *setup;
        server.life.apply(LifeEvent::Listed {
            is_draining: setup.is_draining,
            cold_until: setup.cold_until,
        });
        if is_evacuated {
            server.life.apply(LifeEvent::Evacuated);
        }
        let grouped = server.grouped(key);
        self.by_service.entry(setup.service).or_default().insert(grouped);
        self.versions
            .add(setup.service, setup.version, !setup.is_draining);
        *self.slots.entry(setup.service).or_default() += u64::from(setup.slots);
    }

    /// Removes a server from its service if it is listed.
    fn remove_from_service(&mut self, key: ServerKey) {
        let server = &self.servers[key.index()];
        if !server.life.is_listed() {
            return;
        }
        let setup = server.setup;
        let (service, slots) = (setup.service, u64::from(setup.slots));
        self.versions.remove(service, setup.version, !setup.is_draining);
        if let Some(groups) = self.by_service.get_mut(&service) {
            groups.remove(server.grouped(key));
        }
        if let Some(all) = self.slots.get_mut(&service) {
            *all -= slots;
        }
    }

    fn key_or_new(&mut self, setup: &ServerSetup) -> ServerKey {
        if let Some(key) = self.by_name.get(&setup.name) {
            return *key;
        }
        let key = ServerKey::from_index(self.servers.len());
        self.servers.push(ServerState::new(*setup));
        // Its slowness must be on the scale of the others before it is ranked among them.
        self.spreads_until = TimeMs::default();
        self.by_name.insert(setup.name, key);
        key
    }

    /// Replaces the operators' limits for cold servers, by service.
    pub(crate) fn set_limits(&mut self, limits: HashMap<NameHash, SlowStartLimit>) {
        self.limits = limits;
    }

    /// Returns the limit for a service's cold servers.
    pub(crate) fn limit(&self, service: NameHash) -> SlowStartLimit {
        self.limits.get(&service).copied().unwrap_or_default()
    }

    /// Replaces the evacuated failure domains. Servers may be cold after the evacuation of their domain ends.
    pub(crate) fn set_evacuated(&mut self, evacuated: &[NameHash], now: TimeMs) {
        self.evacuated = evacuated.to_vec();
        for server in &mut self.servers {
            let is_evacuated = evacuated.contains(&server.setup.failure_domain);
            if is_evacuated {
                server.life.apply(LifeEvent::Evacuated);
            } else if server.life.is_evacuated() {
                let limit = self
                    .limits
                    .get(&server.setup.service)
                    .copied()
                    .unwrap_or_default();
                let cold_until = limit.cold_until_after_evacuation(now);
                server.life.apply(LifeEvent::EvacuationEnded { cold_until });
            }
        }
    }

    /// Replaces the fleet from which the senders for cold servers are chosen.
    pub(crate) fn set_senders(&mut self, senders: Senders) {
        self.senders = senders;
    }

    /// Returns this instance, once the fleet is known.
    pub(crate) fn own(&self) -> NameHash {
        self.senders.own()
    }

    /// Returns whether a request may be sent to a server now. The senders are determined for cold servers only: doing
    /// so for all servers would cost the square of the fleet size.
    pub(crate) fn accepts_work(&self, server: &ServerState, now: TimeMs) -> bool {
        match server.life.state(now) {
            LifeState::Warm => server.backoff.allows(now),
            LifeState::Cold => {
                let setup = &server.setup;
                let is_sender = || self.senders.include_own(setup.name, setup.failure_domain);
                let is_limited = self.limit(setup.service).is_limited();
                server.backoff.allows(now) && (!is_limited || (server.cold.allows(now) && is_sender()))
            }
            LifeState::Evacuated | LifeState::Draining | LifeState::Departed => false,
        }
    }

    /// Records that this instance or a peer found nothing listening at a server's address. The server may have
    /// restarted and be cold.
    pub(crate) fn record_down(&mut self, key: ServerKey, is_own: bool, now: TimeMs) {
        let setup = self.get(key).setup;
        let limit = self.limit(setup.service);
        self.versions.record_lost(setup.service, setup.version, now);
        let server = self.get_mut(key);
        if is_own {
            server.down_at = Some(now);
        }
        server.found_down_at = Some(now);
        let cold_until = limit.cold_until_after_down(now);
        server.life.apply(LifeEvent::Down { cold_until });
    }

    /// Records that a server announced in an answer to this instance or a peer that it is draining. Returns whether
    /// that was unknown.
    pub(crate) fn record_draining(&mut self, key: ServerKey, is_own: bool) -> bool {
        let server = self.get_mut(key);
        let is_known = server.life.drains();
        server.has_own_draining_notice |= is_own;
        server.life.apply(LifeEvent::DrainingNotice);
        if !is_known && !is_own {
            self.peer_reported_draining.push(key);
        }
        !is_known
    }

    /// Returns the servers that were found to be draining through peers since the last call.
    pub(crate) fn take_draining_from_peers(&mut self) -> Vec<ServerKey> {
        std::mem::take(&mut self.peer_reported_draining)
    }

    /// Returns whether a request that was placed on a server may still be sent there.
    pub(crate) fn may_still_send_to(&self, key: ServerKey, now: TimeMs) -> bool {
        let server = self.get(key);
        match server.life.state(now) {
            LifeState::Warm | LifeState::Cold => !server.backoff.is_active(now),
            LifeState::Evacuated | LifeState::Draining | LifeState::Departed => false,
        }
    }

    pub(crate) fn key(&self, name: NameHash) -> Option<ServerKey> {
        self.by_name.get(&name).copied()
    }

    pub(crate) fn get(&self, key: ServerKey) -> &ServerState {
        &self.servers[key.index()]
    }

    /// Returns a server for an action of this instance, after which there may be something to report.
    pub(crate) fn get_mut(&mut self, key: ServerKey) -> &mut ServerState {
        self.active.insert(key);
        &mut self.servers[key.index()]
    }

    /// Returns the listed servers of a service, draining ones included.
    pub(crate) fn of_service(&self, service: NameHash) -> &ServerGroups {
        self.by_service.get(&service).unwrap_or(&self.no_servers)
    }

    /// Returns the total slots of a service's listed servers.
    pub(crate) fn slots(&self, service: NameHash) -> u64 {
        self.slots.get(&service).copied().unwrap_or(0)
    }

    /// Returns the versions of every service.
    pub(crate) fn versions(&self) -> &VersionHistory {
        &self.versions
    }

    /// Returns the versions of every service, for a change.
    pub(crate) fn versions_mut(&mut self) -> &mut VersionHistory {
        &mut self.versions
    }

    /// Returns whether a listed server that doesn't drain has the version and a region that a request requires.
    pub(crate) fn has_server_for(&self, demand: &Demand<'_>) -> bool {
        let mut listed = self.of_service(demand.service).beginning_with(0).flatten();
        listed.any(|server| {
            let server = self.get(server.key);
            !server.life.drains()
                && demand.regions.allows(server.setup.region)
                && demand.version.allows(server.setup.version)
        })
    }

    /// Returns the time from which one of the servers for a request that are backed off, or are limited by the window
    /// after a back-off, may get it; `None` if there is no such server.
    pub(crate) fn returns_at(&self, demand: &Demand<'_>, now: TimeMs) -> Option<TimeMs> {
        let listed = self.of_service(demand.service).beginning_with(0).flatten();
        let servers = listed.map(|server| self.get(server.key));
        let in_use = servers.filter(|server| {
            let is_in_use = matches!(server.life.state(now), LifeState::Warm | LifeState::Cold);
            let is_allowed =
                demand.regions.allows(server.setup.region) && demand.version.allows(server.setup.version);
            is_in_use && is_allowed && !server.backoff.allows(now)
        });
        in_use.map(|server| server.backoff.until().max(now)).min()
    }

    /// Returns the number of servers that asked this instance for back-off that has not ended.
    pub(crate) fn backed_off(&self, now: TimeMs) -> usize {
        let active = self.active().map(|key| self.get(key));
        active.filter(|server| server.backoff.is_active(now)).count()
    }

    /// Returns the servers that may run requests of this instance.
    pub(crate) fn active(&self) -> impl Iterator<Item = ServerKey> {
        self.active.iter().copied()
    }

    /// Compares the speeds of each service's engines if the last comparison is old.
    pub(crate) fn refresh_speeds(&mut self, now: TimeMs) {
        if now < self.spreads_until {
            return;
        }
        self.spreads_until = now.plus_ms(SPEED_COMPARISON_MS);
        let mut engines: HashMap<NameHash, Vec<&mut EngineSpeed>> = HashMap::new();
        for server in &mut self.servers {
            if server.life.is_listed() {
                let service = engines.entry(server.setup.service).or_default();
                service.push(&mut server.speed);
            }
        }
        for (service, engines) in engines {
            let spread = self.spreads.entry(service).or_default();
            spread.refresh(engines, now);
        }
    }

    /// Drops all load that peers reported.
    pub(crate) fn clear_peers(&mut self) {
        for server in &mut self.servers {
            server.peers = Load::default();
            server.speed.clear_peers();
        }
    }

    /// Adds the load that a peer reported or, with `add` false, subtracts it.
    pub(crate) fn add_peer(&mut self, rows: &[ServerLoadRow], add: bool) {
        for row in rows {
            let Some(key) = self.key(row.server) else { continue };
            let server = &mut self.servers[key.index()];
            server.speed.add_peer(row.speed, if add { 1.0 } else { -1.0 });
            let load = &mut server.peers;
            let (running, prefill) = (u32::from(row.running), u64::from(row.prefill_tokens));
            if add {
                load.running += running;
                load.prefill_tokens += prefill;
            } else {
                load.running = load.running.saturating_sub(running);
                load.prefill_tokens = load.prefill_tokens.saturating_sub(prefill);
            }
        }
    }

    /// Returns this instance's load for its peers, without idle, healthy servers.
    pub(crate) fn report(&mut self, now: TimeMs) -> Vec<ServerLoadRow> {
        let servers = &self.servers;
        self.active
            .retain(|key| !servers[key.index()].has_nothing_to_report(now));
        let active = self.active.iter().map(|key| &servers[key.index()]);
        let listed = active.filter(|server| server.life.is_listed());
        listed.map(|server| server.row(now)).collect()
    }
}
