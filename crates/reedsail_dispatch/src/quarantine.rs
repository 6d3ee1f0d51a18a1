//! Quarantine: which requests, and which segments of prompts, are no longer sent because servers end while running them.
//!
//! **Rule.** A request is suspected of the end of a server if its connection broke when that server ended
//! (`server_ends`). A request is quarantined, and every instance refuses it, once [`SERVERS_TO_QUARANTINE`]
//! different starts of servers have ended while running it and none has answered it completely since. A
//! complete answer at any instance clears the request. A suspected request is forgotten [`SUSPECT_KEPT_MS`]
//! after it was last seen.
//!
//! A segment before the last of a prompt is suspected if a request with it broke off when its server ended (`recent_ends`).
//! `segment_evidence` has the rule of when it is quarantined, and of which answers speak against it. `segment_probes` tells
//! when a request is sent all the same.
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

mod records;

use std::collections::BTreeMap;

use reedsail_core::Fingerprint;
use reedsail_core::NameHash;
use reedsail_core::TimeMs;

use crate::Attempt;
use crate::BrokenRequest;
use crate::Demand;
use crate::Prompt;
use crate::SegmentId;
use crate::SegmentKey;
use crate::StoredState;
use crate::SuspectKey;
use crate::SuspectRow;
use crate::answered_segments::AnsweredSegments;
use crate::end_history::EndHistory;
use crate::recent_ends::SegmentEnd;
use crate::saved_suspects::SavedSuspects;
use crate::segment_evidence::SegmentEvidence;
use crate::segment_probes::SegmentProbes;
use crate::suspect::Suspect;
use crate::suspect::SuspectEnd;
use crate::suspect::time_ago;
use crate::suspect_table::SuspectTable;

/// Number of servers that end while running a request before it is quarantined. Users tolerate three.
pub const SERVERS_TO_QUARANTINE: usize = 3;
/// How long a suspect is kept after it was last seen, in milliseconds: long enough for a caller
/// that retries occasionally, and short enough that a release that fixes the engine takes effect soon.
const SUSPECT_KEPT_MS: u64 = 600_000;
/// Maximum number of rows in a report: 2 kB of requests, or 4 kB of segments.
const ROWS_MAX: usize = 64;

/// A change of a suspect's quarantine state, or of the evidence against a segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineChange {
    /// A server has ended under a segment, as this instance observed.
    EndCounted,
    /// A complete answer of this instance has cleared ends of servers under a segment.
    EndsCleared,
    /// An answer of this instance with a segment has gone on for longer than those that broke off when servers ended.
    EndsOutlived,
    /// It is no longer sent.
    Quarantined,
    /// It was answered and may be sent again.
    Cleared,
    /// It was not seen for a long time and may be sent again.
    Forgotten,
}

impl QuarantineChange {
    /// Returns whether only the evidence against a segment has changed.
    pub fn is_of_evidence(self) -> bool {
        match self {
            Self::EndCounted | Self::EndsCleared | Self::EndsOutlived => true,
            Self::Quarantined | Self::Cleared | Self::Forgotten => false,
        }
    }
}

/// A request or segment that entered or left quarantine, or against which the evidence has changed.
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

/// All suspects, and which of them are quarantined.
#[derive(Clone, Debug, Default)]
pub(crate) struct Quarantine {
    suspects: SuspectTable,
    answered: AnsweredSegments,
    end_history: EndHistory,
    /// The segments with enough evidence against any workspace.
    quarantined: Vec<SegmentId>,
    /// The segments whose evidence is enough from a later time on, unless an answer comes before.
    maturing: BTreeMap<SegmentId, TimeMs>,
    probes: SegmentProbes,
    saved: SavedSuspects,
    events: Vec<QuarantineEvent>,
}

impl Quarantine {
    /// Records that a server ended while running a request of this instance.
    pub(crate) fn record_end(&mut self, request: &BrokenRequest, server: NameHash, now: TimeMs) {
        let key = SuspectKey::Request(request.fingerprint);
        let end = SuspectEnd::of_request(request, server);
        self.observe_end(key, request.workspace, end, now);
    }

    /// Records that a server ended while running requests of this instance with a segment.
    pub(crate) fn record_segment_end(&mut self, observed: &SegmentEnd, now: TimeMs) {
        let key = SuspectKey::Segment(observed.key);
        let end = SuspectEnd {
            is_early: AnsweredSegments::is_new(now),
            ..observed.end
        };
        self.observe_end(key, observed.key.workspace, end, now);
        self.report_evidence(key, QuarantineChange::EndCounted, observed.answered_ms);
    }

    /// Records that a server has ended, as this instance observed.
    pub(crate) fn record_server_end(&mut self, server: NameHash, ended_at: TimeMs, now: TimeMs) {
        self.end_history.record(server, ended_at, now);
    }

