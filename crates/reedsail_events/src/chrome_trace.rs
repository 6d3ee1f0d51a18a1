//! Writes events in the trace event format of Chrome's trace viewer.

use serde_json::Value;
use serde_json::json;

use crate::Event;

/// Returns the trace as JSON: one row of instant events per instance, with timestamps in microseconds.
pub fn chrome_trace(events: &[Event]) -> Value {
    let instants: Vec<Value> = events
        .iter()
        .map(|event| {
            json!({
                "name": event.name,
                "ph": "i",
                "s": "t",
                "ts": event.unix_ms * 1_000,
                "pid": 1,
                "tid": event.instance,
                "args": { "clock": event.clock, "number": event.number, "fields": event.fields },
            })
        })
        .collect();
    json!({ "traceEvents": instants })
}
