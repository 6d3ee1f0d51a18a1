//! A token bucket for a workspace's requests per second.

use reedsail_core::TimeMs;

/// Limits a rate: `burst` events at once, refilled at `tokens_per_s`.
#[derive(Clone, Debug)]
pub struct RateLimit {
    tokens_per_s: f64,
    burst: f64,
    tokens: f64,
    refilled_at: TimeMs,
}

impl RateLimit {
    /// Creates a full bucket.
    pub fn new(tokens_per_s: f64, burst: f64, now: TimeMs) -> Self {
        Self {
            tokens_per_s,
            burst,
            tokens: burst,
            refilled_at: now,
        }
    }

    /// Takes `amount` tokens if they are available.
    ///
    /// # Errors
    /// The time in milliseconds until enough tokens are available.
    pub fn take(&mut self, amount: f64, now: TimeMs) -> Result<(), u64> {
        self.refill(now);
        if self.tokens >= amount {
            self.tokens -= amount;
            return Ok(());
        }
        let missing = amount - self.tokens;
        Err((missing / self.tokens_per_s.max(1e-9) * 1_000.0).ceil() as u64)
    }

    /// Applies the rate of a new bundle; the current tokens stay.
    pub fn set_rate(&mut self, tokens_per_s: f64) {
        self.tokens_per_s = tokens_per_s;
        self.burst = tokens_per_s.max(1.0);
    }

    fn refill(&mut self, now: TimeMs) {
        let refilled_tokens = now.since_ms(self.refilled_at) as f64 / 1_000.0 * self.tokens_per_s;
        self.tokens = (self.tokens + refilled_tokens).min(self.burst);
        self.refilled_at = now;
    }
}
