//! The load message: the datagram by which instances gossip their load, their members and the state that they
//! know.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use capnp::message::Builder;
use capnp::message::Reader;
use capnp::message::ReaderOptions;
use capnp::serialize::OwnedSegments;
use capnp::serialize_packed;
use reedsail_core::Fingerprint;
use reedsail_core::NameHash;
use reedsail_core::StorePosition;
use reedsail_dispatch::EvacuationRow;
use reedsail_dispatch::LoadReport;
use reedsail_dispatch::PrefixRow;
use reedsail_dispatch::SegmentId;
use reedsail_dispatch::SegmentKey;
use reedsail_dispatch::ServerLoadRow;
use reedsail_dispatch::SpeedSums;
use reedsail_dispatch::StoredState;
use reedsail_dispatch::SuspectEndRow;
use reedsail_dispatch::SuspectKey;
use reedsail_dispatch::SuspectRow;
use reedsail_dispatch::WorkspaceUseRow;

use crate::load_capnp::evacuation_row;
use crate::load_capnp::included_row;
use crate::load_capnp::load_report;
use crate::load_capnp::member_row;
use crate::load_capnp::part_row;
use crate::load_capnp::server_load_row;
use crate::load_capnp::suspect_row;
use crate::load_capnp::workspace_use_row;

/// The state of a suspect's row whose record the store holds.
const STORED: u8 = 1;
/// The state of a suspect's row whose record was withdrawn from the store.
const WITHDRAWN: u8 = 2;
/// An age that the sender of a row does not know.
const AGE_UNKNOWN: u32 = u32::MAX;
/// The kind of a suspect's row that is a request.
const REQUEST_KIND: u8 = 0;
/// The kind of a suspect's row that is a segment of prompts.
const SEGMENT_KIND: u8 = 1;
/// The maximum number of rows in one list.
const ROWS_MAX: u32 = 4_096;
/// The maximum number of words, of eight bytes each, that decoding a message may read. It bounds the work for
/// a message that refers to the same bytes repeatedly.
const TRAVERSAL_WORDS_MAX: usize = 64 << 10;

/// The instances whose load a message contains.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadScope {
    /// The sender's own load, sent to every peer.
    #[default]
    Instance,
    /// The sender's own load, sent to the aggregator of its failure domain.
    Member,
    /// The sum over the sender, an aggregator, and its members, sent to other aggregators.
    Aggregate,
    /// The sum over all instances, sent by an aggregator to its members.
    Fleet,
    /// No load. The message is a heartbeat with the other state that the sender knows, and the load of its
    /// last report stays valid.
    Heartbeat,
}

impl LoadScope {
    fn code(self) -> u8 {
        match self {
            Self::Instance => 0,
            Self::Member => 1,
            Self::Aggregate => 2,
            Self::Fleet => 3,
            Self::Heartbeat => 4,
        }
    }

    fn from_code(code: u8) -> Result<Self, capnp::Error> {
        match code {
            0 => Ok(Self::Instance),
            1 => Ok(Self::Member),
            2 => Ok(Self::Aggregate),
            3 => Ok(Self::Fleet),
            4 => Ok(Self::Heartbeat),
            _ => Err(capnp::Error::failed(format!(
                "unknown scope {code} in a load message; known scopes are 0 to 4"
            ))),
        }
    }
}

/// An instance that the sender knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberRow {
    /// The instance.
    pub instance: NameHash,
    /// The address where it receives load messages.
    pub address: SocketAddrV4,
    /// Its failure domain, or zero if the sender does not know it.
    pub failure_domain: NameHash,
    /// The share of a core that it may use, in thousandths, or zero if the sender does not know it.
    pub processor_milli: u32,
}

/// A member whose load is part of a sum.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IncludedRow {
    /// The member.
    pub instance: NameHash,
    /// The sequence number of the message with its load.
    pub sequence: u32,
}