    fn observe_end(&mut self, key: SuspectKey, workspace: NameHash, end: SuspectEnd, now: TimeMs) {
        self.suspect(key, workspace, now).observe(now);
        self.add_ends(key, &[end], now);
    }

    /// Records that this instance received a complete answer to a request.
    pub(crate) fn record_answer(&mut self, attempt: &Attempt, now: TimeMs) {
        let began_at = attempt.progress.began_at.unwrap_or(attempt.began_at);
        for key in segment_keys(attempt) {
            self.answered.record(key, now);
        }
        if self.suspects.is_empty() {
            return;
        }
        if let Some(fingerprint) = attempt.fingerprint {
            self.record_request_answer(fingerprint, now);
        }
        for key in segment_keys(attempt) {
            if self.record_segment_answer(key, began_at, now) {
                let answered_ms = attempt.progress.answered_ms(now);
                self.report_evidence(
                    SuspectKey::Segment(key),
                    QuarantineChange::EndsCleared,
                    answered_ms,
                );
            }
        }
    }

    /// Records that an answer goes on.
    pub(crate) fn record_survival(&mut self, attempt: &Attempt, now: TimeMs) {
        if self.suspects.is_empty() {
            return;
        }
        let Some(began_at) = attempt.progress.began_at else {
            return;
        };
        for key in segment_keys(attempt) {
            self.record_segment_survival(key, began_at, now);
        }
    }

    fn record_segment_survival(&mut self, key: SegmentKey, began_at: TimeMs, now: TimeMs) {
        let suspect_key = SuspectKey::Segment(key);
        let Some(suspect) = self.suspects.get_mut(suspect_key) else {
            return;
        };
        let answered_ms = now.since_ms(began_at);
        if !suspect.outlive(began_at, answered_ms, now) {
            return;
        }
        suspect.observe(now);
        self.report_evidence(suspect_key, QuarantineChange::EndsOutlived, Some(answered_ms));
        self.update_segment(suspect_key, QuarantineChange::Cleared, now);
    }

    fn record_request_answer(&mut self, fingerprint: Fingerprint, now: TimeMs) {
        let key = SuspectKey::Request(fingerprint);
        let Some(suspect) = self.suspects.get_mut(key) else {
            return;
        };
        if suspect.ends.is_empty() {
            return;
        }
        suspect.observe(now);
        self.clear(key, now, now);
    }

    /// Records a complete answer to a workspace's request with a segment that began at `began_at`, if it clears any end.
    /// What ends servers from some time on does so to answers that begin then, and not to those that began before. Returns
    /// whether it clears any.
    fn record_segment_answer(&mut self, key: SegmentKey, began_at: TimeMs, now: TimeMs) -> bool {
        let evidence = self.evidence(key.segment);
        if !evidence.is_answer_news(key.workspace, began_at) {
            return false;
        }
        let suspect_key = SuspectKey::Segment(key);
        let suspect = self.suspect(suspect_key, key.workspace, now);
        suspect.observe_answer(began_at, now);
        self.clear(suspect_key, began_at, now);
        true
    }

    /// Returns what of a request forbids to send it, and records that it was seen. `own` is this instance.
    pub(crate) fn refuses(&mut self, demand: &Demand<'_>, own: NameHash, now: TimeMs) -> Option<SuspectKey> {
        let key = demand.fingerprint.map(SuspectKey::Request);
        if let Some(key) = key
            && let Some(suspect) = self.suspects.get_mut(key)
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
            .filter(|segment| self.applies(*segment, demand.workspace, &has_segment, now))
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
        self.probes.record(in_request, now);
        None
    }

    /// Returns whether the evidence against a segment applies to the requests of a workspace, and is not explained by other
    /// quarantined segments, which the request does not have.
    fn applies(
        &self,
        segment: SegmentId,
        workspace: NameHash,
        has_segment: &impl Fn(u64) -> bool,
        now: TimeMs,
    ) -> bool {
        let evidence = self.evidence(segment);
        if !evidence.is_against(workspace, now) {
            return false;
        }
        let others = self.quarantined.iter();
        let others = others.filter(|other| other.service == segment.service && !has_segment(other.id));
        let others = others.map(|other| self.evidence(*other));
        // A segment that was answered before is no better explanation than one that never was.
        let others = others.filter(|other| evidence.was_answered() || !other.was_answered());
        let others: Vec<SegmentEvidence<'_>> = others.collect();
        let is_explained = |end: &SuspectEnd| others.iter().any(|other| other.was_present_at(end));
        let ends = evidence.ends_to_explain(workspace);
        !ends.iter().all(is_explained)
    }

