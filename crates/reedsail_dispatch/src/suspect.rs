//! The evidence against one suspect: which servers have ended under it, and when it was answered.

use reedsail_core::NameHash;
use reedsail_core::TimeMs;

use crate::BrokenRequest;
use crate::StoredState;
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
/// Time within which the ends of servers are one moment, in milliseconds: instances see the end of a server at slightly
/// different times.
const MOMENT_MS: u64 = 20;
/// How much longer than those that broke off an answer must go on to outlive an end, in milliseconds, beyond a quarter of
/// their time: engines differ in speed.
const OUTLIVED_MARGIN_MS: u64 = 250;
/// Maximum number of ends that are kept of a suspect.
const ENDS_MAX: usize = 8;
/// How much later than a known answer the answer of a peer's row must be to replace it, in milliseconds. The age in a row does
/// not include the transmission time, so a time that peers return to each other would grow later and later.
const ROW_DELAY_MAX_MS: u64 = 250;
/// Minimum time between two writes of the same record, in milliseconds: what is told as written less than that later is the
/// same write, heard by another way.
const REWRITE_MIN_MS: u64 = 60_000;

/// The end of a server under a suspect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SuspectEnd {
    /// The start of a server that ended.
    pub(crate) server: NameHash,
    /// When the request was sent there.
    pub(crate) sent_at: TimeMs,
    /// When the server ended.
    pub(crate) ended_at: TimeMs,
    /// The longest time for which an answer under the suspect had been written there, in milliseconds; zero if no head had
    /// arrived.
    pub(crate) answered_ms: u64,
    /// Another server that ended at the same time while it ran nothing under the suspect, as the observer knows.
    pub(crate) beside: Option<NameHash>,
    /// Whether an answer under the suspect that began no later has gone on for clearly longer.
    pub(crate) is_outlived: bool,
    /// Whether its observers had not run long enough to know which segments were answered before.
    pub(crate) is_early: bool,
}

impl SuspectEnd {
    /// Returns the end of a server under a request whose connection broke then.
    pub(crate) fn of_request(request: &BrokenRequest, server: NameHash) -> Self {
        Self {
            server,
            sent_at: request.sent_at,
            ended_at: request.broke_at,
            answered_ms: 0,
            beside: None,
            is_outlived: false,
            is_early: false,
        }
    }

    fn row(self, now: TimeMs) -> SuspectEndRow {
        SuspectEndRow {
            server: self.server,
            sent_ms_ago: age_ms(self.sent_at, now),
            ended_ms_ago: age_ms(self.ended_at, now),
            answered_ms: u32::try_from(self.answered_ms).unwrap_or(u32::MAX),
            beside: self.beside,
            is_outlived: self.is_outlived,
            is_early: self.is_early,
        }
    }

    /// Returns whether an answer to a request with a segment, which began at `began_at`, clears the end: it began when the
    /// answers that broke off at the end were already being written.
    pub(crate) fn is_cleared_by_segment(&self, began_at: TimeMs) -> bool {
        self.is_cleared(began_at, SEGMENT_SLACK_MS)
    }

    fn is_cleared(&self, answered_at: TimeMs, slack_ms: u64) -> bool {
        let written_from = TimeMs(self.ended_at.0.saturating_sub(self.answered_ms));
        written_from <= answered_at.plus_ms(slack_ms)
    }

    pub(crate) fn from_row(row: &SuspectEndRow, now: TimeMs) -> Self {
        Self {
            server: row.server,
            sent_at: time_ago(row.sent_ms_ago, now),
            ended_at: time_ago(row.ended_ms_ago, now),
            answered_ms: u64::from(row.answered_ms),
            beside: row.beside,
            is_outlived: row.is_outlived,
            is_early: row.is_early,
        }
    }

    /// Returns whether an answer to a request with a segment, which began at `began_at` and has gone on for `answered_ms`,
    /// outlives the end: it began no earlier than those that broke off there, and goes on for clearly longer.
    pub(crate) fn is_outlived_by(&self, began_at: TimeMs, answered_ms: u64) -> bool {
        let clearly_longer_ms = self.answered_ms + self.answered_ms / 4 + OUTLIVED_MARGIN_MS;
        self.is_cleared_by_segment(began_at) && answered_ms > clearly_longer_ms
    }

    /// Adds the observation of the same end under the requests of another workspace.
    pub(crate) fn combine(&mut self, other: &Self) {
        self.sent_at = self.sent_at.max(other.sent_at);
        self.merge(other);
    }

    /// Adds what another observation of the same end says. Returns whether it says more.
    fn merge(&mut self, other: &Self) -> bool {
        let known = *self;
        self.answered_ms = self.answered_ms.max(other.answered_ms);
        self.beside = self.beside.or(other.beside);
        self.is_outlived |= other.is_outlived;
        self.is_early &= other.is_early;
        *self != known
    }
}

/// Returns the largest number of ends of which each came under a request that was sent [`CONSECUTIVE_GAP_MS`] or more after
/// the end before, and ended as much later as the answers there had been written. Servers that end together count once.
pub(crate) fn consecutive_ends(ends: &mut [SuspectEnd]) -> usize {
    ends.sort_unstable_by_key(|end| (end.ended_at, end.server));
    let mut sent_from = TimeMs(0);
    let mut ended_from = TimeMs(0);
    let mut count = 0;
    for end in ends {
        if end.sent_at >= sent_from && end.ended_at >= ended_from {
            sent_from = end.ended_at.plus_ms(CONSECUTIVE_GAP_MS);
            ended_from = end.ended_at.plus_ms(end.answered_ms);
            count += 1;
        }
    }
    count
}