/// A load message from one instance to another. It is not retransmitted: the next message replaces a lost
/// one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadMessage {
    /// The sending instance.
    pub instance: NameHash,
    /// The number that identifies this start of the sender.
    pub incarnation: u32,
    /// The sequence number, which increases by one with each message.
    pub sequence: u32,
    /// The sender's failure domain.
    pub failure_domain: NameHash,
    /// The version of the configuration that the sender has in force, or zero if there is none.
    pub configuration_version: u64,
    /// How long ago that configuration was known to be the newest, in milliseconds.
    pub configuration_age_ms: u32,
    /// The position in the store's log up to which the sender's list of backend servers is current.
    pub servers_revision: StorePosition,
    /// The digest of the sender's list of backend servers.
    pub servers_digest: u64,
    /// The age of the sender's list of backend servers, in milliseconds.
    pub servers_age_ms: u32,
    /// Whether the sender is stopping.
    pub is_stopping: bool,
    /// The instances whose load the message contains.
    pub scope: LoadScope,
    /// The sender's version of the aggregation protocol. Zero means no aggregators at all, as in the first
    /// release.
    pub protocol: u8,
    /// The share of a core that the sender may use, in thousandths.
    pub processor_milli: u32,
    /// The load of the sender, or a sum of loads.
    pub load: LoadReport,
    /// The members whose load a sum includes, with the sender.
    pub included: Vec<IncludedRow>,
    /// The number of instances in the sum, or zero if the load is not a sum.
    pub instances: u32,
    /// The number of instances of its failure domain that the sender knows, or zero if the load is not a sum.
    pub domain_instances: u32,
    /// The mean age of the summed load when it was sent, in milliseconds.
    pub load_age_ms: u32,
    /// The time until the sender reports its load again, in milliseconds, or zero if the sender does not
    /// state it.
    pub load_interval_ms: u32,
    /// Backend servers that are draining or departed according to the sender.
    pub departures: Vec<NameHash>,
    /// The failure domains that are evacuated, or were evacuated earlier, according to the sender.
    pub evacuations: Vec<EvacuationRow>,
    /// Some of the instances that the sender knows.
    pub members: Vec<MemberRow>,
}

impl LoadMessage {
    /// Encodes the message.
    ///
    /// # Errors
    /// Returns the codec's error. Encoding a message that fits into memory does not fail.
    pub fn encode(&self) -> Result<Vec<u8>, capnp::Error> {
        let mut message = Builder::new_default();
        let mut root = message.init_root::<load_report::Builder<'_>>();
        self.write_head(&mut root);
        self.write_load(&mut root);
        self.write_membership(&mut root);
        let mut bytes = Vec::new();
        serialize_packed::write_message(&mut bytes, &message)?;
        Ok(bytes)
    }

    fn write_head(&self, root: &mut load_report::Builder<'_>) {
        root.set_instance(self.instance.0);
        root.set_incarnation(self.incarnation);
        root.set_sequence(self.sequence);
        root.set_failure_domain(self.failure_domain.0);
        root.set_configuration_version(self.configuration_version);
        root.set_configuration_age_ms(self.configuration_age_ms);
        root.set_servers_revision(self.servers_revision.offset);
        root.set_servers_era(self.servers_revision.era);
        root.set_servers_digest(self.servers_digest);
        root.set_servers_age_ms(self.servers_age_ms);
        root.set_stopping(self.is_stopping);
        root.set_scope(self.scope.code());
        root.set_protocol(self.protocol);
        root.set_processor_milli(self.processor_milli);
        root.set_instances(self.instances);
        root.set_domain_instances(self.domain_instances);
        root.set_load_age_ms(self.load_age_ms);
        root.set_load_interval_ms(self.load_interval_ms);
    }

    /// Writes the load. In the schema, prefill tokens are called unread tokens, and segments are called
    /// parts.
    fn write_load(&self, root: &mut load_report::Builder<'_>) {
        let mut servers = root.reborrow().init_servers(self.load.servers.len() as u32);
        for (index, row) in (0..).zip(&self.load.servers) {
            let mut target = servers.reborrow().get(index);
            target.set_server(row.server.0);
            target.set_running(row.running);
            target.set_failure_rate(row.failure_rate);
            target.set_unread_tokens(row.prefill_tokens);
            target.set_unreachable(row.is_down);
            target.set_draining(row.is_draining);
            target.set_backed_off(row.is_backed_off);
            target.set_pause_ms(row.pause_ms);
            target.set_speed_answers(row.speed.answers as f32);
            target.set_speed_logs(row.speed.log_slowness as f32);
            target.set_speed_log_squares(row.speed.log_slowness_squares as f32);
        }
        let mut workspaces = root.reborrow().init_workspaces(self.load.workspaces.len() as u32);
        for (index, row) in (0..).zip(&self.load.workspaces) {
            let mut target = workspaces.reborrow().get(index);
            target.set_workspace(row.workspace.0);
            target.set_asked_cost(row.requested_cost);
            target.set_begun_cost(row.sent_cost);
            target.set_recent_prefill_tokens(row.recent_prefill_tokens);
            target.set_recent_begun_cost(row.recent_sent_cost);
        }
        let mut prefixes = root.reborrow().init_parts(self.load.prefixes.len() as u32);
        for (index, row) in (0..).zip(&self.load.prefixes) {
            let mut target = prefixes.reborrow().get(index);
            target.set_part(row.segment);
            target.set_server(row.server.0);
        }
        self.write_suspects(root);
    }

