//! The control actor owns this instance's view of the fleet, and passes each message to the component that handles it.
//!
//! One actor on one thread owns the state, so that no part of it needs a lock. The actor never waits: separate tasks
//! read the store, fetch from peers, and send and receive datagrams (`follow`, `peer_fetch`, `thread`).

use std::net::SocketAddrV4;
use std::sync::Arc;

use bytes::Bytes;
use reedsail_core::NameHash;
use reedsail_core::StorePosition;
use reedsail_core::TimeMs;
use reedsail_dispatch::DutyRank;
use reedsail_dispatch::ListComparison;
use reedsail_dispatch::PeerListState;
use reedsail_dispatch::ServerList;
use reedsail_dispatch::StoreTopic;
use reedsail_dispatch::SuspectRecord;
use reedsail_dispatch::WriterPosition;
use reedsail_events::EventKind;
use reedsail_gossip::Arrival;
use reedsail_gossip::InstanceIdentity;
use reedsail_gossip::LoadExchange;
use reedsail_gossip::MessageHeader;
use reedsail_gossip::Outgoing;
use reedsail_gossip::ReceiveOutcome;
use reedsail_gossip::ReportTarget;
use xtra::Actor;
use xtra::Context;
use xtra::Handler;

use super::configuration_state::ConfigurationState;
use super::configuration_state::PeerConfiguration;
use super::evacuation_state::EvacuationState;
use super::fetch_plan::FetchPlan;
use super::fetch_plan::OwnState;
use super::fleet_publication::FleetPublication;
use super::loan_exchange::due_loan_requests;
use super::messages::ConfigurationRead;
use super::messages::ConfigurationUnreadable;
use super::messages::Datagram;
use super::messages::DifferenceUnknown;
use super::messages::DueRecords;
use super::messages::EvacuationsRead;
use super::messages::ListServers;
use super::messages::MayRead;
use super::messages::MessageReceived;
use super::messages::Origin;
use super::messages::Outbox;
use super::messages::PeerServersRead;
use super::messages::QuarantineCallFailed;
use super::messages::QuarantineRead;
use super::messages::ReadTurn;
use super::messages::RecordsWritten;
use super::messages::SeedsChanged;
use super::messages::ServersRead;
use super::messages::StoreReadEnded;
use super::messages::Tick;
use super::messages::WholeListFetched;
use super::quarantine_log::log_call_failure;
use super::quarantine_log::log_quarantine;
use super::quarantine_log::log_restored;
use super::quarantine_log::log_written;
use super::reader_election::ReaderElection;
use super::retry_watch::RetryWatch;
use super::seeds::peer_addresses;
use super::server_end_log::log_server_ends;
use super::server_notice_log::log_server_notices;
use super::server_pages::ServerPages;
use super::server_publication::ListSource;
use super::server_publication::log_and_publish_delta;
use super::share_watch::ShareWatch;
use super::store_era::StoreEraWatch;
use super::store_status::StoreStatus;
use super::stream_watch::StreamWatch;
use super::suspension_watch::SuspensionWatch;
use crate::HeaderProtocol;
use crate::configuration_copy::AmbiguousCopy;
use crate::shared::Shared;

/// The state of the control thread.
pub(crate) struct Control<H> {
    shared: Arc<Shared<H>>,
    identity: InstanceIdentity,
    exchange: LoadExchange,
    started_at: TimeMs,
    servers: ServerList,
    configuration: ConfigurationState,
    evacuations: EvacuationState,
    era: StoreEraWatch,
    store: StoreStatus,
    shares: ShareWatch,
    retries: RetryWatch,
    suspensions: SuspensionWatch,
    streams: StreamWatch,
    pages: ServerPages,
    fetches: FetchPlan,
    fleet: FleetPublication,
}

impl<H: HeaderProtocol> Control<H> {
    pub(crate) fn new(shared: Arc<Shared<H>>) -> Self {
        let identity = InstanceIdentity {
            instance: NameHash::of(&shared.settings.instance),
            failure_domain: NameHash::of(&shared.settings.failure_domain),
            incarnation: rand::random::<u32>().max(1),
            processor_milli: shared.settings.processor_milli(),
        };
        shared.dispatcher().set_incarnation(identity.incarnation);
        let seeds = peer_addresses(&shared.settings.seeds, shared.settings.listen.peers);
        let started_at = shared.clock.now();
        Self {
            identity,
            exchange: LoadExchange::new(identity, seeds),
            started_at,
            servers: ServerList::default(),
            configuration: ConfigurationState::default(),
            evacuations: EvacuationState::default(),
            era: StoreEraWatch::default(),
            store: StoreStatus::default(),
            shares: ShareWatch::default(),
            retries: RetryWatch::default(),
            suspensions: SuspensionWatch::default(),
            streams: StreamWatch::default(),
            pages: ServerPages::default(),
            fetches: FetchPlan::default(),
            fleet: FleetPublication::new(started_at),
            shared,
        }
    }

