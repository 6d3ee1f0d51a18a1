//! First-event model: the time to first event of the engines of one service, learned from their answers.
//!
//! **Rule.** The time is linear in three terms: the prompt tokens that the engine prefills for the request
//! itself, the prompt tokens that were sent to it earlier and have no first event yet, and the number of
//! requests that it runs. Each answer updates the coefficients by least squares with exponential forgetting.
//!
//! **Inputs.** For each answer: these three terms as they were known when the request was sent, and the time
//! to the first event (milliseconds).
//!
//! **Why.** The speed of engines of different models differs twentyfold, and no configured figure says how
//! fast an engine prefills. If the assumed rate is too low, long prompts are refused on an idle fleet. If it
//! is too high, requests queue where they miss their target. Queued tokens have their own coefficient,
//! because part of them is already prefilled when a peer's report arrives.
//!
//! **Tested by** `tests/first_event_model.rs`.

/// Number of coefficients of the model.
const TERMS: usize = 4;
/// Index of the coefficient of the request's own tokens.
const OWN_TOKENS_TERM: usize = 1;
/// Tokens are counted in thousands, which keeps the sums at a similar magnitude.
const TOKENS_PER_UNIT: f64 = 1_000.0;
/// The coefficients before the first answer. The fit pulls a coefficient towards this value if the answers
/// don't determine it. In order: the base in milliseconds, then milliseconds per thousand own tokens, per
/// thousand queued tokens and per running request. They describe an engine of medium speed, 40 tokens per
/// millisecond.
const INITIAL_COEFFICIENTS: [f64; TERMS] = [60.0, 25.0, 12.0, 0.5];
/// Ridge weight that pulls each coefficient towards its initial value, relative to the squares of 64 answers.
const RIDGE: [f64; TERMS] = [0.5, 0.2, 0.2, 20.0];
/// Allowed ranges of the coefficients.
const RANGES: [(f64, f64); TERMS] = [(5.0, 2_000.0), (0.5, 250.0), (0.2, 250.0), (0.0, 20.0)];
/// Factor by which each new answer reduces the weight of all older ones. About 64 answers count, which an
/// instance with ten answers per second receives in about six seconds.
const FORGETTING_FACTOR: f64 = 1.0 - 1.0 / 64.0;
/// Bound on outliers: an answer that took more or less than the expected time by more than this factor counts
/// as one that differs by exactly this factor.
const OUTLIER_FACTOR: f64 = 4.0;
/// Number of tokens that take about as long as the base. The weight of an answer falls with its tokens from
/// this scale on.
const BASE_TOKENS: f64 = 3_000.0;

/// Known work of an engine when a request is sent to it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineWork {
    /// Prompt tokens of the request itself that the engine has to prefill.
    pub own_tokens: f64,
    /// Prompt tokens of earlier requests that have no first event yet.
    pub queued_tokens: f64,
    /// Number of requests that the engine runs.
    pub running: f64,
}

impl EngineWork {
    fn terms(self) -> [f64; TERMS] {
        [
            1.0,
            self.own_tokens / TOKENS_PER_UNIT,
            self.queued_tokens / TOKENS_PER_UNIT,
            self.running,
        ]
    }
}

/// The learned coefficients of one service, with the sums of the weighted least-squares fit.
#[derive(Clone, Copy, Debug)]
pub struct FirstEventModel {
    /// Weighted sums of the products of each pair of terms.
    squares: [[f64; TERMS]; TERMS],
    /// Weighted sums of the products of each term and the time.
    products: [f64; TERMS],
    coefficients: [f64; TERMS],
}

impl Default for FirstEventModel {
    fn default() -> Self {
        Self {
            squares: [[0.0; TERMS]; TERMS],
            products: [0.0; TERMS],
            coefficients: INITIAL_COEFFICIENTS,
        }
    }
}

impl FirstEventModel {
    /// Updates the model with an answer whose engine had the given work and whose first event arrived after
    /// `took_ms` milliseconds.
    pub fn learn(&mut self, work: EngineWork, took_ms: f64) {
        let expected_ms = self.expected_ms(work);
        let time_ms = took_ms.clamp(expected_ms / OUTLIER_FACTOR, expected_ms * OUTLIER_FACTOR);
        let terms = work.terms();
        let weight = answer_weight(work);
        for (row, term) in terms.iter().enumerate() {
            for (column, other) in terms.iter().enumerate() {
                let sum = &mut self.squares[row][column];
                *sum = *sum * FORGETTING_FACTOR + weight * term * other;
            }
            let sum = &mut self.products[row];
            *sum = *sum * FORGETTING_FACTOR + weight * term * time_ms;
        }
        self.fit();
    }

    /// Returns the expected time to the first event, in milliseconds.
    pub fn expected_ms(&self, work: EngineWork) -> f64 {
        let terms = work.terms().into_iter();
        terms
            .zip(self.coefficients)
            .map(|(term, coefficient)| term * coefficient)
            .sum()
    }

    /// Returns the time to prefill a number of tokens, in milliseconds.
    pub fn prefill_ms(&self, tokens: f64) -> f64 {
        tokens / TOKENS_PER_UNIT * self.coefficients[OWN_TOKENS_TERM]
    }

    /// Fits the coefficients to the sums. The ridge pulls each coefficient towards its initial value, which
    /// keeps the fit well-defined if all answers are alike.
    fn fit(&mut self) {
        let mut rows = self.squares;
        let mut right_side = self.products;
        for term in 0..TERMS {
            rows[term][term] += RIDGE[term];
            right_side[term] += RIDGE[term] * INITIAL_COEFFICIENTS[term];
        }
        let solution = solve(rows, right_side);
        for (term, value) in solution.into_iter().enumerate() {
            // The ridge keeps every pivot above zero. A value that rounding still makes non-finite is
            // discarded.
            if value.is_finite() {
                self.coefficients[term] = value.clamp(RANGES[term].0, RANGES[term].1);
            }
        }
    }
}

/// Returns the weight of an answer. Errors grow with the measured time, so answers to long prompts count for
/// less. The weight depends on the tokens alone: a weight computed from the learned coefficients would
/// preserve the coefficients from before a service became slow.
fn answer_weight(work: EngineWork) -> f64 {
    let scale = 1.0 + (work.own_tokens + work.queued_tokens) / BASE_TOKENS;
    1.0 / (scale * scale)
}

/// Solves a symmetric, positive definite system of equations by Gaussian elimination.
fn solve(mut rows: [[f64; TERMS]; TERMS], mut right_side: [f64; TERMS]) -> [f64; TERMS] {
    for pivot in 0..TERMS {
        let pivot_row = rows[pivot];
        for row in pivot + 1..TERMS {
            let factor = rows[row][pivot] / pivot_row[pivot];
            for (value, above) in rows[row].iter_mut().zip(pivot_row) {
                *value -= factor * above;
            }
            right_side[row] -= factor * right_side[pivot];
        }
    }
    let mut solution = [0.0; TERMS];
    for row in (0..TERMS).rev() {
        let known: f64 = (row + 1..TERMS)
            .map(|column| rows[row][column] * solution[column])
            .sum();
        solution[row] = (right_side[row] - known) / rows[row][row];
    }
    solution
}
