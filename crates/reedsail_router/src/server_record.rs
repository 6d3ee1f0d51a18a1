//! What service discovery says of backend servers.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// A backend server, as it announced itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerRecord {
    /// Its id; each start of a server has a new one.
    pub id: String,
    /// The service that it belongs to.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: String,
    /// How many requests it runs at once.
    pub slots: u32,
    /// It has said that it will leave.
    pub is_leaving: bool,
}

/// A change in the list of backend servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServerChange {
    /// A server announced itself, or repeated its announcement.
    Announced(ServerRecord),
    /// A server's record was dropped.
    Dropped {
        /// The server's id.
        id: String,
    },
    /// A record cannot be read.
    Unreadable {
        /// The server's id.
        id: String,
        /// What is wrong with it.
        fault: String,
    },
}

/// What a look at the store has shown.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServerNews {
    /// Changes since the last look, in their order.
    Changes(Vec<ServerChange>),
    /// Every record that there is; a server without one is gone.
    Everything(Vec<ServerChange>),
}