    fn write_suspects(&self, root: &mut load_report::Builder<'_>) {
        if self.load.suspects.is_empty() {
            return;
        }
        let mut suspects = root.reborrow().init_suspects(self.load.suspects.len() as u32);
        for (index, row) in (0..).zip(&self.load.suspects) {
            let mut target = suspects.reborrow().get(index);
            target.set_workspace(row.workspace.0);
            target.set_changed_ms_ago(row.changed_ms_ago);
            target.set_seen_ms_ago(row.seen_ms_ago);
            target.set_answered_ms_ago(row.answered_ms_ago.unwrap_or(AGE_UNKNOWN));
            target.set_was_answered(row.was_answered);
            write_stored(&mut target, row);
            match row.key {
                SuspectKey::Request(fingerprint) => {
                    target.set_fingerprint_high((fingerprint.0 >> 64) as u64);
                    target.set_fingerprint_low(fingerprint.0 as u64);
                    let mut servers = target.init_servers(row.ends.len() as u32);
                    for (index, end) in (0..).zip(&row.ends) {
                        servers.set(index, end.server.0);
                    }
                }
                SuspectKey::Segment(key) => write_suspected_segment(&mut target, key, &row.ends),
            }
        }
    }

    /// Writes the departures, the members, and the members that a sum includes. The schema calls departures
    /// leaving.
    fn write_membership(&self, root: &mut load_report::Builder<'_>) {
        let mut departures = root.reborrow().init_leaving(self.departures.len() as u32);
        for (index, server) in (0..).zip(&self.departures) {
            departures.set(index, server.0);
        }
        let mut members = root.reborrow().init_members(self.members.len() as u32);
        for (index, row) in (0..).zip(&self.members) {
            let mut target = members.reborrow().get(index);
            target.set_instance(row.instance.0);
            target.set_ipv4(u32::from(*row.address.ip()));
            target.set_port(row.address.port());
            target.set_failure_domain(row.failure_domain.0);
            target.set_processor_milli(row.processor_milli);
        }
        self.write_evacuations(root);
        if self.included.is_empty() {
            return;
        }
        let mut included = root.reborrow().init_included(self.included.len() as u32);
        for (index, row) in (0..).zip(&self.included) {
            let mut target = included.reborrow().get(index);
            target.set_instance(row.instance.0);
            target.set_sequence(row.sequence);
        }
    }

    fn write_evacuations(&self, root: &mut load_report::Builder<'_>) {
        if self.evacuations.is_empty() {
            return;
        }
        let mut rows = root.reborrow().init_evacuations(self.evacuations.len() as u32);
        for (index, row) in (0..).zip(&self.evacuations) {
            let mut target = rows.reborrow().get(index);
            target.set_failure_domain(row.failure_domain.0);
            target.set_active(row.is_active);
            target.set_revision(row.revision.offset);
            target.set_era(row.revision.era);
        }
    }

    /// Decodes a message. The length of every list is limited.
    ///
    /// # Errors
    /// Returns an error if the bytes are not a load message, or a list is longer than any instance sends.
    pub fn decode(bytes: &[u8]) -> Result<Self, capnp::Error> {
        let message = read_datagram(bytes)?;
        let root = message.get_root::<load_report::Reader<'_>>()?;
        Ok(Self {
            instance: NameHash(root.get_instance()),
            incarnation: root.get_incarnation(),
            sequence: root.get_sequence(),
            failure_domain: NameHash(root.get_failure_domain()),
            configuration_version: root.get_configuration_version(),
            configuration_age_ms: root.get_configuration_age_ms(),
            servers_revision: StorePosition::new(root.get_servers_era(), root.get_servers_revision()),
            servers_digest: root.get_servers_digest(),
            servers_age_ms: root.get_servers_age_ms(),
            is_stopping: root.get_stopping(),
            scope: LoadScope::from_code(root.get_scope())?,
            protocol: root.get_protocol(),
            processor_milli: root.get_processor_milli(),
            instances: root.get_instances(),
            domain_instances: root.get_domain_instances(),
            load_age_ms: root.get_load_age_ms(),
            load_interval_ms: root.get_load_interval_ms(),
            included: read_included(root)?,
            load: read_load(root)?,
            departures: read_departures(root)?,
            evacuations: read_evacuations(root)?,
            members: read_members(root)?,
        })
    }
}

/// Reads the framing of a datagram, and limits the work of reading its content.
pub(crate) fn read_datagram(mut bytes: &[u8]) -> Result<Reader<OwnedSegments>, capnp::Error> {
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(TRAVERSAL_WORDS_MAX));
    serialize_packed::read_message(&mut bytes, options)
}