/// Returns the moments at which servers have ended, in order. Those that ended within [`MOMENT_MS`] ended at one moment.
pub(crate) fn moments(ends: &[SuspectEnd]) -> impl Iterator<Item = TimeMs> + use<> {
    let mut ended_at: Vec<TimeMs> = ends.iter().map(|end| end.ended_at).collect();
    ended_at.sort_unstable();
    let mut next_from = TimeMs(0);
    ended_at.into_iter().filter(move |at| {
        let is_new = *at >= next_from;
        if is_new {
            next_from = at.plus_ms(MOMENT_MS);
        }
        is_new
    })
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
    /// The same of the last answer that this instance has observed itself.
    own_answered_at: Option<TimeMs>,
    /// Whether a request of any workspace was ever answered completely under it, as far as is known.
    pub(crate) was_answered: bool,
    /// When it last arrived, was present at the end of a server, or was answered.
    pub(crate) seen_at: TimeMs,
    /// What the store is known to hold of it.
    pub(crate) stored: StoredState,
    /// When that was written.
    pub(crate) stored_at: TimeMs,
    announced_until: TimeMs,
    /// Whether this instance has observed an end, an answer or a write itself, or a peer lacks an answer that it knows of,
    /// and therefore announces the suspect.
    is_announced_here: bool,
}

impl Suspect {
    pub(crate) fn new(key: SuspectKey, workspace: NameHash, was_answered: bool, now: TimeMs) -> Self {
        Self {
            workspace,
            slack_ms: match key {
                SuspectKey::Request(_) => REQUEST_SLACK_MS,
                SuspectKey::Segment(_) => SEGMENT_SLACK_MS,
            },
            ends: Vec::new(),
            answered_at: None,
            own_answered_at: None,
            was_answered,
            seen_at: now,
            stored: StoredState::Unknown,
            stored_at: TimeMs(0),
            announced_until: TimeMs(0),
            is_announced_here: false,
        }
    }

    /// Records that this instance has observed an end or an answer.
    pub(crate) fn observe(&mut self, now: TimeMs) {
        self.is_announced_here = true;
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
            // A peer that still announces this end has not received the answer, whose observer may have ended.
            self.is_announced_here = true;
            self.announce(now);
            return;
        }
        // Ages in reports grow by the transmission time, so the first known times stay.
        if let Some(known) = self.ends.iter_mut().find(|known| known.server == end.server) {
            if known.merge(&end) {
                self.announce(now);
            }
            return;
        }
        if self.ends.len() >= ENDS_MAX {
            self.ends.remove(0);
        }
        self.ends.push(end);
        self.announce(now);
    }

    /// Records that an answer which began at `began_at` has gone on for `answered_ms`. Returns whether it outlives an end that
    /// no other has outlived.
    pub(crate) fn outlive(&mut self, began_at: TimeMs, answered_ms: u64, now: TimeMs) -> bool {
        let mut is_news = false;
        for end in &mut self.ends {
            if !end.is_outlived && end.is_outlived_by(began_at, answered_ms) {
                end.is_outlived = true;
                is_news = true;
            }
        }
        if is_news {
            self.announce(now);
        }
        is_news
    }

    /// Records what the store holds since `stored_at`, unless that is known or something newer is.
    pub(crate) fn record_stored(&mut self, stored: StoredState, stored_at: TimeMs, now: TimeMs) {
        if !self.is_stored_news(stored, stored_at) {
            return;
        }
        self.stored = stored;
        self.stored_at = stored_at;
        self.announce(now);
    }

    /// Records that this instance has written to the store.
    pub(crate) fn record_own_write(&mut self, stored: StoredState, now: TimeMs) {
        self.is_announced_here = true;
        self.record_stored(stored, now, now);
    }

    fn is_stored_news(&self, stored: StoredState, stored_at: TimeMs) -> bool {
        if stored.era() != self.stored.era() {
            return stored.era() > self.stored.era();
        }
        let later_than = |delay_ms| stored_at > self.stored_at.plus_ms(delay_ms);
        match stored {
            StoredState::Unknown => false,
            _ if stored == self.stored => later_than(REWRITE_MIN_MS),
            StoredState::Stored(_) | StoredState::Withdrawn(_) => later_than(ROW_DELAY_MAX_MS),
        }
    }

    /// Adds what a peer's row says of answers.
    pub(crate) fn merge_answers(&mut self, row: &SuspectRow, now: TimeMs) {
        self.was_answered |= row.was_answered;
        let Some(ms_ago) = row.answered_ms_ago else {
            return;
        };
        let heard = time_ago(ms_ago, now);
        let is_later = self
            .answered_at
            .is_none_or(|known| heard > known.plus_ms(ROW_DELAY_MAX_MS));
        if is_later {
            self.clear(heard, now);
        }
    }

    /// Records an answer, which clears the ends before it.
    pub(crate) fn clear(&mut self, answered_at: TimeMs, now: TimeMs) {
        self.answered_at = self.answered_at.max(Some(answered_at));
        self.was_answered = true;
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
        if !is_quarantined && !self.is_announced_here && self.ends.len() <= 1 {
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

    /// Records that this instance has observed an answer, which began at `began_at` and clears the ends before it.
    pub(crate) fn observe_answer(&mut self, began_at: TimeMs, now: TimeMs) {
        self.own_answered_at = self.own_answered_at.max(Some(began_at));
        self.observe(now);
        self.announce(now);
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
            // A learned time would grow by each transmission if it was told on.
            answered_ms_ago: self.own_answered_at.map(|answered_at| age_ms(answered_at, now)),
            was_answered: self.was_answered,
            stored: self.stored,
            stored_ms_ago: age_ms(self.stored_at, now),
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
