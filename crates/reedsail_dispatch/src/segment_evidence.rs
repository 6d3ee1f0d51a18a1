//! The evidence against a segment of prompts, over the workspaces whose requests have it.
//!
//! **Rule.** Each end of a server counts under which a request with the segment broke off, however much of its answer had
//! come. The evidence is enough in either of two cases:
//!
//! - [`ENDS_TO_QUARANTINE`] servers have ended one after the other under requests of which each was sent after the end before,
//!   and ended as much later as the answers there had been written; one more if the segment was ever answered. An end does
//!   not count if an answer with the segment has outlived it.
//! - No request with the segment was ever answered completely, as far as instances know that have run for some time, [`UNANSWERED_ENDS_TO_QUARANTINE`] servers have
//!   ended under it at different moments, and [`UNANSWERED_SETTLE_MS`] have passed since.
//!
//! In both, the answers had been written for about as long at these ends, and no other server ended at the same time without
//! the segment. Servers that ended at other times without the segment speak against it: in the first case up to
//! [`FURTHER_ENDS_MAX`] more ends are needed where they are more than half as many as the ends under it, and the second case
//! does not hold where they are more. A segment in quarantine stays there if such ends become known later.
//!
//! A complete answer clears the ends at which the answers that broke off began no later than it did. An answer outlives
//! these ends if it goes on for clearly longer than any that broke off.
//!
//! The ends under the requests of one workspace count against that workspace; ends of which no workspace was
//! present at all count against all, unless a request of any workspace with the segment was answered since. If other such
//! segments were present at all these ends, and a request has none of them, the request is sent: its outcome tells them apart.
//!
//! **Inputs.** The suspects of a segment, one for each workspace, and the times at which servers ended without it.
//!
//! **Why.** How soon a segment ends its servers depends on the engine: before the head of the answer, or seconds later. So
//! times are compared with those of the ends themselves, and never with a number of events. What ends servers does so in each
//! answer. An answer with the segment that goes on past that time, or ends well, speaks against it, and a broken one never
//! for it.
//! A prompt has several segments, and placement sends requests with the same segments to the same engines, so
//! that sound segments are present at the ends that another one causes. An answer clears those that are used otherwise.
//! Those that are used nowhere else are not missed if they are refused. Servers that crash together end under requests
//! that were all sent before, so that they count as one end. Where requests with a segment reach all servers before the first
//! of them ends, no request is sent after an end; the second case is for that. Servers that crash one after the other by
//! themselves end under any segment that is answered slowly or seldom, and without it as well. Ids of segments are the callers' own, so a
//! workspace alone can't have another one's prompts refused.
//!
//! **Tested by** `tests/segment_ends.rs` and `tests/segment_quarantine.rs`, and `tests/poison_segment.rs` of `reedsail_simulation`.

use reedsail_core::NameHash;
use reedsail_core::TimeMs;

use crate::end_history::EndHistory;
use crate::segment_probes::EARLY_PROBE_AFTER_MS;
use crate::suspect::Suspect;
use crate::suspect::SuspectEnd;
use crate::suspect::consecutive_ends;
use crate::suspect::moments;

/// Number of servers that end one after the other under requests with a segment before it is quarantined. Users tolerate
/// five.
pub const ENDS_TO_QUARANTINE: usize = 3;
/// The same for a segment that was answered completely before: it is hardly the cause.
const ENDS_TO_QUARANTINE_ANSWERED: usize = 4;
/// What ends servers does so at about the same time of the answer: at most this many times the shortest one, and
/// [`ALIKE_MARGIN_MS`] beyond it.
const ALIKE_FACTOR: u64 = 3;
/// How much longer, in milliseconds: small times differ by the load of an engine.
const ALIKE_MARGIN_MS: u64 = 250;
/// Number of servers that end at different moments before a segment is quarantined that was never answered.
const UNANSWERED_ENDS_TO_QUARANTINE: usize = 5;
/// Time from the last of these ends to the quarantine, in milliseconds. Answers that clear the segment arrive meanwhile; half
/// of the time in which all instances must know the segment is left to tell them.
const UNANSWERED_SETTLE_MS: u64 = 1_500;

/// Maximum number of further ends that are needed because servers also end without the segment: up to the number that users
/// tolerate.
const FURTHER_ENDS_MAX: usize = 2;

/// What the probes of a segment depend on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct EndsSummary {
    /// Number of servers that have ended.
    pub(crate) servers: usize,
    /// When the first of them ended.
    pub(crate) first_ended_at: TimeMs,
    /// When the last one ended.
    pub(crate) last_ended_at: TimeMs,
    /// The longest time for which an answer had been written at one of them, in milliseconds.
    pub(crate) longest_answered_ms: u64,
    /// Whether one of them ended under an early probe.
    pub(crate) was_probed: bool,
}