    fn own_version(&self) -> u64 {
        self.shared.routes.load().version()
    }

    /// Builds the header of a load message, which describes this instance.
    fn message_header(&self, now: TimeMs) -> MessageHeader {
        MessageHeader {
            departures: self.servers.departures(),
            ..self.header_without_departures(now)
        }
    }

    /// Builds the header without departures, which are never urgent by themselves and may be numerous.
    fn header_without_departures(&self, now: TimeMs) -> MessageHeader {
        MessageHeader {
            configuration_version: self.own_version(),
            configuration_age_ms: saturating_ms(self.configuration.age_ms(now)),
            servers_revision: self.servers.revision(),
            servers_digest: self.servers.digest(),
            servers_age_ms: saturating_ms(self.servers.age_ms(now)),
            is_stopping: self.shared.shutdown.has_begun(),
            departures: Vec::new(),
            evacuations: self.evacuations.rows(),
            load_pressure_milli: 0,
        }
    }

    /// Returns the source of a change by a peer whose list has the given position in the store's log.
    fn peer_source(&self, peer: SocketAddrV4, position: StorePosition) -> ListSource {
        ListSource {
            origin: Origin::Peer,
            peer: Some(peer),
            position,
            list_before: self.servers.revision(),
        }
    }

    /// Returns the position of this instance among those that may write to the store.
    fn writer_position(&self, now: TimeMs) -> WriterPosition {
        let own = DutyRank::of(self.identity.instance, self.identity.processor_milli);
        let peers = self.exchange.peers().reader_candidates(now);
        let ranks = peers
            .filter(|peer| !peer.is_stopping)
            .map(|peer| DutyRank::of(peer.instance, peer.processor_milli));
        let ranks: Vec<DutyRank> = ranks.collect();
        WriterPosition {
            position: ranks.iter().filter(|rank| **rank < own).count(),
            instances: ranks.len() + 1,
        }
    }

    /// Wakes the sender of load messages if peers must learn of an urgent change.
    fn notify_if_urgent(&self, now: TimeMs) {
        if self.exchange.is_urgent(&self.header_without_departures(now), now) {
            self.shared.peer_send_requested.notify_one();
        }
    }

    /// Drops the load of peers that have become silent.
    fn drop_silent_peers(&mut self, now: TimeMs) {
        for silent_peer in self.exchange.drop_silent(now) {
            self.shared.dispatcher().drop_peer(silent_peer.instance);
            if let Some(address) = silent_peer.silent_address {
                let fields = [("peer", address.to_string())];
                self.shared.emit(EventKind::PeerSuspected, &fields);
            }
        }
    }

    /// Passes the load of a received message to the dispatcher, in place of the load that it replaces.
    fn apply_load(&self, outcome: ReceiveOutcome, now: TimeMs) {
        let mut dispatcher = self.shared.dispatcher();
        for source in outcome.dropped {
            dispatcher.drop_peer(source);
        }
        if let Some((source, load)) = outcome.counted {
            dispatcher.receive_report(source, load, now);
        }
    }

    /// Encodes the load messages that are due.
    fn due_messages(&mut self, now: TimeMs) -> Vec<Datagram> {
        let mut header = self.message_header(now);
        let is_due = self.exchange.is_due(&header, now);
        let load = is_due.then(|| {
            let mut dispatcher = self.shared.dispatcher();
            header.load_pressure_milli = (dispatcher.load_pressure() * 1_000.0) as u32;
            dispatcher.report(now)
        });
        let outgoing = self.exchange.outgoing(&header, load, now);
        if let Some(report_target) = self.exchange.take_aggregator_change() {
            let aggregator = match report_target {
                ReportTarget::Itself => "this instance".to_owned(),
                ReportTarget::Aggregator(address) => address.to_string(),
            };
            let fields = [("aggregator", aggregator)];
            self.shared.emit(EventKind::AggregatorChanged, &fields);
        }
        outgoing.into_iter().filter_map(encode).collect()
    }
}

fn encode(outgoing: Outgoing) -> Option<Datagram> {
    if outgoing.targets.is_empty() {
        return None;
    }
    match outgoing.message.encode() {
        Ok(bytes) => Some(Datagram {
            bytes,
            targets: outgoing.targets,
        }),
        Err(error) => {
            log::error!("cannot encode a load message; it is not sent: {error}");
            None
        }
    }
}

