//! Quarantine: which requests, and which segments of prompts, are no longer sent because servers end while running them.
//!
//! **Rule.** A request is suspected of the end of a server if its connection broke when that server ended
//! (`server_ends`). A request is quarantined, and every instance refuses it, once [`SERVERS_TO_QUARANTINE`]
//! different starts of servers have ended while running it and none has answered it completely since. A
//! complete answer at any instance clears the request. A suspected request is forgotten [`SUSPECT_KEPT_MS`]
//! after it was last seen.
//!
//! A segment before the last of a prompt is suspected if the server had just begun to write the answer when it ended.
//! `segment_evidence` has the rule of when it is quarantined. A complete answer to any request of the workspace with the
//! segment clears it.
//!
//! **Inputs.** Ends of servers with the requests that broke off there, complete answers, peers' rows.
//!
//! **Why.** A request that crashes an engine takes down everything that runs there, and its retries arrive at
//! other instances as new requests. The request that caused a crash shows only by being present again when
//! the next server ends; the other requests on a crashed server are answered when they are retried. If
//! several servers end together, hundreds of requests see one end each, but hardly any request sees three
//! ends in a row without an answer. What crashes an engine may also be a part that many requests share, each of which is
//! sent once.
//!
//! **Spread.** In its load reports, each instance announces the suspects that it has observed
//! itself, and all for which two or more servers have ended: when a suspect is new or a peer has joined, and again at
//! intervals to make up for lost reports. The ends of a suspect form a set, so an end that is
//! received twice counts once.
//!
//! **Tested by** `tests/quarantine.rs`, `tests/segment_quarantine.rs`, and `tests/poison_request.rs` and
//! `tests/poison_segment.rs` of `reedsail_simulation`.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::ops::RangeInclusive;

use reedsail_core::Fingerprint;
use reedsail_core::NameHash;
use reedsail_core::TimeMs;

use crate::Attempt;
use crate::BrokenRequest;
use crate::Demand;
use crate::Prompt;
use crate::SegmentId;
use crate::SegmentKey;
use crate::SuspectKey;
use crate::SuspectRow;
use crate::segment_evidence::SegmentEvidence;
use crate::suspect::Suspect;
use crate::suspect::SuspectEnd;
use crate::suspect::time_ago;

/// Number of servers that end while running a request before it is quarantined. Users tolerate three.
pub const SERVERS_TO_QUARANTINE: usize = 3;
/// How long a suspect is kept after it was last seen, in milliseconds: long enough for a caller
/// that retries occasionally, and short enough that a release that fixes the engine takes effect soon.
const SUSPECT_KEPT_MS: u64 = 600_000;
/// Time after the last end until a request with a quarantined segment is sent to see whether it still ends servers, in
/// milliseconds.
const PROBE_AFTER_MS: u64 = 600_000;
/// Time over which the instances of a fleet spread these probes, in milliseconds: the end of the first one holds the
/// others back.
const PROBE_SPREAD_MS: u64 = 600_000;
/// Odd factor that spreads the names of instances and segments over the time of the probes (Fibonacci hashing).
const PROBE_HASH_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;
/// Time in which an instance sends at most one such request, in milliseconds.
const PROBE_INTERVAL_MS: u64 = 60_000;
/// Maximum number of suspects of a kind of a workspace, so that a workspace with many cannot evict those of
/// others.
const WORKSPACE_SUSPECTS_MAX: usize = 256;
/// Maximum number of suspects, about 0.5 MB.
const SUSPECTS_MAX: usize = 4_096;
/// Maximum number of rows in a report: 2 kB of requests, or 4 kB of segments.
const ROWS_MAX: usize = 64;

/// A change of a suspect's quarantine state, or of the evidence against a segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineChange {
    /// A server has ended under a segment, as this instance observed.
    EndCounted,
    /// An answer of this instance has cleared ends of servers under a segment.
    EndsCleared,
    /// It is no longer sent.
    Quarantined,
    /// It was answered and may be sent again.
    Cleared,
    /// It was not seen for a long time and may be sent again.
    Forgotten,
}

