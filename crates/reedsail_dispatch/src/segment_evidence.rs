//! The evidence against a segment of prompts, over the workspaces whose requests have it.
//!
//! **Rule.** The evidence against a segment is enough once [`ENDS_TO_QUARANTINE`] servers have ended one after the other
//! under requests with it, each of which was sent after the end before, and no request with it was answered completely
//! since. The ends under the requests of one workspace count against that workspace; ends of which no workspace was
//! present at all count against all, unless a request of any workspace with the segment was answered since. If other such segments were
//! present at all these ends, and a request has none of them, the request is sent: its outcome tells them apart.
//!
//! **Inputs.** The suspects of a segment, one for each workspace.
//!
//! **Why.** A prompt has several segments, and placement sends requests with the same segments to the same engines, so
//! that sound segments are present at the ends that another one causes. An answer clears those that are used otherwise.
//! Those that are used nowhere else are not missed if they are refused. Servers that crash together end under requests
//! that were all sent before, so that they count as one end. Ids of segments are the callers' own, so a workspace alone
//! can't have another one's prompts refused.
//!
//! **Tested by** `tests/segment_quarantine.rs`, and `tests/poison_segment.rs` of `reedsail_simulation`.

use reedsail_core::NameHash;
use reedsail_core::TimeMs;

use crate::suspect::Suspect;
use crate::suspect::SuspectEnd;
use crate::suspect::consecutive_ends;

/// Number of servers that end one after the other under requests with a segment before it is quarantined. Users tolerate
/// five.
pub const ENDS_TO_QUARANTINE: usize = 3;

/// What is known of a segment, by workspace.
pub(crate) struct SegmentEvidence<'a> {
    suspects: Vec<&'a Suspect>,
}

impl<'a> SegmentEvidence<'a> {
    pub(crate) fn new(suspects: impl Iterator<Item = &'a Suspect>) -> Self {
        Self {
            suspects: suspects.collect(),
        }
    }

    /// Returns whether an answer to a request of a workspace that began at `began_at` clears anything: ends of its own, or
    /// of any workspace since the last answer.
    pub(crate) fn is_answer_news(&self, workspace: NameHash, began_at: TimeMs) -> bool {
        let is_cleared = |end: &SuspectEnd| end.is_cleared_by_segment(began_at);
        let own = self
            .suspects
            .iter()
            .filter(|suspect| suspect.workspace == workspace);
        own.flat_map(|suspect| &suspect.ends).any(is_cleared) || self.uncleared_ends().iter().any(is_cleared)
    }

    /// Returns whether the evidence is enough against any workspace.
    pub(crate) fn is_enough(&self) -> bool {
        let mut workspaces = self.suspects.iter().map(|suspect| suspect.workspace);
        self.shared_ends().is_some() || workspaces.any(|workspace| self.own_ends(workspace).is_some())
    }

    /// Returns the ends that are enough evidence against the requests of a workspace; `None` if they are not.
    pub(crate) fn ends_against(&self, workspace: NameHash) -> Option<Vec<SuspectEnd>> {
        self.own_ends(workspace).or_else(|| self.shared_ends())
    }

    /// Returns whether the segment was present at an end.
    pub(crate) fn was_present_at(&self, end: &SuspectEnd) -> bool {
        self.suspects.iter().any(|suspect| suspect.was_present_at(end))
    }

    /// Returns when the last server ended.
    pub(crate) fn last_ended_at(&self) -> TimeMs {
        let ends = self.suspects.iter().flat_map(|suspect| &suspect.ends);
        ends.map(|end| end.ended_at).max().unwrap_or(TimeMs(0))
    }

    fn own_ends(&self, workspace: NameHash) -> Option<Vec<SuspectEnd>> {
        let own = self
            .suspects
            .iter()
            .find(|suspect| suspect.workspace == workspace)?;
        enough(own.ends.clone())
    }

    fn shared_ends(&self) -> Option<Vec<SuspectEnd>> {
        let ends = self.uncleared_ends();
        // A workspace that was present at all of them may itself be the cause.
        let was_always_present = |suspect: &&Suspect| ends.iter().all(|end| suspect.was_present_at(end));
        if self.suspects.iter().any(was_always_present) {
            return None;
        }
        enough(ends)
    }

    /// Returns the ends since the last answer to a request of any workspace, each server once.
    fn uncleared_ends(&self) -> Vec<SuspectEnd> {
        let answered_at = self
            .suspects
            .iter()
            .filter_map(|suspect| suspect.answered_at)
            .max();
        let is_cleared =
            |end: &SuspectEnd| answered_at.is_some_and(|began_at| end.is_cleared_by_segment(began_at));
        let mut uncleared: Vec<SuspectEnd> = Vec::new();
        for end in self.suspects.iter().flat_map(|suspect| &suspect.ends) {
            if is_cleared(end) {
                continue;
            }
            match uncleared.iter_mut().find(|known| known.server == end.server) {
                Some(known) => known.sent_at = known.sent_at.max(end.sent_at),
                None => uncleared.push(*end),
            }
        }
        uncleared
    }
}

fn enough(mut ends: Vec<SuspectEnd>) -> Option<Vec<SuspectEnd>> {
    (consecutive_ends(&mut ends) >= ENDS_TO_QUARANTINE).then_some(ends)
}
