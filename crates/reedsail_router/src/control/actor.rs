//! The actor that owns the daemon's beliefs: its state, its messages, and what each does.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::sync::Arc;

use reedsail_core::NameHash;
use reedsail_core::TimeMs;
use reedsail_dispatch::ListComparison;
use reedsail_dispatch::ListDelta;
use reedsail_dispatch::PeerListState;
use reedsail_dispatch::ServerList;
use reedsail_dispatch::ServerListing;
use reedsail_dispatch::ServerSetup;
use reedsail_dispatch::ServerUpdate;
use reedsail_events::EventKind;
use reedsail_wire::LoadMessage;
use xtra::Actor;
use xtra::Context;
use xtra::Handler;

use super::member_table::Heard;
use super::member_table::MemberTable;
use super::round::PeerFetch;
use super::round::Round;
use crate::Configuration;
use crate::HeaderProtocol;
use crate::route_table::RouteTable;
use crate::shared::ServerView;
use crate::shared::Shared;

/// Whoever does not know the newest servers for so long reads the store, whoever else does; longer
/// by what news take in a large fleet.
const SERVERS_STALE_MS: u64 = 1_200;
/// The same for the configuration, of which the store is asked less often.
const CONFIGURATION_STALE_MS: u64 = 1_700;
/// How long an fetch may take before it is tried elsewhere.
const PEER_FETCH_MS: u64 = 500;

/// The state of the control thread.
pub(crate) struct Control<H> {
    shared: Arc<Shared<H>>,
    own_name: NameHash,
    own_domain: NameHash,
    incarnation: u32,
    sequence: u32,
    members: MemberTable,
    servers: ServerList,
    next_round_at: TimeMs,
    /// When the configuration in force was known to be the newest.
    configuration_known_at: Option<TimeMs>,
    /// Until when no further fetch is sent.
    fetch_again_at: TimeMs,
    /// Sources that did not answer last time.
    lost: Vec<Source>,
}

/// What the daemon follows in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Source {
    Configuration,
    Servers,
}

impl Source {
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Servers => "servers",
        }
    }
}

/// The store or a peer gave a configuration.
pub(crate) struct ConfigurationRead {
    pub(crate) configuration: Configuration,
    pub(crate) origin: &'static str,
}

/// The store has a configuration that cannot be read.
pub(crate) struct ConfigurationUnreadable(pub(crate) String);

/// May the store be read now? A daemon leaves that to another one of its failure domain as long as
/// it hears from it, and as long as what it hears is fresh.
pub(crate) struct MayRead(pub(crate) Source);

/// The store showed what has changed among the servers.
pub(crate) struct ServersRead {
    pub(crate) news: ServerUpdate,
    pub(crate) asked_at: TimeMs,
}

/// A peer gave its list of servers.
pub(crate) struct PeerServersRead(pub(crate) ServerListing);

/// A source answered, or did not.
pub(crate) struct SourceHeard {
    pub(crate) source: Source,
    /// Up to when the answer tells what there was.
    pub(crate) known_at: TimeMs,
    /// What went wrong, if anything did.
    pub(crate) fault: Option<String>,
}

/// A datagram came.
pub(crate) struct PeerHeard {
    pub(crate) message: LoadMessage,
    pub(crate) from: SocketAddrV4,
}

/// Time has passed.
pub(crate) struct Tick;

/// The settings file has changed.
pub(crate) struct SeedsChanged(pub(crate) Vec<SocketAddr>);

/// A peer asks for the list of servers.
pub(crate) struct ListServers;

impl<H: HeaderProtocol> Control<H> {
    pub(crate) fn new(shared: Arc<Shared<H>>) -> Self {
        let mut members = MemberTable::default();
        members.set_seeds(seeds_of(&shared.settings.seeds, &shared));
        Self {
            own_name: NameHash::of(&shared.settings.instance),
            own_domain: NameHash::of(&shared.settings.failure_domain),
            incarnation: rand::random::<u32>().max(1),
            sequence: 0,
            members,
            servers: ServerList::default(),
            next_round_at: TimeMs(0),
            configuration_known_at: None,
            fetch_again_at: TimeMs(0),
            lost: Vec::new(),
            shared,
        }
    }