/// A request or segment that entered or left quarantine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantineEvent {
    /// The request or segment.
    pub key: SuspectKey,
    /// The workspace that its requests are charged to.
    pub workspace: NameHash,
    /// The change of its quarantine state.
    pub change: QuarantineChange,
    /// Number of servers that have ended under it, in requests of the workspace, and that no answer has cleared.
    pub ends: usize,
    /// How long the answer had been written that a server ended or that cleared ends, in milliseconds; `None` without a
    /// head, and for other changes.
    pub answered_ms: Option<u64>,
}

/// All suspects.
#[derive(Clone, Debug, Default)]
pub(crate) struct Quarantine {
    suspects: BTreeMap<SuspectKey, Suspect>,
    /// The segments with enough evidence against any workspace.
    quarantined: Vec<SegmentId>,
    /// When the last request with a quarantined segment was let through.
    probed_at: HashMap<SegmentId, TimeMs>,
    events: Vec<QuarantineEvent>,
}

impl Quarantine {
    /// Records that a server ended while running a request of this instance.
    pub(crate) fn record_end(&mut self, request: &BrokenRequest, server: NameHash, now: TimeMs) {
        let key = SuspectKey::Request(request.fingerprint);
        self.observe_end(key, request.workspace, SuspectEnd::of(request, server), now);
    }

    /// Records that a server ended when it had just begun to answer a request of this instance.
    pub(crate) fn record_end_of_segments(&mut self, request: &BrokenRequest, server: NameHash, now: TimeMs) {
        let end = SuspectEnd::of(request, server);
        for id in &request.segments {
            let segment = SegmentId {
                service: request.service,
                id: *id,
            };
            let workspace = request.workspace;
            let key = SuspectKey::Segment(SegmentKey { segment, workspace });
            self.observe_end(key, workspace, end, now);
            self.report_evidence(key, QuarantineChange::EndCounted, request.answered_ms);
        }
    }

    fn observe_end(&mut self, key: SuspectKey, workspace: NameHash, end: SuspectEnd, now: TimeMs) {
        self.suspect(key, workspace, now).observe(now);
        self.add_ends(key, &[end], now);
    }

    /// Records that this instance received a complete answer to a request.
    pub(crate) fn record_answer(&mut self, attempt: &Attempt, now: TimeMs) {
        if self.suspects.is_empty() {
            return;
        }
        if let Some(fingerprint) = attempt.fingerprint {
            self.record_request_answer(fingerprint, now);
        }
        self.record_segments_survived(attempt, now);
    }

    /// Records that an answer has gone on beyond its beginning, so that its segments have not ended the server.
    pub(crate) fn record_survival(&mut self, attempt: &Attempt, now: TimeMs) {
        if !self.suspects.is_empty() {
            self.record_segments_survived(attempt, now);
        }
    }

    fn record_segments_survived(&mut self, attempt: &Attempt, now: TimeMs) {
        let began_at = attempt.progress.began_at.unwrap_or(attempt.began_at);
        let answered_ms = attempt.progress.answered_ms(now);
        for id in &attempt.segments {
            let segment = SegmentId {
                service: attempt.service,
                id: *id,
            };
            if self.record_segment_answer(segment, attempt.workspace, began_at, now) {
                let workspace = attempt.workspace;
                let key = SuspectKey::Segment(SegmentKey { segment, workspace });
                self.report_evidence(key, QuarantineChange::EndsCleared, answered_ms);
            }
        }
    }

    fn record_request_answer(&mut self, fingerprint: Fingerprint, now: TimeMs) {
        let key = SuspectKey::Request(fingerprint);
        let Some(suspect) = self.suspects.get_mut(&key) else {
            return;
        };
        if suspect.ends.is_empty() {
            return;
        }
        suspect.observe(now);
        self.clear(key, now, now);
    }

    /// Records an answer to a workspace's request with a segment that began at `began_at`, if it clears any end. What ends
    /// servers from some time on does so to answers that begin then, and not to those that began before. Returns whether it
    /// clears any.
    fn record_segment_answer(
        &mut self,
        segment: SegmentId,
        workspace: NameHash,
        began_at: TimeMs,
        now: TimeMs,
    ) -> bool {
        let evidence = self.evidence(segment);
        if !evidence.is_answer_news(workspace, began_at) {
            return false;
        }
        let key = SuspectKey::Segment(SegmentKey { segment, workspace });
        let suspect = self.suspect(key, workspace, now);
        suspect.observe(now);
        suspect.announce(now);
        self.clear(key, began_at, now);
        true
    }

