//! Backend servers that this instance knows, with the load and the health of each.
//!
//! Owns the arena of servers behind `ServerKey`s, which stay valid for the life of the process. Relies
//! on the server list for what is listed, and on load reports for the load of other instances. What may be
//! sent to a server follows from its life (`server_life`) and, while it is cold, from `slow_start`.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;

use reedsail_core::NameHash;
use reedsail_core::ServerKey;
use reedsail_core::TableKey;
use reedsail_core::TimeMs;

use crate::AllowedRegions;
use crate::LifeEvent;
use crate::LifeState;
use crate::ServerLife;
use crate::ServerLoadRow;
use crate::SlowStartLimit;
use crate::server_backoff::ServerBackoff;
use crate::server_groups::GroupedServer;
use crate::server_groups::ServerGroups;
use crate::server_health::ServerHealth;
use crate::slow_start::ColdAllowance;
use crate::slow_start::Senders;

/// How a load report writes a failure rate of one, in a byte.
pub(crate) const FAILURE_RATE_ONE: f64 = 255.0;
/// A lower failure rate, in the unit above, is not reported for an idle server.
const FAILURE_RATE_REPORTED_MIN: u8 = 8;
/// How long it is reported to peers that nothing answers at a server's address, in milliseconds: some reports may
/// be lost.
const DOWN_REPORTED_MS: u64 = 1_000;

/// A backend server as the service discovery describes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerSetup {
    /// Its name; each start of a server has a new one (see `ServerRecord::name`).
    pub name: NameHash,
    /// The service that it belongs to.
    pub service: NameHash,
    /// Its failure domain.
    pub failure_domain: NameHash,
    /// The region of that; `None` if it is not known.
    pub region: Option<NameHash>,
    /// How many requests it runs at once.
    pub slots: u32,
    /// It is draining: it finishes what it runs and gets no new work.
    pub is_draining: bool,
    /// Until when it is cold by its own word; `None` for a warm one.
    pub cold_until: Option<TimeMs>,
}

/// Requests, and prompt tokens still to be prefilled, on a server.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Load {
    pub(crate) running: u32,
    pub(crate) prefill_tokens: u64,
}

#[derive(Clone, Debug)]
pub(crate) struct ServerState {
    pub(crate) setup: ServerSetup,
    pub(crate) life: ServerLife,
    pub(crate) cold: ColdAllowance,
    pub(crate) backoff: ServerBackoff,
    /// When nothing answered at its address, as this instance last found.
    down_at: Option<TimeMs>,
    /// The same, as this instance or a peer last found.
    pub(crate) found_down_at: Option<TimeMs>,
    /// It said to this instance that it drains.
    was_told_draining: bool,
    pub(crate) own: Load,
    pub(crate) peers: Load,
    pub(crate) health: ServerHealth,
}

