//! Access to the fields of an event by name.

use reedsail_events::Event;

/// Returns a field as text, or an empty string if the event has no field of that name.
pub(crate) fn text(event: &Event, name: &str) -> String {
    event.fields.get(name).cloned().unwrap_or_default()
}

/// Returns a field as a number, or `None` if it is missing or a word such as `none` or `direct`.
pub(crate) fn number(event: &Event, name: &str) -> Option<u64> {
    event.fields.get(name)?.parse().ok()
}
