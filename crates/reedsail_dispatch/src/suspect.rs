//! The evidence against one suspect: which servers have ended under it, and when it was answered.

use reedsail_core::NameHash;
use reedsail_core::TimeMs;

use crate::BrokenRequest;
use crate::SuspectEndRow;
use crate::SuspectKey;
use crate::SuspectRow;

/// How long a change of a suspect is announced, in milliseconds: five report intervals of the smallest fleets, because
/// some reports may be lost.
const ANNOUNCE_DURATION_MS: u64 = 500;
/// Interval at which suspects are announced again, in milliseconds: shorter than the 3,000 ms within which an instance
/// must learn what its peers know.
const ANNOUNCE_INTERVAL_MS: u64 = 2_000;
/// How much earlier than an end an answer to a request may be and still clear it, in milliseconds. Reports contain the
/// ages of both, which do not include the transmission time.
const REQUEST_SLACK_MS: u64 = 1_000;
/// The same for the beginning of an answer to a request with a segment. Many requests have a segment, so the next answer
/// clears what this one does not.
const SEGMENT_SLACK_MS: u64 = 250;
/// Time between an end and the sending of the next request that counts, in milliseconds: answers that began meanwhile show
/// by then whether their servers survive them.
const CONSECUTIVE_GAP_MS: u64 = 200;
/// Maximum number of ends that are kept of a suspect.
const ENDS_MAX: usize = 8;

/// The end of a server under a suspect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SuspectEnd {
    /// The start of a server that ended.
    pub(crate) server: NameHash,
    /// When the request was sent there.
    pub(crate) sent_at: TimeMs,
    /// When the server ended.
    pub(crate) ended_at: TimeMs,
}

impl SuspectEnd {
    /// Returns the end of a server under a request whose connection broke then.
    pub(crate) fn of(request: &BrokenRequest, server: NameHash) -> Self {
        Self {
            server,
            sent_at: request.sent_at,
            ended_at: request.broke_at,
        }
    }

    fn row(self, now: TimeMs) -> SuspectEndRow {
        SuspectEndRow {
            server: self.server,
            sent_ms_ago: age_ms(self.sent_at, now),
            ended_ms_ago: age_ms(self.ended_at, now),
        }
    }

    /// Returns whether an answer to a request with a segment, which began at `began_at`, clears the end.
    pub(crate) fn is_cleared_by_segment(&self, began_at: TimeMs) -> bool {
        self.is_cleared(began_at, SEGMENT_SLACK_MS)
    }

    fn is_cleared(&self, answered_at: TimeMs, slack_ms: u64) -> bool {
        self.ended_at <= answered_at.plus_ms(slack_ms)
    }

    pub(crate) fn from_row(row: &SuspectEndRow, now: TimeMs) -> Self {
        Self {
            server: row.server,
            sent_at: time_ago(row.sent_ms_ago, now),
            ended_at: time_ago(row.ended_ms_ago, now),
        }
    }
}

/// Returns the largest number of ends of which each came under a request that was sent [`CONSECUTIVE_GAP_MS`] or more after
/// the end before. Servers that end together count once.
pub(crate) fn consecutive_ends(ends: &mut [SuspectEnd]) -> usize {
    ends.sort_unstable_by_key(|end| (end.ended_at, end.server));
    let mut next_from = TimeMs(0);
    let mut count = 0;
    for end in ends {
        if end.sent_at >= next_from {
            next_from = end.ended_at.plus_ms(CONSECUTIVE_GAP_MS);
            count += 1;
        }
    }
    count
}

/// What an instance knows about a suspect.
#[derive(Clone, Debug)]
pub(crate) struct Suspect {
    /// The workspace that its requests are charged to.
    pub(crate) workspace: NameHash,
    /// The ends that no answer has cleared.
    pub(crate) ends: Vec<SuspectEnd>,
    /// How much earlier than an end an answer may be and still clear it, in milliseconds.
    slack_ms: u64,
    /// When it was last answered completely; of a segment, when that answer began.
    pub(crate) answered_at: Option<TimeMs>,
    /// When it last arrived, was present at the end of a server, or was answered.
    pub(crate) seen_at: TimeMs,
    announced_until: TimeMs,
    /// Whether this instance has observed an end or an answer itself, and therefore announces the suspect.
    is_observed_here: bool,
}