fn read_load(root: load_report::Reader<'_>) -> Result<LoadReport, capnp::Error> {
    let (servers, workspaces, prefixes) = (root.get_servers()?, root.get_workspaces()?, root.get_parts()?);
    for rows in [servers.len(), workspaces.len(), prefixes.len()] {
        check_rows(rows)?;
    }
    let server = |row: server_load_row::Reader<'_>| ServerLoadRow {
        server: NameHash(row.get_server()),
        running: row.get_running(),
        failure_rate: row.get_failure_rate(),
        prefill_tokens: row.get_unread_tokens(),
        is_down: row.get_unreachable(),
        is_draining: row.get_draining(),
        is_backed_off: row.get_backed_off(),
        speed: read_speed(row),
        pause_ms: row.get_pause_ms(),
    };
    let workspace = |row: workspace_use_row::Reader<'_>| WorkspaceUseRow {
        workspace: NameHash(row.get_workspace()),
        requested_cost: valid_cost(row.get_asked_cost()),
        sent_cost: valid_cost(row.get_begun_cost()),
        recent_prefill_tokens: valid_cost(row.get_recent_prefill_tokens()),
        recent_sent_cost: valid_cost(row.get_recent_begun_cost()),
    };
    let prefix = |row: part_row::Reader<'_>| PrefixRow {
        segment: row.get_part(),
        server: NameHash(row.get_server()),
    };
    Ok(LoadReport {
        servers: servers.iter().map(server).collect(),
        workspaces: workspaces.iter().map(workspace).collect(),
        prefixes: prefixes.iter().map(prefix).collect(),
        suspects: read_suspects(root)?,
    })
}

/// Returns the evidence of an engine's speed, limited to what answers can yield.
fn read_speed(row: server_load_row::Reader<'_>) -> SpeedSums {
    SpeedSums {
        answers: f64::from(row.get_speed_answers()),
        log_slowness: f64::from(row.get_speed_logs()),
        log_slowness_squares: f64::from(row.get_speed_log_squares()),
    }
    .bounded()
}

fn read_suspects(root: load_report::Reader<'_>) -> Result<Vec<SuspectRow>, capnp::Error> {
    let rows = root.get_suspects()?;
    check_rows(rows.len())?;
    rows.iter()
        .filter_map(|row| read_suspect(row).transpose())
        .collect()
}

fn write_suspected_segment(target: &mut suspect_row::Builder<'_>, key: SegmentKey, ends: &[SuspectEndRow]) {
    target.set_kind(SEGMENT_KIND);
    target.set_fingerprint_high(u64::from(key.segment.service.0));
    target.set_fingerprint_low(key.segment.id);
    let mut rows = target.reborrow().init_ends(ends.len() as u32);
    for (index, end) in (0..).zip(ends) {
        let mut row = rows.reborrow().get(index);
        row.set_server(end.server.0);
        row.set_sent_ms_ago(end.sent_ms_ago);
        row.set_ended_ms_ago(end.ended_ms_ago);
        row.set_answered_ms(end.answered_ms);
        row.set_outlived(end.is_outlived);
        row.set_early(end.is_early);
        row.set_beside_server(end.beside.unwrap_or_default().0);
    }
}

/// Reads the row of a suspect; `None` if it is of a kind that this release does not know.
fn read_suspect(row: suspect_row::Reader<'_>) -> Result<Option<SuspectRow>, capnp::Error> {
    let workspace = NameHash(row.get_workspace());
    let (high, low) = (row.get_fingerprint_high(), row.get_fingerprint_low());
    let (key, ends) = match row.get_kind() {
        REQUEST_KIND => {
            let fingerprint = Fingerprint(u128::from(high) << 64 | u128::from(low));
            (SuspectKey::Request(fingerprint), read_request_ends(row)?)
        }
        SEGMENT_KIND => {
            let service = NameHash(high as u32);
            let segment = SegmentId { service, id: low };
            let key = SegmentKey { segment, workspace };
            (SuspectKey::Segment(key), read_segment_ends(row)?)
        }
        _ => return Ok(None),
    };
    Ok(Some(SuspectRow {
        key,
        workspace,
        ends,
        changed_ms_ago: row.get_changed_ms_ago(),
        seen_ms_ago: row.get_seen_ms_ago(),
        answered_ms_ago: known_age(row.get_answered_ms_ago()),
        was_answered: row.get_was_answered(),
        stored: read_stored(row),
        stored_ms_ago: row.get_stored_ms_ago(),
    }))
}

