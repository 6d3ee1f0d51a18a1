//! The response bodies of the platform.

use std::net::SocketAddr;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;

/// The position of an appended record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Appended {
    /// Its offset.
    pub offset: u64,
}

/// A range of records of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogPage {
    /// The offset of the oldest record that the log still retains.
    pub first_offset: u64,
    /// The offset that the next append will get.
    pub next_offset: u64,
    /// The records from the requested offset on, in order.
    pub records: Vec<LogRecord>,
}

/// A record of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRecord {
    /// Its offset.
    pub offset: u64,
    /// When the log appended it, in milliseconds since the Unix epoch, by the log's clock.
    pub appended_unix_ms: u64,
    /// Its bytes, in Base64 on the wire.
    #[serde(serialize_with = "to_base64", deserialize_with = "from_base64")]
    pub data: Vec<u8>,
}

/// The kind of an entry in the instance list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceKind {
    /// An instance of the router fleet.
    Daemon,
    /// A backend server.
    Server,
}

/// The state of an entry in the instance list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// The entry is in service.
    Live,
    /// The entry will leave soon.
    Leaving,
    /// The entry has left.
    Gone,
}

/// An entry of the instance list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Its name.
    pub name: String,
    /// Its kind.
    pub kind: InstanceKind,
    /// Its failure domain.
    pub failure_domain: String,
    /// The address for peers or requests.
    pub address: SocketAddr,
    /// Its state.
    pub state: InstanceState,
}

/// The changes of the instance list since a version. The list lags behind the actual state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceList {
    /// The version from which to request the next changes.
    pub version: u64,
    /// The changed entries.
    pub instances: Vec<Instance>,
}

fn to_base64<S: Serializer>(data: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_str(&STANDARD.encode(data))
}

fn from_base64<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
    let text = String::deserialize(deserializer)?;
    STANDARD.decode(text).map_err(serde::de::Error::custom)
}
