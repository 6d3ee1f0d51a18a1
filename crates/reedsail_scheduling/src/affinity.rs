//! Remembers which backend server probably holds a prompt's prefix in its cache. An entry is a hint and may
//! be wrong.
//!
//! The table keeps one server per prefix, from this instance's own dispatches and the cache events of the
//! servers. The router's table (`prefix_cache_index` of `reedsail_dispatch`) is separate: it keeps several
//! servers per segment and is shared among instances.

use std::collections::HashMap;

use reedsail_core::ServerKey;
use reedsail_core::TimeMs;

/// The maximum number of prefixes in the table; the oldest are evicted first.
const PREFIXES_MAX: usize = 4_096;
/// A prefix unused for longer than this is assumed to be evicted from the server's cache.
const PREFIX_AGE_MAX_MS: u64 = 120_000;

#[derive(Clone, Copy, Debug)]
struct Hint {
    server: ServerKey,
    used_at: TimeMs,
}

/// A bounded table of the server that last served each prompt prefix.
#[derive(Clone, Debug, Default)]
pub struct AffinityTable {
    hints: HashMap<u64, Hint>,
}

impl AffinityTable {
    /// Returns the server that likely holds the prefix, unless the hint is too old.
    pub fn find(&self, prefix: u64, now: TimeMs) -> Option<ServerKey> {
        let hint = self.hints.get(&prefix)?;
        (now.since_ms(hint.used_at) <= PREFIX_AGE_MAX_MS).then_some(hint.server)
    }

    /// Records that a server now holds the prefix, after a dispatch or a cache event.
    pub fn record(&mut self, prefix: u64, server: ServerKey, now: TimeMs) {
        if self.hints.len() >= PREFIXES_MAX && !self.hints.contains_key(&prefix) {
            self.evict_older_half();
        }
        let used_at = now;
        self.hints.insert(prefix, Hint { server, used_at });
    }

    /// Removes a prefix that the server reports as evicted. Ignores a late event from a server that is no
    /// longer the hint.
    pub fn forget(&mut self, prefix: u64, server: ServerKey) {
        if self.hints.get(&prefix).is_some_and(|hint| hint.server == server) {
            self.hints.remove(&prefix);
        }
    }

    /// Returns the number of prefixes in the table.
    pub fn len(&self) -> usize {
        self.hints.len()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.hints.is_empty()
    }

    fn evict_older_half(&mut self) {
        let mut use_times: Vec<TimeMs> = self.hints.values().map(|hint| hint.used_at).collect();
        let middle = use_times.len() / 2;
        let (_, median, _) = use_times.select_nth_unstable(middle);
        let median = *median;
        self.hints.retain(|_, hint| hint.used_at > median);
    }
}
