//! Admission control: whether a request is sent to the server that placement chose, or refused immediately.
//!
//! **Rule.** A request is sent if its first event is expected within [`TARGET_FRACTION`] of its latency
//! target, or if other requests occupy its server for less than [`QUEUE_TARGET_FRACTION`] of the target. A
//! request of a starved workspace is sent if its first event is expected within [`STARVED_TARGETS`] targets.
//! Any other request is refused with a retry-after. If every server has requested a back-off, the retry-after
//! is the time until one of them accepts requests again. A request of a workspace over its fair share is also
//! refused if other requests occupy the server for more than [`OVER_SHARE_TARGET_FRACTION`] of the target.
//! While queues are short, `pacing` limits how many prompts are sent for a workspace that requests more than
//! its share. A prompt of such a workspace that would make the streams of its server pause too long (`stream_pause`) is
//! refused. A request does not queue while more urgent ones to its service are refused (`priority_pressure`). A request that
//! continues a stream is sent if it continues before its deadline.
//!
//! **Inputs.** The request's latency target and the time it has waited so far, the placement's expected time
//! and queue, all in milliseconds; whether the workspace is over its share (`fair_share`).
//!
//! **Why.** A request that would miss its target delays the requests behind it, and its caller is served
//! sooner by a later retry. A request that is late because of its own length or a slow server gains nothing
//! from a retry, so it is sent. This also keeps a service that was slow from being refused forever, because
//! every answer updates the estimate. If all late requests of a small workspace were refused, it would get
//! nothing behind the queues of a few floods. A late answer serves it better, and its requests add little to
//! the queues. Workspaces over their share are refused only where prompts of other workspaces wait, so spare
//! capacity stays usable.
//!
//! A pause makes an answer late, and a refused caller that is refused again gets none. So pauses are a reason to refuse
//! only what a workspace requests beyond its share; other prompts are placed where the pause is shortest.
//!
//! **Tested by** `tests/placement.rs`, `tests/shares.rs`, `tests/flood.rs`, `tests/stream_pause.rs`,
//! `tests/refusal_order.rs`.

use reedsail_core::ErrorKind;
use reedsail_core::Fingerprint;
use reedsail_core::TimeMs;

use crate::Decision;
use crate::Demand;
use crate::Placement;
use crate::WorkspaceShare;

/// Fraction of the latency target within which the first event must be expected.
pub(crate) const TARGET_FRACTION: f64 = 0.8;
/// Fraction of the latency target for which a server may be busy with other requests and still be sent a
/// request of a workspace over its share.
pub(crate) const OVER_SHARE_TARGET_FRACTION: f64 = 0.05;
/// Fraction of the latency target for which a server may be busy with other requests and still be sent a
/// request that would miss its target anyway.
const QUEUE_TARGET_FRACTION: f64 = 0.2;
/// Number of latency targets within which the first event of a starved workspace's request must be expected.
const STARVED_TARGETS: f64 = 6.0;
/// Shortest retry-after of a refusal, in milliseconds.
const RETRY_AFTER_MIN_MS: u64 = 100;
/// Longest retry-after, as a fraction of the latency target.
const RETRY_AFTER_TARGET_FRACTION: f64 = 0.6;
/// Span over which retries are spread after all servers requested a back-off, in milliseconds: the servers
/// leave their back-off one by one.
const RETRY_SPREAD_MS: u64 = 500;
/// No attempt starts once less than one part in this many of the request's total time is left.
const TIME_LEFT_MIN_DIVISOR: u64 = 10;

/// Refuses a request that placement found no server for. If servers requested a back-off or are resuming
/// after one, the retry-after is the time until one of them may take the request: an earlier retry would
/// fail.
pub(crate) fn refuse_unplaced(demand: &Demand<'_>, returns_at: Option<TimeMs>, now: TimeMs) -> Decision {
    let Some(returns_at) = returns_at else {
        return Decision::Refuse {
            kind: ErrorKind::NoBackend,
            retry_after_ms: retry_after_ms(demand.latency_target_ms, f64::INFINITY),
            placement: None,
        };
    };
    let spread = |fingerprint: Fingerprint| fingerprint.0 % u128::from(RETRY_SPREAD_MS);
    let spread_ms = demand.fingerprint.map_or(0, spread) as u64;
    let after_ms = returns_at.since_ms(now) + spread_ms;
    Decision::Refuse {
        kind: ErrorKind::BackendsBackedOff,
        retry_after_ms: after_ms.max(RETRY_AFTER_MIN_MS),
        placement: None,
    }
}

