//! Which backend servers were lately sent which prompt parts, by this daemon or by a peer.

use std::collections::HashMap;

use reedsail_core::NameHash;
use reedsail_core::ServerKey;
use reedsail_core::TimeMs;
use twox_hash::XxHash64;

use crate::PrefixRow;

/// The most parts that are remembered.
const PARTS_MAX: usize = 8_192;
/// How long a server is taken to keep a part that nobody used since.
const KEPT_MS: u64 = 20_000;
/// Peers are told again of a part that is used on, so often.
const TELL_AGAIN_MS: u64 = 5_000;
/// In how many reports a row stands, since a report may be lost.
const REPORTS_PER_ROW: u8 = 2;
/// The most rows of one report.
const ROWS_MAX: usize = 256;

/// Returns the hash under which daemons speak of a part.
pub(crate) fn part_hash(id: u64) -> u32 {
    XxHash64::oneshot(0, &id.to_le_bytes()) as u32
}

#[derive(Clone, Copy, Debug)]
struct Use {
    server: ServerKey,
    used_at: TimeMs,
    told_at: TimeMs,
}

/// A hint, never a truth: a server may have dropped the part for want of memory.
#[derive(Clone, Debug, Default)]
pub(crate) struct PrefixMemory {
    parts: HashMap<u32, Vec<Use>>,
    /// Rows for the next reports, with the number of reports that they are still to stand in.
    untold: Vec<(PrefixRow, u8)>,
}

impl PrefixMemory {
    /// Records that this daemon sent a part to a server.
    pub(crate) fn record(&mut self, id: u64, server: ServerKey, name: NameHash, now: TimeMs) {
        let part = part_hash(id);
        let told_at = self.find(part, server).map_or(TimeMs(0), |known| known.told_at);
        let is_news = told_at == TimeMs(0) || now.since_ms(told_at) >= TELL_AGAIN_MS;
        let told_at = if is_news { now } else { told_at };
        self.insert(part, server, told_at, now);
        if is_news {
            let row = PrefixRow { part, server: name };
            self.untold.push((row, REPORTS_PER_ROW));
        }
    }

    /// Records that a peer did.
    pub(crate) fn hear(&mut self, part: u32, server: ServerKey, now: TimeMs) {
        self.insert(part, server, now, now);
    }

    /// Tells whether a server is likely to keep a part.
    pub(crate) fn has(&self, id: u64, server: ServerKey, now: TimeMs) -> bool {
        self.holders(id, now).any(|holder| holder == server)
    }

    /// Returns the servers that are likely to keep a part.
    pub(crate) fn holders(&self, id: u64, now: TimeMs) -> impl Iterator<Item = ServerKey> {
        self.parts
            .get(&part_hash(id))
            .into_iter()
            .flatten()
            .filter(move |known| now.since_ms(known.used_at) < KEPT_MS)
            .map(|known| known.server)
    }

    /// Returns the rows for this round's report.
    pub(crate) fn report(&mut self) -> Vec<PrefixRow> {
        let count = self.untold.len().min(ROWS_MAX);
        let rows = self.untold[..count].iter().map(|(row, _)| *row).collect();
        for (_, reports_left) in &mut self.untold[..count] {
            *reports_left -= 1;
        }
        self.untold.retain(|(_, reports_left)| *reports_left > 0);
        rows
    }

    fn find(&self, part: u32, server: ServerKey) -> Option<&Use> {
        let known = self.parts.get(&part)?;
        known.iter().find(|known| known.server == server)
    }

    fn insert(&mut self, part: u32, server: ServerKey, told_at: TimeMs, now: TimeMs) {
        if self.parts.len() >= PARTS_MAX && !self.parts.contains_key(&part) {
            self.forget_old(now);
        }
        let known = self.parts.entry(part).or_default();
        known.retain(|known| known.server != server && now.since_ms(known.used_at) < KEPT_MS);
        known.push(Use {
            server,
            used_at: now,
            told_at,
        });
    }

    fn forget_old(&mut self, now: TimeMs) {
        self.parts
            .retain(|_, known| known.iter().any(|known| now.since_ms(known.used_at) < KEPT_MS));
        if self.parts.len() >= PARTS_MAX {
            self.parts.clear();
        }
    }
}