fn write_stored(target: &mut suspect_row::Builder<'_>, row: &SuspectRow) {
    let (state, era) = match row.stored {
        StoredState::Unknown => return,
        StoredState::Stored(era) => (STORED, era),
        StoredState::Withdrawn(era) => (WITHDRAWN, era),
    };
    target.set_stored_state(state);
    target.set_stored_era(era);
    target.set_stored_ms_ago(row.stored_ms_ago);
}

/// Reads what the store holds of a suspect. A state that this release does not know is unknown.
fn read_stored(row: suspect_row::Reader<'_>) -> StoredState {
    match row.get_stored_state() {
        STORED => StoredState::Stored(row.get_stored_era()),
        WITHDRAWN => StoredState::Withdrawn(row.get_stored_era()),
        _ => StoredState::Unknown,
    }
}

/// Returns an age of a row; `None` if the sender does not know it.
fn known_age(ms_ago: u32) -> Option<u32> {
    (ms_ago != AGE_UNKNOWN).then_some(ms_ago)
}

/// Reads the servers that ended under a request. Its row has only the age of the last end.
fn read_request_ends(row: suspect_row::Reader<'_>) -> Result<Vec<SuspectEndRow>, capnp::Error> {
    let servers = row.get_servers()?;
    check_rows(servers.len())?;
    let ended_ms_ago = row.get_changed_ms_ago();
    let ends = servers.iter().map(|server| SuspectEndRow {
        server: NameHash(server),
        sent_ms_ago: ended_ms_ago,
        ended_ms_ago,
        ..SuspectEndRow::default()
    });
    Ok(ends.collect())
}

fn read_segment_ends(row: suspect_row::Reader<'_>) -> Result<Vec<SuspectEndRow>, capnp::Error> {
    let rows = row.get_ends()?;
    check_rows(rows.len())?;
    let ends = rows.iter().map(|row| SuspectEndRow {
        server: NameHash(row.get_server()),
        sent_ms_ago: row.get_sent_ms_ago(),
        ended_ms_ago: row.get_ended_ms_ago(),
        answered_ms: row.get_answered_ms(),
        is_outlived: row.get_outlived(),
        is_early: row.get_early(),
        beside: Some(NameHash(row.get_beside_server())).filter(|server| *server != NameHash::default()),
    });
    Ok(ends.collect())
}

fn read_departures(root: load_report::Reader<'_>) -> Result<Vec<NameHash>, capnp::Error> {
    let departures = root.get_leaving()?;
    check_rows(departures.len())?;
    Ok(departures.iter().map(NameHash).collect())
}

fn read_evacuations(root: load_report::Reader<'_>) -> Result<Vec<EvacuationRow>, capnp::Error> {
    let rows = root.get_evacuations()?;
    check_rows(rows.len())?;
    let row = |row: evacuation_row::Reader<'_>| EvacuationRow {
        failure_domain: NameHash(row.get_failure_domain()),
        revision: StorePosition::new(row.get_era(), row.get_revision()),
        is_active: row.get_active(),
    };
    Ok(rows.iter().map(row).collect())
}

fn read_members(root: load_report::Reader<'_>) -> Result<Vec<MemberRow>, capnp::Error> {
    let members = root.get_members()?;
    check_rows(members.len())?;
    let member = |row: member_row::Reader<'_>| MemberRow {
        instance: NameHash(row.get_instance()),
        address: SocketAddrV4::new(Ipv4Addr::from(row.get_ipv4()), row.get_port()),
        failure_domain: NameHash(row.get_failure_domain()),
        processor_milli: row.get_processor_milli(),
    };
    Ok(members.iter().map(member).collect())
}

fn read_included(root: load_report::Reader<'_>) -> Result<Vec<IncludedRow>, capnp::Error> {
    let included = root.get_included()?;
    check_rows(included.len())?;
    let row = |row: included_row::Reader<'_>| IncludedRow {
        instance: NameHash(row.get_instance()),
        sequence: row.get_sequence(),
    };
    Ok(included.iter().map(row).collect())
}

pub(crate) fn check_rows(rows: u32) -> Result<(), capnp::Error> {
    if rows > ROWS_MAX {
        return Err(capnp::Error::failed(format!(
            "a list in a load message has {rows} rows; at most {ROWS_MAX} are accepted"
        )));
    }
    Ok(())
}

/// Returns a cost from a peer, or zero if it is negative, infinite or NaN. An invalid cost would make every
/// sum that includes it useless, and it is the peer's fault, not the workspace's.
fn valid_cost(cost: f32) -> f32 {
    if cost.is_finite() { cost.max(0.0) } else { 0.0 }
}
