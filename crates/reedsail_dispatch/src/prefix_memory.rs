//! Which backend servers were lately sent which prompt parts by this daemon.

use std::collections::HashMap;

use reedsail_core::ServerKey;
use reedsail_core::TimeMs;

/// The most parts that are remembered.
const PARTS_MAX: usize = 4_096;
/// How long a server is taken to keep a part that nobody used since.
const KEPT_MS: u64 = 20_000;

/// A hint, never a truth: a server may have dropped the part for want of memory.
#[derive(Clone, Debug, Default)]
pub(crate) struct PrefixMemory {
    parts: HashMap<u64, Vec<(ServerKey, TimeMs)>>,
}

impl PrefixMemory {
    /// Records that a server was sent a part.
    pub(crate) fn record(&mut self, part: u64, server: ServerKey, now: TimeMs) {
        if self.parts.len() >= PARTS_MAX && !self.parts.contains_key(&part) {
            self.forget_old(now);
        }
        let servers = self.parts.entry(part).or_default();
        servers.retain(|(known, used_at)| *known != server && now.since_ms(*used_at) < KEPT_MS);
        servers.push((server, now));
    }

    /// Tells whether a server is likely to keep a part.
    pub(crate) fn has(&self, part: u64, server: ServerKey, now: TimeMs) -> bool {
        self.holders(part, now).any(|holder| holder == server)
    }

    /// Returns the servers that are likely to keep a part.
    pub(crate) fn holders(&self, part: u64, now: TimeMs) -> impl Iterator<Item = ServerKey> {
        self.parts
            .get(&part)
            .into_iter()
            .flatten()
            .filter(move |(_, used_at)| now.since_ms(*used_at) < KEPT_MS)
            .map(|(server, _)| *server)
    }

    fn forget_old(&mut self, now: TimeMs) {
        self.parts.retain(|_, servers| {
            servers
                .iter()
                .any(|(_, used_at)| now.since_ms(*used_at) < KEPT_MS)
        });
        if self.parts.len() >= PARTS_MAX {
            self.parts.clear();
        }
    }
}
