//! Server ends: which backend servers have ended, and which requests were running there.
//!
//! **Rule.** After a connection broke, the instance connects to the server once more. If the connect succeeds, only
//! the connection broke. The server has ended if the connect is refused, as this instance or a peer found, or if the
//! server's record disappears within [`END_DETECTION_MAX_MS`] although the server was not draining. The broken
//! request then counts as running there when the server ended.
//!
//! **Inputs.** Attempts that broke, check connects, refused connects, the server list.
//!
//! **Why.** A broken connection does not prove that the server ended: connections are reset for many other reasons.
//! The difference decides whether a request is suspected of having ended the server (`quarantine`). Without the check
//! no instance might connect for seconds, since every instance with requests there counts the breaks as failures.
//!
//! **Tested by** `tests/server_ends.rs`.

use std::collections::VecDeque;

use reedsail_core::Fingerprint;
use reedsail_core::NameHash;
use reedsail_core::ServerKey;
use reedsail_core::TimeMs;

use crate::LifeState;
use crate::server_table::ServerTable;

/// How long after the break the end of a server is still attributed to the attempt, in milliseconds: longer than the
/// record of a crashed server remains, which was 3,300 ms at most.
const END_DETECTION_MAX_MS: u64 = 5_000;
/// How long before the break the server may already have been found down, in milliseconds: a busy thread may notice
/// the refused connect before it reads that another connection broke.
const FOUND_BEFORE_BREAK_MAX_MS: u64 = 500;
/// Maximum number of pending broken attempts; the oldest are dropped first.
const PENDING_ATTEMPTS_MAX: usize = 4_096;

/// A request whose connection to a server broke.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BrokenRequest {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The workspace that the request is charged to.
    pub workspace: NameHash,
    /// The service of the server.
    pub service: NameHash,
    /// Ids of the segments of its prompt before the last one.
    pub segments: Box<[u64]>,
    /// Number of events of the answer that had arrived.
    pub events: u32,
    /// Time since the head of the answer, in milliseconds; `None` if none had arrived.
    pub answered_ms: Option<u64>,
    /// When it was sent to the server.
    pub sent_at: TimeMs,
    /// When its connection broke.
    pub broke_at: TimeMs,
}

/// A server that has ended, with this instance's requests that were running there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerEnd {
    /// The server.
    pub server: ServerKey,
    /// Its name.
    pub name: NameHash,
    /// The requests.
    pub requests: Vec<BrokenRequest>,
}

impl ServerEnd {
    /// Returns when the first of the connections broke.
    pub(crate) fn ended_at(&self) -> TimeMs {
        let broke_at = self.requests.iter().map(|request| request.broke_at);
        broke_at.min().unwrap_or_default()
    }
}

/// Recently broken attempts.
#[derive(Clone, Debug, Default)]
pub(crate) struct BrokenAttempts {
    pending: VecDeque<(ServerKey, BrokenRequest)>,
    /// Servers that have not been checked yet.
    unchecked: Vec<ServerKey>,
}

impl BrokenAttempts {
    /// Records a broken attempt.
    pub(crate) fn record(&mut self, server: ServerKey, request: BrokenRequest) {
        if self.pending.len() >= PENDING_ATTEMPTS_MAX {
            self.pending.pop_front();
        }
        self.pending.push_back((server, request));
        if !self.unchecked.contains(&server) {
            self.unchecked.push(server);
        }
    }

    /// Returns the servers to check by a connect, each once after connections to it broke.
    pub(crate) fn take_unchecked(&mut self) -> Vec<ServerKey> {
        std::mem::take(&mut self.unchecked)
    }

    /// Drops the attempts that broke before a server was found running at `checked_at`.
    pub(crate) fn forget(&mut self, server: ServerKey, checked_at: TimeMs) {
        self.pending
            .retain(|(other, request)| *other != server || request.broke_at > checked_at);
    }

    /// Removes and returns the attempts whose server has ended, by server, and drops expired attempts.
    pub(crate) fn take_ends(&mut self, servers: &ServerTable, now: TimeMs) -> Vec<ServerEnd> {
        let mut ends: Vec<ServerEnd> = Vec::new();
        self.pending.retain(|(server, request)| {
            if !has_ended(servers, *server, request.broke_at) {
                return now.since_ms(request.broke_at) < END_DETECTION_MAX_MS;
            }
            match ends.iter_mut().find(|end| end.server == *server) {
                Some(end) => end.requests.push(request.clone()),
                None => ends.push(ServerEnd {
                    server: *server,
                    name: servers.get(*server).setup.name,
                    requests: vec![request.clone()],
                }),
            }
            false
        });
        ends
    }
}

/// Returns whether the server of a broken attempt is known to have ended. A draining server that disappears has shut
/// down as planned.
fn has_ended(servers: &ServerTable, key: ServerKey, broke_at: TimeMs) -> bool {
    let server = servers.get(key);
    let is_down = server
        .found_down_at
        .is_some_and(|found_at| found_at.plus_ms(FOUND_BEFORE_BREAK_MAX_MS) >= broke_at);
    let is_unlisted = server.life.state(broke_at) == LifeState::Departed;
    is_down || (is_unlisted && !server.setup.is_draining)
}
