//! Engine speed: how fast each engine of a service is, relative to the mean of the service.
//!
//! **Rule.** Every first event yields the logarithm of the ratio of the measured time to the time that the service's
//! first-event model expects. An instance keeps a decaying sum of these logarithms for each engine and shares it in
//! its load reports, so the estimate of an engine rests on the answers that all instances received. Where the
//! estimates of a service differ by more than sampling noise explains, each engine has a relative slowness: the
//! ratio of its estimate to the geometric mean of the service. Otherwise all engines count as equally fast.
//!
//! **Inputs.** Times to the first event, measured and expected (milliseconds); the sums that peers report.
//!
//! **Why.** Engines of one service may differ in speed several times over. An instance meets each engine only every
//! few seconds, so its own answers do not tell a slow engine from a noisy one, and a new instance knows nothing.
//! A slowdown of some hundred milliseconds moves the sum by little, so it does not change which engine owns a prompt.
//!
//! **Tested by** `tests/engine_speed.rs`.

use reedsail_core::TimeMs;

use crate::decaying_sum::DecayingSum;

/// Time constant of the evidence, in milliseconds. It spans many short slowdowns. All instances must use the same
/// value, since the sums are part of the load message.
const EVIDENCE_MS: u64 = 10_000;
/// Number of answers at the service's mean speed that are added to the evidence of each engine, so that a few answers
/// do not decide.
const PRIOR_ANSWERS: f64 = 4.0;
/// Number of successive answers that count as one independent answer in the estimate of the sampling noise: a short
/// slowdown affects several answers alike.
const CORRELATED_ANSWERS: f64 = 6.0;
/// Minimum number of answers, in the decaying sum, for an engine to count in the comparison of a service's engines.
const COMPARED_ANSWERS_MIN: f64 = 3.0;
/// Minimum number of engines with evidence for a comparison.
const COMPARED_ENGINES_MIN: usize = 3;
/// Standard deviation of the logarithms beyond sampling noise from which engines count as uneven: a quarter faster or
/// slower than the mean.
const UNEVEN_FROM: f64 = 0.22;
/// Standard deviation below which uneven engines count as even again.
const UNEVEN_UNTIL: f64 = 0.12;
/// Bound on the logarithm of one ratio, so that an answer that waited for another cause has little effect.
const LOG_RATIO_MAX: f64 = 1.4;
/// Maximum number of answers that a peer's sum may claim.
const ANSWERS_MAX: f64 = 1e9;
/// Range of the relative slowness.
const SLOWNESS_RANGE: (f64, f64) = (0.25, 4.0);

/// Sums over the answers of one engine, in which older answers count less.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SpeedSums {
    /// Number of answers.
    pub answers: f64,
    /// Sum of the logarithms of the ratio of measured to expected time.
    pub log_slowness: f64,
    /// Sum of their squares.
    pub log_slowness_squares: f64,
}

impl SpeedSums {
    /// Returns whether the sums can come from answers.
    pub fn is_valid(&self) -> bool {
        let is_finite = self.log_slowness.is_finite() && self.log_slowness_squares.is_finite();
        is_finite && (0.0..=ANSWERS_MAX).contains(&self.answers) && self.log_slowness_squares >= 0.0
    }

    /// Adds other sums, or subtracts them with a `sign` of -1.
    pub fn add(&mut self, other: Self, sign: f64) {
        self.answers = (self.answers + sign * other.answers).max(0.0);
        self.log_slowness += sign * other.log_slowness;
        self.log_slowness_squares = (self.log_slowness_squares + sign * other.log_slowness_squares).max(0.0);
    }

    /// Returns the estimated logarithm of the slowness.
    fn log_estimate(self) -> f64 {
        self.log_slowness / (self.answers + PRIOR_ANSWERS)
    }

