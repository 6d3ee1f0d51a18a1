//! Latency estimates: after what time a server would send the first event of an answer.
//!
//! **Rule.** An engine takes a fixed time and its prefill, both by its measured slowness, after the
//! prefill of all that waits there; each request beyond its slots waits a while longer. A plain server
//! takes its measured mean, once for each round of requests that its slots need.
//!
//! **Inputs.** Requests, prefill tokens and slots of a server, its slowness (a ratio), its mean
//! (milliseconds), the service's prefill rate (tokens a millisecond and engine).
//!
//! **Why.** Placement and admission compare these with the latency target. They need be right on
//! average only: slowness corrects a server that is estimated wrongly.
//!
//! **Measured.** The least prefill rate: `fleetbench sweep` of chatovna-prod-grown served 0.917, 0.653
//! and 0.285 of the requests at 30, 100 and 300 machines without it, 0.922, 0.878 and 0.915 with it
//! (commit "Bound from below how fast an engine is taken to read"). All else: chosen, not measured.
//!
//! **Tested by** `tests/placement.rs`.

use crate::server_table::ServerState;

/// Time of an engine to the first event besides prefill, in milliseconds. Chosen, not measured.
const ENGINE_BASE_MS: f64 = 70.0;
/// Time of a plain request until one was measured, in milliseconds. Chosen, not measured.
const PLAIN_FIRST_GUESS_MS: f64 = 25.0;
/// Wait of each request beyond an engine's slots, in milliseconds. Chosen, not measured.
const SLOT_WAIT_MS: f64 = 40.0;
/// An engine that only prefills reaches this multiple of its share of the service's mixed token rate.
/// Chosen, not measured.
const PREFILL_ONLY_GAIN: f64 = 1.4;

/// The prefill rate of a service's engines, in tokens a millisecond and engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct PrefillRate(f64);

impl PrefillRate {
    /// Used where the operators give no figure. Chosen, not measured.
    const DEFAULT: Self = Self(40.0);
    /// Least rate that the operators' figure may lead to: where it leaves an engine less, engines have
    /// been added since it was written. Half of the default; measured, see the module's head.
    const LEAST: Self = Self(20.0);
}

impl Default for PrefillRate {
    fn default() -> Self {
        Self::DEFAULT
    }
}

/// Works the prefill rate out of what the operators say of all engines together.
#[derive(Clone, Debug)]
pub(crate) struct PrefillRateEstimate {
    /// Tokens a second of all engines of the deployment, prefilled and generated, if it is known.
    tokens_per_s: Option<f64>,
    /// The most engines that any service had: the operators' figure is for all of them, and an engine
    /// that is away does not make the others faster.
    engines_max: usize,
}

impl Default for PrefillRateEstimate {
    fn default() -> Self {
        Self {
            tokens_per_s: None,
            engines_max: 1,
        }
    }
}

impl PrefillRateEstimate {
    pub(crate) fn set_tokens_per_s(&mut self, tokens_per_s: Option<f64>) {
        self.tokens_per_s = tokens_per_s;
    }

    /// Returns the rate of a service, given the number of its engines now.
    pub(crate) fn rate(&mut self, engines: usize) -> PrefillRate {
        self.engines_max = self.engines_max.max(engines);
        match self.tokens_per_s {
            Some(per_s) if per_s > 0.0 => {
                let rate = PREFILL_ONLY_GAIN * per_s / 1_000.0 / self.engines_max as f64;
                PrefillRate(rate.max(PrefillRate::LEAST.0))
            }
            _ => PrefillRate::DEFAULT,
        }
    }
}

/// Returns the expected time in milliseconds until an engine's first event.
pub(crate) fn engine_ms(server: &ServerState, prefill_tokens: u32, rate: PrefillRate) -> f64 {
    let own_ms = ENGINE_BASE_MS + f64::from(prefill_tokens) / rate.0;
    engine_queue_ms(server, rate) + own_ms * server.health.slowness()
}

/// Returns for how long an engine is busy before it can begin another request, in milliseconds.
pub(crate) fn engine_queue_ms(server: &ServerState, rate: PrefillRate) -> f64 {
    let prefill_ms = server.prefill_tokens() as f64 / rate.0;
    let excess = (server.running() + 1).saturating_sub(server.setup.slots.max(1));
    prefill_ms * server.health.slowness() + f64::from(excess) * SLOT_WAIT_MS
}

/// Returns the expected time in milliseconds until the answer of a plain server.
pub(crate) fn plain_ms(server: &ServerState) -> f64 {
    plain_mean_ms(server) + plain_queue_ms(server)
}

/// Returns for how long a plain server is busy before it can begin another request, in milliseconds.
pub(crate) fn plain_queue_ms(server: &ServerState) -> f64 {
    let rounds = f64::from(server.running() + 1) / f64::from(server.setup.slots.max(1));
    plain_mean_ms(server) * (rounds - 1.0).max(0.0)
}

fn plain_mean_ms(server: &ServerState) -> f64 {
    server.health.plain_mean_ms().unwrap_or(PLAIN_FIRST_GUESS_MS)
}