    /// Puts a configuration in force, unless it is not newer than the one that is.
    fn put_in_force(&self, configuration: Configuration, origin: &str) {
        let shared = &self.shared;
        let before = shared.routes.load().version();
        if configuration.version <= before {
            return;
        }
        let version = configuration.version;
        let rate = configuration.limits.engine_tokens_per_s;
        let routes = configuration.routes.len().to_string();
        shared.dispatcher().set_engine_rate(rate);
        shared.routes.store(Arc::new(RouteTable::new(configuration)));
        shared.metrics.configuration_version.set(version as i64);
        let fields = [
            ("version", version.to_string()),
            ("before", before.to_string()),
            ("origin", origin.to_owned()),
            ("routes", routes),
        ];
        shared.emit(EventKind::ConfigurationInForce, &fields);
    }

    /// Gives the list of servers to the decisions and to the traffic threads.
    fn publish_servers(&self, now: TimeMs) {
        let records = self.servers.listing(now).records;
        let setups: Vec<ServerSetup> = records
            .iter()
            .map(|record| ServerSetup {
                name: NameHash::of(&record.id),
                service: NameHash::of(&record.service),
                failure_domain: NameHash::of(&record.failure_domain),
                slots: record.slots,
                is_draining: record.is_draining,
            })
            .collect();
        let mut dispatcher = self.shared.dispatcher();
        dispatcher.set_servers(&setups);
        let views: HashMap<_, _> = records
            .into_iter()
            .filter_map(|record| {
                let key = dispatcher.server_key(NameHash::of(&record.id))?;
                let view = ServerView {
                    id: record.id,
                    address: record.address,
                };
                Some((key, view))
            })
            .collect();
        drop(dispatcher);
        self.shared.servers.store(Arc::new(views));
    }

    fn take_delta(&self, delta: &ListDelta, origin: &str, now: TimeMs) {
        let age_ms = self.servers.age_ms(now).to_string();
        let lists = [
            (EventKind::ServerListed, &delta.listed),
            (EventKind::ServerLeaving, &delta.leaving),
            (EventKind::ServerUnlisted, &delta.unlisted),
        ];
        for (kind, ids) in lists {
            for id in ids {
                let fields = [
                    ("server", id.clone()),
                    ("origin", origin.to_owned()),
                    ("view_age_ms", age_ms.clone()),
                ];
                self.shared.emit(kind, &fields);
            }
        }
        for (id, fault) in &delta.unreadable {
            let fields = [("server", id.clone()), ("fault", fault.clone())];
            self.shared.emit(EventKind::ServerRecordInvalid, &fields);
        }
    }

    fn configuration_age_ms(&self, now: TimeMs) -> u64 {
        self.configuration_known_at
            .map_or(u64::from(u32::MAX), |known_at| now.since_ms(known_at))
    }

    fn may_read(&self, source: Source, now: TimeMs) -> bool {
        let (age_ms, most_ms) = match source {
            Source::Configuration => (self.configuration_age_ms(now), CONFIGURATION_STALE_MS),
            Source::Servers => (self.servers.age_ms(now), SERVERS_STALE_MS),
        };
        let is_stale = age_ms > most_ms + self.members.times().update_delay_ms;
        is_stale
            || self
                .members
                .is_first_of_domain(self.own_name, self.own_domain, now)
    }

    /// A peer with the same configuration knows how fresh it is.
    fn hear_configuration_age(&mut self, message: &LoadMessage, now: TimeMs) {
        let version = self.shared.routes.load().version();
        if version == 0 || message.configuration_version > version {
            return;
        }
        let known_at = TimeMs(now.0.saturating_sub(u64::from(message.configuration_age_ms)));
        self.configuration_known_at = self.configuration_known_at.max(Some(known_at));
    }

