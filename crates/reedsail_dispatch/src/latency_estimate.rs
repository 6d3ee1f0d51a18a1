//! Latency estimates: the expected time to the first event of an answer, for each server.
//!
//! **Rule.** The time of an engine is the time that the service's first-event model predicts, multiplied by
//! the engine's measured slowness; the model includes the prefill of all prompts that wait at the engine.
//! Each request beyond the engine's slots adds a fixed wait. The time of a plain server is its measured mean,
//! once for each round of requests that its slots need.
//!
//! **Inputs.** Requests, prefill tokens and slots of a server, its slowness (a ratio), its mean
//! (milliseconds), the service's first-event model (`first_event_model`).
//!
//! **Why.** Placement and admission compare these estimates with the latency target. The estimates need to be
//! right only on average: slowness corrects a server whose estimate is wrong.
//!
//! **Tested by** `tests/placement.rs`.

use crate::FirstEventModel;
use crate::first_event_model::EngineWork;
use crate::server_table::ServerState;

/// Assumed time of a plain request before the first measurement, in milliseconds.
const PLAIN_INITIAL_MS: f64 = 25.0;
/// Wait of each request beyond an engine's slots, in milliseconds.
const SLOT_WAIT_MS: f64 = 40.0;

/// Returns the expected time to an engine's first event with the given work, in milliseconds.
pub(crate) fn engine_ms(server: &ServerState, work: EngineWork, model: &FirstEventModel) -> f64 {
    model.expected_ms(work) * slowness(server) + slot_wait_ms(server)
}

/// Returns the expected time to an engine's first event if it has no other requests, in milliseconds.
pub(crate) fn engine_alone_ms(server: &ServerState, work: EngineWork, model: &FirstEventModel) -> f64 {
    let alone = EngineWork {
        own_tokens: work.own_tokens,
        ..EngineWork::default()
    };
    model.expected_ms(alone) * slowness(server)
}

/// Returns the slowness of an engine: by the answers of all instances if the engines of its service differ in speed,
/// and otherwise by the answers to this instance alone.
fn slowness(server: &ServerState) -> f64 {
    let shared = server.speed.relative_slowness();
    shared.unwrap_or_else(|| server.health.slowness())
}

/// Returns how long an engine is busy before it can begin another request, in milliseconds. Prompts that were
/// sent to it count in full, although a peer's report is already old when it arrives. This is deliberately
/// conservative for admission: the learned, shorter time of queued tokens would admit more requests.
pub(crate) fn engine_queue_ms(server: &ServerState, model: &FirstEventModel) -> f64 {
    prefill_ms(server, 0, model) + slot_wait_ms(server)
}

/// Returns how long an engine prefills if `added_tokens` are added to the prompts that were sent to it, in
/// milliseconds.
pub(crate) fn prefill_ms(server: &ServerState, added_tokens: u32, model: &FirstEventModel) -> f64 {
    let tokens = server.prefill_tokens() + u64::from(added_tokens);
    model.prefill_ms(tokens as f64) * slowness(server)
}

/// Returns the work of an engine if it is sent a prompt of which it has to prefill `prefill_tokens` tokens.
pub(crate) fn engine_work(server: &ServerState, prefill_tokens: u32) -> EngineWork {
    EngineWork {
        own_tokens: f64::from(prefill_tokens),
        queued_tokens: server.prefill_tokens() as f64,
        running: f64::from(server.running()),
    }
}

/// Returns how long a request waits for one of an engine's slots, in milliseconds.
pub(crate) fn slot_wait_ms(server: &ServerState) -> f64 {
    let excess = (server.running() + 1).saturating_sub(server.setup.slots.max(1));
    f64::from(excess) * SLOT_WAIT_MS
}

/// Returns the expected time to the answer of a plain server, in milliseconds.
pub(crate) fn plain_ms(server: &ServerState) -> f64 {
    plain_mean_ms(server) + plain_queue_ms(server)
}

/// Returns how long a plain server is busy before it can begin another request, in milliseconds.
pub(crate) fn plain_queue_ms(server: &ServerState) -> f64 {
    plain_mean_ms(server) * (plain_rounds(server) - 1.0)
}

/// Returns the number of rounds of requests that a plain server's slots need, the next request included.
pub(crate) fn plain_rounds(server: &ServerState) -> f64 {
    let rounds = f64::from(server.running() + 1) / f64::from(server.setup.slots.max(1));
    rounds.max(1.0)
}

/// Returns the mean time of a plain server without a wait for a slot, in milliseconds.
pub(crate) fn plain_mean_ms(server: &ServerState) -> f64 {
    server.health.plain_mean_ms().unwrap_or(PLAIN_INITIAL_MS)
}
