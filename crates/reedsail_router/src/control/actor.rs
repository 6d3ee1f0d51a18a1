//! The control actor: owns what this instance believes, and hands each message to the part it concerns.
//!
//! One actor on one thread, so that no belief needs a lock. It never waits: reads of the store, fetches
//! from peers and datagrams are tasks around it (`follow`, `peer_fetch`, `thread`).

use std::sync::Arc;

use reedsail_core::NameHash;
use reedsail_core::TimeMs;
use reedsail_dispatch::ListComparison;
use reedsail_dispatch::PeerListState;
use reedsail_dispatch::ServerList;
use reedsail_dispatch::ServerListing;
use reedsail_dispatch::StoreTopic;
use reedsail_dispatch::is_reader;
use reedsail_dispatch::is_stale;
use reedsail_events::EventKind;
use reedsail_wire::LoadMessage;
use xtra::Actor;
use xtra::Context;
use xtra::Handler;

use super::configuration_state::ConfigurationState;
use super::messages::ConfigurationRead;
use super::messages::ConfigurationUnreadable;
use super::messages::ListServers;
use super::messages::MayRead;
use super::messages::MessageReceived;
use super::messages::Origin;
use super::messages::Outbox;
use super::messages::PeerFetch;
use super::messages::PeerServersRead;
use super::messages::SeedsChanged;
use super::messages::ServersRead;
use super::messages::StoreReadEnded;
use super::messages::Tick;
use super::peer_table::Arrival;
use super::peer_table::PeerTable;
use super::seeds::peer_addresses;
use super::server_publication::publish_servers;
use super::server_publication::take_delta;
use super::store_status::StoreStatus;
use crate::HeaderProtocol;
use crate::shared::Shared;

/// Interval between two plans of fetches, in milliseconds. Chosen, not measured.
const FETCH_INTERVAL_MS: u64 = 500;

/// The state of the control thread.
pub(crate) struct Control<H> {
    shared: Arc<Shared<H>>,
    own_name: NameHash,
    own_domain: NameHash,
    incarnation: u32,
    sequence: u32,
    peers: PeerTable,
    servers: ServerList,
    configuration: ConfigurationState,
    store: StoreStatus,
    next_message_at: TimeMs,
    next_fetch_at: TimeMs,
}

impl<H: HeaderProtocol> Control<H> {
    pub(crate) fn new(shared: Arc<Shared<H>>) -> Self {
        let mut peers = PeerTable::default();
        peers.set_seeds(peer_addresses(
            &shared.settings.seeds,
            shared.settings.listen.peers,
        ));
        Self {
            own_name: NameHash::of(&shared.settings.instance),
            own_domain: NameHash::of(&shared.settings.failure_domain),
            incarnation: rand::random::<u32>().max(1),
            sequence: 0,
            peers,
            servers: ServerList::default(),
            configuration: ConfigurationState::default(),
            store: StoreStatus::default(),
            next_message_at: TimeMs(0),
            next_fetch_at: TimeMs(0),
            shared,
        }
    }

    fn own_version(&self) -> u64 {
        self.shared.routes.load().version()
    }

    /// Asks the store-reader rule.
    fn may_read(&self, topic: StoreTopic, now: TimeMs) -> bool {
        let age_ms = match topic {
            StoreTopic::Configuration => self.configuration.age_ms(now),
            StoreTopic::Servers => self.servers.age_ms(now),
        };
        let timing = self.peers.timing();
        let candidates = self.peers.reader_candidates(now);
        is_stale(topic, age_ms, timing) || is_reader(self.own_name, self.own_domain, candidates, timing)
    }

    /// Makes the next load message.
    fn message(&mut self, now: TimeMs) -> LoadMessage {
        self.sequence = self.sequence.wrapping_add(1);
        LoadMessage {
            instance: self.own_name,
            incarnation: self.incarnation,
            sequence: self.sequence,
            failure_domain: self.own_domain,
            configuration_version: self.own_version(),
            configuration_age_ms: saturating_ms(self.configuration.age_ms(now)),
            servers_revision: self.servers.revision(),
            servers_digest: self.servers.digest(),
            servers_age_ms: saturating_ms(self.servers.age_ms(now)),
            is_stopping: self.shared.shutdown.has_begun(),
            load: self.shared.dispatcher().report(now),
            departures: self.servers.departures(),
            members: self.peers.rows(),
        }
    }

    /// Plans fetches of what a peer has newer, at most once an interval.
    fn plan_fetches(&mut self, now: TimeMs) -> Vec<PeerFetch> {
        if now < self.next_fetch_at {
            return Vec::new();
        }
        let newer = self.peers.with_newer_configuration(self.own_version());
        let fresher = self
            .peers
            .with_newer_servers(self.servers.revision(), self.own_domain);
        let fetches: Vec<PeerFetch> = newer
            .map(PeerFetch::Configuration)
            .into_iter()
            .chain(fresher.map(PeerFetch::Servers))
            .collect();
        if !fetches.is_empty() {
            self.next_fetch_at = now.plus_ms(FETCH_INTERVAL_MS);
        }
        fetches
    }

    /// Drops peers that went silent.
    fn drop_silent_peers(&mut self, now: TimeMs) {
        for (peer, address) in self.peers.drop_silent(now) {
            self.shared.dispatcher().drop_peer(peer);
            let fields = [("peer", address.to_string())];
            self.shared.emit(EventKind::PeerSuspected, &fields);
        }
    }