impl ServerState {
    fn new(setup: ServerSetup) -> Self {
        Self {
            setup,
            life: ServerLife::default(),
            cold: ColdAllowance::default(),
            backoff: ServerBackoff::default(),
            down_at: None,
            found_down_at: None,
            was_told_draining: false,
            own: Load::default(),
            peers: Load::default(),
            health: ServerHealth::default(),
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

    /// Returns what this instance reports of it.
    fn row(&self, now: TimeMs) -> ServerLoadRow {
        ServerLoadRow {
            server: self.setup.name,
            running: self.own.running.min(u32::from(u16::MAX)) as u16,
            failure_rate: (self.health.own_failure_rate(now) * FAILURE_RATE_ONE) as u8,
            prefill_tokens: self.own.prefill_tokens.min(u64::from(u32::MAX)) as u32,
            is_down: self.down_at.is_some_and(|at| now.since_ms(at) < DOWN_REPORTED_MS),
            is_draining: self.was_told_draining && self.life.drains_by_answer_alone(),
            is_backed_off: self.backoff.is_active(now),
        }
    }

    /// Tells whether this instance has nothing to report of it, and will not before it does something with it.
    fn is_quiet(&self, now: TimeMs) -> bool {
        let row = self.row(now);
        let has_news = row.is_down || row.is_draining || row.is_backed_off;
        row.running == 0 && row.failure_rate < FAILURE_RATE_REPORTED_MIN && !has_news
    }

    /// Records that a request is sent to it.
    pub(crate) fn record_sent(&mut self, limit: SlowStartLimit, now: TimeMs) {
        if self.life.state(now) == LifeState::Cold {
            self.cold.take(limit, now);
        }
    }
}

/// An arena of servers; keys stay valid for the life of the process.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServerTable {
    servers: Vec<ServerState>,
    by_name: HashMap<NameHash, ServerKey>,
    by_service: HashMap<NameHash, ServerGroups>,
    /// The slots of each service's listed servers.
    slots: HashMap<NameHash, u64>,
    /// Servers of which this instance may have something to report.
    active: BTreeSet<ServerKey>,
    /// Servers that peers told to drain, and that were not taken yet.
    told_draining: Vec<ServerKey>,
    limits: HashMap<NameHash, SlowStartLimit>,
    evacuated: Vec<NameHash>,
    senders: Senders,
    /// Stands for a service without servers.
    no_servers: ServerGroups,
}

impl ServerTable {
    /// Replaces the list of servers; those that it no longer names get no new work. `true` if one is new.
    pub(crate) fn configure(&mut self, setups: &[ServerSetup]) -> bool {
        let named: HashSet<NameHash> = setups.iter().map(|setup| setup.name).collect();
        let listed = self.servers.iter().filter(|server| server.life.is_listed());
        let gone: Vec<NameHash> = listed
            .map(|server| server.setup.name)
            .filter(|name| !named.contains(name))
            .collect();
        self.update(setups, &gone)
    }

    /// Takes over servers that are new or have changed, and takes those that are gone off the list. `true` if one is
    /// new.
    pub(crate) fn update(&mut self, setups: &[ServerSetup], gone: &[NameHash]) -> bool {
        for name in gone {
            if let Some(key) = self.key(*name) {
                self.take_off(key);
                self.servers[key.index()].life.apply(LifeEvent::Unlisted);
            }
        }
        let known = self.servers.len();
        for setup in setups {
            self.take_over(setup);
        }
        self.servers.len() > known
    }

    fn take_over(&mut self, setup: &ServerSetup) {
        let key = self.key_or_new(setup);
        self.take_off(key);
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
        *self.slots.entry(setup.service).or_default() += u64::from(setup.slots);
    }

    /// Takes a server out of its service, if it is listed.
    fn take_off(&mut self, key: ServerKey) {
        let server = &self.servers[key.index()];
        if !server.life.is_listed() {
            return;
        }
        let (service, slots) = (server.setup.service, u64::from(server.setup.slots));
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
        self.by_name.insert(setup.name, key);
        key
    }

    /// Replaces what the operators state of cold servers, by service.
    pub(crate) fn set_limits(&mut self, limits: HashMap<NameHash, SlowStartLimit>) {
        self.limits = limits;
    }

    /// Returns what a service's cold servers bear.
    pub(crate) fn limit(&self, service: NameHash) -> SlowStartLimit {
        self.limits.get(&service).copied().unwrap_or_default()
    }

