//! Admission: whether a request is sent to the server that placement chose, or refused at once.
//!
//! **Rule.** A request is sent if its first event is expected within [`TARGET_FRACTION`] of its latency
//! target, or if others keep its server busy for less than [`QUEUE_TARGET_FRACTION`] of it. One of a workspace that
//! is starved is sent as long as it is expected within [`STARVED_TARGETS`] targets. It is refused with a
//! retry-after otherwise; where every server has asked for time, with the time until one of them takes requests
//! again. A workspace over its fair share is refused as well where the server is busy with other requests for more than
//! [`OVER_SHARE_TARGET_FRACTION`] of the target. How many prompts of one that wants more than its share are sent while
//! queues are short is the rule of `pacing`.
//!
//! **Inputs.** The request's latency target and time waited so far, the placement's expected time and
//! queue, all in milliseconds; whether the workspace is over its share (`fair_share`).
//!
//! **Why.** A request that would miss its target delays the ones behind it, and its caller does better
//! by coming back later. One that is late by its own length or by a slow server gains nothing by coming
//! back, so it is sent; that also keeps a service that was slow from closing for good, since every answer
//! is measured. A small workspace gets nothing behind the queues of a few floods if all its requests are refused as
//! late: a late answer serves it better, and what it adds to the queues is little. Refusing workspaces over their share only where others' prompts wait leaves spare
//! capacity usable.
//!
//! **Tested by** `tests/placement.rs`, `tests/shares.rs`, `tests/flood.rs`.

use reedsail_core::ErrorKind;
use reedsail_core::Fingerprint;
use reedsail_core::TimeMs;

use crate::Decision;
use crate::Demand;
use crate::Placement;
use crate::WorkspaceShare;

/// Fraction of the latency target within which the first event must be expected.
pub(crate) const TARGET_FRACTION: f64 = 0.8;
/// Fraction of the latency target for which a server may be busy with other requests when a workspace over
/// its share asks.
pub(crate) const OVER_SHARE_TARGET_FRACTION: f64 = 0.05;
/// Fraction of the latency target for which others may keep a server busy when a request that would be
/// late all the same is sent there.
const QUEUE_TARGET_FRACTION: f64 = 0.2;
/// Latency targets within which the first event of a starved workspace's request must be expected.
const STARVED_TARGETS: f64 = 6.0;
/// Least retry-after of a refusal, in milliseconds.
const RETRY_AFTER_MIN_MS: u64 = 100;
/// Longest retry-after, as a fraction of the latency target.
const RETRY_AFTER_TARGET_FRACTION: f64 = 0.6;
/// Span over which callers return that were refused until servers take requests again, in milliseconds: these return
/// one by one.
const RETURN_SPREAD_MS: u64 = 500;
/// Nothing is sent once less than one part in this many of the caller's time is left.
const TIME_LEFT_MIN_DIVISOR: u64 = 10;

/// Refuses a request that placement found no server for. Where servers asked for time, or are being returned to, the
/// caller is told when one of them may take it: to come back earlier would be in vain.
pub(crate) fn refuse_unplaced(demand: &Demand<'_>, returns_at: Option<TimeMs>, now: TimeMs) -> Decision {
    let Some(returns_at) = returns_at else {
        return Decision::Refuse {
            kind: ErrorKind::NoBackend,
            retry_after_ms: retry_after_ms(demand.latency_target_ms, f64::INFINITY),
            placement: None,
        };
    };
    let spread = |fingerprint: Fingerprint| fingerprint.0 % u128::from(RETURN_SPREAD_MS);
    let spread_ms = demand.fingerprint.map_or(0, spread) as u64;
    let after_ms = returns_at.since_ms(now) + spread_ms;
    Decision::Refuse {
        kind: ErrorKind::BackendsBackedOff,
        retry_after_ms: after_ms.max(RETRY_AFTER_MIN_MS),
        placement: None,
    }
}

/// Decides about a request that placement found a server for.
pub(crate) fn admit(
    demand: &Demand<'_>,
    placement: Placement,
    share: impl FnOnce() -> WorkspaceShare,
) -> Decision {
    let target_ms = demand.latency_target_ms as f64;
    let excess_ms = (demand.waited_ms + placement.expected_ms) as f64 - target_ms * TARGET_FRACTION;
    let queue_excess_ms = placement.queue_ms as f64 - target_ms * OVER_SHARE_TARGET_FRACTION;
    if queue_excess_ms <= 0.0 {
        return Decision::Send(placement);
    }
    let share = share();
    let is_behind_others = share.is_over();
    let is_late_by_itself = placement.queue_ms as f64 <= target_ms * QUEUE_TARGET_FRACTION;
    let is_starved = share.is_starved() && placement.expected_ms as f64 <= STARVED_TARGETS * target_ms;
    if (excess_ms <= 0.0 || is_late_by_itself || is_starved) && !is_behind_others {
        return Decision::Send(placement);
    }
    Decision::Refuse {
        kind: if is_behind_others {
            ErrorKind::OverShare
        } else {
            ErrorKind::WouldMissTarget
        },
        retry_after_ms: retry_after_ms(demand.latency_target_ms, excess_ms.max(queue_excess_ms)),
        placement: Some(placement),
    }
}

/// Refuses a prompt that pacing holds back: its workspace's allowance grows all the time, so the caller may come
/// back soon.
pub(crate) fn refuse_paced(demand: &Demand<'_>, placement: &Placement) -> Decision {
    Decision::Refuse {
        kind: ErrorKind::OverShare,
        retry_after_ms: retry_after_ms(demand.latency_target_ms, 0.0),
        placement: Some(*placement),
    }
}

/// Returns the time left until a request's deadline, in milliseconds; `None` if an attempt is not worth
/// it any more.
pub fn time_left_ms(arrived_at: TimeMs, deadline: TimeMs, now: TimeMs) -> Option<u64> {
    let left_ms = deadline.since_ms(now);
    let whole_ms = deadline.since_ms(arrived_at);
    (left_ms > 0 && left_ms * TIME_LEFT_MIN_DIVISOR >= whole_ms).then_some(left_ms)
}

/// Returns when a refused request is to come back: once the excess is worked off, within bounds.
fn retry_after_ms(latency_target_ms: u64, excess_ms: f64) -> u64 {
    let most_ms = (latency_target_ms as f64 * RETRY_AFTER_TARGET_FRACTION) as u64;
    (excess_ms as u64).clamp(RETRY_AFTER_MIN_MS, most_ms.max(RETRY_AFTER_MIN_MS))
}
