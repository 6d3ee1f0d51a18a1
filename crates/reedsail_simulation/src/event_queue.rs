//! Events in the order of their moments; those of one moment in the order in which they were added.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// A queue of events `E`, each at a moment in microseconds.
#[derive(Debug)]
pub(crate) struct EventQueue<E> {
    heap: BinaryHeap<Reverse<Entry<E>>>,
    added: u64,
}

#[derive(Debug)]
struct Entry<E> {
    at_us: u64,
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
        (self.at_us, self.number).cmp(&(other.at_us, other.number))
    }
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        Self {
            heap: BinaryHeap::new(),
            added: 0,
        }
    }
}

impl<E> EventQueue<E> {
    /// Adds an event.
    pub(crate) fn add(&mut self, at_us: u64, event: E) {
        self.added += 1;
        let number = self.added;
        self.heap.push(Reverse(Entry { at_us, number, event }));
    }

    /// Takes the next event and its moment.
    pub(crate) fn next(&mut self) -> Option<(u64, E)> {
        let Reverse(entry) = self.heap.pop()?;
        Some((entry.at_us, entry.event))
    }
}
