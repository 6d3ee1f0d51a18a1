//! An event and its serialization as one line of JSON.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

/// An event that a process reports.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// The logical clock (Lamport, 1978): greater than the clock of every event that may have caused this one.
    pub clock: u64,
    /// The wall clock, in milliseconds since the Unix epoch. It is informational; it never orders events.
    pub unix_ms: u64,
    /// The instance that reported the event.
    pub instance: String,
    /// The number of the event's kind.
    pub number: u16,
    /// The name of the event's kind.
    pub name: String,
    /// The details of the event, by key.
    pub fields: BTreeMap<String, String>,
}

impl Event {
    /// Returns the event as one line, without a line ending.
    pub fn to_line(&self) -> String {
        serde_json::to_string(self).expect("an event always serializes to JSON")
    }

    /// Parses an event from a line.
    ///
    /// # Errors
    /// The line is not the JSON form of an event.
    pub fn parse(line: &str) -> Result<Self, serde_json::Error> {
        serde_json::from_str(line)
    }
}