    fn evidence(&self, segment: SegmentId) -> SegmentEvidence<'_> {
        SegmentEvidence::new(self.suspects.of_segment(segment))
    }

    fn record_seen(&mut self, segment: SegmentId, now: TimeMs) {
        for suspect in self.suspects.of_segment_mut(segment) {
            suspect.seen_at = now;
        }
    }

    /// Returns whether a request may be sent to see whether a quarantined segment still ends servers.
    fn may_probe(&self, segment: SegmentId, own: NameHash, now: TimeMs) -> bool {
        let ends = self.evidence(segment).ends_summary();
        self.probes.is_due(segment, &ends, own, now)
    }

    /// Updates whether a segment is quarantined after its evidence has changed.
    fn update_segment(&mut self, key: SuspectKey, change_if_released: QuarantineChange, now: TimeMs) {
        let SuspectKey::Segment(SegmentKey { segment, workspace }) = key else {
            return;
        };
        let was_quarantined = self.quarantined.contains(&segment);
        let evidence = self.evidence(segment);
        let evidence = if was_quarantined {
            evidence
        } else {
            evidence.with_unrelated_ends(&self.end_history)
        };
        let enough_from = evidence.enough_from();
        match enough_from.filter(|from| *from > now) {
            Some(from) => self.maturing.insert(segment, from),
            None => self.maturing.remove(&segment),
        };
        let is_quarantined = enough_from.is_some_and(|from| from <= now);
        if is_quarantined == was_quarantined {
            return;
        }
        let change = if is_quarantined {
            self.quarantined.push(segment);
            QuarantineChange::Quarantined
        } else {
            self.quarantined.retain(|other| *other != segment);
            self.probes.forget(segment);
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
        self.suspects.get(key).map_or(0, |suspect| suspect.ends.len())
    }

    /// Announces all suspects at once, for a peer that has just joined. A newly started instance
    /// knows no suspects. It would send a quarantined request once more itself, since the next announcement
    /// may be up to two seconds away.
    pub(crate) fn announce_all(&mut self, now: TimeMs) {
        for (_, suspect) in self.suspects.iter_mut() {
            suspect.announce(now);
        }
    }

    /// Merges a peer's rows.
    pub(crate) fn merge(&mut self, rows: &[SuspectRow], now: TimeMs) {
        for row in rows {
            let stored_at = time_ago(row.stored_ms_ago, now);
            if u64::from(row.seen_ms_ago) >= SUSPECT_KEPT_MS {
                if let Some(suspect) = self.suspects.get_mut(row.key) {
                    suspect.record_stored(row.stored, stored_at, now);
                }
                continue;
            }
            let seen_at = time_ago(row.seen_ms_ago, now);
            let suspect = self.suspect(row.key, row.workspace, now);
            suspect.seen_at = suspect.seen_at.max(seen_at);
            suspect.merge_answers(row, now);
            suspect.record_stored(row.stored, stored_at, now);
            if row.ends.is_empty() {
                self.clear(row.key, time_ago(row.changed_ms_ago, now), now);
            } else {
                let ends = row.ends.iter().map(|end| SuspectEnd::from_row(end, now));
                let ends: Vec<SuspectEnd> = ends.collect();
                self.record_known_ends(row.key, &ends, now);
                self.add_ends(row.key, &ends, now);
            }
        }
    }

    /// Records the ends of servers under a peer's segment. Those under a request may be ends of servers that drained.
    fn record_known_ends(&mut self, key: SuspectKey, ends: &[SuspectEnd], now: TimeMs) {
        if matches!(key, SuspectKey::Segment(_)) {
            for end in ends {
                self.end_history.record(end.server, end.ended_at, now);
            }
        }
    }

    /// Adds unknown ends of servers, unless an answer has cleared them.
    fn add_ends(&mut self, key: SuspectKey, ends: &[SuspectEnd], now: TimeMs) {
        let Some(suspect) = self.suspects.get_mut(key) else {
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
        self.update_segment(key, QuarantineChange::Cleared, now);
    }

    /// Records an answer at `answered_at`, which clears the ends before it.
    fn clear(&mut self, key: SuspectKey, answered_at: TimeMs, now: TimeMs) {
        let Some(suspect) = self.suspects.get_mut(key) else {
            return;
        };
        let was_quarantined = is_quarantined_request(key, suspect);
        suspect.clear(answered_at, now);
        if was_quarantined && !is_quarantined_request(key, suspect) {
            self.report(key, QuarantineChange::Cleared);
        }
        self.update_segment(key, QuarantineChange::Cleared, now);
    }

    /// Quarantines the segments whose evidence has become enough, and forgets suspects that were not seen for
    /// [`SUSPECT_KEPT_MS`].
    pub(crate) fn tick(&mut self, now: TimeMs) {
        let due = self.maturing.iter().filter(|(_, from)| **from <= now);
        let due: Vec<SegmentId> = due.map(|(segment, _)| *segment).collect();
        for segment in due {
            self.update_matured(segment, now);
        }
        let is_expired = |suspect: &Suspect| now.since_ms(suspect.seen_at) >= SUSPECT_KEPT_MS;
        let expired = self.suspects.iter().filter(|(_, suspect)| is_expired(suspect));
        let expired: Vec<SuspectKey> = expired.map(|(key, _)| key).collect();
        for key in expired {
            if self.has_record(key) {
                self.end_quarantine(key, now);
            } else {
                self.forget(key, now);
            }
        }
    }

    fn has_record(&self, key: SuspectKey) -> bool {
        let suspect = self.suspects.get(key);
        suspect.is_some_and(|suspect| matches!(suspect.stored, StoredState::Stored(_)))
    }

    /// Ends the quarantine of a suspect that does not come any more. The suspect is kept until its record is withdrawn, so that
    /// one instance does so and tells the others.
    fn end_quarantine(&mut self, key: SuspectKey, now: TimeMs) {
        let Some(suspect) = self.suspects.get_mut(key) else {
            return;
        };
        if suspect.ends.is_empty() {
            return;
        }
        let was_quarantined = is_quarantined_request(key, suspect);
        suspect.ends.clear();
        if was_quarantined {
            self.report(key, QuarantineChange::Forgotten);
        }
        self.update_segment(key, QuarantineChange::Forgotten, now);
    }

    fn update_matured(&mut self, segment: SegmentId, now: TimeMs) {
        let with_ends = self.suspects.of_segment(segment);
        let Some(suspect) = with_ends.max_by_key(|suspect| suspect.ends.len()) else {
            self.maturing.remove(&segment);
            return;
        };
        let workspace = suspect.workspace;
        let key = SuspectKey::Segment(SegmentKey { segment, workspace });
        self.update_segment(key, QuarantineChange::Cleared, now);
    }

    fn forget(&mut self, key: SuspectKey, now: TimeMs) {
        let suspect = self.suspects.get(key);
        if suspect.is_some_and(|suspect| is_quarantined_request(key, suspect)) {
            self.report(key, QuarantineChange::Forgotten);
        }
        self.suspects.remove(key);
        self.update_segment(key, QuarantineChange::Forgotten, now);
    }

    fn report(&mut self, key: SuspectKey, change: QuarantineChange) {
        self.report_evidence(key, change, None);
    }

    fn report_evidence(&mut self, key: SuspectKey, change: QuarantineChange, answered_ms: Option<u64>) {
        if let Some(suspect) = self.suspects.get(key) {
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
            .filter(|(key, suspect)| is_quarantined_request(*key, suspect))
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
            .filter(|(key, suspect)| suspect.is_announced(*key, self.is_quarantined_segment(*key), now));
        let mut rows: Vec<SuspectRow> = announced.map(|(key, suspect)| suspect.row(key, now)).collect();
        SuspectRow::keep_strongest(&mut rows, ROWS_MAX);
        rows
    }

    fn is_quarantined(&self, key: SuspectKey, suspect: &Suspect) -> bool {
        self.is_quarantined_segment(key) || is_quarantined_request(key, suspect)
    }

    fn is_quarantined_segment(&self, key: SuspectKey) -> bool {
        match key {
            SuspectKey::Request(_) => false,
            SuspectKey::Segment(key) => self.quarantined.contains(&key.segment),
        }
    }

    fn suspect(&mut self, key: SuspectKey, workspace: NameHash, now: TimeMs) -> &mut Suspect {
        if !self.suspects.contains(key) {
            let victim = self
                .suspects
                .victim(key, workspace, |key| self.is_quarantined_segment(key));
            if let Some(victim) = victim {
                self.forget(victim, now);
            }
        }
        let was_answered = match key {
            SuspectKey::Request(_) => false,
            SuspectKey::Segment(key) => self.answered.contains(key.segment),
        };
        self.suspects
            .get_or_insert(key, || Suspect::new(key, workspace, was_answered, now))
    }
}

/// Returns the segments of an attempt's prompt in the workspace that it is charged to.
fn segment_keys(attempt: &Attempt) -> impl Iterator<Item = SegmentKey> {
    let service = attempt.service;
    let workspace = attempt.workspace;
    let ids = attempt.segments.iter().copied();
    ids.map(move |id| SegmentKey {
        segment: SegmentId { service, id },
        workspace,
    })
}

/// Returns whether a suspect is a request that is quarantined. Segments are quarantined by the evidence of all workspaces.
fn is_quarantined_request(key: SuspectKey, suspect: &Suspect) -> bool {
    matches!(key, SuspectKey::Request(_)) && suspect.ends.len() >= SERVERS_TO_QUARANTINE
}
