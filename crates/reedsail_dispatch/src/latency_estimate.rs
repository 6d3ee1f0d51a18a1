//! Latency estimates: after what time a server would send the first event of an answer.
//!
//! **Rule.** An engine takes what the service's first-event model says of its prefill, by its measured
//! slowness, after the prefill of all that waits there; each request beyond its slots waits a while
//! longer. A plain server takes its measured mean, once for each round of requests that its slots need.
//!
//! **Inputs.** Requests, prefill tokens and slots of a server, its slowness (a ratio), its mean
//! (milliseconds), the service's first-event model (`first_event_model`).
//!
//! **Why.** Placement and admission compare these with the latency target. They need be right on
//! average only: slowness corrects a server that is estimated wrongly.
//!
//! **Tested by** `tests/placement.rs`.

use crate::FirstEventModel;
use crate::first_event_model::EngineWork;
use crate::server_table::ServerState;

/// Time of a plain request until one was measured, in milliseconds.
const PLAIN_FIRST_GUESS_MS: f64 = 25.0;
/// Wait of each request beyond an engine's slots, in milliseconds.
const SLOT_WAIT_MS: f64 = 40.0;

/// Returns the expected time in milliseconds until an engine's first event, with this to do.
pub(crate) fn engine_ms(server: &ServerState, work: EngineWork, model: &FirstEventModel) -> f64 {
    model.expected_ms(work) * server.health.slowness() + slot_wait_ms(server)
}

/// Returns for how long an engine is busy before it can begin another request, in milliseconds: what was
/// sent to it counts in full, though a peer's report is old by then. That caution
/// is meant for admission: the learned, smaller time of queued tokens would let more in.
pub(crate) fn engine_queue_ms(server: &ServerState, model: &FirstEventModel) -> f64 {
    let queue_ms = model.prefill_ms(server.prefill_tokens() as f64);
    queue_ms * server.health.slowness() + slot_wait_ms(server)
}

/// Returns what an engine has to do if a prompt is sent to it of which it has to prefill so many tokens.
pub(crate) fn engine_work(server: &ServerState, prefill_tokens: u32) -> EngineWork {
    EngineWork {
        own_tokens: f64::from(prefill_tokens),
        queued_tokens: server.prefill_tokens() as f64,
        running: f64::from(server.running()),
    }
}

/// Returns for how long a request waits for one of an engine's slots, in milliseconds.
pub(crate) fn slot_wait_ms(server: &ServerState) -> f64 {
    let excess = (server.running() + 1).saturating_sub(server.setup.slots.max(1));
    f64::from(excess) * SLOT_WAIT_MS
}

/// Returns the expected time in milliseconds until the answer of a plain server.
pub(crate) fn plain_ms(server: &ServerState) -> f64 {
    plain_mean_ms(server) + plain_queue_ms(server)
}

/// Returns for how long a plain server is busy before it can begin another request, in milliseconds.
pub(crate) fn plain_queue_ms(server: &ServerState) -> f64 {
    plain_mean_ms(server) * (plain_rounds(server) - 1.0)
}

/// Returns how many rounds of requests a plain server's slots need, the next request included.
pub(crate) fn plain_rounds(server: &ServerState) -> f64 {
    let rounds = f64::from(server.running() + 1) / f64::from(server.setup.slots.max(1));
    rounds.max(1.0)
}

fn plain_mean_ms(server: &ServerState) -> f64 {
    server.health.plain_mean_ms().unwrap_or(PLAIN_FIRST_GUESS_MS)
}
