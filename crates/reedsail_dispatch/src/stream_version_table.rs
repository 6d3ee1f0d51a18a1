//! Stream versions: which software version began each stream that its caller may still continue.
//!
//! **Rule.** A stream is bound to the version of the server that sent its first event, under the id of that attempt,
//! until its caller's deadline, for [`STREAM_LIFE_MAX_MS`] at most. Attempts that continue the stream are bound under the same id. If one id is bound to two
//! versions, its caller has used it for two streams, and no version may continue either. Rows of this instance's own
//! streams are sent to peers while the service may have streams of another version (`version_history`), again when the
//! peers change. If there are too many rows, those are dropped that end first of the workspace with the most.
//!
//! **Inputs.** First events of streams at this instance, peers' rows.
//!
//! **Why.** A caller returns to any instance, also when the instance that served it has ended. What it may be given
//! depends on an event that only that instance saw.
//!
//! **Tested by** `tests/stream_versions.rs`, and `tests/stream_versions.rs` of `reedsail_simulation`.

use std::collections::BTreeSet;
use std::collections::HashMap;

use reedsail_core::NameHash;
use reedsail_core::TimeMs;

use crate::STREAM_HOLDERS;
use crate::STREAM_LIFE_MAX_MS;
use crate::SoftwareVersion;
use crate::StreamHolder;
use crate::StreamId;
use crate::StreamRow;

/// Maximum number of streams of a workspace, so that a workspace with many can't displace those of others.
const WORKSPACE_STREAMS_MAX: usize = 8_192;
/// Maximum number of streams, about 4 MB.
const STREAMS_MAX: usize = 32_768;

/// A stream that may be continued.
#[derive(Clone, Copy, Debug)]
struct BoundStream {
    service: NameHash,
    workspace: NameHash,
    version: Option<SoftwareVersion>,
    /// The caller's deadline.
    expires_at: TimeMs,
    /// Whether this instance served the stream.
    is_own: bool,
    /// The generation of peers for which the row was last sent; zero if it was not sent.
    sent_generation: u64,
    /// The peers that the row was sent to.
    holders: [Option<StreamHolder>; STREAM_HOLDERS],
}

impl BoundStream {
    fn row(&self, stream: StreamId, now: TimeMs) -> StreamRow {
        StreamRow {
            stream,
            service: self.service,
            workspace: self.workspace,
            version: self.version,
            left_ms: u32::try_from(self.expires_at.since_ms(now)).unwrap_or(u32::MAX),
        }
    }
}

/// A row that may have to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnsentRow {
    /// The row.
    pub row: StreamRow,
    /// The peers that it was sent to.
    pub holders: [Option<StreamHolder>; STREAM_HOLDERS],
}

/// The streams that may be continued.
#[derive(Clone, Debug, Default)]
pub struct StreamVersionTable {
    streams: HashMap<StreamId, BoundStream>,
    /// The streams of each workspace, in the order in which they expire.
    by_workspace: HashMap<NameHash, BTreeSet<(TimeMs, StreamId)>>,
}

impl StreamVersionTable {
    /// Binds a stream of this instance.
    pub fn bind(&mut self, row: &StreamRow, now: TimeMs) {
        self.insert(row, true, now);
    }

    /// Binds a stream that a peer told of.
    pub fn receive(&mut self, row: &StreamRow, now: TimeMs) {
        self.insert(row, false, now);
    }

    fn insert(&mut self, row: &StreamRow, is_own: bool, now: TimeMs) {
        let known = self.remove(row.stream).filter(|known| known.expires_at > now);
        let is_contradicted =
            known.is_some_and(|known| known.version != row.version || known.service != row.service);
        if known.is_none() {
            self.make_room(row.workspace);
        }
        // A row that has changed must be sent again.
        let sent = known.filter(|_| !is_contradicted);
        let expires_at = now.plus_ms(u64::from(row.left_ms).min(STREAM_LIFE_MAX_MS));
        let bound = BoundStream {
            service: row.service,
            workspace: row.workspace,
            version: row.version.filter(|_| !is_contradicted),
            expires_at: known.map_or(expires_at, |known| known.expires_at.max(expires_at)),
            is_own: is_own || known.is_some_and(|known| known.is_own),
            sent_generation: sent.map_or(0, |sent| sent.sent_generation),
            holders: sent.map_or([None; STREAM_HOLDERS], |sent| sent.holders),
        };
        let order = self.by_workspace.entry(bound.workspace).or_default();
        order.insert((bound.expires_at, row.stream));
        self.streams.insert(row.stream, bound);
    }