    /// Replaces the failure domains that are evacuated. Servers of one that was taken back may be cold.
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
                let cold_until = limit.returned_until(now);
                server.life.apply(LifeEvent::Returned { cold_until });
            }
        }
    }

    /// Replaces the fleet by which the senders of cold servers are chosen.
    pub(crate) fn set_senders(&mut self, senders: Senders) {
        self.senders = senders;
    }

    /// Returns this instance, once the fleet is known.
    pub(crate) fn own(&self) -> NameHash {
        self.senders.own()
    }

    /// Tells whether a request may be sent to a server now. Who the senders are is worked out for cold servers alone:
    /// for all of them it would take the square of the fleet.
    pub(crate) fn takes_work(&self, server: &ServerState, now: TimeMs) -> bool {
        match server.life.state(now) {
            LifeState::Warm => server.backoff.allows(now),
            LifeState::Cold => {
                let setup = &server.setup;
                let is_sender = || self.senders.include_own(setup.name, setup.failure_domain);
                let is_bound = self.limit(setup.service).binds();
                server.backoff.allows(now) && (!is_bound || (server.cold.allows(now) && is_sender()))
            }
            LifeState::Evacuated | LifeState::Draining | LifeState::Departed => false,
        }
    }

    /// Records that nothing answered at a server's address, here or, by its report, at a peer: it may have started
    /// again, and be cold.
    pub(crate) fn record_down(&mut self, key: ServerKey, is_own: bool, now: TimeMs) {
        let limit = self.limit(self.get(key).setup.service);
        let server = self.get_mut(key);
        if is_own {
            server.down_at = Some(now);
        }
        server.found_down_at = Some(now);
        let cold_until = limit.down_until(now);
        server.life.apply(LifeEvent::Down { cold_until });
    }

    /// Records that a server said in an answer, to this instance or to a peer, that it drains; `true` if that was not
    /// known.
    pub(crate) fn record_draining(&mut self, key: ServerKey, is_own: bool) -> bool {
        let server = self.get_mut(key);
        let is_known = server.life.drains();
        server.was_told_draining |= is_own;
        server.life.apply(LifeEvent::SaidDraining);
        if !is_known && !is_own {
            self.told_draining.push(key);
        }
        !is_known
    }

    /// Returns the servers that were learned from peers to drain since the last call.
    pub(crate) fn take_draining_from_peers(&mut self) -> Vec<ServerKey> {
        std::mem::take(&mut self.told_draining)
    }

    /// Tells whether a request that was placed on a server may still be sent there.
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

    /// Returns a server that this instance does something with, and may have something to report of.
    pub(crate) fn get_mut(&mut self, key: ServerKey) -> &mut ServerState {
        self.active.insert(key);
        &mut self.servers[key.index()]
    }

    /// Returns the listed servers of a service, draining ones included.
    pub(crate) fn of_service(&self, service: NameHash) -> &ServerGroups {
        self.by_service.get(&service).unwrap_or(&self.no_servers)
    }

    /// Returns the slots of these servers.
    pub(crate) fn slots(&self, service: NameHash) -> u64 {
        self.slots.get(&service).copied().unwrap_or(0)
    }

    /// Returns the moment from which a service's servers that asked for time, or are being returned to, may take a
    /// request; `None` if there is no such server in these regions.
    pub(crate) fn returns_at(
        &self,
        service: NameHash,
        regions: &AllowedRegions,
        now: TimeMs,
    ) -> Option<TimeMs> {
        let listed = self.of_service(service).beginning_with(0).flatten();
        let servers = listed.map(|server| self.get(server.key));
        let in_use = servers.filter(|server| {
            let is_in_use = matches!(server.life.state(now), LifeState::Warm | LifeState::Cold);
            is_in_use && regions.allows(server.setup.region) && !server.backoff.allows(now)
        });
        in_use.map(|server| server.backoff.until().max(now)).min()
    }

    /// Returns how many servers asked this instance for time that is not over.
    pub(crate) fn backed_off(&self, now: TimeMs) -> usize {
        let active = self.active().map(|key| self.get(key));
        active.filter(|server| server.backoff.is_active(now)).count()
    }

    /// Returns the servers on which something of this instance may run.
    pub(crate) fn active(&self) -> impl Iterator<Item = ServerKey> {
        self.active.iter().copied()
    }

    /// Drops all load that peers reported.
    pub(crate) fn clear_peers(&mut self) {
        for server in &mut self.servers {
            server.peers = Load::default();
        }
    }

    /// Adds or, with `add` false, takes away the load that a peer reported.
    pub(crate) fn add_peer(&mut self, rows: &[ServerLoadRow], add: bool) {
        for row in rows {
            let Some(key) = self.key(row.server) else { continue };
            let load = &mut self.servers[key.index()].peers;
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

    /// Returns this instance's load for its peers; idle, healthy servers are left out.
    pub(crate) fn report(&mut self, now: TimeMs) -> Vec<ServerLoadRow> {
        let servers = &self.servers;
        self.active.retain(|key| !servers[key.index()].is_quiet(now));
        let active = self.active.iter().map(|key| &servers[key.index()]);
        let listed = active.filter(|server| server.life.is_listed());
        listed.map(|server| server.row(now)).collect()
    }
}
