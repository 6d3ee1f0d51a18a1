//! Engine speed: how fast each engine of a service is, relative to the mean of the service.
//!
//! **Rule.** Every first event yields the logarithm of the ratio of the measured time to the time that the service's
//! first-event model expects. An instance keeps a decaying sum of these logarithms for each engine and shares it in
//! its load reports, so the estimate of an engine rests on the answers that all instances received. Where the
//! estimates of a service differ by more than sampling noise explains, each engine has a relative slowness: the
//! ratio of its estimate to the geometric mean of the service. Otherwise all engines count as equally fast. An engine
//! without answers has a relative slowness of one. With answers from too few engines, the last comparison stays.
//!
//! **Inputs.** Times to the first event, measured and expected (milliseconds); the sums that peers report.
//!
//! **Why.** Engines of one service may differ in speed several times over. An instance meets each engine only every
//! few seconds, so its own answers do not tell a slow engine from a noisy one, and a new instance knows nothing.
//! A slowdown of some hundred milliseconds moves the sum by little, so it changes the owner of few prompts.
//!
//! **Tested by** `tests/engine_speed.rs`.

use reedsail_core::TimeMs;

use crate::decaying_sum::decay;

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
/// Maximum number of answers that a peer's sum may claim for one engine, well above what an engine can give.
const ANSWERS_MAX: f64 = 1e4;
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
    /// Returns the sums, limited to what answers can yield. Sums that are not finite become zero.
    ///
    /// Sums from peers need this before they are added up: a huge number would absorb the others for good. So does the
    /// difference of a sum and a report that it does not include.
    #[must_use]
    pub fn bounded(self) -> Self {
        let sums = [self.answers, self.log_slowness, self.log_slowness_squares];
        if !sums.into_iter().all(f64::is_finite) {
            return Self::default();
        }
        let answers = self.answers.clamp(0.0, ANSWERS_MAX);
        let log_max = answers * LOG_RATIO_MAX;
        Self {
            answers,
            log_slowness: self.log_slowness.clamp(-log_max, log_max),
            log_slowness_squares: self.log_slowness_squares.clamp(0.0, log_max * LOG_RATIO_MAX),
        }
    }

    /// Adds other sums, or subtracts them with a `sign` of -1.
    pub fn add(&mut self, other: Self, sign: f64) {
        self.answers += sign * other.answers;
        self.log_slowness += sign * other.log_slowness;
        self.log_slowness_squares += sign * other.log_slowness_squares;
    }

    fn scaled(self, factor: f64) -> Self {
        Self {
            answers: self.answers * factor,
            log_slowness: self.log_slowness * factor,
            log_slowness_squares: self.log_slowness_squares * factor,
        }
    }

    /// Returns the mean of the logarithms, for sums with answers.
    fn mean(self) -> f64 {
        self.log_slowness / self.answers
    }

    /// Returns the fraction of an estimate that rests on answers; the rest is the prior.
    fn answers_weight(self) -> f64 {
        self.answers / (self.answers + PRIOR_ANSWERS)
    }

    /// Returns the estimated logarithm of the slowness relative to a service with the given mean.
    fn log_relative(self, service_mean: f64) -> f64 {
        (self.log_slowness - self.answers * service_mean) / (self.answers + PRIOR_ANSWERS)
    }

    /// Returns the variance of the estimate that sampling noise explains.
    fn sampling_variance(self) -> f64 {
        let variance = (self.log_slowness_squares / self.answers - self.mean().powi(2)).max(0.0);
        variance * CORRELATED_ANSWERS / self.answers
    }
}

/// What is known of one engine's speed.
#[derive(Clone, Debug, Default)]
pub(crate) struct EngineSpeed {
    own: SpeedSums,
    own_updated_at: TimeMs,
    peers: SpeedSums,
    /// Slowness relative to the service's mean; `None` while the service's engines count as equally fast.
    relative_slowness: Option<f64>,
}

impl EngineSpeed {
    /// Records the time to a first event.
    pub(crate) fn record(&mut self, took_ms: f64, model_ms: f64, now: TimeMs) {
        let log_ratio = (took_ms.max(1.0) / model_ms.max(1.0)).ln();
        let log_ratio = log_ratio.clamp(-LOG_RATIO_MAX, LOG_RATIO_MAX);
        let answer = SpeedSums {
            answers: 1.0,
            log_slowness: log_ratio,
            log_slowness_squares: log_ratio * log_ratio,
        };
        self.own = self.own(now);
        self.own.add(answer, 1.0);
        self.own_updated_at = now;
    }

    /// Returns this instance's own sums for its load report.
    pub(crate) fn own(&self, now: TimeMs) -> SpeedSums {
        let age_ms = now.since_ms(self.own_updated_at);
        self.own.scaled(decay(age_ms, EVIDENCE_MS))
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
        total.bounded()
    }

    /// Returns the slowness relative to the service's mean; `None` while the service's engines count as equally fast.
    pub(crate) fn relative_slowness(&self) -> Option<f64> {
        self.relative_slowness
    }

    /// Returns the slowness relative to the service's mean; one while the service's engines count as equally fast.
    pub(crate) fn slowness(&self) -> f64 {
        self.relative_slowness.unwrap_or(1.0)
    }
}

/// Whether the engines of one service differ in speed.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SpeedSpread {
    is_uneven: bool,
}

impl SpeedSpread {
    /// Compares the engines of a service and sets the relative slowness of each.
    pub(crate) fn refresh<'a>(
        &mut self,
        engines: impl IntoIterator<Item = &'a mut EngineSpeed>,
        now: TimeMs,
    ) {
        let mut engines: Vec<(SpeedSums, &mut EngineSpeed)> = engines
            .into_iter()
            .map(|engine| (engine.total(now), engine))
            .collect();
        let compared = || {
            let sums = engines.iter().map(|(sums, _)| *sums);
            sums.filter(|sums| sums.answers >= COMPARED_ANSWERS_MIN)
        };
        let count = compared().count();
        if count < COMPARED_ENGINES_MIN {
            for (_, engine) in engines.iter_mut().filter(|_| self.is_uneven) {
                engine.relative_slowness.get_or_insert(1.0);
            }
            return;
        }
        let weights = compared().map(SpeedSums::answers_weight).sum::<f64>();
        let weighted_means = compared().map(|sums| sums.answers_weight() * sums.mean());
        let mean = weighted_means.sum::<f64>() / weights;
        let squares = compared().map(|sums| sums.log_relative(mean).powi(2));
        let variance = squares.sum::<f64>() / (count - 1) as f64;
        let sampling_variance = compared().map(SpeedSums::sampling_variance).sum::<f64>() / count as f64;
        let spread = (variance - sampling_variance).max(0.0).sqrt();
        self.is_uneven = spread > if self.is_uneven { UNEVEN_UNTIL } else { UNEVEN_FROM };
        for (sums, engine) in &mut engines {
            let relative = sums.log_relative(mean).exp();
            let slowness = relative.clamp(SLOWNESS_RANGE.0, SLOWNESS_RANGE.1);
            engine.relative_slowness = self.is_uneven.then_some(slowness);
        }
    }
}