    fn remove(&mut self, stream: StreamId) -> Option<BoundStream> {
        let bound = self.streams.remove(&stream)?;
        if let Some(order) = self.by_workspace.get_mut(&bound.workspace) {
            order.remove(&(bound.expires_at, stream));
            if order.is_empty() {
                self.by_workspace.remove(&bound.workspace);
            }
        }
        Some(bound)
    }

    /// Drops a stream if there is no room for one more of a workspace.
    fn make_room(&mut self, workspace: NameHash) {
        let of_workspace = self.by_workspace.get(&workspace).map_or(0, BTreeSet::len);
        let crowded = if of_workspace >= WORKSPACE_STREAMS_MAX {
            Some(workspace)
        } else if self.streams.len() >= STREAMS_MAX {
            self.largest_workspace()
        } else {
            None
        };
        let streams = crowded.and_then(|crowded| self.by_workspace.get(&crowded));
        let first = streams.and_then(BTreeSet::first).copied();
        if let Some((_, stream)) = first {
            self.remove(stream);
        }
    }

    fn largest_workspace(&self) -> Option<NameHash> {
        let sizes = self
            .by_workspace
            .iter()
            .map(|(workspace, streams)| (streams.len(), *workspace));
        sizes.max().map(|(_, workspace)| workspace)
    }

    /// Returns a stream if it may still be continued.
    pub fn get(&self, stream: StreamId, now: TimeMs) -> Option<StreamRow> {
        let bound = self.streams.get(&stream).filter(|bound| bound.expires_at > now)?;
        Some(bound.row(stream, now))
    }

    /// Returns whether this instance itself served a stream.
    pub fn is_own(&self, stream: StreamId) -> bool {
        self.streams.get(&stream).is_some_and(|bound| bound.is_own)
    }

    /// Drops the streams whose callers' deadlines are over.
    pub fn tick(&mut self, now: TimeMs) {
        let mut expired = Vec::new();
        for streams in self.by_workspace.values() {
            let over = streams.iter().take_while(|(expires_at, _)| *expires_at <= now);
            expired.extend(over.map(|(_, stream)| *stream));
        }
        for stream in expired {
            self.remove(stream);
        }
    }

    /// Returns the services of this instance's own streams.
    pub fn own_services(&self) -> BTreeSet<NameHash> {
        let own = self.streams.values().filter(|bound| bound.is_own);
        own.map(|bound| bound.service).collect()
    }

    /// Returns the rows of this instance's own streams of some services that were not sent for this generation of peers,
    /// each with the peers that it was sent to.
    pub fn unsent(&self, services: &BTreeSet<NameHash>, generation: u64, now: TimeMs) -> Vec<UnsentRow> {
        let unsent = self.streams.iter().filter(|(_, bound)| {
            let is_due = bound.is_own && bound.sent_generation != generation && bound.expires_at > now;
            is_due && services.contains(&bound.service)
        });
        let rows = unsent.map(|(stream, bound)| UnsentRow {
            row: bound.row(*stream, now),
            holders: bound.holders,
        });
        rows.collect()
    }

    /// Records the peers that have a stream's row for a generation of peers.
    pub fn record_sent(
        &mut self,
        stream: StreamId,
        generation: u64,
        holders: [Option<StreamHolder>; STREAM_HOLDERS],
    ) {
        if let Some(bound) = self.streams.get_mut(&stream) {
            bound.sent_generation = generation;
            bound.holders = holders;
        }
    }

    /// Returns the number of streams by version.
    pub fn counts(&self) -> HashMap<Option<SoftwareVersion>, usize> {
        let mut counts = HashMap::new();
        for bound in self.streams.values() {
            *counts.entry(bound.version).or_default() += 1;
        }
        counts
    }

    /// Returns the number of streams.
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Returns whether there is no stream.
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }
}
