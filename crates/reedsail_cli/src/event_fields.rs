//! The fields of an event, by name.

use reedsail_events::Event;

/// Returns a field as text; empty if the event has none of that name.
pub(crate) fn text(event: &Event, name: &str) -> String {
    event.fields.get(name).cloned().unwrap_or_default()
}

/// Reads a number; a field such as `none` or `direct` has none.
pub(crate) fn number(event: &Event, name: &str) -> Option<u64> {
    event.fields.get(name)?.parse().ok()
}
