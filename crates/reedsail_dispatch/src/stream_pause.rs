//! Stream pauses: the longest pause that a prompt would cause to the streams that an engine runs.
//!
//! **Rule.** An engine prefills prompts between the decode steps of its streams, so prompts that wait for prefill
//! lengthen the events of all its streams. The pause that a prompt would cause is the present pause of the engine's
//! streams, or an event without prefill if that is longer, and the prefill of the backlog and of the prompt. Half of
//! the gap target is left for short slowdowns. Where the pause exceeds that, the excess counts against the engine in
//! placement, and admission refuses the prompt if its workspace requests more than its share. Retries, resumed streams
//! and prompts without a gap target are not refused. Long prompts belong to engines that keep the target with them. A
//! prompt that exceeds the target by itself on an engine of mean speed is sent where the excess is no greater than that.
//! The rule holds for engines at whose speed long gaps are observed. Elsewhere pauses do not matter.
//!
//! **Inputs.** The gap target of each service's requests, gaps between events, the present pauses of the streams of all
//! instances, the backlog and the prompt's own prefill time at the engine's speed; all in milliseconds.
//!
//! **Why.** A stream is late if one of its events is. On a slow engine a few long prompts fill all steps of an event
//! with prefill, while a fast engine keeps the target with any backlog. The backlog alone does not tell of a slowdown,
//! since new prompts replace those that were prefilled during one event; the present pause does.
//!
//! **Tested by** `tests/stream_pause.rs`.

use reedsail_core::TimeMs;

use crate::decaying_sum::decay;

/// Number of classes of gap lengths, up to two seconds.
const GAP_CLASSES: usize = 32;
/// Lower end of the first class, in milliseconds.
const GAP_MIN_MS: f64 = 8.0;
/// Number of classes in which the length doubles.
const CLASSES_PER_OCTAVE: f64 = 4.0;
/// Time constant of the counts, in milliseconds: several streams and many short slowdowns.
const COUNT_MS: u64 = 10_000;
/// Interval at which the counts decay, in milliseconds.
const DECAY_INTERVAL_MS: u64 = 100;
/// Minimum number of counted gaps on which anything is decided.
const GAPS_MIN: f64 = 200.0;
/// Fraction of gaps above the target from which the pauses of an engine are bounded: a stream of fifty events is then
/// late once in ten times.
const LATE_GAPS_FRACTION: f64 = 0.002;
/// Fraction of gaps that are no longer than an event without prefill.
const DECODE_FRACTION: f64 = 0.2;
/// Factor by which a pause may turn out longer than estimated, because engines have short slowdowns that no report
/// shows yet: half of the target is left for them.
const SLOWDOWN_FACTOR: f64 = 2.0;
/// Weight of a pause beyond the target in how few of the prompts that cause it an engine owns: it owns a part of one by
/// one plus this weight times the excess, as a ratio of the target.
const EXCESS_RELUCTANCE: f64 = 10.0;
/// Longest pause that counts, in milliseconds. Callers give up a stream that pauses for longer, and an engine that hangs
/// must not be judged by it.
const PAUSE_MAX_MS: u64 = 2_000;
/// How long a pause that a peer reported counts, in milliseconds: two intervals between the
/// sums of busy aggregators. Where reports come less often, the pause is unknown in between.
const PEER_PAUSE_VALID_MS: u64 = 50;
/// How long a gap target counts after the last request that had it, in milliseconds.
const TARGET_REMEMBERED_MS: u64 = 10_000;

/// What is known of the gaps between events of one service's streams, as on an engine of mean speed.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StreamPauses {
    /// Decaying counts by the length of the gap.
    counts: [f64; GAP_CLASSES],
    decayed_at: TimeMs,
    target_ms: Option<u64>,
    target_until: TimeMs,
}

impl StreamPauses {
    /// Records the gap target of a request. The shortest recent target counts.
    pub(crate) fn record_target(&mut self, target_ms: u64, now: TimeMs) {
        let is_shortest = self.target(now).is_none_or(|known_ms| target_ms <= known_ms);
        if is_shortest {
            self.target_ms = Some(target_ms);
            self.target_until = now.plus_ms(TARGET_REMEMBERED_MS);
        }
    }

    /// Records a gap between two events on an engine of the given slowness.
    pub(crate) fn record_gap(&mut self, gap_ms: u64, slowness: f64, now: TimeMs) {
        if gap_ms > PAUSE_MAX_MS {
            return;
        }
        let age_ms = now.since_ms(self.decayed_at);
        if age_ms >= DECAY_INTERVAL_MS {
            let remaining = decay(age_ms, COUNT_MS);
            self.counts = self.counts.map(|count| count * remaining);
            self.decayed_at = now;
        }
        self.counts[gap_class(gap_ms as f64 / slowness)] += 1.0;
    }

