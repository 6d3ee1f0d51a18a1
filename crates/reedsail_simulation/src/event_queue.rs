//! A queue of events in the order of their times. Events with the same time keep the order in which they were added.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// A queue of events `E`, each with a time. All times of one queue have the same unit.
#[derive(Debug)]
pub(crate) struct EventQueue<E> {
    heap: BinaryHeap<Reverse<Entry<E>>>,
    events_added: u64,
}

#[derive(Debug)]
struct Entry<E> {
    at: u64,
    number: u64,
    event: E,
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl<E> Eq for Entry<E> {}

impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Entry<E> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        Self {
            heap: BinaryHeap::new(),
            events_added: 0,
        }
    }
}

impl<E> EventQueue<E> {
    /// Adds an event at a time.
    pub(crate) fn add(&mut self, at: u64, event: E) {
        self.events_added += 1;
        let number = self.events_added;
        self.heap.push(Reverse(Entry { at, number, event }));
    }

    /// Removes the next event and returns it with its time.
    pub(crate) fn next(&mut self) -> Option<(u64, E)> {
        let Reverse(entry) = self.heap.pop()?;
        Some((entry.at, entry.event))
    }
}
