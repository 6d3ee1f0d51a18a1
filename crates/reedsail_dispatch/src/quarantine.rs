//! Quarantine: which requests are no longer sent because servers end while running them.
//!
//! **Rule.** A request is suspected of the end of a server if its connection broke when that server ended
//! (`server_ends`). A request is quarantined, and every instance refuses it, once [`SERVERS_TO_QUARANTINE`]
//! different starts of servers have ended while running it and none has answered it completely since. A
//! complete answer at any instance clears the request. A suspected request is forgotten [`SUSPECT_KEPT_MS`]
//! after it was last seen.
//!
//! **Inputs.** Ends of servers with the requests that broke off there, complete answers, peers' rows.
//!
//! **Why.** A request that crashes an engine takes down everything that runs there, and its retries arrive at
//! other instances as new requests. The request that caused a crash shows only by being present again when
//! the next server ends; the other requests on a crashed server are answered when they are retried. If
//! several servers end together, hundreds of requests see one end each, but hardly any request sees three
//! ends in a row without an answer.
//!
//! **Spread.** In its load reports, each instance announces the suspected requests that it has observed
//! itself, and all requests for which two or more servers have ended. It announces a request for
//! [`ANNOUNCE_DURATION_MS`] when the request is new or a peer has joined, and again every
//! [`ANNOUNCE_INTERVAL_MS`] to make up for lost reports. The ends of a request form a set, so an end that is
//! received twice counts once.
//!
//! **Tested by** `tests/quarantine.rs`, and `tests/poison_request.rs` of `reedsail_simulation`.

use std::collections::BTreeMap;
use std::collections::HashMap;

use reedsail_core::Fingerprint;
use reedsail_core::NameHash;
use reedsail_core::TimeMs;

use crate::BrokenRequest;
use crate::SuspectRow;

/// Number of servers that end while running a request before it is quarantined. Users tolerate three.
pub const SERVERS_TO_QUARANTINE: usize = 3;
/// How long a suspected request is kept after it was last seen, in milliseconds: long enough for a caller
/// that retries occasionally, and short enough that a release that fixes the engine takes effect soon.
const SUSPECT_KEPT_MS: u64 = 600_000;
/// How long a change of a request is announced, in milliseconds: five report intervals of the smallest
/// fleets, because some reports may be lost.
const ANNOUNCE_DURATION_MS: u64 = 500;
/// Interval at which suspected requests are announced again, in milliseconds: shorter than the 3,000 ms
/// within which an instance must learn what its peers know.
const ANNOUNCE_INTERVAL_MS: u64 = 2_000;
/// How much earlier than an end an answer may be and still clear it, in milliseconds. Reports contain the
/// ages of both, which do not include the transmission time.
const CLEAR_SLACK_MS: u64 = 1_000;
/// Maximum number of suspected requests of a workspace, so that a workspace with many cannot evict those of
/// others.
const WORKSPACE_SUSPECTS_MAX: usize = 256;
/// Maximum number of suspected requests, about 0.5 MB.
const SUSPECTS_MAX: usize = 4_096;
/// Maximum number of rows in a report: 2 kB.
const ROWS_MAX: usize = 64;

/// What an instance knows about a suspected request.
#[derive(Clone, Debug)]
struct Suspect {
    workspace: NameHash,
    /// Starts of servers that ended while running the request. No more are added once it is quarantined.
    servers: Vec<NameHash>,
    /// When the last of these servers ended.
    ended_at: TimeMs,
    /// When the request was last answered completely.
    answered_at: Option<TimeMs>,
    /// When the request last arrived, was present at the end of a server, or was answered.
    seen_at: TimeMs,
    announced_until: TimeMs,
    /// Whether this instance has observed an end or an answer itself, and therefore announces the request.
    is_observed_here: bool,
}

impl Suspect {
    fn new(workspace: NameHash, now: TimeMs) -> Self {
        Self {
            workspace,
            servers: Vec::new(),
            ended_at: TimeMs(0),
            answered_at: None,
            seen_at: now,
            announced_until: TimeMs(0),
            is_observed_here: false,
        }
    }

    fn is_quarantined(&self) -> bool {
        self.servers.len() >= SERVERS_TO_QUARANTINE
    }

    /// Returns whether an answer clears an end.
    fn clears(answered_at: TimeMs, ended_at: TimeMs) -> bool {
        ended_at <= answered_at.plus_ms(CLEAR_SLACK_MS)
    }

    fn is_announced(&self, fingerprint: Fingerprint, now: TimeMs) -> bool {
        let is_announcer = self.is_observed_here || self.servers.len() > 1;
        // Requests are announced in different phases, so that reports stay small.
        let phase = now.0.wrapping_add(fingerprint.0 as u64 % ANNOUNCE_INTERVAL_MS) % ANNOUNCE_INTERVAL_MS;
        is_announcer && (now < self.announced_until || phase < ANNOUNCE_DURATION_MS)
    }