    fn message(&mut self, now: TimeMs) -> LoadMessage {
        self.sequence = self.sequence.wrapping_add(1);
        LoadMessage {
            instance: self.own_name,
            incarnation: self.incarnation,
            sequence: self.sequence,
            failure_domain: self.own_domain,
            configuration_version: self.shared.routes.load().version(),
            configuration_age_ms: self.configuration_age_ms(now).min(u64::from(u32::MAX)) as u32,
            servers_revision: self.servers.revision(),
            servers_digest: self.servers.digest(),
            servers_age_ms: self.servers.age_ms(now).min(u64::from(u32::MAX)) as u32,
            is_stopping: self.shared.lifecycle.is_stopping(),
            load: self.shared.dispatcher().report(now),
            leaving: self.servers.departures(),
            members: self.members.rows(),
        }
    }

    /// Asks a peer for what the store does not give, or gives later.
    fn fetches(&mut self, now: TimeMs) -> Vec<PeerFetch> {
        if now < self.fetch_again_at {
            return Vec::new();
        }
        let own_version = self.shared.routes.load().version();
        let own_revision = self.servers.revision();
        let newer = self
            .members
            .alive()
            .filter(|member| member.configuration_version > own_version)
            .max_by_key(|member| member.configuration_version)
            .map(|member| PeerFetch::Configuration(member.address));
        let fresher = self
            .members
            .alive()
            .filter(|member| member.servers_revision > own_revision)
            .max_by_key(|member| (member.failure_domain == self.own_domain, member.servers_revision))
            .map(|member| PeerFetch::Servers(member.address));
        let fetches: Vec<PeerFetch> = newer.into_iter().chain(fresher).collect();
        if !fetches.is_empty() {
            self.fetch_again_at = now.plus_ms(PEER_FETCH_MS);
        }
        fetches
    }
}

/// Seeds are heard on the same port as this daemon.
fn seeds_of<H>(seeds: &[SocketAddr], shared: &Shared<H>) -> Vec<SocketAddrV4> {
    let own = shared.settings.listen.peers;
    seeds
        .iter()
        .filter(|seed| seed.ip() != own.ip() || seed.ip().is_loopback())
        .filter_map(|seed| match seed {
            SocketAddr::V4(seed) if seed.ip().is_loopback() => Some(*seed),
            SocketAddr::V4(seed) => Some(SocketAddrV4::new(*seed.ip(), own.port())),
            SocketAddr::V6(_) => None,
        })
        .collect()
}

impl<H: HeaderProtocol> Actor for Control<H> {
    type Stop = ();

    async fn stopped(self) -> Self::Stop {}
}

impl<H: HeaderProtocol> Handler<ConfigurationRead> for Control<H> {
    type Return = ();

    async fn handle(&mut self, read: ConfigurationRead, _: &mut Context<Self>) {
        self.put_in_force(read.configuration, read.origin);
    }
}

impl<H: HeaderProtocol> Handler<ConfigurationUnreadable> for Control<H> {
    type Return = ();

    async fn handle(&mut self, unreadable: ConfigurationUnreadable, _: &mut Context<Self>) {
        let in_force = self.shared.routes.load().version().to_string();
        let fields = [("fault", unreadable.0), ("in_force", in_force)];
        self.shared.emit(EventKind::ConfigurationInvalid, &fields);
    }
}

impl<H: HeaderProtocol> Handler<ServersRead> for Control<H> {
    type Return = ();

    async fn handle(&mut self, read: ServersRead, _: &mut Context<Self>) {
        let now = self.shared.clock.now();
        let delta = self.servers.apply(read.news, read.asked_at, now);
        self.take_delta(&delta, "store", now);
        if !delta.is_empty() {
            self.publish_servers(now);
        }
    }
}

impl<H: HeaderProtocol> Handler<PeerServersRead> for Control<H> {
    type Return = ();

    async fn handle(&mut self, read: PeerServersRead, _: &mut Context<Self>) {
        let now = self.shared.clock.now();
        let delta = self.servers.apply_listing(read.0, now);
        self.take_delta(&delta, "peer", now);
        if !delta.is_empty() {
            self.publish_servers(now);
        }
    }
}

impl<H: HeaderProtocol> Handler<SourceHeard> for Control<H> {
    type Return = ();

