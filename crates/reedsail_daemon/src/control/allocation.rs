//! The tick of the control actor, the allocators of this daemon, and departures of instances and servers.

use std::sync::Arc;

use reedsail_core::NameHash;
use reedsail_core::ServiceKey;
use reedsail_core::TimeMs;
use reedsail_events::EventKind;
use reedsail_log_client::InstanceKind;
use reedsail_log_client::InstanceList;
use reedsail_log_client::InstanceState;
use reedsail_scheduling::Allocator;
use reedsail_scheduling::AllocatorConfig;
use reedsail_scheduling::ServerCapacity;
use reedsail_scheduling::SharePolicy;

use super::Control;

/// The interval at which allocators get the current servers and daemons of the domain, in ticks.
const REFRESH_EVERY_TICKS: u64 = 5;
/// The interval at which idle state is dropped, in ticks.
const COMPACT_EVERY_TICKS: u64 = 300;
/// The interval at which a frozen thread checks whether it may continue.
const FROZEN_POLL_MS: u64 = 10;
/// How long a departure that a peer advertised stays valid, in milliseconds.
const ADVERTISED_DEPARTURE_VALID_MS: u64 = 30_000;

impl<P: SharePolicy> Control<P> {
    pub(super) fn tick(&mut self) {
        self.block_while_frozen();
        let now = self.shared.clock.now();
        self.ticks += 1;
        self.note_pause(now);
        if self.ticks.is_multiple_of(REFRESH_EVERY_TICKS) {
            self.refresh_allocators(now);
            self.publish_domain_daemons(now);
            self.mark_servers_leaving(now);
        }
        if self.ticks.is_multiple_of(COMPACT_EVERY_TICKS) {
            self.membership.remove_stale(now);
            for allocator in self.allocators.values_mut() {
                allocator.compact();
            }
        }
        for (_, service) in self.shared.view.load().services() {
            service.cell.tick();
        }
        self.pace(now);
        self.send_reports(now);
        self.maintain_bundle(now);
    }

    /// Lets the allocators detect that this thread was paused, before they lease any slots.
    pub(super) fn note_pause(&mut self, now: TimeMs) {
        for allocator in self.allocators.values_mut() {
            allocator.detect_pause(now);
        }
    }

    /// Blocks the thread while a fault script freezes this instance, to simulate a paused process.
    fn block_while_frozen(&self) {
        while self.shared.gate.is_frozen(&self.shared.settings.instance) {
            std::thread::sleep(std::time::Duration::from_millis(FROZEN_POLL_MS));
        }
    }

    /// Returns the allocator of a service on this daemon, and creates it if there is none.
    pub(super) fn allocator_mut(&mut self, service: ServiceKey, now: TimeMs) -> &mut Allocator {
        if !self.allocators.contains_key(&service) {
            let control = self.shared.settings.control;
            let config = AllocatorConfig {
                lease_ms: self.lease_ms(now),
                horizon_ms: control.horizon_ms,
                rejoin_clamp_ms: control.rejoin_clamp_ms,
            };
            self.allocators.insert(service, Allocator::new(config, now));
            self.refresh_allocator(service, now);
            let name = self
                .shared
                .with_directory(|directory| directory.services.name(service).to_owned());
            self.shared
                .events
                .emit(EventKind::AllocatorBegun, &[("service", &name)]);
        }
        self.allocators.get_mut(&service).expect("it was inserted above")
    }

    pub(super) fn refresh_allocators(&mut self, now: TimeMs) {
        let services: Vec<ServiceKey> = self.allocators.keys().copied().collect();
        for service in services {
            let is_allocator = self.allocator_of(service, self.own_domain, now) == Some(self.own_name);
            let allocator = self.allocators.get_mut(&service);
            let is_idle = allocator.is_some_and(|allocator| {
                allocator.expire(now);
                if !is_allocator {
                    allocator.begin_settling(now);
                }
                allocator.member_count() == 0
            });
            if !is_allocator && is_idle {
                self.allocators.remove(&service);
                self.domain_assignments.retain(|(of, _), _| *of != service);
                let name = self
                    .shared
                    .with_directory(|directory| directory.services.name(service).to_owned());
                self.shared
                    .events
                    .emit(EventKind::AllocatorEnded, &[("service", &name)]);
                continue;
            }
            self.refresh_allocator(service, now);
        }
    }