    fn row(&self, fingerprint: Fingerprint, now: TimeMs) -> SuspectRow {
        let changed_at = self.answered_at.filter(|_| self.servers.is_empty());
        SuspectRow {
            fingerprint,
            workspace: self.workspace,
            servers: self.servers.clone(),
            changed_ms_ago: age_ms(changed_at.unwrap_or(self.ended_at), now),
            seen_ms_ago: age_ms(self.seen_at, now),
        }
    }
}

/// Returns the age for a row, saturated at the largest value of the field.
fn age_ms(at: TimeMs, now: TimeMs) -> u32 {
    u32::try_from(now.since_ms(at)).unwrap_or(u32::MAX)
}

fn time_ago(ms_ago: u32, now: TimeMs) -> TimeMs {
    TimeMs(now.0.saturating_sub(u64::from(ms_ago)))
}

/// A change of a request's quarantine state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineChange {
    /// The request is no longer sent.
    Quarantined,
    /// The request was answered and may be sent again.
    Cleared,
    /// The request was not seen for a long time and may be sent again.
    Forgotten,
}

/// A request that entered or left quarantine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantineEvent {
    /// The request's fingerprint.
    pub fingerprint: Fingerprint,
    /// The workspace that the request is charged to.
    pub workspace: NameHash,
    /// The change of its quarantine state.
    pub change: QuarantineChange,
}

/// All suspected requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct Quarantine {
    suspects: BTreeMap<Fingerprint, Suspect>,
    events: Vec<QuarantineEvent>,
}

impl Quarantine {
    /// Records that a server ended while running a request of this instance.
    pub(crate) fn record_end(&mut self, request: &BrokenRequest, server: NameHash, now: TimeMs) {
        let suspect = self.suspect(request.fingerprint, request.workspace, now);
        suspect.is_observed_here = true;
        suspect.seen_at = now;
        self.add_ends(request.fingerprint, &[server], request.broke_at, now);
    }