/// What is known of a segment, by workspace.
pub(crate) struct SegmentEvidence<'a> {
    suspects: Vec<&'a Suspect>,
    /// When servers ended without the segment.
    unrelated: Vec<TimeMs>,
}

/// The ends that count against the requests of one workspace, or of all, and what speaks against them.
struct Case<'a> {
    ends: Vec<SuspectEnd>,
    /// The servers that ended under any workspace.
    servers: Vec<NameHash>,
    /// When servers ended without the segment.
    unrelated: &'a [TimeMs],
    was_answered: bool,
}

impl<'a> SegmentEvidence<'a> {
    pub(crate) fn new(suspects: impl Iterator<Item = &'a Suspect>) -> Self {
        Self {
            suspects: suspects.collect(),
            unrelated: Vec::new(),
        }
    }

    /// Adds the times at which servers ended without the segment.
    pub(crate) fn with_unrelated_ends(mut self, history: &EndHistory) -> Self {
        self.unrelated = history.times_without(|server| self.has_server(server));
        self
    }

    fn has_server(&self, server: NameHash) -> bool {
        let mut ends = self.suspects.iter().flat_map(|suspect| &suspect.ends);
        ends.any(|end| end.server == server)
    }

    /// Returns whether an answer to a request of a workspace that began at `began_at` clears anything: ends of its own, or
    /// of any workspace since the last answer.
    pub(crate) fn is_answer_news(&self, workspace: NameHash, began_at: TimeMs) -> bool {
        let is_cleared = |end: &SuspectEnd| end.is_cleared_by_segment(began_at);
        self.own_ends(workspace).any(is_cleared) || self.uncleared_ends().iter().any(is_cleared)
    }

    /// Returns from when on the evidence is enough against any workspace; `None` if it isn't.
    pub(crate) fn enough_from(&self) -> Option<TimeMs> {
        let cases = self.suspects.iter();
        let cases = cases.filter_map(|suspect| self.own_case(suspect.workspace));
        let enough_from = cases
            .chain(self.shared_case())
            .filter_map(|case| case.enough_from());
        enough_from.min()
    }

    /// Returns whether the evidence against the requests of a workspace is enough.
    pub(crate) fn is_against(&self, workspace: NameHash, now: TimeMs) -> bool {
        let mut cases = self.own_case(workspace).into_iter().chain(self.shared_case());
        cases.any(|case| case.enough_from().is_some_and(|from| from <= now))
    }

    /// Returns the ends that another cause has to explain: those under the workspace, and those of any since the last
    /// answer.
    pub(crate) fn ends_to_explain(&self, workspace: NameHash) -> Vec<SuspectEnd> {
        let mut ends = self.uncleared_ends();
        ends.extend(self.own_ends(workspace));
        ends
    }

    /// Returns whether the segment was present at an end.
    pub(crate) fn was_present_at(&self, end: &SuspectEnd) -> bool {
        self.suspects.iter().any(|suspect| suspect.was_present_at(end))
    }

    /// Returns what the probes of the segment depend on.
    pub(crate) fn ends_summary(&self) -> EndsSummary {
        let mut ends = distinct_ends(self.suspects.iter().flat_map(|suspect| &suspect.ends));
        ends.sort_unstable_by_key(|end| end.ended_at);
        let mut summary = EndsSummary {
            servers: ends.len(),
            first_ended_at: ends.first().map_or(TimeMs(0), |end| end.ended_at),
            ..EndsSummary::default()
        };
        for (earlier, end) in ends.iter().enumerate() {
            let is_probe = end.sent_at >= summary.last_ended_at.plus_ms(EARLY_PROBE_AFTER_MS);
            summary.was_probed |= is_probe && earlier >= ENDS_TO_QUARANTINE;
            summary.last_ended_at = end.ended_at;
            summary.longest_answered_ms = summary.longest_answered_ms.max(end.answered_ms);
        }
        summary
    }

