//! How much a retry helps its caller, by its purpose and by what earlier retries of its kind came to.

use reedsail_core::TimeMs;

use crate::decaying_sum::DecayingSum;

/// Time constant with which the outcomes of retries are forgotten, in milliseconds.
const OUTCOME_DECAY_MS: u64 = 5_000;
/// Number of successful retries that are assumed beside the observed ones.
const ASSUMED_SUCCESSES: f64 = 4.0;
/// Share of a budget that is kept for streams whose callers have a part of the answer.
const STREAM_RESERVE: f64 = 0.05;
/// Further share that is kept from retries of a kind that never succeeds. It falls with the cube of their failure rate.
const FUTILE_RESERVE: f64 = 0.5;

/// What a retry is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPurpose {
    /// To continue a stream of which the caller has received a part.
    ContinueStream,
    /// To repeat a request that a server rejected without running it.
    RepeatRejected,
    /// To repeat a request that failed at a server.
    RepeatFailed,
}

/// The outcomes of one service's retries on one instance.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RetryBenefit {
    rejected: Outcomes,
    failed: Outcomes,
}

#[derive(Clone, Copy, Debug, Default)]
struct Outcomes {
    retries: DecayingSum<OUTCOME_DECAY_MS>,
    successes: DecayingSum<OUTCOME_DECAY_MS>,
}

impl RetryBenefit {
    /// Records whether a retry was answered. Streams are always continued first, whatever their outcomes.
    pub(crate) fn record(&mut self, purpose: RetryPurpose, is_success: bool, now: TimeMs) {
        let outcomes = match purpose {
            RetryPurpose::ContinueStream => return,
            RetryPurpose::RepeatRejected => &mut self.rejected,
            RetryPurpose::RepeatFailed => &mut self.failed,
        };
        outcomes.retries.add(1.0, now);
        outcomes.successes.add(f64::from(u8::from(is_success)), now);
    }

    /// Returns the share of the budget that a retry leaves for those that help more.
    pub(crate) fn reserved_share(&self, purpose: RetryPurpose, now: TimeMs) -> f64 {
        if purpose == RetryPurpose::ContinueStream {
            return 0.0;
        }
        let failure_rate = 1.0 - self.success_rate(purpose, now);
        STREAM_RESERVE + FUTILE_RESERVE * failure_rate.powi(3)
    }

    /// Returns the expected share of retries that are answered.
    pub(crate) fn success_rate(&self, purpose: RetryPurpose, now: TimeMs) -> f64 {
        match purpose {
            RetryPurpose::ContinueStream => 1.0,
            RetryPurpose::RepeatRejected => self.rejected.success_rate(now),
            RetryPurpose::RepeatFailed => self.failed.success_rate(now),
        }
    }
}

impl Outcomes {
    fn success_rate(&self, now: TimeMs) -> f64 {
        let retries = self.retries.value_at(now) + ASSUMED_SUCCESSES;
        (self.successes.value_at(now) + ASSUMED_SUCCESSES) / retries
    }
}