/// Returns whether a request would be in time on a server without other requests, where it takes `alone_ms`.
pub(crate) fn is_in_time_alone(demand: &Demand<'_>, alone_ms: f64) -> bool {
    demand.waited_ms as f64 + alone_ms <= demand.latency_target_ms as f64 * TARGET_FRACTION
}

/// Decides whether to send a request that placement found a server for. One that `yields` to more urgent requests does
/// not queue.
pub(crate) fn admit(
    demand: &Demand<'_>,
    placement: Placement,
    yields: bool,
    share: impl FnOnce() -> WorkspaceShare,
) -> Decision {
    if demand.version.is_continuation() {
        return admit_continuation(demand, placement);
    }
    let target_ms = demand.latency_target_ms as f64;
    let excess_ms = (demand.waited_ms + placement.expected_ms) as f64 - target_ms * TARGET_FRACTION;
    let queue_excess_ms = placement.queue_ms as f64 - target_ms * OVER_SHARE_TARGET_FRACTION;
    let is_idle = queue_excess_ms <= 0.0;
    let is_first_attempt = demand.tried.is_empty();
    let is_pause_bounded = demand.gap_target_ms.is_some() && is_first_attempt;
    let is_pause_short = !is_pause_bounded || placement.pause_excess_ms == 0;
    if is_idle && is_pause_short {
        return Decision::Send(placement);
    }
    let share = share();
    let may_pause = is_pause_short || share.requested_cost <= share.level_cost;
    if is_idle && may_pause {
        return Decision::Send(placement);
    }
    let is_over_share = share.is_exceeded();
    let is_queue_short = placement.queue_ms as f64 <= target_ms * QUEUE_TARGET_FRACTION;
    let is_in_time = (excess_ms <= 0.0 || is_queue_short) && may_pause && !yields;
    let is_starved = share.is_starved() && placement.expected_ms as f64 <= STARVED_TARGETS * target_ms;
    if (is_in_time || is_starved) && !is_over_share {
        return Decision::Send(placement);
    }
    let pause_excess_ms = if may_pause { 0 } else { placement.pause_excess_ms };
    let excess_ms = excess_ms.max(queue_excess_ms).max(pause_excess_ms as f64);
    Decision::Refuse {
        kind: if is_over_share {
            ErrorKind::OverShare
        } else {
            ErrorKind::WouldMissTarget
        },
        retry_after_ms: retry_after_ms(demand.latency_target_ms, excess_ms),
        placement: Some(placement),
    }
}

/// Decides whether to send a request that continues a stream. Its caller has received a part of the answer, and only
/// few servers may be able to continue it, so neither shares nor less urgent requests hold it back: it is sent if it
/// continues before the caller's deadline.
fn admit_continuation(demand: &Demand<'_>, placement: Placement) -> Decision {
    let expected_ms = demand.waited_ms + placement.expected_ms;
    if expected_ms <= demand.latency_target_ms {
        return Decision::Send(placement);
    }
    let excess_ms = (expected_ms - demand.latency_target_ms) as f64;
    Decision::Refuse {
        kind: ErrorKind::WouldMissTarget,
        retry_after_ms: retry_after_ms(demand.latency_target_ms, excess_ms),
        placement: Some(placement),
    }
}

/// Refuses a prompt that exceeds its workspace's pacing rate. The workspace's token bucket refills
/// continuously, so the retry-after is short.
pub(crate) fn refuse_paced(demand: &Demand<'_>, placement: &Placement) -> Decision {
    Decision::Refuse {
        kind: ErrorKind::OverShare,
        retry_after_ms: retry_after_ms(demand.latency_target_ms, 0.0),
        placement: Some(*placement),
    }
}

/// Returns the time left until a request's deadline, in milliseconds, or `None` if too little is left for
/// another attempt.
pub fn time_left_ms(arrived_at: TimeMs, deadline: TimeMs, now: TimeMs) -> Option<u64> {
    let left_ms = deadline.since_ms(now);
    let total_ms = deadline.since_ms(arrived_at);
    (left_ms > 0 && left_ms * TIME_LEFT_MIN_DIVISOR >= total_ms).then_some(left_ms)
}

/// Returns the retry-after of a refused request: the time in which the excess is worked off, within bounds.
fn retry_after_ms(latency_target_ms: u64, excess_ms: f64) -> u64 {
    let max_ms = (latency_target_ms as f64 * RETRY_AFTER_TARGET_FRACTION) as u64;
    (excess_ms as u64).clamp(RETRY_AFTER_MIN_MS, max_ms.max(RETRY_AFTER_MIN_MS))
}