    /// Updates the servers, the number of daemons and the weights of an allocator.
    fn refresh_allocator(&mut self, service: ServiceKey, now: TimeMs) {
        let others = self.membership.lease_holders(self.own_domain, now).len();
        let daemons = others + usize::from(!self.is_stopping);
        let view = self.shared.view.load();
        let Some(found) = view.service(service) else {
            return;
        };
        let mut servers = Vec::new();
        for (key, server) in &found.servers {
            let Some(server_settings) = found.service.servers.get(&server.name) else {
                continue;
            };
            if server_settings.domain != self.shared.settings.failure_domain {
                continue;
            }
            let is_leaving = self.is_server_leaving(NameHash::of(&server.name), now);
            servers.push(ServerCapacity {
                server: *key,
                slots: if is_leaving { 0 } else { server_settings.slots },
            });
        }
        servers.sort_by_key(|server| server.server);
        if let Some(allocator) = self.allocators.get_mut(&service) {
            allocator.set_servers(servers, daemons);
            allocator.set_workspaces(Arc::clone(&view.table));
        }
    }

    pub(super) fn is_server_leaving(&self, server: NameHash, now: TimeMs) -> bool {
        let advertised = self.advertised_departures.get(&server);
        self.servers_leaving.contains(&server) || advertised.is_some_and(|until| now < *until)
    }

    /// Records the leaving servers that a peer advertises.
    pub(super) fn receive_departures(&mut self, servers: &[NameHash], now: TimeMs) {
        if servers.is_empty() {
            return;
        }
        let mut is_new = false;
        for server in servers {
            let until = now.plus_ms(ADVERTISED_DEPARTURE_VALID_MS);
            is_new |= self.advertised_departures.insert(*server, until).is_none();
        }
        if is_new {
            self.mark_servers_leaving(now);
            self.refresh_allocators(now);
        }
    }

    pub(super) fn mark_servers_leaving(&mut self, now: TimeMs) {
        self.advertised_departures.retain(|_, until| now < *until);
        for (_, service) in self.shared.view.load().services() {
            service.cell.lock().set_leaving(|key| {
                let server = service.servers.get(&key);
                server.is_some_and(|server| self.is_server_leaving(NameHash::of(&server.name), now))
            });
        }
    }

    /// Applies changes of the platform's instance list.
    pub(super) fn apply_instance_list(&mut self, list: &InstanceList) {
        self.replan();
        let now = self.shared.clock.now();
        for instance in &list.instances {
            match instance.kind {
                InstanceKind::Daemon if instance.name == self.shared.settings.instance => {}
                InstanceKind::Daemon => match instance.state {
                    InstanceState::Gone => self.membership.unlist(&instance.name),
                    InstanceState::Live | InstanceState::Leaving => {
                        let is_leaving = instance.state == InstanceState::Leaving;
                        let address = instance.address.to_string();
                        self.membership
                            .list(&instance.name, &instance.failure_domain, &address, is_leaving);
                    }
                },
                InstanceKind::Server => self.apply_server_state(&instance.name, instance.state),
            }
        }
        self.mark_servers_leaving(now);
        self.refresh_allocators(now);
        self.publish_domain_daemons(now);
    }

    fn apply_server_state(&mut self, name: &str, state: InstanceState) {
        let server = NameHash::of(name);
        match state {
            InstanceState::Live => {
                self.servers_leaving.remove(&server);
                self.advertised_departures.remove(&server);
            }
            InstanceState::Leaving | InstanceState::Gone => {
                if self.servers_leaving.insert(server) {
                    self.shared
                        .events
                        .emit(EventKind::ServerDraining, &[("server", name)]);
                }
            }
        }
    }

    /// Publishes the alive daemons of the domain to the claim dispatcher.
    pub(super) fn publish_domain_daemons(&mut self, now: TimeMs) {
        let alive = self.membership.alive(Some(self.own_domain), now);
        let addresses = alive
            .into_iter()
            .filter_map(|name| self.peer_address(name))
            .collect();
        self.domain_daemons.send_replace(addresses);
        let members = self
            .allocators
            .values()
            .map(Allocator::member_count)
            .sum::<usize>();
        self.shared.metrics.members.set(members as i64);
    }

    /// Begins a graceful stop. The next reports announce it, so that other daemons take over the duties.
    pub(super) fn begin_stop(&mut self) {
        self.is_stopping = true;
        self.replan();
        for schedule in self.peers.values_mut() {
            schedule.make_due();
        }
        let now = self.shared.clock.now();
        self.send_reports(now);
    }
}