    /// Returns the bound on the pauses of the service's streams, or `None` if they have no gap target or too few gaps were
    /// counted.
    pub(crate) fn bound(&self, now: TimeMs) -> Option<PauseBound> {
        let target_ms = self.target(now)? as f64;
        let gaps: f64 = self.counts.iter().sum();
        let remaining_gaps = gaps * decay(now.since_ms(self.decayed_at), COUNT_MS);
        (remaining_gaps >= GAPS_MIN).then(|| PauseBound {
            target_ms,
            decode_ms: self.gap_ms(DECODE_FRACTION * gaps),
            kept_slowness: target_ms / self.gap_ms((1.0 - LATE_GAPS_FRACTION) * gaps),
        })
    }

    fn target(&self, now: TimeMs) -> Option<u64> {
        self.target_ms.filter(|_| now < self.target_until)
    }

    /// Returns the gap that so many gaps do not exceed, in milliseconds.
    fn gap_ms(&self, count: f64) -> f64 {
        let mut below = 0.0;
        let class = self.counts.iter().position(|in_class| {
            below += in_class;
            below >= count
        });
        let class = class.unwrap_or(GAP_CLASSES) as f64 + 0.5;
        GAP_MIN_MS * (class / CLASSES_PER_OCTAVE).exp2()
    }
}

/// Returns the class of a gap.
fn gap_class(gap_ms: f64) -> usize {
    let class = (gap_ms / GAP_MIN_MS).max(1.0).log2() * CLASSES_PER_OCTAVE;
    (class as usize).min(GAP_CLASSES - 1)
}

/// The bound on the pauses of one service's streams, with times as on an engine of mean speed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct PauseBound {
    target_ms: f64,
    /// Time of an event without prefill.
    decode_ms: f64,
    /// Greatest slowness at which all but few gaps keep the target.
    kept_slowness: f64,
}

impl PauseBound {
    /// Returns by how much the streams of an engine of the given slowness pause too long if one of them has paused
    /// for `pause_ms` and the engine prefills for `prefill_ms`, in milliseconds.
    pub(crate) fn excess_ms(self, slowness: f64, pause_ms: f64, prefill_ms: f64) -> f64 {
        if slowness <= self.kept_slowness {
            return 0.0;
        }
        let event_ms = self.decode_ms * slowness * SLOWDOWN_FACTOR;
        let pause_ms = event_ms.max(pause_ms) + prefill_ms * SLOWDOWN_FACTOR;
        (pause_ms - self.target_ms).max(0.0)
    }

    /// Returns the factor by which an engine of the given slowness owns fewer of the prompts that take it
    /// `prefill_ms`.
    pub(crate) fn reluctance(self, slowness: f64, prefill_ms: f64) -> f64 {
        1.0 + EXCESS_RELUCTANCE * self.excess_ms(slowness, 0.0, prefill_ms) / self.target_ms
    }
}

/// The streams with a gap target that run on one engine, and the longest of their present pauses.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunningStreams {
    /// This instance's streams that wait for an event: the number of the attempt and the time since which it waits.
    own: Vec<(u64, TimeMs)>,
    /// The longest pause that a peer reported, and when.
    peer_pause: (u16, TimeMs),
}

impl RunningStreams {
    /// Records that a stream of this instance waits for its next event.
    pub(crate) fn begin_wait(&mut self, attempt: u64, now: TimeMs) {
        self.own.push((attempt, now));
    }

    /// Records that a stream got its event or has ended.
    pub(crate) fn end_wait(&mut self, attempt: u64) {
        self.own.retain(|(number, _)| *number != attempt);
    }

    /// Returns the longest present pause of this instance's streams, in milliseconds.
    pub(crate) fn own_pause_ms(&self, now: TimeMs) -> u16 {
        let pauses = self
            .own
            .iter()
            .map(|(_, waiting_since)| now.since_ms(*waiting_since));
        let longest = pauses.filter(|pause_ms| *pause_ms <= PAUSE_MAX_MS).max();
        longest.unwrap_or(0) as u16
    }

    /// Stores the pause that a peer reported. A shorter pause replaces a longer one only after that has expired.
    pub(crate) fn receive(&mut self, pause_ms: u16, now: TimeMs) {
        if pause_ms >= self.peer_pause_ms(now) {
            self.peer_pause = (pause_ms, now);
        }
    }

    /// Returns the longest known pause, in milliseconds.
    pub(crate) fn pause_ms(&self, now: TimeMs) -> f64 {
        f64::from(self.own_pause_ms(now).max(self.peer_pause_ms(now)))
    }

    fn peer_pause_ms(&self, now: TimeMs) -> u16 {
        let (pause_ms, received_at) = self.peer_pause;
        if now.since_ms(received_at) < PEER_PAUSE_VALID_MS {
            pause_ms
        } else {
            0
        }
    }
}
