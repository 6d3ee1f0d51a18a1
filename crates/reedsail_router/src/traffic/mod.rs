//! The traffic threads: callers' requests, from the first byte to the last.

mod answer;
mod attempt_guard;
mod call;
mod exchange;
mod forward;
mod relay;
mod resume;
mod serve;
mod thread;

use reedsail_core::ServerKey;
use reedsail_net::ConnectionPool;

pub(crate) use thread::TrafficThread;
pub(crate) use thread::run_traffic;

/// Connections under the server's key, since an address may come back with another server.
type Pool = ConnectionPool<ServerKey>;