    /// Returns what of a request forbids to send it, and records that it was seen. `own` is this instance.
    pub(crate) fn refuses(&mut self, demand: &Demand<'_>, own: NameHash, now: TimeMs) -> Option<SuspectKey> {
        let key = demand.fingerprint.map(SuspectKey::Request);
        if let Some(key) = key
            && let Some(suspect) = self.suspects.get_mut(&key)
        {
            suspect.seen_at = now;
            if suspect.ends.len() >= SERVERS_TO_QUARANTINE {
                return Some(key);
            }
        }
        if self.quarantined.is_empty() {
            return None;
        }
        self.quarantined_segment(demand, own, now)
    }

    /// Returns a quarantined segment of a request which the request may not probe.
    fn quarantined_segment(&mut self, demand: &Demand<'_>, own: NameHash, now: TimeMs) -> Option<SuspectKey> {
        let segments = demand.prompt.map_or(&[][..], Prompt::segments_before_last);
        let has_segment = |id: u64| segments.iter().any(|segment| segment.id == id);
        let in_request = self.quarantined.iter().copied();
        let in_request: Vec<SegmentId> = in_request
            .filter(|segment| segment.service == demand.service && has_segment(segment.id))
            .filter(|segment| self.applies(*segment, demand.workspace, &has_segment))
            .collect();
        for segment in &in_request {
            self.record_seen(*segment, now);
        }
        let forbidden = in_request
            .iter()
            .find(|segment| !self.may_probe(**segment, own, now));
        if let Some(segment) = forbidden {
            return Some(SuspectKey::Segment(SegmentKey {
                segment: *segment,
                workspace: demand.workspace,
            }));
        }
        self.probed_at
            .extend(in_request.into_iter().map(|segment| (segment, now)));
        None
    }

    /// Returns whether the evidence against a segment applies to the requests of a workspace, and is not explained by other
    /// quarantined segments, which the request does not have.
    fn applies(&self, segment: SegmentId, workspace: NameHash, has_segment: &impl Fn(u64) -> bool) -> bool {
        let evidence = self.evidence(segment);
        let Some(ends) = evidence.ends_against(workspace) else {
            return false;
        };
        let others = self
            .quarantined
            .iter()
            .filter(|other| other.service == segment.service);
        let others = others.filter(|other| !has_segment(other.id));
        let others: Vec<SegmentEvidence<'_>> = others.map(|other| self.evidence(*other)).collect();
        let is_explained = |end: &SuspectEnd| others.iter().any(|other| other.was_present_at(end));
        !ends.iter().all(is_explained)
    }

