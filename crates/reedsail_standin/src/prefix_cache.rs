//! The cache of prompt prefixes of a model engine.

use std::collections::VecDeque;

/// A cache of the most recently used prefixes, the least recently used one first.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    capacity: usize,
    prefixes: VecDeque<u64>,
}

impl PrefixCache {
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            prefixes: VecDeque::new(),
        }
    }

    /// Uses a prefix. Returns whether it was cached, and the evicted prefix.
    pub(crate) fn touch(&mut self, prefix: u64) -> (bool, Option<u64>) {
        let position = self.prefixes.iter().position(|cached| *cached == prefix);
        if let Some(position) = position {
            self.prefixes.remove(position);
        }
        self.prefixes.push_back(prefix);
        let evicted = (self.prefixes.len() > self.capacity)
            .then(|| self.prefixes.pop_front())
            .flatten();
        (position.is_some(), evicted)
    }
}
