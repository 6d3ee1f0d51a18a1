//! The datagram in which a daemon tells another of its load, and of what it knows.

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

/// The most rows of one list that are read.
const ROWS_MAX: u32 = 4_096;
/// The most eight-byte words that a message may name while it is read.
const TRAVERSAL_WORDS_MAX: usize = 64 << 10;

/// A daemon that the sender knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberRow {
    /// The instance.
    pub instance: NameHash,
    /// Where it hears datagrams.
    pub address: SocketAddrV4,
}

/// What one daemon tells another, unasked; lost ones are not sent again.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadMessage {
    /// The sending instance.
    pub instance: NameHash,
    /// Changes at every start of the sender.
    pub incarnation: u32,
    /// Grows by one with each round of messages.
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
    /// Backend servers that the sender knows to be leaving or gone.
    pub departures: Vec<NameHash>,
    /// Some of the daemons that the sender knows.
    pub members: Vec<MemberRow>,
}

impl LoadMessage {
    /// Encodes the message.
    ///
    /// # Errors
    /// The codec's; never for a message within memory.
    pub fn encode(&self) -> Result<Vec<u8>, capnp::Error> {
        let mut message = Builder::new_default();
        let mut root = message.init_root::<load_report::Builder<'_>>();
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
        let mut parts = root.reborrow().init_parts(self.load.prefixes.len() as u32);
        for (index, row) in (0..).zip(&self.load.prefixes) {
            let mut target = parts.reborrow().get(index);
            target.set_part(row.segment);
            target.set_server(row.server.0);
        }
        let mut leaving = root.reborrow().init_leaving(self.departures.len() as u32);
        for (index, server) in (0..).zip(&self.departures) {
            leaving.set(index, server.0);
        }
        let mut members = root.reborrow().init_members(self.members.len() as u32);
        for (index, row) in (0..).zip(&self.members) {
            let mut target = members.reborrow().get(index);
            target.set_instance(row.instance.0);
            target.set_ipv4(u32::from(*row.address.ip()));
            target.set_port(row.address.port());
        }
        let mut bytes = Vec::new();
        serialize_packed::write_message(&mut bytes, &message)?;
        Ok(bytes)
    }

    /// Decodes a message; every list is bounded.
    ///
    /// # Errors
    /// The bytes are no such message, or a list is longer than any daemon sends.
    pub fn decode(mut bytes: &[u8]) -> Result<Self, capnp::Error> {
        let mut options = ReaderOptions::new();
        options.traversal_limit_in_words(Some(TRAVERSAL_WORDS_MAX));
        let message = serialize_packed::read_message(&mut bytes, options)?;
        let root = message.get_root::<load_report::Reader<'_>>()?;
        let servers = root.get_servers()?;
        let workspaces = root.get_workspaces()?;
        let leaving = root.get_leaving()?;
        let members = root.get_members()?;
        let parts = root.get_parts()?;
        for rows in [
            servers.len(),
            workspaces.len(),
            leaving.len(),
            members.len(),
            parts.len(),
        ] {
            if rows > ROWS_MAX {
                return Err(capnp::Error::failed(format!(
                    "a load message has {rows} rows; at most {ROWS_MAX} are read"
                )));
            }
        }
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
            load: LoadReport {
                servers: servers
                    .iter()
                    .map(|row| ServerLoadRow {
                        server: NameHash(row.get_server()),
                        running: row.get_running(),
                        failure_rate: row.get_failure_rate(),
                        prefill_tokens: row.get_unread_tokens(),
                    })
                    .collect(),
                workspaces: workspaces
                    .iter()
                    .map(|row| WorkspaceUseRow {
                        workspace: NameHash(row.get_workspace()),
                        requested_cost: bounded(row.get_asked_cost()),
                        sent_cost: bounded(row.get_begun_cost()),
                    })
                    .collect(),
                prefixes: parts
                    .iter()
                    .map(|row| PrefixRow {
                        segment: row.get_part(),
                        server: NameHash(row.get_server()),
                    })
                    .collect(),
            },
            departures: leaving.iter().map(NameHash).collect(),
            members: members
                .iter()
                .map(|row| MemberRow {
                    instance: NameHash(row.get_instance()),
                    address: SocketAddrV4::new(Ipv4Addr::from(row.get_ipv4()), row.get_port()),
                })
                .collect(),
        })
    }
}

/// Takes a cost from a peer: what is no amount counts as nothing.
fn bounded(cost: f32) -> f32 {
    if cost.is_finite() { cost.max(0.0) } else { 0.0 }
}
