//! The latest changes of a server list. They make it possible to send a peer that has an earlier version of the list
//! only the difference.
//!
//! Owns the digest before each change and the id of the changed server. The list itself supplies the records.

use std::collections::HashSet;
use std::collections::VecDeque;
use std::sync::Arc;

/// Minimum number of changes to keep. A peer that is further behind fetches the whole list.
const CHANGES_MIN: usize = 1_024;
/// Divisor of the list length up to which changes are kept: a longer difference is no shorter than the list.
const CHANGES_DIVISOR: usize = 2;

#[derive(Clone, Debug)]
struct Change {
    digest_before: u64,
    id: Arc<str>,
}

/// The latest changes, oldest first.
#[derive(Clone, Debug, Default)]
pub(crate) struct ListHistory {
    changes: VecDeque<Change>,
}

impl ListHistory {
    /// Records that a server changed. `servers` is the length of the list after the change.
    pub(crate) fn record(&mut self, digest_before: u64, id: &Arc<str>, servers: usize) {
        let changes_max = CHANGES_MIN.max(servers / CHANGES_DIVISOR);
        let excess = (self.changes.len() + 1).saturating_sub(changes_max);
        self.changes.drain(..excess);
        let id = Arc::clone(id);
        self.changes.push_back(Change { digest_before, id });
    }

    /// Returns the servers that changed since the list had the given digest, each once; `None` if that digest is
    /// unknown.
    pub(crate) fn since(&self, digest: u64) -> Option<HashSet<Arc<str>>> {
        let newest_first = self.changes.iter().rev();
        let index = newest_first
            .clone()
            .position(|change| change.digest_before == digest)?;
        let changed = newest_first.take(index + 1);
        Some(changed.map(|change| Arc::clone(&change.id)).collect())
    }
}