    fn own(&self, workspace: NameHash) -> Option<&'a Suspect> {
        let mut suspects = self.suspects.iter();
        suspects.find(|suspect| suspect.workspace == workspace).copied()
    }

    fn own_ends(&self, workspace: NameHash) -> impl Iterator<Item = &'a SuspectEnd> {
        let own = self.own(workspace);
        own.into_iter().flat_map(|suspect| &suspect.ends)
    }

    fn own_case(&self, workspace: NameHash) -> Option<Case<'_>> {
        let own = self.own(workspace)?;
        Some(Case {
            ends: own.ends.clone(),
            servers: self.servers(),
            unrelated: &self.unrelated,
            was_answered: self.was_answered(),
        })
    }

    fn shared_case(&self) -> Option<Case<'_>> {
        let ends = self.uncleared_ends();
        // A workspace that was present at all of them may itself be the cause.
        let was_always_present = |suspect: &&Suspect| {
            let mut ends = ends.iter();
            ends.all(|end| suspect.was_present_at(end))
        };
        if self.suspects.iter().any(was_always_present) {
            return None;
        }
        Some(Case {
            ends,
            servers: self.servers(),
            unrelated: &self.unrelated,
            was_answered: self.was_answered(),
        })
    }

    fn servers(&self) -> Vec<NameHash> {
        let ends = self.suspects.iter().flat_map(|suspect| &suspect.ends);
        ends.map(|end| end.server).collect()
    }

    /// Returns whether a request of any workspace with the segment was ever answered completely, as far as is known.
    pub(crate) fn was_answered(&self) -> bool {
        self.suspects.iter().any(|suspect| suspect.was_answered)
    }

    fn answered_at(&self) -> Option<TimeMs> {
        let answered_at = self.suspects.iter().filter_map(|suspect| suspect.answered_at);
        answered_at.max()
    }

    /// Returns the ends since the last answer to a request of any workspace, each server once.
    fn uncleared_ends(&self) -> Vec<SuspectEnd> {
        let answered_at = self.answered_at();
        let is_cleared =
            |end: &SuspectEnd| answered_at.is_some_and(|began_at| end.is_cleared_by_segment(began_at));
        let ends = self.suspects.iter().flat_map(|suspect| &suspect.ends);
        distinct_ends(ends.filter(|end| !is_cleared(end)))
    }
}

/// Returns the ends of all workspaces, each server once.
fn distinct_ends<'a>(ends: impl Iterator<Item = &'a SuspectEnd>) -> Vec<SuspectEnd> {
    let mut distinct: Vec<SuspectEnd> = Vec::new();
    for end in ends {
        match distinct.iter_mut().find(|known| known.server == end.server) {
            Some(known) => known.combine(end),
            None => distinct.push(*end),
        }
    }
    distinct
}

impl Case<'_> {
    /// Returns from when on the ends are enough; `None` if they are not.
    fn enough_from(&self) -> Option<TimeMs> {
        let ends = self.ends.iter().copied();
        let ends: Vec<SuspectEnd> = ends.filter(|end| self.has_own_cause(end)).collect();
        let enough_from = ends
            .iter()
            .filter_map(|end| self.alike_enough_from(&ends, end.answered_ms));
        enough_from.min()
    }

    /// Returns from when on those ends are enough whose answers had been written for about as long, of which `shortest_ms` is
    /// the shortest time.
    fn alike_enough_from(&self, ends: &[SuspectEnd], shortest_ms: u64) -> Option<TimeMs> {
        let alike_ms = shortest_ms..=ALIKE_FACTOR * shortest_ms + ALIKE_MARGIN_MS;
        let alike = ends.iter().filter(|end| alike_ms.contains(&end.answered_ms));
        let alike: Vec<SuspectEnd> = alike.copied().collect();
        let standing = alike.iter().filter(|end| !end.is_outlived);
        let mut standing: Vec<SuspectEnd> = standing.copied().collect();
        let needed = if self.was_answered {
            ENDS_TO_QUARANTINE_ANSWERED
        } else {
            ENDS_TO_QUARANTINE
        };
        if consecutive_ends(&mut standing) >= needed + self.further_ends(&standing) {
            return Some(TimeMs(0));
        }
        if self.was_answered {
            return None;
        }
        let known = alike.iter().filter(|end| !end.is_early);
        let known: Vec<SuspectEnd> = known.copied().collect();
        if self.unrelated_between(&known) > moments(&known).count() {
            return None;
        }
        let last_moment = moments(&known).nth(UNANSWERED_ENDS_TO_QUARANTINE - 1)?;
        Some(last_moment.plus_ms(UNANSWERED_SETTLE_MS))
    }

    /// Returns how many further ends are needed because servers also end without the segment.
    fn further_ends(&self, ends: &[SuspectEnd]) -> usize {
        let unrelated = self.unrelated_between(ends);
        unrelated.saturating_sub(ends.len() / 2).min(FURTHER_ENDS_MAX)
    }

    /// Returns how often servers ended without the segment between the first and the last of these ends.
    fn unrelated_between(&self, ends: &[SuspectEnd]) -> usize {
        let first = ends.iter().map(|end| end.ended_at).min();
        let last = ends.iter().map(|end| end.ended_at).max();
        let (Some(first), Some(last)) = (first, last) else {
            return 0;
        };
        let between = self.unrelated.iter().filter(|at| (first..=last).contains(at));
        between.count()
    }

    /// Returns whether no other server ended together with an end and without the segment.
    fn has_own_cause(&self, end: &SuspectEnd) -> bool {
        end.beside.is_none_or(|other| self.servers.contains(&other))
    }
}
