//! One event as a line of JSON.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

/// An event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// The logical clock (Lamport, 1978): greater than that of every event which may have caused it.
    pub clock: u64,
    /// The wall clock, in milliseconds since the Unix epoch; for people, never for order.
    pub unix_ms: u64,
    /// The instance that reports it.
    pub instance: String,
    /// The event's number.
    pub number: u16,
    /// The event's name.
    pub name: String,
    /// What it is about.
    pub fields: BTreeMap<String, String>,
}

impl Event {
    /// Writes the event as one line, without its end.
    pub fn to_line(&self) -> String {
        serde_json::to_string(self).expect("an event is always JSON")
    }

    /// Reads an event from a line.
    ///
    /// # Errors
    /// The line is not the JSON of an event.
    pub fn parse(line: &str) -> Result<Self, serde_json::Error> {
        serde_json::from_str(line)
    }
}
