//! Estimates after which time a server would begin its answer.

use crate::server_table::ServerState;

/// What an engine takes for the first event besides reading, in milliseconds.
const ENGINE_BASE_MS: f64 = 70.0;
/// What a request on a service without prompts takes until one was measured, in milliseconds.
const PLAIN_FIRST_GUESS_MS: f64 = 25.0;
/// How long an engine without a free slot makes each request wait, in milliseconds.
const SLOT_WAIT_MS: f64 = 40.0;

/// How fast the engines of a service read, in tokens a millisecond and engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct PrefillRate(pub(crate) f64);

impl PrefillRate {
    /// Used where nothing is known.
    pub(crate) const DEFAULT: Self = Self(40.0);
    /// Where the operators' figure leaves an engine less, engines have been added since it was
    /// written. Ones that are slower all the same are learned of by their answers.
    pub(crate) const LEAST: Self = Self(20.0);
}

/// Returns the expected time in milliseconds until an engine's first event.
pub(crate) fn engine_ms(server: &ServerState, prefill_tokens: u32, rate: PrefillRate) -> f64 {
    let own_ms = ENGINE_BASE_MS + f64::from(prefill_tokens) / rate.0;
    engine_queue_ms(server, rate) + own_ms * server.slowness
}

/// Returns for how long an engine is busy before it can begin another request, in milliseconds.
pub(crate) fn engine_queue_ms(server: &ServerState, rate: PrefillRate) -> f64 {
    let reading_ms = server.prefill_tokens() as f64 / rate.0;
    let excess = (server.running() + 1).saturating_sub(server.setup.slots.max(1));
    reading_ms * server.slowness + f64::from(excess) * SLOT_WAIT_MS
}

/// Returns the expected time in milliseconds until the answer of a service without prompts.
pub(crate) fn plain_ms(server: &ServerState) -> f64 {
    plain_mean_ms(server) + plain_queue_ms(server)
}

/// Returns for how long such a server is busy before it can begin another request.
pub(crate) fn plain_queue_ms(server: &ServerState) -> f64 {
    let rounds = f64::from(server.running() + 1) / f64::from(server.setup.slots.max(1));
    plain_mean_ms(server) * (rounds - 1.0).max(0.0)
}

fn plain_mean_ms(server: &ServerState) -> f64 {
    if server.mean_ms > 0.0 {
        server.mean_ms
    } else {
        PLAIN_FIRST_GUESS_MS
    }
}