    /// Encodes the load message, if it is due.
    fn due_message(&mut self, now: TimeMs) -> Option<Vec<u8>> {
        if now < self.next_message_at {
            return None;
        }
        let alive = self.peers.alive().count();
        self.shared.metrics.peers_alive.set(alive as i64);
        self.next_message_at = now.plus_ms(self.peers.timing().interval_ms);
        match self.message(now).encode() {
            Ok(datagram) => Some(datagram),
            Err(error) => {
                log::error!("the load message cannot be encoded and is not sent: {error}");
                None
            }
        }
    }
}

/// Writes an age into the load message; the longest one stands for longer ones.
fn saturating_ms(age_ms: u64) -> u32 {
    u32::try_from(age_ms).unwrap_or(u32::MAX)
}

impl<H: HeaderProtocol> Actor for Control<H> {
    type Stop = ();

    async fn stopped(self) -> Self::Stop {}
}

impl<H: HeaderProtocol> Handler<ConfigurationRead> for Control<H> {
    type Return = ();

    async fn handle(&mut self, read: ConfigurationRead, _: &mut Context<Self>) {
        ConfigurationState::put_in_force(&self.shared, read.configuration, read.origin);
    }
}

impl<H: HeaderProtocol> Handler<ConfigurationUnreadable> for Control<H> {
    type Return = ();

    async fn handle(&mut self, unreadable: ConfigurationUnreadable, _: &mut Context<Self>) {
        let in_force = self.own_version().to_string();
        let fields = [("fault", unreadable.0), ("in_force", in_force)];
        self.shared.emit(EventKind::ConfigurationInvalid, &fields);
    }
}

impl<H: HeaderProtocol> Handler<ServersRead> for Control<H> {
    type Return = ();

    async fn handle(&mut self, read: ServersRead, _: &mut Context<Self>) {
        let now = self.shared.clock.now();
        let delta = self.servers.apply(read.update, read.asked_at, now);
        take_delta(&self.shared, &self.servers, &delta, Origin::Store, now);
    }
}

impl<H: HeaderProtocol> Handler<PeerServersRead> for Control<H> {
    type Return = ();

    async fn handle(&mut self, read: PeerServersRead, _: &mut Context<Self>) {
        let now = self.shared.clock.now();
        let delta = self.servers.apply_listing(read.0, now);
        take_delta(&self.shared, &self.servers, &delta, Origin::Peer, now);
    }
}

impl<H: HeaderProtocol> Handler<StoreReadEnded> for Control<H> {
    type Return = ();

    async fn handle(&mut self, read: StoreReadEnded, _: &mut Context<Self>) {
        match (read.topic, &read.fault) {
            (StoreTopic::Configuration, None) => self.configuration.record_known(read.known_at),
            (StoreTopic::Servers, Some(_)) => self.servers.record_store_failure(),
            (StoreTopic::Configuration, Some(_)) | (StoreTopic::Servers, None) => {}
        }
        self.store.record_read(&self.shared, read.topic, read.fault);
    }
}

impl<H: HeaderProtocol> Handler<MessageReceived> for Control<H> {
    type Return = ();

    async fn handle(&mut self, received: MessageReceived, _: &mut Context<Self>) {
        let message = received.message;
        if message.instance == self.own_name {
            return;
        }
        let now = self.shared.clock.now();
        let messages = &self.shared.metrics.peer_messages;
        messages.with_label_values(&["received"]).inc();
        match self.peers.receive(&message, received.from, now) {
            Arrival::Stale => return,
            Arrival::FromAlive => {}
            Arrival::FromNew => {
                let fields = [("peer", received.from.to_string())];
                self.shared.emit(EventKind::PeerAlive, &fields);
                // A peer that has just come learns of this instance at once.
                self.next_message_at = now;
            }
        }
        self.configuration.receive_age(&message, self.own_version(), now);
        let peer_list = PeerListState {
            revision: message.servers_revision,
            digest: message.servers_digest,
            age_ms: u64::from(message.servers_age_ms),
            departures: &message.departures,
        };
        let comparison = self.servers.compare_with_peer(&peer_list, now);
        if comparison == ListComparison::NewerWithDepartures {
            publish_servers(&self.shared, &self.servers, now);
        }
        self.shared
            .dispatcher()
            .receive_report(message.instance, message.load, now);
    }
}

impl<H: HeaderProtocol> Handler<SeedsChanged> for Control<H> {
    type Return = ();

    async fn handle(&mut self, changed: SeedsChanged, _: &mut Context<Self>) {
        let seeds = peer_addresses(&changed.0, self.shared.settings.listen.peers);
        self.peers.set_seeds(seeds);
    }
}

impl<H: HeaderProtocol> Handler<ListServers> for Control<H> {
    type Return = ServerListing;

    async fn handle(&mut self, _: ListServers, _: &mut Context<Self>) -> ServerListing {
        self.servers.listing(self.shared.clock.now())
    }
}

impl<H: HeaderProtocol> Handler<MayRead> for Control<H> {
    type Return = Option<u64>;

    async fn handle(&mut self, asked: MayRead, _: &mut Context<Self>) -> Option<u64> {
        let may_read = self.may_read(asked.0, self.shared.clock.now());
        may_read.then(|| self.servers.revision())
    }
}

impl<H: HeaderProtocol> Handler<Tick> for Control<H> {
    type Return = Outbox;

    async fn handle(&mut self, _: Tick, _: &mut Context<Self>) -> Outbox {
        let now = self.shared.clock.now();
        let delta = self.servers.tick(now);
        take_delta(&self.shared, &self.servers, &delta, Origin::GraceOver, now);
        self.shared.dispatcher().tick(now);
        self.drop_silent_peers(now);
        let fetches = self.plan_fetches(now);
        let Some(datagram) = self.due_message(now) else {
            return Outbox {
                fetches,
                ..Outbox::default()
            };
        };
        Outbox {
            datagram,
            targets: self.peers.targets(now),
            fetches,
        }
    }
}