impl Suspect {
    pub(crate) fn new(key: SuspectKey, workspace: NameHash, now: TimeMs) -> Self {
        Self {
            workspace,
            slack_ms: match key {
                SuspectKey::Request(_) => REQUEST_SLACK_MS,
                SuspectKey::Segment(_) => SEGMENT_SLACK_MS,
            },
            ends: Vec::new(),
            answered_at: None,
            seen_at: now,
            announced_until: TimeMs(0),
            is_observed_here: false,
        }
    }

    /// Records that this instance has observed an end or an answer.
    pub(crate) fn observe(&mut self, now: TimeMs) {
        self.is_observed_here = true;
        self.seen_at = now;
    }

    /// Announces the suspect at once.
    pub(crate) fn announce(&mut self, now: TimeMs) {
        self.announced_until = now.plus_ms(ANNOUNCE_DURATION_MS);
    }

    /// Returns whether an answer at `answered_at` clears an end of this suspect.
    fn clears(&self, answered_at: TimeMs, end: &SuspectEnd) -> bool {
        end.is_cleared(answered_at, self.slack_ms)
    }

    /// Returns whether the suspect was present at an end.
    pub(crate) fn was_present_at(&self, end: &SuspectEnd) -> bool {
        self.ends.iter().any(|known| known.server == end.server)
    }

    /// Adds an end unless it is known or an answer has cleared it.
    pub(crate) fn add_end(&mut self, end: SuspectEnd, now: TimeMs) {
        if self
            .answered_at
            .is_some_and(|answered_at| self.clears(answered_at, &end))
        {
            // A peer that still announces this end has not received the answer.
            self.announce(now);
            return;
        }
        // Ages in reports grow by the transmission time, so the first known times stay.
        if self.was_present_at(&end) {
            return;
        }
        if self.ends.len() >= ENDS_MAX {
            self.ends.remove(0);
        }
        self.ends.push(end);
        self.announce(now);
    }

    /// Records an answer, which clears the ends before it.
    pub(crate) fn clear(&mut self, answered_at: TimeMs, now: TimeMs) {
        self.answered_at = self.answered_at.max(Some(answered_at));
        let known = self.ends.len();
        let slack_ms = self.slack_ms;
        self.ends.retain(|end| !end.is_cleared(answered_at, slack_ms));
        if self.ends.len() < known {
            self.announce(now);
        }
    }

    /// Returns whether the next report contains the suspect. Each instance announces it if `is_quarantined` or several servers
    /// have ended under it, and otherwise only those that have observed something.
    pub(crate) fn is_announced(&self, key: SuspectKey, is_quarantined: bool, now: TimeMs) -> bool {
        if !is_quarantined && !self.is_observed_here && self.ends.len() <= 1 {
            return false;
        }
        if now < self.announced_until {
            return true;
        }
        // Suspects are announced in different phases, so that reports stay small.
        let phase = match key {
            SuspectKey::Request(fingerprint) => fingerprint.0 as u64,
            // An answer is announced when it is new, and to a peer that announces ends which it has cleared.
            SuspectKey::Segment(_) if self.ends.is_empty() => return false,
            SuspectKey::Segment(key) => key.segment.id,
        };
        let phase = now.0.wrapping_add(phase % ANNOUNCE_INTERVAL_MS) % ANNOUNCE_INTERVAL_MS;
        phase < ANNOUNCE_DURATION_MS
    }

    pub(crate) fn row(&self, key: SuspectKey, now: TimeMs) -> SuspectRow {
        let last_ended_at = self.ends.iter().map(|end| end.ended_at).max();
        let changed_at = last_ended_at.or(self.answered_at).unwrap_or(self.seen_at);
        SuspectRow {
            key,
            workspace: self.workspace,
            ends: self.ends.iter().map(|end| end.row(now)).collect(),
            changed_ms_ago: age_ms(changed_at, now),
            seen_ms_ago: age_ms(self.seen_at, now),
        }
    }
}

/// Returns the age for a row, saturated at the largest value of the field.
fn age_ms(at: TimeMs, now: TimeMs) -> u32 {
    u32::try_from(now.since_ms(at)).unwrap_or(u32::MAX)
}

pub(crate) fn time_ago(ms_ago: u32, now: TimeMs) -> TimeMs {
    TimeMs(now.0.saturating_sub(u64::from(ms_ago)))
}