    fn evidence(&self, segment: SegmentId) -> SegmentEvidence<'_> {
        SegmentEvidence::new(self.of_segment(segment).map(|(_, suspect)| suspect))
    }

    /// Returns the suspects of a segment, by workspace.
    fn of_segment(&self, segment: SegmentId) -> impl Iterator<Item = (&SuspectKey, &Suspect)> {
        self.suspects.range(keys_of(segment))
    }

    fn record_seen(&mut self, segment: SegmentId, now: TimeMs) {
        for (_, suspect) in self.suspects.range_mut(keys_of(segment)) {
            suspect.seen_at = now;
        }
    }

    /// Returns whether a request may be sent to see whether a quarantined segment still ends servers.
    fn may_probe(&self, segment: SegmentId, own: NameHash, now: TimeMs) -> bool {
        let mixed = (u64::from(own.0) ^ segment.id).wrapping_mul(PROBE_HASH_FACTOR);
        let spread_ms = mixed % PROBE_SPREAD_MS;
        let last_ended_at = self.evidence(segment).last_ended_at();
        if now < last_ended_at.plus_ms(PROBE_AFTER_MS + spread_ms) {
            return false;
        }
        let probed_at = self.probed_at.get(&segment);
        probed_at.is_none_or(|probed_at| now >= probed_at.plus_ms(PROBE_INTERVAL_MS))
    }

    /// Updates whether a segment is quarantined after its evidence has changed.
    fn update_segment(&mut self, key: SuspectKey, change_if_released: QuarantineChange) {
        let SuspectKey::Segment(SegmentKey { segment, workspace }) = key else {
            return;
        };
        let was_quarantined = self.quarantined.contains(&segment);
        let is_quarantined = self.evidence(segment).is_enough();
        if is_quarantined == was_quarantined {
            return;
        }
        let change = if is_quarantined {
            self.quarantined.push(segment);
            QuarantineChange::Quarantined
        } else {
            self.quarantined.retain(|other| *other != segment);
            self.probed_at.remove(&segment);
            change_if_released
        };
        self.events.push(QuarantineEvent {
            key,
            workspace,
            change,
            ends: self.ends(key),
            answered_ms: None,
        });
    }

    /// Returns the number of ends of a suspect that no answer has cleared.
    fn ends(&self, key: SuspectKey) -> usize {
        self.suspects.get(&key).map_or(0, |suspect| suspect.ends.len())
    }

    /// Announces all suspects at once, for a peer that has just joined. A newly started instance
    /// knows no suspects. It would send a quarantined request once more itself, since the next announcement
    /// may be up to two seconds away.
    pub(crate) fn announce_all(&mut self, now: TimeMs) {
        for suspect in self.suspects.values_mut() {
            suspect.announce(now);
        }
    }

    /// Merges a peer's rows.
    pub(crate) fn merge(&mut self, rows: &[SuspectRow], now: TimeMs) {
        for row in rows {
            if u64::from(row.seen_ms_ago) >= SUSPECT_KEPT_MS {
                continue;
            }
            let seen_at = time_ago(row.seen_ms_ago, now);
            let suspect = self.suspect(row.key, row.workspace, now);
            suspect.seen_at = suspect.seen_at.max(seen_at);
            if row.ends.is_empty() {
                self.clear(row.key, time_ago(row.changed_ms_ago, now), now);
            } else {
                let ends = row.ends.iter().map(|end| SuspectEnd::from_row(end, now));
                let ends: Vec<SuspectEnd> = ends.collect();
                self.add_ends(row.key, &ends, now);
            }
        }
    }

    /// Adds unknown ends of servers, unless an answer has cleared them.
    fn add_ends(&mut self, key: SuspectKey, ends: &[SuspectEnd], now: TimeMs) {
        let Some(suspect) = self.suspects.get_mut(&key) else {
            return;
        };
        let limit = match key {
            SuspectKey::Request(_) => SERVERS_TO_QUARANTINE,
            SuspectKey::Segment(_) => usize::MAX,
        };
        let was_quarantined = suspect.ends.len() >= limit;
        for end in ends {
            if suspect.ends.len() < limit {
                suspect.add_end(*end, now);
            }
        }
        if suspect.ends.len() >= limit && !was_quarantined {
            self.report(key, QuarantineChange::Quarantined);
        }
        self.update_segment(key, QuarantineChange::Cleared);
    }

    /// Records an answer at `answered_at`, which clears the ends before it.
    fn clear(&mut self, key: SuspectKey, answered_at: TimeMs, now: TimeMs) {
        let Some(suspect) = self.suspects.get_mut(&key) else {
            return;
        };
        let was_quarantined = is_quarantined_request(key, suspect);
        suspect.clear(answered_at, now);
        if was_quarantined && !is_quarantined_request(key, suspect) {
            self.report(key, QuarantineChange::Cleared);
        }
        self.update_segment(key, QuarantineChange::Cleared);
    }

    /// Forgets suspects that were not seen for [`SUSPECT_KEPT_MS`].
    pub(crate) fn tick(&mut self, now: TimeMs) {
        let is_expired = |suspect: &Suspect| now.since_ms(suspect.seen_at) >= SUSPECT_KEPT_MS;
        let expired = self.suspects.iter().filter(|(_, suspect)| is_expired(suspect));
        let expired: Vec<SuspectKey> = expired.map(|(key, _)| *key).collect();
        for key in expired {
            self.forget(key);
        }
    }

    fn forget(&mut self, key: SuspectKey) {
        let suspect = self.suspects.get(&key);
        if suspect.is_some_and(|suspect| is_quarantined_request(key, suspect)) {
            self.report(key, QuarantineChange::Forgotten);
        }
        self.suspects.remove(&key);
        self.update_segment(key, QuarantineChange::Forgotten);
    }

    fn report(&mut self, key: SuspectKey, change: QuarantineChange) {
        self.report_evidence(key, change, None);
    }

    fn report_evidence(&mut self, key: SuspectKey, change: QuarantineChange, answered_ms: Option<u64>) {
        if let Some(suspect) = self.suspects.get(&key) {
            self.events.push(QuarantineEvent {
                key,
                workspace: suspect.workspace,
                change,
                ends: suspect.ends.len(),
                answered_ms,
            });
        }
    }

    /// Returns the changes since the last call.
    pub(crate) fn take_events(&mut self) -> Vec<QuarantineEvent> {
        std::mem::take(&mut self.events)
    }

    /// Returns the number of quarantined requests.
    pub(crate) fn requests(&self) -> usize {
        let suspects = self.suspects.iter();
        suspects
            .filter(|(key, suspect)| is_quarantined_request(**key, suspect))
            .count()
    }

    /// Returns the number of quarantined segments.
    pub(crate) fn segments(&self) -> usize {
        self.quarantined.len()
    }

    /// Returns the rows for the next load report: those with the most ends first, then the newest ones.
    pub(crate) fn rows(&self, now: TimeMs) -> Vec<SuspectRow> {
        let announced = self.suspects.iter();
        let announced = announced
            .filter(|(key, suspect)| suspect.is_announced(**key, self.is_quarantined_segment(**key), now));
        let mut rows: Vec<SuspectRow> = announced.map(|(key, suspect)| suspect.row(*key, now)).collect();
        SuspectRow::keep_strongest(&mut rows, ROWS_MAX);
        rows
    }

    fn is_quarantined_segment(&self, key: SuspectKey) -> bool {
        match key {
            SuspectKey::Request(_) => false,
            SuspectKey::Segment(key) => self.quarantined.contains(&key.segment),
        }
    }

    fn suspect(&mut self, key: SuspectKey, workspace: NameHash, now: TimeMs) -> &mut Suspect {
        if !self.suspects.contains_key(&key) {
            self.evict_if_full(key, workspace);
        }
        let suspects = &mut self.suspects;
        suspects
            .entry(key)
            .or_insert_with(|| Suspect::new(key, workspace, now))
    }

    /// Evicts a suspect before one of `workspace` is added, if there are too many: one of the same kind of
    /// this workspace if it has too many itself, or one of the workspace with the most if the total is too high.
    /// The evicted one is of no quarantined segment if possible, has the fewest ends and, among these, was seen least recently.
    fn evict_if_full(&mut self, added: SuspectKey, workspace: NameHash) {
        let is_same_kind = |key: &SuspectKey| std::mem::discriminant(key) == std::mem::discriminant(&added);
        let of_workspace = self.suspects.iter();
        let of_workspace = of_workspace
            .filter(|(key, suspect)| suspect.workspace == workspace && is_same_kind(key))
            .count();
        let is_workspace_full = of_workspace >= WORKSPACE_SUSPECTS_MAX;
        let evicted_workspace = if is_workspace_full {
            workspace
        } else if self.suspects.len() >= SUSPECTS_MAX {
            self.largest_workspace()
        } else {
            return;
        };
        let evictable = self.suspects.iter().filter(|(key, suspect)| {
            suspect.workspace == evicted_workspace && (!is_workspace_full || is_same_kind(key))
        });
        let evicted = evictable.min_by_key(|(key, suspect)| {
            (
                self.is_quarantined_segment(**key),
                suspect.ends.len(),
                suspect.seen_at,
            )
        });
        if let Some(key) = evicted.map(|(key, _)| *key) {
            self.forget(key);
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

/// Returns the range of the keys of a segment, of all workspaces.
fn keys_of(segment: SegmentId) -> RangeInclusive<SuspectKey> {
    let key = |workspace| SuspectKey::Segment(SegmentKey { segment, workspace });
    key(NameHash(0))..=key(NameHash(u32::MAX))
}

/// Returns whether a suspect is a request that is quarantined. Segments are quarantined by the evidence of all workspaces.
fn is_quarantined_request(key: SuspectKey, suspect: &Suspect) -> bool {
    matches!(key, SuspectKey::Request(_)) && suspect.ends.len() >= SERVERS_TO_QUARANTINE
}