    /// Records that this instance received a complete answer to a request.
    pub(crate) fn record_answer(&mut self, fingerprint: Fingerprint, now: TimeMs) {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
            return;
        };
        if suspect.servers.is_empty() {
            return;
        }
        suspect.is_observed_here = true;
        suspect.seen_at = now;
        self.clear(fingerprint, now, now);
    }

    /// Returns whether a request must not be sent, and records that it was seen.
    pub(crate) fn refuses(&mut self, fingerprint: Fingerprint, now: TimeMs) -> bool {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
            return false;
        };
        suspect.seen_at = now;
        suspect.is_quarantined()
    }

    /// Announces all suspected requests at once, for a peer that has just joined. A newly started instance
    /// knows no suspects. It would send a quarantined request once more itself, since the next announcement
    /// within [`ANNOUNCE_INTERVAL_MS`] may be up to two seconds away.
    pub(crate) fn announce_all(&mut self, now: TimeMs) {
        for suspect in self.suspects.values_mut() {
            suspect.announced_until = now.plus_ms(ANNOUNCE_DURATION_MS);
        }
    }

    /// Merges a peer's rows.
    pub(crate) fn merge(&mut self, rows: &[SuspectRow], now: TimeMs) {
        for row in rows {
            if u64::from(row.seen_ms_ago) >= SUSPECT_KEPT_MS {
                continue;
            }
            let seen_at = time_ago(row.seen_ms_ago, now);
            let suspect = self.suspect(row.fingerprint, row.workspace, now);
            suspect.seen_at = suspect.seen_at.max(seen_at);
            let changed_at = time_ago(row.changed_ms_ago, now);
            if row.servers.is_empty() {
                self.clear(row.fingerprint, changed_at, now);
            } else {
                self.add_ends(row.fingerprint, &row.servers, changed_at, now);
            }
        }
    }

    /// Adds unknown ends of servers, unless an answer has cleared them.
    fn add_ends(&mut self, fingerprint: Fingerprint, servers: &[NameHash], ended_at: TimeMs, now: TimeMs) {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
            return;
        };
        let answered_at = suspect.answered_at;
        if answered_at.is_some_and(|answered_at| Suspect::clears(answered_at, ended_at)) {
            // A peer that still announces these ends has not received the answer.
            suspect.announced_until = now.plus_ms(ANNOUNCE_DURATION_MS);
            return;
        }
        let was_quarantined = suspect.is_quarantined();
        let known = suspect.servers.len();
        for server in servers {
            if !suspect.is_quarantined() && !suspect.servers.contains(server) {
                suspect.servers.push(*server);
            }
        }
        if suspect.servers.len() > known {
            suspect.ended_at = suspect.ended_at.max(ended_at);
            suspect.announced_until = now.plus_ms(ANNOUNCE_DURATION_MS);
        }
        if suspect.is_quarantined() && !was_quarantined {
            self.report(fingerprint, QuarantineChange::Quarantined);
        }
    }

    /// Records an answer at `answered_at`, which clears the ends before it.
    fn clear(&mut self, fingerprint: Fingerprint, answered_at: TimeMs, now: TimeMs) {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
            return;
        };
        suspect.answered_at = suspect.answered_at.max(Some(answered_at));
        if suspect.servers.is_empty() || !Suspect::clears(answered_at, suspect.ended_at) {
            return;
        }
        let was_quarantined = suspect.is_quarantined();
        suspect.servers.clear();
        suspect.announced_until = now.plus_ms(ANNOUNCE_DURATION_MS);
        if was_quarantined {
            self.report(fingerprint, QuarantineChange::Cleared);
        }
    }

    /// Forgets requests that were not seen for [`SUSPECT_KEPT_MS`].
    pub(crate) fn tick(&mut self, now: TimeMs) {
        let is_expired = |suspect: &Suspect| now.since_ms(suspect.seen_at) >= SUSPECT_KEPT_MS;
        let expired = self.suspects.iter().filter(|(_, suspect)| is_expired(suspect));
        let expired: Vec<Fingerprint> = expired.map(|(fingerprint, _)| *fingerprint).collect();
        for fingerprint in expired {
            self.forget(fingerprint);
        }
    }

    fn forget(&mut self, fingerprint: Fingerprint) {
        let is_quarantined = self
            .suspects
            .get(&fingerprint)
            .is_some_and(Suspect::is_quarantined);
        if is_quarantined {
            self.report(fingerprint, QuarantineChange::Forgotten);
        }
        self.suspects.remove(&fingerprint);
    }

    fn report(&mut self, fingerprint: Fingerprint, change: QuarantineChange) {
        if let Some(suspect) = self.suspects.get(&fingerprint) {
            self.events.push(QuarantineEvent {
                fingerprint,
                workspace: suspect.workspace,
                change,
            });
        }
    }

    /// Returns the changes since the last call.
    pub(crate) fn take_events(&mut self) -> Vec<QuarantineEvent> {
        std::mem::take(&mut self.events)
    }

    /// Returns the number of quarantined requests.
    pub(crate) fn count(&self) -> usize {
        let suspects = self.suspects.values();
        suspects.filter(|suspect| suspect.is_quarantined()).count()
    }

    /// Returns the rows for the next load report: those with the most ends first, then the newest ones.
    pub(crate) fn rows(&self, now: TimeMs) -> Vec<SuspectRow> {
        let announced = self
            .suspects
            .iter()
            .filter(|(fingerprint, suspect)| suspect.is_announced(**fingerprint, now));
        let mut rows: Vec<SuspectRow> = announced
            .map(|(fingerprint, suspect)| suspect.row(*fingerprint, now))
            .collect();
        SuspectRow::keep_strongest(&mut rows, ROWS_MAX);
        rows
    }

    fn suspect(&mut self, fingerprint: Fingerprint, workspace: NameHash, now: TimeMs) -> &mut Suspect {
        if !self.suspects.contains_key(&fingerprint) {
            self.evict_if_full(workspace);
        }
        let suspects = &mut self.suspects;
        suspects
            .entry(fingerprint)
            .or_insert_with(|| Suspect::new(workspace, now))
    }

    /// Evicts a request before a request of `workspace` is added, if there are too many: a request of this
    /// workspace if it has too many itself, or one of the workspace with the most if the total is too high.
    /// The evicted request is the one with the fewest ends and, among these, the one seen least recently.
    fn evict_if_full(&mut self, workspace: NameHash) {
        let of_workspace = |workspace: NameHash| {
            let suspects = self.suspects.values();
            suspects
                .filter(move |suspect| suspect.workspace == workspace)
                .count()
        };
        let evicted_workspace = if of_workspace(workspace) >= WORKSPACE_SUSPECTS_MAX {
            workspace
        } else if self.suspects.len() >= SUSPECTS_MAX {
            self.largest_workspace()
        } else {
            return;
        };
        let evictable = self
            .suspects
            .iter()
            .filter(|(_, suspect)| suspect.workspace == evicted_workspace);
        let evicted = evictable.min_by_key(|(_, suspect)| (suspect.servers.len(), suspect.seen_at));
        if let Some(fingerprint) = evicted.map(|(fingerprint, _)| *fingerprint) {
            self.forget(fingerprint);
        }
    }

    fn largest_workspace(&self) -> NameHash {
        let mut counts: HashMap<NameHash, usize> = HashMap::new();
        for suspect in self.suspects.values() {
            *counts.entry(suspect.workspace).or_default() += 1;
        }
        let largest = counts
            .into_iter()
            .max_by_key(|(workspace, count)| (*count, *workspace));
        largest.map_or_else(NameHash::default, |(workspace, _)| workspace)
    }
}
