//! The first-event model with synthetic engines: four speeds, queues, noise, outliers, and a sudden change of
//! speed.

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use reedsail_dispatch::EngineWork;
use reedsail_dispatch::FirstEventModel;

/// Prefill rates of real engines, in tokens per millisecond.
const RATES_TOKENS_PER_MS: [f64; 4] = [20.0, 51.0, 112.0, 400.0];

/// An engine that answers after a base time and its prefill, multiplied by random noise.
struct SyntheticEngine {
    base_ms: f64,
    tokens_per_ms: f64,
    /// Largest factor by which an answer takes randomly more or less time.
    noise: f64,
    /// One answer in this many arrives after zero or ten seconds; 0 for none.
    outlier_one_in: u32,
    random: StdRng,
}

impl SyntheticEngine {
    fn with_rate(tokens_per_ms: f64) -> Self {
        Self {
            base_ms: 50.0,
            tokens_per_ms,
            noise: 1.0,
            outlier_one_in: 0,
            random: StdRng::seed_from_u64(5),
        }
    }

    /// Trains the model with answers to prompts of all lengths, some of them queued behind others.
    fn train(&mut self, model: &mut FirstEventModel, answers: u32) {
        for answer in 0..answers {
            let own = 10_f64.powf(self.random.random_range(2.0..4.5));
            let queued = if self.random.random_ratio(1, 3) {
                own * 2.0
            } else {
                0.0
            };
            let noise = self.noise.powf(self.random.random_range(-1.0..1.0));
            // Half of the queued tokens are already prefilled when the request arrives.
            let tokens = own + queued / 2.0;
            let regular_ms = (self.base_ms + tokens / self.tokens_per_ms) * noise;
            let is_outlier = self.outlier_one_in > 0 && answer.is_multiple_of(self.outlier_one_in);
            let took_ms = match (is_outlier, self.random.random()) {
                (false, _) => regular_ms,
                (true, false) => 0.0,
                (true, true) => 10_000.0,
            };
            let work = EngineWork {
                own_tokens: own,
                queued_tokens: queued,
                running: f64::from(self.random.random_range(0..20_u32)),
            };
            model.learn(work, took_ms);
        }
    }
}

/// Returns the work of an idle engine that gets a prompt.
fn work_of_idle_engine(own_tokens: f64) -> EngineWork {
    EngineWork {
        own_tokens,
        ..EngineWork::default()
    }
}

/// Asserts that the estimates are within a factor of the true times.
fn assert_close(model: &FirstEventModel, engine: &SyntheticEngine, factor: f64) {
    for tokens in [500.0, 5_000.0, 30_000.0] {
        let true_ms = engine.base_ms + tokens / engine.tokens_per_ms;
        let ratio = model.expected_ms(work_of_idle_engine(tokens)) / true_ms;
        assert!(
            (1.0 / factor..factor).contains(&ratio),
            "{} tokens per ms, {tokens} tokens: the estimate is {ratio} of the true time, {model:?}",
            engine.tokens_per_ms
        );
    }
}

#[test]
fn the_model_learns_every_speed_from_100_answers() {
    for rate in RATES_TOKENS_PER_MS {
        let mut engine = SyntheticEngine::with_rate(rate);
        let mut model = FirstEventModel::default();
        engine.train(&mut model, 100);
        assert_close(&model, &engine, 1.25);
    }
}

#[test]
fn noise_changes_the_estimate_little() {
    for rate in RATES_TOKENS_PER_MS {
        let mut engine = SyntheticEngine {
            noise: 2.0,
            ..SyntheticEngine::with_rate(rate)
        };
        let mut model = FirstEventModel::default();
        engine.train(&mut model, 300);
        assert_close(&model, &engine, 1.5);
    }
}

#[test]
fn outliers_change_the_estimate_little() {
    for rate in RATES_TOKENS_PER_MS {
        let mut engine = SyntheticEngine {
            outlier_one_in: 20,
            ..SyntheticEngine::with_rate(rate)
        };
        let mut model = FirstEventModel::default();
        engine.train(&mut model, 300);
        assert_close(&model, &engine, 1.6);
    }
}

#[test]
fn the_model_adapts_to_a_sudden_change_of_speed() {
    for rate in RATES_TOKENS_PER_MS {
        let mut engine = SyntheticEngine::with_rate(rate);
        let mut model = FirstEventModel::default();
        engine.train(&mut model, 200);
        engine.base_ms *= 6.0;
        engine.tokens_per_ms /= 6.0;
        engine.train(&mut model, 150);
        assert_close(&model, &engine, 1.5);
        engine.base_ms /= 6.0;
        engine.tokens_per_ms *= 6.0;
        engine.train(&mut model, 400);
        assert_close(&model, &engine, 1.5);
    }
}

#[test]
fn prompts_of_one_length_keep_the_fit_well_defined() {
    let mut model = FirstEventModel::default();
    for _ in 0..10_000 {
        model.learn(work_of_idle_engine(3_000.0), 90.0);
    }
    let expected_ms = model.expected_ms(work_of_idle_engine(3_000.0));
    assert!((80.0..100.0).contains(&expected_ms), "{model:?}");
    for _ in 0..10_000 {
        model.learn(work_of_idle_engine(0.0), 55.0);
    }
    assert!(
        model.expected_ms(work_of_idle_engine(0.0)).is_finite() && 1.0 / model.prefill_ms(1.0) > 0.0,
        "{model:?}"
    );
}
