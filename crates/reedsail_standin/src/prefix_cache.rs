//! The prompt prefixes that a model engine holds in its limited memory.

use std::collections::VecDeque;

/// Holds the most recently used prefixes.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    held_max: usize,
    held: VecDeque<u64>,
}

impl PrefixCache {
    pub(crate) fn new(held_max: usize) -> Self {
        Self {
            held_max,
            held: VecDeque::new(),
        }
    }

    /// Uses a prefix; returns whether it was held, and which prefix it pushed out.
    pub(crate) fn touch(&mut self, prefix: u64) -> (bool, Option<u64>) {
        let place = self.held.iter().position(|held| *held == prefix);
        if let Some(place) = place {
            self.held.remove(place);
        }
        self.held.push_back(prefix);
        let dropped = (self.held.len() > self.held_max)
            .then(|| self.held.pop_front())
            .flatten();
        (place.is_some(), dropped)
    }
}
