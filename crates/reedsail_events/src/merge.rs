//! Merges the events of several processes.

use crate::Event;

/// Returns the events, without duplicates, in an order in which a cause precedes its effects; ties are ordered by
/// instance.
pub fn merge_events(mut events: Vec<Event>) -> Vec<Event> {
    events.sort_by(|a, b| (a.clock, &a.instance).cmp(&(b.clock, &b.instance)));
    events.dedup();
    events
}
