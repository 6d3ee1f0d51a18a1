//! Load pressure: how soon instances must learn each other's load.
//!
//! **Rule.** The pressure is the maximum over the services of three figures: the slots in use, as a ratio of
//! [`BUSY_SLOTS_FRACTION`] of all slots; the servers where a prompt waits for prefill, as a ratio of
//! [`BUSY_PREFILL_FRACTION`] of all servers; and one as soon as any server has no free slot. It is between zero and
//! one.
//!
//! **Inputs.** Requests and prompt tokens on each server from all instances, slots, the size of each service.
//!
//! **Why.** Two instances that do not know each other's latest requests choose the same server only if it was
//! recently chosen: this is rare while most servers are idle and immediate once they are full. A report of an idle
//! fleet is useless, and it is also the most expensive one, since it names the most servers.
//!
//! **Tested by** `tests/load_pressure.rs`.

use std::collections::HashMap;

use reedsail_core::NameHash;
use reedsail_core::ServerKey;

use crate::server_table::ServerTable;

/// Fraction of a service's slots in use at which the service counts as busy.
const BUSY_SLOTS_FRACTION: f64 = 0.1;
/// Fraction of a service's servers with a prompt in prefill at which the service counts as busy.
const BUSY_PREFILL_FRACTION: f64 = 0.3;

/// The load on the servers of one service.
#[derive(Clone, Copy, Debug, Default)]
struct ServiceLoad {
    running: u64,
    /// Servers where a prompt waits for prefill.
    prefilling: u64,
    has_full_server: bool,
}

/// Returns the pressure, given the servers that may run requests.
pub(crate) fn pressure(servers: &ServerTable, active: impl Iterator<Item = ServerKey>) -> f64 {
    let mut services: HashMap<NameHash, ServiceLoad> = HashMap::new();
    for key in active {
        let server = servers.get(key);
        let running = server.running();
        let service = services.entry(server.setup.service).or_default();
        service.running += u64::from(running);
        service.prefilling += u64::from(server.prefill_tokens() > 0);
        service.has_full_server |= running >= server.setup.slots;
    }
    let pressures = services.into_iter().map(|(service, load)| {
        if load.has_full_server {
            return 1.0;
        }
        let slots = servers.slots(service).max(1) as f64;
        let count = servers.of_service(service).len().max(1) as f64;
        let by_slots = load.running as f64 / (BUSY_SLOTS_FRACTION * slots);
        let by_prefill = load.prefilling as f64 / (BUSY_PREFILL_FRACTION * count);
        by_slots.max(by_prefill)
    });
    pressures.fold(0.0, f64::max).min(1.0)
}
