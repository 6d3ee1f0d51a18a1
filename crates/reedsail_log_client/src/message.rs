//! The bodies of the platform's answers.

use std::net::SocketAddr;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;

/// Where a record was appended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Appended {
    /// Its offset.
    pub offset: u64,
}

/// A part of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogPage {
    /// The offset of the oldest record that is still kept.
    pub first_offset: u64,
    /// The offset that the next append will get.
    pub next_offset: u64,
    /// Records from the offset asked for, in order.
    pub records: Vec<LogRecord>,
}

/// A record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRecord {
    /// Its offset.
    pub offset: u64,
    /// When the log took it in, in milliseconds since the Unix epoch, by the log's clock.
    pub appended_unix_ms: u64,
    /// Its bytes, in Base64 on the wire.
    #[serde(serialize_with = "to_base64", deserialize_with = "from_base64")]
    pub data: Vec<u8>,
}

/// What an instance is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceKind {
    /// A daemon of the router fleet.
    Daemon,
    /// A backend server.
    Server,
}

/// Whether an instance stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// It stays.
    Live,
    /// It is about to go.
    Leaving,
    /// It is gone.
    Gone,
}

/// One row of the instance list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Its name.
    pub name: String,
    /// What it is.
    pub kind: InstanceKind,
    /// Its failure domain.
    pub failure_domain: String,
    /// Where peers, or requests, reach it.
    pub address: SocketAddr,
    /// Whether it stays.
    pub state: InstanceState,
}

/// What changed in the instance list since a version; it lags behind what it describes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceList {
    /// The version to ask from next time.
    pub version: u64,
    /// The rows that changed.
    pub instances: Vec<Instance>,
}

fn to_base64<S: Serializer>(data: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_str(&STANDARD.encode(data))
}

fn from_base64<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
    let text = String::deserialize(deserializer)?;
    STANDARD.decode(text).map_err(serde::de::Error::custom)
}
