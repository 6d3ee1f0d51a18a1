//! The first-event model against synthetic engines: four speeds, queues, noise, lies, a sudden change.

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use reedsail_dispatch::EngineWork;
use reedsail_dispatch::FirstEventModel;

/// Prefill rates of engines that exist, in tokens a millisecond.
const RATES: [f64; 4] = [20.0, 51.0, 112.0, 400.0];

/// An engine that answers after a base and its prefill, times a noise of its own.
struct SyntheticEngine {
    base_ms: f64,
    tokens_per_ms: f64,
    /// Answers that take so many times more or less, at random.
    noise: f64,
    /// One answer in this many comes after no time at all, or after ten seconds.
    lies_one_in: u32,
    random: StdRng,
}

impl SyntheticEngine {
    fn of(tokens_per_ms: f64) -> Self {
        Self {
            base_ms: 50.0,
            tokens_per_ms,
            noise: 1.0,
            lies_one_in: 0,
            random: StdRng::seed_from_u64(5),
        }
    }

    /// Has the model learn from so many answers to prompts of all lengths, some behind others.
    fn teach(&mut self, model: &mut FirstEventModel, answers: u32) {
        for answer in 0..answers {
            let own = 10_f64.powf(self.random.random_range(2.0..4.5));
            let queued = if self.random.random_ratio(1, 3) {
                own * 2.0
            } else {
                0.0
            };
            let noise = self.noise.powf(self.random.random_range(-1.0..1.0));
            // Half of what was queued is prefilled by the time that the request arrives.
            let tokens = own + queued / 2.0;
            let honest_ms = (self.base_ms + tokens / self.tokens_per_ms) * noise;
            let lies = self.lies_one_in > 0 && answer.is_multiple_of(self.lies_one_in);
            let took_ms = match (lies, self.random.random()) {
                (false, _) => honest_ms,
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

/// Returns the work of an engine that is idle but for one prompt.
fn idle(own_tokens: f64) -> EngineWork {
    EngineWork {
        own_tokens,
        ..EngineWork::default()
    }
}

/// Holds an estimate to within a factor of the truth.
fn assert_close(model: &FirstEventModel, engine: &SyntheticEngine, factor: f64) {
    for tokens in [500.0, 5_000.0, 30_000.0] {
        let true_ms = engine.base_ms + tokens / engine.tokens_per_ms;
        let ratio = model.expected_ms(idle(tokens)) / true_ms;
        assert!(
            (1.0 / factor..factor).contains(&ratio),
            "at {} tokens a ms, {tokens} tokens: {ratio} of the true time, {model:?}",
            engine.tokens_per_ms
        );
    }
}

#[test]
fn every_speed_is_learned_within_a_few_seconds_of_answers() {
    for rate in RATES {
        let mut engine = SyntheticEngine::of(rate);
        let mut model = FirstEventModel::default();
        engine.teach(&mut model, 100);
        assert_close(&model, &engine, 1.25);
    }
}

#[test]
fn noise_moves_the_estimate_little() {
    for rate in RATES {
        let mut engine = SyntheticEngine {
            noise: 2.0,
            ..SyntheticEngine::of(rate)
        };
        let mut model = FirstEventModel::default();
        engine.teach(&mut model, 300);
        assert_close(&model, &engine, 1.5);
    }
}

#[test]
fn answers_that_lie_move_the_estimate_little() {
    for rate in RATES {
        let mut engine = SyntheticEngine {
            lies_one_in: 20,
            ..SyntheticEngine::of(rate)
        };
        let mut model = FirstEventModel::default();
        engine.teach(&mut model, 300);
        assert_close(&model, &engine, 1.6);
    }
}

#[test]
fn a_sudden_change_of_speed_is_followed() {
    for rate in RATES {
        let mut engine = SyntheticEngine::of(rate);
        let mut model = FirstEventModel::default();
        engine.teach(&mut model, 200);
        engine.base_ms *= 6.0;
        engine.tokens_per_ms /= 6.0;
        engine.teach(&mut model, 150);
        assert_close(&model, &engine, 1.5);
        engine.base_ms /= 6.0;
        engine.tokens_per_ms *= 6.0;
        engine.teach(&mut model, 400);
        assert_close(&model, &engine, 1.5);
    }
}

#[test]
fn prompts_of_one_length_leave_the_model_defined() {
    let mut model = FirstEventModel::default();
    for _ in 0..10_000 {
        model.learn(idle(3_000.0), 90.0);
    }
    let expected_ms = model.expected_ms(idle(3_000.0));
    assert!((80.0..100.0).contains(&expected_ms), "{model:?}");
    for _ in 0..10_000 {
        model.learn(idle(0.0), 55.0);
    }
    assert!(
        model.expected_ms(idle(0.0)).is_finite() && 1.0 / model.prefill_ms(1.0) > 0.0,
        "{model:?}"
    );
}
