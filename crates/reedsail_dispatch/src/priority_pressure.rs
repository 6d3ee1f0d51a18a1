//! Priority pressure: which requests yield because more urgent ones are refused.
//!
//! **Rule.** A refusal is remembered for [`REMEMBERED_MS`] with its service and priority if other requests were the
//! cause: the request's workspace is within its share, and it would have been in time on a server without them.
//! Meanwhile, less urgent requests to that service are sent only to servers with next to no queue. Their own refusals
//! are not remembered. A starved workspace is sent all the same.
//!
//! **Inputs.** Refusals, by service and priority. Operators set priorities; that of a workspace goes before that of a
//! route.
//!
//! **Why.** Backend servers know no priorities and serve requests in the order in which they arrive. Under scarcity,
//! a more urgent request is served in time only if less urgent ones do not fill the queues. Fairness over workspaces
//! goes first: a flood of urgent requests is refused as over its share and makes nobody yield.
//!
//! **Tested by** `tests/refusal_order.rs`.

use std::collections::HashMap;

use reedsail_core::NameHash;
use reedsail_core::TimeMs;

use crate::Priority;

/// How long a refusal is remembered, in milliseconds. It spans the time after which a refused caller returns.
const REMEMBERED_MS: u64 = 500;

/// A priority of which a request was refused, with the time until which that is remembered.
#[derive(Clone, Copy, Debug)]
struct RecentRefusal {
    priority: Priority,
    until: TimeMs,
}

/// The recent refusals of each service.
#[derive(Clone, Debug, Default)]
pub(crate) struct PriorityPressure {
    services: HashMap<NameHash, Vec<RecentRefusal>>,
}

impl PriorityPressure {
    /// Records the refusal of a request within its workspace's share.
    pub(crate) fn record_refusal(&mut self, service: NameHash, priority: Priority, now: TimeMs) {
        let refusals = self.services.entry(service).or_default();
        refusals.retain(|known| known.until > now && known.priority != priority);
        let until = now.plus_ms(REMEMBERED_MS);
        refusals.push(RecentRefusal { priority, until });
    }

    /// Returns whether requests of a priority yield to more urgent ones.
    pub(crate) fn yields(&self, service: NameHash, priority: Priority, now: TimeMs) -> bool {
        let refusals = self.services.get(&service);
        let mut refusals = refusals.into_iter().flatten();
        refusals.any(|known| known.until > now && known.priority < priority)
    }
}