/// Converts an age for the load message; an age beyond the maximum becomes the maximum.
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
        self.fetches.record_configuration();
        ConfigurationState::put_in_force(&self.shared, read.configuration, read.origin);
        self.notify_if_urgent(self.shared.clock.now());
    }
}

impl<H: HeaderProtocol> Handler<AmbiguousCopy> for Control<H> {
    type Return = ();

    async fn handle(&mut self, copy: AmbiguousCopy, _: &mut Context<Self>) {
        self.configuration
            .record_ambiguous_copy(copy, self.shared.clock.now());
        self.fetches.record_ambiguous_copy();
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

impl<H: HeaderProtocol> Handler<EvacuationsRead> for Control<H> {
    type Return = ();

    async fn handle(&mut self, read: EvacuationsRead, _: &mut Context<Self>) {
        let now = self.shared.clock.now();
        self.evacuations.apply(&self.shared, &self.servers, &read.0, now);
        self.notify_if_urgent(now);
    }
}

impl<H: HeaderProtocol> Handler<ServersRead> for Control<H> {
    type Return = ();

    async fn handle(&mut self, read: ServersRead, _: &mut Context<Self>) {
        let now = self.shared.clock.now();
        let source = ListSource {
            origin: Origin::Store,
            peer: None,
            position: read.update.revision,
            list_before: self.servers.revision(),
        };
        let delta = self.servers.apply(read.update, read.asked_at, now);
        self.era
            .log_era_change(&self.shared, &self.servers, Origin::Store);
        log_and_publish_delta(&self.shared, &mut self.servers, &delta, source, now);
        self.notify_if_urgent(now);
    }
}

impl<H: HeaderProtocol> Handler<PeerServersRead> for Control<H> {
    type Return = ();

    async fn handle(&mut self, read: PeerServersRead, _: &mut Context<Self>) {
        let now = self.shared.clock.now();
        self.fetches.record_listing();
        let source = self.peer_source(read.peer, read.listing.revision);
        let delta = self.servers.apply_listing(read.listing, now);
        self.era.log_era_change(&self.shared, &self.servers, Origin::Peer);
        log_and_publish_delta(&self.shared, &mut self.servers, &delta, source, now);
        self.notify_if_urgent(now);
    }
}

impl<H: HeaderProtocol> Handler<WholeListFetched> for Control<H> {
    type Return = ();

    async fn handle(&mut self, _: WholeListFetched, _: &mut Context<Self>) {
        self.fetches.record_whole_list_ended(self.shared.clock.now());
    }
}

impl<H: HeaderProtocol> Handler<DifferenceUnknown> for Control<H> {
    type Return = ();

    async fn handle(&mut self, _: DifferenceUnknown, _: &mut Context<Self>) {
        self.fetches.record_difference_unknown();
    }
}

impl<H: HeaderProtocol> Handler<StoreReadEnded> for Control<H> {
    type Return = ();

    async fn handle(&mut self, read: StoreReadEnded, _: &mut Context<Self>) {
        match (read.topic, &read.fault) {
            (StoreTopic::Configuration, None) => self.configuration.record_store_read(read.known_at),
            (StoreTopic::Servers, Some(_)) => self.servers.record_store_failure(),
            (StoreTopic::Configuration, Some(_)) | (StoreTopic::Servers, None) => {}
        }
        self.store.record_read(&self.shared, read.topic, read.fault);
    }
}

impl<H: HeaderProtocol> Handler<QuarantineRead> for Control<H> {
    type Return = ();

    async fn handle(&mut self, read: QuarantineRead, _: &mut Context<Self>) {
        log_restored(&self.shared, &read.0);
        let now = self.shared.clock.now();
        self.shared
            .dispatcher()
            .restore_suspects(&read.0.rows, read.0.era, now);
    }
}

impl<H: HeaderProtocol> Handler<DueRecords> for Control<H> {
    type Return = Vec<SuspectRecord>;

    async fn handle(&mut self, _: DueRecords, _: &mut Context<Self>) -> Vec<SuspectRecord> {
        let now = self.shared.clock.now();
        let writer = self.writer_position(now);
        let mut dispatcher = self.shared.dispatcher();
        dispatcher.observe_store_era(self.servers.revision().era);
        dispatcher.due_suspect_records(writer, now)
    }
}

impl<H: HeaderProtocol> Handler<RecordsWritten> for Control<H> {
    type Return = ();

    async fn handle(&mut self, written: RecordsWritten, _: &mut Context<Self>) {
        log_written(&self.shared, &written);
        let now = self.shared.clock.now();
        self.shared
            .dispatcher()
            .record_suspects_written(&written.records, written.era, now);
    }
}

impl<H: HeaderProtocol> Handler<QuarantineCallFailed> for Control<H> {
    type Return = ();

    async fn handle(&mut self, failed: QuarantineCallFailed, _: &mut Context<Self>) {
        log_call_failure(&self.shared, &failed);
    }
}

impl<H: HeaderProtocol> Handler<MessageReceived> for Control<H> {
    type Return = ();

    async fn handle(&mut self, received: MessageReceived, _: &mut Context<Self>) {
        let message = received.message;
        let now = self.shared.clock.now();
        let messages = &self.shared.metrics.peer_messages;
        messages.with_label_values(&["received"]).inc();
        let peer_list = PeerListState {
            revision: message.servers_revision,
            digest: message.servers_digest,
            age_ms: u64::from(message.servers_age_ms),
            departures: &message.departures.clone(),
        };
        let peer_configuration = PeerConfiguration::of(&message);
        self.evacuations
            .merge(&self.shared, &self.servers, &message.evacuations, now);
        let outcome = self.exchange.receive(message, received.from, now);
        match outcome.arrival {
            Arrival::Stale => return,
            Arrival::FromAlive => {}
            Arrival::FromNew => {
                let fields = [("peer", received.from.to_string())];
                self.shared.emit(EventKind::PeerAlive, &fields);
                // A new peer may not know the requests that end servers, and would send each of them once more.
                self.shared.dispatcher().announce_suspects(now);
            }
        }
        self.configuration
            .merge_peer_age(peer_configuration, self.own_version(), now);
        let source = self.peer_source(received.from, peer_list.revision);
        let comparison = self.servers.compare_with_peer(&peer_list, now);
        self.era.log_era_change(&self.shared, &self.servers, Origin::Peer);
        match comparison {
            ListComparison::NewerWithDepartures(delta) | ListComparison::DeparturesChanged(delta) => {
                log_and_publish_delta(&self.shared, &mut self.servers, &delta, source, now);
            }
            ListComparison::NothingNew | ListComparison::Newer => {}
        }
        self.apply_load(outcome, now);
        self.notify_if_urgent(now);
    }
}

impl<H: HeaderProtocol> Handler<SeedsChanged> for Control<H> {
    type Return = ();

    async fn handle(&mut self, changed: SeedsChanged, _: &mut Context<Self>) {
        let seeds = peer_addresses(&changed.0, self.shared.settings.listen.peers);
        self.exchange.set_seeds(seeds);
    }
}

impl<H: HeaderProtocol> Handler<ListServers> for Control<H> {
    type Return = Option<Bytes>;

    async fn handle(&mut self, request: ListServers, _: &mut Context<Self>) -> Option<Bytes> {
        let now = self.shared.clock.now();
        self.pages.page(&self.servers, request.differs_from, now)
    }
}

impl<H: HeaderProtocol> Handler<MayRead> for Control<H> {
    type Return = ReadTurn;

    async fn handle(&mut self, request: MayRead, _: &mut Context<Self>) -> ReadTurn {
        let election = ReaderElection {
            identity: self.identity,
            started_at: self.started_at,
            exchange: &self.exchange,
            configuration: &self.configuration,
            configuration_version: self.own_version(),
            servers: &self.servers,
        };
        election.turn(request.0, self.shared.clock.now())
    }
}

impl<H: HeaderProtocol> Handler<Tick> for Control<H> {
    type Return = Outbox;

    async fn handle(&mut self, _: Tick, _: &mut Context<Self>) -> Outbox {
        let now = self.shared.clock.now();
        let delta = self.servers.tick(now);
        let source = ListSource::grace_over(&self.servers);
        log_and_publish_delta(&self.shared, &mut self.servers, &delta, source, now);
        self.shared.dispatcher().tick(now);
        log_server_notices(&self.shared, now);
        log_server_ends(&self.shared);
        log_quarantine(&self.shared);
        self.evacuations.tick(&self.shared, &self.servers, now);
        StoreEraWatch::tick(&self.shared, &self.servers, &self.evacuations);
        self.shares.tick(&self.shared, now);
        self.retries.tick(&self.shared, now);
        self.pages.tick(now);
        self.suspensions.tick(&self.shared);
        self.drop_silent_peers(now);
        self.fleet
            .tick(&self.shared, &self.exchange, self.identity.instance, now);
        self.streams
            .tick(&self.shared, &self.exchange, &self.servers, now);
        let own = OwnState {
            configuration_version: self.own_version(),
            servers: &self.servers,
            failure_domain: self.identity.failure_domain,
        };
        let fetches = self.fetches.due(&self.exchange, &own, now);
        Outbox {
            load_messages: self.due_messages(now),
            loan_requests: due_loan_requests(&self.shared, self.identity.instance, &self.exchange, now),
            fetches,
            next_tick_ms: self.exchange.tick_ms(now),
        }
    }
}
