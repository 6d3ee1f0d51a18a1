//! A token bucket for a workspace's requests per second.

use reedsail_core::TimeMs;

/// Limits how often something may happen: `burst` at once, refilled at `per_s`.
#[derive(Clone, Debug)]
pub struct RateLimit {
    per_s: f64,
    burst: f64,
    tokens: f64,
    refilled_at: TimeMs,
}

impl RateLimit {
    /// Makes a full bucket.
    pub fn new(per_s: f64, burst: f64, now: TimeMs) -> Self {
        Self {
            per_s,
            burst,
            tokens: burst,
            refilled_at: now,
        }
    }

    /// Takes `amount` tokens if they are there; else returns after how many milliseconds they are.
    ///
    /// # Errors
    /// The time in milliseconds until enough tokens are there.
    pub fn take(&mut self, amount: f64, now: TimeMs) -> Result<(), u64> {
        self.refill(now);
        if self.tokens >= amount {
            self.tokens -= amount;
            return Ok(());
        }
        let missing = amount - self.tokens;
        Err((missing / self.per_s.max(1e-9) * 1_000.0).ceil() as u64)
    }

    /// Takes over the rate of a new bundle; what was used stays used.
    pub fn set_rate(&mut self, per_s: f64) {
        self.per_s = per_s;
        self.burst = per_s.max(1.0);
    }

    fn refill(&mut self, now: TimeMs) {
        let gained = now.since_ms(self.refilled_at) as f64 / 1_000.0 * self.per_s;
        self.tokens = (self.tokens + gained).min(self.burst);
        self.refilled_at = now;
    }
}
