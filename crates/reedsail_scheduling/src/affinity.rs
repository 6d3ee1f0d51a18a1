//! Which backend server probably has a prompt's prefix in its cache: a hint, never a truth.
//!
//! One server a prefix, by this daemon's own dispatches and the engines' cache events. The router's memory
//! is another (`prefix_cache_index` of `reedsail_dispatch`): several servers a segment, reported among instances.

use std::collections::HashMap;

use reedsail_core::ServerKey;
use reedsail_core::TimeMs;

/// The most prefixes that are remembered; the oldest go first.
const PREFIXES_MAX: usize = 4_096;
/// After this long without use, a prefix is taken to have left the cache.
const PREFIX_AGE_MAX_MS: u64 = 120_000;

#[derive(Clone, Copy, Debug)]
struct Hint {
    server: ServerKey,
    used_at: TimeMs,
}

/// Remembers, within bounds, the server that last served each prompt prefix.
#[derive(Clone, Debug, Default)]
pub struct AffinityTable {
    hints: HashMap<u64, Hint>,
}

impl AffinityTable {
    /// Finds the server that likely holds the prefix, if the hint is not too old.
    pub fn find(&self, prefix: u64, now: TimeMs) -> Option<ServerKey> {
        let hint = self.hints.get(&prefix)?;
        (now.since_ms(hint.used_at) <= PREFIX_AGE_MAX_MS).then_some(hint.server)
    }

    /// Records that a server now holds the prefix, by a dispatch or a cache event.
    pub fn record(&mut self, prefix: u64, server: ServerKey, now: TimeMs) {
        if self.hints.len() >= PREFIXES_MAX && !self.hints.contains_key(&prefix) {
            self.shed_older_half();
        }
        let used_at = now;
        self.hints.insert(prefix, Hint { server, used_at });
    }

    /// Forgets a prefix that the server says it dropped; a late event about another is ignored.
    pub fn forget(&mut self, prefix: u64, server: ServerKey) {
        if self.hints.get(&prefix).is_some_and(|hint| hint.server == server) {
            self.hints.remove(&prefix);
        }
    }

    /// Returns how many prefixes are remembered.
    pub fn len(&self) -> usize {
        self.hints.len()
    }

    /// Tells whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.hints.is_empty()
    }

    fn shed_older_half(&mut self) {
        let mut times: Vec<TimeMs> = self.hints.values().map(|hint| hint.used_at).collect();
        let middle = times.len() / 2;
        let (_, median, _) = times.select_nth_unstable(middle);
        let median = *median;
        self.hints.retain(|_, hint| hint.used_at > median);
    }
}
