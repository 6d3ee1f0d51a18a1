//! Backend servers that this instance knows, with the load and the health of each.
//!
//! Owns the arena of servers behind `ServerKey`s, which stay valid for the life of the process. Relies
//! on the server list for what is listed, and on load reports for the load of other instances.

use std::collections::HashMap;

use reedsail_core::NameHash;
use reedsail_core::ServerKey;
use reedsail_core::TableKey;
use reedsail_core::TimeMs;

use crate::ServerLoadRow;
use crate::server_health::ServerHealth;

/// How a load report writes a failure rate of one, in a byte.
pub(crate) const FAILURE_RATE_ONE: f64 = 255.0;
/// A lower failure rate, in the unit above, is not reported for an idle server. Chosen, not measured.
const FAILURE_RATE_REPORTED_MIN: u8 = 8;

/// A backend server as the service discovery describes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerSetup {
    /// Its name; each start of a server has a new one (see `ServerRecord::name`).
    pub name: NameHash,
    /// The service that it belongs to.
    pub service: NameHash,
    /// Its failure domain.
    pub failure_domain: NameHash,
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
    /// `false` once discovery no longer lists it.
    pub(crate) is_listed: bool,
    pub(crate) own: Load,
    pub(crate) peers: Load,
    pub(crate) health: ServerHealth,
}

impl ServerState {
    fn new(setup: ServerSetup) -> Self {
        Self {
            setup,
            is_listed: true,
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

    pub(crate) fn takes_work(&self) -> bool {
        self.is_listed && !self.setup.is_draining
    }
}

/// An arena of servers; keys stay valid for the life of the process.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServerTable {
    servers: Vec<ServerState>,
    by_name: HashMap<NameHash, ServerKey>,
    by_service: HashMap<NameHash, Vec<ServerKey>>,
}

impl ServerTable {
    /// Replaces the list of servers; those that it no longer names get no new work.
    pub(crate) fn configure(&mut self, setups: &[ServerSetup]) {
        for server in &mut self.servers {
            server.is_listed = false;
        }
        for setup in setups {
            if let Some(key) = self.by_name.get(&setup.name) {
                let server = &mut self.servers[key.index()];
                server.setup = *setup;
                server.is_listed = true;
                continue;
            }
            let key = ServerKey::from_index(self.servers.len());
            self.servers.push(ServerState::new(*setup));
            self.by_name.insert(setup.name, key);
        }
        self.index_services();
    }

    fn index_services(&mut self) {
        self.by_service.clear();
        for (index, server) in self.servers.iter().enumerate() {
            if server.is_listed {
                let keys = self.by_service.entry(server.setup.service).or_default();
                keys.push(ServerKey::from_index(index));
            }
        }
    }

    pub(crate) fn key(&self, name: NameHash) -> Option<ServerKey> {
        self.by_name.get(&name).copied()
    }

    pub(crate) fn get(&self, key: ServerKey) -> &ServerState {
        &self.servers[key.index()]
    }

    pub(crate) fn get_mut(&mut self, key: ServerKey) -> &mut ServerState {
        &mut self.servers[key.index()]
    }

    /// Returns the listed servers of a service, draining ones included.
    pub(crate) fn of_service(&self, service: NameHash) -> &[ServerKey] {
        self.by_service.get(&service).map_or(&[], Vec::as_slice)
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
            let load = &mut self.get_mut(key).peers;
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
    pub(crate) fn report(&self, now: TimeMs) -> Vec<ServerLoadRow> {
        let rows = self.servers.iter().filter(|server| server.is_listed);
        rows.filter_map(|server| {
            let failure_rate = (server.health.own_failure_rate(now) * FAILURE_RATE_ONE) as u8;
            let is_quiet = server.own.running == 0 && failure_rate < FAILURE_RATE_REPORTED_MIN;
            (!is_quiet).then_some(ServerLoadRow {
                server: server.setup.name,
                running: server.own.running.min(u32::from(u16::MAX)) as u16,
                failure_rate,
                prefill_tokens: server.own.prefill_tokens.min(u64::from(u32::MAX)) as u32,
            })
        })
        .collect()
    }
}
