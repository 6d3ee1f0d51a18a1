//! Records of backend servers, as received from service discovery and from peers.

use std::net::SocketAddr;

use reedsail_core::NameHash;
use reedsail_core::StorePosition;
use reedsail_core::TimeMs;
use serde::Deserialize;
use serde::Serialize;

/// A backend server, as it announced itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerRecord {
    /// Its id. A server may restart under the same id; see [`ServerRecord::name`].
    pub id: String,
    /// The service that it belongs to.
    pub service: String,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: String,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it has announced that it is draining: it finishes its running requests and then departs. Peers fetch
    /// the field under its old name.
    #[serde(rename = "is_leaving")]
    pub is_draining: bool,
    /// How long it remains cold, in milliseconds from reading the record: a server handles few requests after a
    /// start. Zero for a warm server.
    #[serde(default)]
    pub cold_left_ms: u64,
    /// When it started, in milliseconds of Unix time by its own clock; `None` if the record does not say.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub born_ms: Option<u64>,
    /// The version of its software, not of a model's weights; `None` if the record comes from a peer of a release that
    /// does not send it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub software_version: Option<String>,
}

impl ServerRecord {
    /// Returns until when the server is cold, if the record was read at `now`; `None` for a warm server.
    pub fn cold_until(&self, now: TimeMs) -> Option<TimeMs> {
        (self.cold_left_ms > 0).then(|| now.plus_ms(self.cold_left_ms))
    }

    /// Returns the name of this incarnation of the server. Everything known about the server is stored under this
    /// name: load, cached segments, failures, connections, departures. A restarted server has a new name, so the
    /// state of an earlier incarnation never applies to it, and an old report never brings the earlier incarnation
    /// back.
    pub fn name(&self) -> NameHash {
        match self.born_ms {
            Some(born_ms) => NameHash::of(&format!("{}@{born_ms}", self.id)),
            None => NameHash::of(&self.id),
        }
    }
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
        /// The error.
        fault: String,
    },
}

impl ServerChange {
    /// Returns the id of the server.
    pub fn id(&self) -> &str {
        match self {
            Self::Announced(record) => &record.id,
            Self::Dropped { id } | Self::Unreadable { id, .. } => id,
        }
    }

    /// Returns the change with its position.
    pub fn at(self, as_of: StorePosition) -> PositionedChange {
        PositionedChange { as_of, change: self }
    }
}

/// A change with its position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PositionedChange {
    /// The position in the store's log as of which this is the newest record of the server: after the record, or the end
    /// of the log when its page of a whole list was read.
    pub as_of: StorePosition,
    /// The change.
    pub change: ServerChange,
}

/// An update from the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerUpdate {
    /// The position in the store's log up to which the records are known now.
    pub revision: StorePosition,
    /// Whether `changes` has all existing records, so that a server without a record is gone. Otherwise it has the
    /// changes since the previous read.
    pub is_whole: bool,
    /// The changes, in the order of the log; those of a whole list in the order of the ids.
    pub changes: Vec<PositionedChange>,
}

/// A server of which a list knows more than its own position in the store's log says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AheadOfList {
    /// The name of the server's incarnation.
    pub server: NameHash,
    /// The offset in the store's log as of which the server is known, in the era of the list.
    pub offset: u64,
    /// Whether the server is draining or has departed by then.
    #[serde(default)]
    pub is_departed: bool,
}

/// An instance's list of backend servers, or its difference from an earlier list, as peers fetch it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerListing {
    /// The position in the store's log up to which the list is known.
    #[serde(flatten)]
    pub revision: StorePosition,
    /// Time since the list was known to be current, in milliseconds.
    pub age_ms: u64,
    /// The servers.
    pub records: Vec<ServerRecord>,
    /// The ids of the servers whose record is missing and may have expired only because the store was unavailable.
    /// Empty if the sender does not know the field.
    #[serde(default)]
    pub suspects: Vec<String>,
    /// The digest of the list that `records` and `removed` are the difference from; `None` if `records` is the whole
    /// list.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub differs_from: Option<u64>,
    /// The ids of the servers that are no longer listed, in a difference.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub removed: Vec<String>,
    /// The servers that are known beyond `revision`: later pages of a whole list are newer than the first one.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub ahead: Vec<AheadOfList>,
}

/// Changes in how an instance uses its servers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UseChanges {
    /// Servers that are new or whose use has changed. Servers count as draining if a peer advertised their departure,
    /// or if their departure is kept against a backup of the store.
    pub used: Vec<ServerRecord>,
    /// Incarnations of servers that are no longer listed.
    pub gone: Vec<NameHash>,
}

impl UseChanges {
    /// Returns whether there are no changes.
    pub fn is_empty(&self) -> bool {
        self.used.is_empty() && self.gone.is_empty()
    }
}
