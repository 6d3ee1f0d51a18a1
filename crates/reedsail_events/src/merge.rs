//! Merges the events of several processes.

use crate::Event;

/// Puts events into an order in which a cause comes before its effect; ties go by instance.
pub fn merge_events(mut events: Vec<Event>) -> Vec<Event> {
    events.sort_by(|a, b| (a.clock, &a.instance).cmp(&(b.clock, &b.instance)));
    events.dedup();
    events
}
