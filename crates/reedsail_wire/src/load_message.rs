//! The load message: the datagram by which instances gossip their load and what they know.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use capnp::message::Builder;
use capnp::message::ReaderOptions;
use capnp::serialize_packed;
use reedsail_core::NameHash;
use reedsail_dispatch::LoadReport;
use reedsail_dispatch::PrefixRow;
use reedsail_dispatch::ServerLoadRow;
use reedsail_dispatch::WorkspaceUseRow;

use crate::load_capnp::load_report;
use crate::load_capnp::member_row;
use crate::load_capnp::part_row;
use crate::load_capnp::server_load_row;
use crate::load_capnp::workspace_use_row;

/// Rows of one list at most. Chosen, not measured.
const ROWS_MAX: u32 = 4_096;
/// Words of eight bytes that reading a message may touch at most, against messages that name the same
/// bytes again and again. Chosen, not measured.
const TRAVERSAL_WORDS_MAX: usize = 64 << 10;

/// An instance that the sender knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberRow {
    /// The instance.
    pub instance: NameHash,
    /// Where it receives load messages.
    pub address: SocketAddrV4,
}

/// What one instance sends to another; a lost message is replaced by the next.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadMessage {
    /// The sending instance.
    pub instance: NameHash,
    /// Changes at every start of the sender.
    pub incarnation: u32,
    /// Grows by one with each message.
    pub sequence: u32,
    /// The sender's failure domain.
    pub failure_domain: NameHash,
    /// The configuration that the sender has in force; zero for none.
    pub configuration_version: u64,
    /// How long ago that configuration was known to be the newest, in milliseconds.
    pub configuration_age_ms: u32,
    /// The place in the store's log up to which the sender knows the backend servers.
    pub servers_revision: u64,
    /// The digest of the sender's list of backend servers.
    pub servers_digest: u64,
    /// How old the sender's list of backend servers is, in milliseconds.
    pub servers_age_ms: u32,
    /// The sender is stopping.
    pub is_stopping: bool,
    /// Its load.
    pub load: LoadReport,
    /// Backend servers that the sender knows to be draining or departed.
    pub departures: Vec<NameHash>,
    /// Some of the instances that the sender knows.
    pub members: Vec<MemberRow>,
}

impl LoadMessage {
    /// Encodes the message.
    ///
    /// # Errors
    /// The codec's; none for a message that fits into memory.
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
        root.set_servers_revision(self.servers_revision);
        root.set_servers_digest(self.servers_digest);
        root.set_servers_age_ms(self.servers_age_ms);
        root.set_stopping(self.is_stopping);
    }

    /// Writes the load. The schema says unread tokens for tokens to prefill, and part for segment.
    fn write_load(&self, root: &mut load_report::Builder<'_>) {
        let mut servers = root.reborrow().init_servers(self.load.servers.len() as u32);
        for (index, row) in (0..).zip(&self.load.servers) {
            let mut target = servers.reborrow().get(index);
            target.set_server(row.server.0);
            target.set_running(row.running);
            target.set_failure_rate(row.failure_rate);
            target.set_unread_tokens(row.prefill_tokens);
        }
        let mut workspaces = root.reborrow().init_workspaces(self.load.workspaces.len() as u32);
        for (index, row) in (0..).zip(&self.load.workspaces) {
            let mut target = workspaces.reborrow().get(index);
            target.set_workspace(row.workspace.0);
            target.set_asked_cost(row.requested_cost);
            target.set_begun_cost(row.sent_cost);
        }
        let mut prefixes = root.reborrow().init_parts(self.load.prefixes.len() as u32);
        for (index, row) in (0..).zip(&self.load.prefixes) {
            let mut target = prefixes.reborrow().get(index);
            target.set_part(row.segment);
            target.set_server(row.server.0);
        }
    }

    /// Writes departures, which the schema calls leaving, and members.
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
        }
    }

    /// Decodes a message; every list is bounded.
    ///
    /// # Errors
    /// The bytes are no such message, or a list is longer than any instance sends.
    pub fn decode(mut bytes: &[u8]) -> Result<Self, capnp::Error> {
        let mut options = ReaderOptions::new();
        options.traversal_limit_in_words(Some(TRAVERSAL_WORDS_MAX));
        let message = serialize_packed::read_message(&mut bytes, options)?;
        let root = message.get_root::<load_report::Reader<'_>>()?;
        Ok(Self {
            instance: NameHash(root.get_instance()),
            incarnation: root.get_incarnation(),
            sequence: root.get_sequence(),
            failure_domain: NameHash(root.get_failure_domain()),
            configuration_version: root.get_configuration_version(),
            configuration_age_ms: root.get_configuration_age_ms(),
            servers_revision: root.get_servers_revision(),
            servers_digest: root.get_servers_digest(),
            servers_age_ms: root.get_servers_age_ms(),
            is_stopping: root.get_stopping(),
            load: read_load(root)?,
            departures: read_departures(root)?,
            members: read_members(root)?,
        })
    }
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
    };
    let workspace = |row: workspace_use_row::Reader<'_>| WorkspaceUseRow {
        workspace: NameHash(row.get_workspace()),
        requested_cost: valid_cost(row.get_asked_cost()),
        sent_cost: valid_cost(row.get_begun_cost()),
    };
    let prefix = |row: part_row::Reader<'_>| PrefixRow {
        segment: row.get_part(),
        server: NameHash(row.get_server()),
    };
    Ok(LoadReport {
        servers: servers.iter().map(server).collect(),
        workspaces: workspaces.iter().map(workspace).collect(),
        prefixes: prefixes.iter().map(prefix).collect(),
    })
}

fn read_departures(root: load_report::Reader<'_>) -> Result<Vec<NameHash>, capnp::Error> {
    let departures = root.get_leaving()?;
    check_rows(departures.len())?;
    Ok(departures.iter().map(NameHash).collect())
}

fn read_members(root: load_report::Reader<'_>) -> Result<Vec<MemberRow>, capnp::Error> {
    let members = root.get_members()?;
    check_rows(members.len())?;
    let member = |row: member_row::Reader<'_>| MemberRow {
        instance: NameHash(row.get_instance()),
        address: SocketAddrV4::new(Ipv4Addr::from(row.get_ipv4()), row.get_port()),
    };
    Ok(members.iter().map(member).collect())
}

fn check_rows(rows: u32) -> Result<(), capnp::Error> {
    if rows > ROWS_MAX {
        return Err(capnp::Error::failed(format!(
            "a load message has {rows} rows; at most {ROWS_MAX} are read"
        )));
    }
    Ok(())
}

/// Reads a cost from a peer. What is no amount counts as zero: it would poison every sum that it enters,
/// and a peer that sends it is at fault, not the workspace.
fn valid_cost(cost: f32) -> f32 {
    if cost.is_finite() { cost.max(0.0) } else { 0.0 }
}