    /// Returns the variance of the estimate that sampling noise explains.
    fn sampling_variance(self) -> f64 {
        let mean = self.log_slowness / self.answers;
        let variance = (self.log_slowness_squares / self.answers - mean * mean).max(0.0);
        variance * CORRELATED_ANSWERS / self.answers
    }
}

/// What is known of one engine's speed.
#[derive(Clone, Debug, Default)]
pub(crate) struct EngineSpeed {
    own_answers: DecayingSum<EVIDENCE_MS>,
    own_log_slowness: DecayingSum<EVIDENCE_MS>,
    own_log_slowness_squares: DecayingSum<EVIDENCE_MS>,
    peers: SpeedSums,
    /// Slowness relative to the service's mean; `None` while the service's engines count as equally fast.
    relative_slowness: Option<f64>,
}

impl EngineSpeed {
    /// Records the time to a first event.
    pub(crate) fn record(&mut self, took_ms: f64, model_ms: f64, now: TimeMs) {
        let log_ratio = (took_ms.max(1.0) / model_ms.max(1.0)).ln();
        let log_ratio = log_ratio.clamp(-LOG_RATIO_MAX, LOG_RATIO_MAX);
        self.own_answers.add(1.0, now);
        self.own_log_slowness.add(log_ratio, now);
        self.own_log_slowness_squares.add(log_ratio * log_ratio, now);
    }

    /// Returns this instance's own sums for its load report.
    pub(crate) fn own(&self, now: TimeMs) -> SpeedSums {
        SpeedSums {
            answers: self.own_answers.value_at(now),
            log_slowness: self.own_log_slowness.value_at(now),
            log_slowness_squares: self.own_log_slowness_squares.value_at(now),
        }
    }

    /// Adds the sums that a peer reported, or subtracts them with a `sign` of -1.
    pub(crate) fn add_peer(&mut self, sums: SpeedSums, sign: f64) {
        self.peers.add(sums, sign);
    }

    /// Drops all sums that peers reported.
    pub(crate) fn clear_peers(&mut self) {
        self.peers = SpeedSums::default();
    }

    fn total(&self, now: TimeMs) -> SpeedSums {
        let mut total = self.own(now);
        total.add(self.peers, 1.0);
        total
    }

    /// Returns the slowness relative to the service's mean; `None` while the service's engines count as equally fast.
    pub(crate) fn relative_slowness(&self) -> Option<f64> {
        self.relative_slowness
    }
}

/// Whether the engines of one service differ in speed.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SpeedSpread {
    is_uneven: bool,
}

impl SpeedSpread {
    /// Compares the engines of a service and sets the relative slowness of each.
    pub(crate) fn refresh<'a>(&mut self, engines: impl Iterator<Item = &'a mut EngineSpeed>, now: TimeMs) {
        let mut engines: Vec<(SpeedSums, &mut EngineSpeed)> =
            engines.map(|engine| (engine.total(now), engine)).collect();
        let compared = || {
            let sums = engines.iter().map(|(sums, _)| *sums);
            sums.filter(|sums| sums.answers >= COMPARED_ANSWERS_MIN)
        };
        let count = compared().count();
        if count < COMPARED_ENGINES_MIN {
            return;
        }
        let mean = compared().map(SpeedSums::log_estimate).sum::<f64>() / count as f64;
        let squares = compared().map(|sums| (sums.log_estimate() - mean).powi(2));
        let variance = squares.sum::<f64>() / (count - 1) as f64;
        let sampling_variance = compared().map(SpeedSums::sampling_variance).sum::<f64>() / count as f64;
        let spread = (variance - sampling_variance).max(0.0).sqrt();
        self.is_uneven = spread > if self.is_uneven { UNEVEN_UNTIL } else { UNEVEN_FROM };
        for (sums, engine) in &mut engines {
            let relative = (sums.log_estimate() - mean).exp();
            let slowness = relative.clamp(SLOWNESS_RANGE.0, SLOWNESS_RANGE.1);
            engine.relative_slowness = self.is_uneven.then_some(slowness);
        }
    }
}
