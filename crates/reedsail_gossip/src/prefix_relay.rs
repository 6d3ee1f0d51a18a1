//! Relay of prefix rows by an aggregator: which prompt segments were sent to which backend servers.
//!
//! A row is an event, not an amount: it is relayed once, in two messages since one may be lost.

use std::collections::HashMap;

use reedsail_core::TimeMs;
use reedsail_dispatch::PrefixRow;

/// Number of messages that contain a row.
const MESSAGES_PER_ROW: u8 = 2;
/// Maximum number of rows in a message, which keeps the reports of a few hundred instances within 4 kB.
const ROWS_MAX: usize = 512;
/// How long a repetition of a relayed row is ignored, in milliseconds: senders repeat each of their rows in their next
/// message.
const REPEAT_SUPPRESSED_MS: u64 = 4_000;
/// Maximum number of rows that are remembered as relayed. When it is reached, expired rows are evicted, and all
/// rows if that frees no space.
const RELAYED_ROWS_MAX: usize = 8_192;

/// Maximum number of pending rows; beyond it, the oldest are dropped.
const PENDING_MAX: usize = 2_048;

/// The rows to relay, and those relayed recently.
#[derive(Clone, Debug, Default)]
pub struct PrefixRelay {
    /// Each row with the number of messages that it has yet to be sent in.
    pending: Vec<(PrefixRow, u8)>,
    relayed_at: HashMap<PrefixRow, TimeMs>,
}

impl PrefixRelay {
    /// Adds the rows of a message.
    pub fn add(&mut self, rows: &[PrefixRow], now: TimeMs) {
        for row in rows {
            let relayed_at = self.relayed_at.get(row);
            if relayed_at.is_some_and(|at| now.since_ms(*at) < REPEAT_SUPPRESSED_MS) {
                continue;
            }
            self.evict_relayed(now);
            self.relayed_at.insert(*row, now);
            self.pending.push((*row, MESSAGES_PER_ROW));
        }
        let excess = self.pending.len().saturating_sub(PENDING_MAX);
        self.pending.drain(..excess);
    }

    /// Returns the rows for the next message.
    pub fn next_rows(&mut self) -> Vec<PrefixRow> {
        let count = self.pending.len().min(ROWS_MAX);
        let rows = self.pending[..count].iter().map(|(row, _)| *row).collect();
        for (_, messages_left) in &mut self.pending[..count] {
            *messages_left -= 1;
        }
        self.pending.retain(|(_, messages_left)| *messages_left > 0);
        rows
    }

    fn evict_relayed(&mut self, now: TimeMs) {
        if self.relayed_at.len() < RELAYED_ROWS_MAX {
            return;
        }
        self.relayed_at
            .retain(|_, at| now.since_ms(*at) < REPEAT_SUPPRESSED_MS);
        if self.relayed_at.len() >= RELAYED_ROWS_MAX {
            self.relayed_at.clear();
        }
    }
}