    async fn handle(&mut self, heard: SourceHeard, _: &mut Context<Self>) {
        let was_lost = self.lost.contains(&heard.source);
        let outcome = if heard.fault.is_some() { "failed" } else { "read" };
        let labels = [heard.source.name(), outcome];
        self.shared.metrics.store_reads.with_label_values(&labels).inc();
        if heard.fault.is_none() && heard.source == Source::Configuration {
            self.configuration_known_at = self.configuration_known_at.max(Some(heard.known_at));
        }
        if let Some(fault) = heard.fault {
            if heard.source == Source::Servers {
                self.servers.record_store_failure();
            }
            if !was_lost {
                self.lost.push(heard.source);
                let fields = [("source", heard.source.name().to_owned()), ("fault", fault)];
                self.shared.emit(EventKind::SourceLost, &fields);
            }
        } else if was_lost {
            self.lost.retain(|source| *source != heard.source);
            let fields = [("source", heard.source.name().to_owned())];
            self.shared.emit(EventKind::SourceBack, &fields);
        }
    }
}

impl<H: HeaderProtocol> Handler<PeerHeard> for Control<H> {
    type Return = ();

    async fn handle(&mut self, heard: PeerHeard, _: &mut Context<Self>) {
        let message = heard.message;
        if message.instance == self.own_name {
            return;
        }
        let now = self.shared.clock.now();
        self.shared
            .metrics
            .peer_messages
            .with_label_values(&["received"])
            .inc();
        let verdict = self.members.hear(&message, heard.from, now);
        match verdict {
            Heard::Stale => return,
            Heard::Again => {}
            Heard::Anew => {
                let fields = [("peer", heard.from.to_string())];
                self.shared.emit(EventKind::PeerHeard, &fields);
                // Whoever has just come learns of this daemon at once.
                self.next_round_at = now;
            }
        }
        self.hear_configuration_age(&message, now);
        let word = PeerListState {
            revision: message.servers_revision,
            digest: message.servers_digest,
            age_ms: u64::from(message.servers_age_ms),
            leaving: &message.leaving,
        };
        let view = self.servers.receive_report(&word, now);
        if view == ListComparison::Leaving {
            self.publish_servers(now);
        }
        self.shared
            .dispatcher()
            .receive_report(message.instance, message.load, now);
    }
}

impl<H: HeaderProtocol> Handler<SeedsChanged> for Control<H> {
    type Return = ();

    async fn handle(&mut self, changed: SeedsChanged, _: &mut Context<Self>) {
        let seeds = seeds_of(&changed.0, &self.shared);
        self.members.set_seeds(seeds);
    }
}

impl<H: HeaderProtocol> Handler<ListServers> for Control<H> {
    type Return = ServerListing;

    async fn handle(&mut self, _: ListServers, _: &mut Context<Self>) -> ServerListing {
        self.servers.listing(self.shared.clock.now())
    }
}

impl<H: HeaderProtocol> Handler<MayRead> for Control<H> {
    /// The revision of the servers' list, if the store may be read.
    type Return = Option<u64>;

    async fn handle(&mut self, asked: MayRead, _: &mut Context<Self>) -> Option<u64> {
        let may_read = self.may_read(asked.0, self.shared.clock.now());
        may_read.then(|| self.servers.revision())
    }
}

impl<H: HeaderProtocol> Handler<Tick> for Control<H> {
    type Return = Round;

    async fn handle(&mut self, _: Tick, _: &mut Context<Self>) -> Round {
        let now = self.shared.clock.now();
        let delta = self.servers.tick(now);
        self.take_delta(&delta, "doubt", now);
        if !delta.is_empty() {
            self.publish_servers(now);
        }
        self.shared.dispatcher().tick(now);
        for (peer, address) in self.members.drop_silent(now) {
            self.shared.dispatcher().drop_peer(peer);
            let fields = [("peer", address.to_string())];
            self.shared.emit(EventKind::PeerSuspected, &fields);
        }
        let fetches = self.fetches(now);
        if now < self.next_round_at {
            return Round {
                fetches,
                ..Round::default()
            };
        }
        let alive = self.members.alive().count();
        self.shared.metrics.peers_alive.set(alive as i64);
        self.next_round_at = now.plus_ms(self.members.times().interval_ms);
        let datagram = self.message(now).encode().unwrap_or_default();
        Round {
            datagram,
            targets: self.members.targets(now),
            fetches,
        }
    }
}
