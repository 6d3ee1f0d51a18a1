//! The traffic thread: callers' requests, from the first byte to the last.
//!
//! In the order of a request: `thread` takes connections, `serve` one request, `call` reads and checks
//! it (`fingerprint` tells its returns), `forward` places and attempts it, `exchange` makes one attempt, `relay_buffered`, `relay_stream` or
//! `resume` brings the answer, `answer` is what the caller gets. Below all of them: `request_log`,
//! `attempt_guard`, `server_notices`, `response_aborted`. `server_check` connects to servers where connections broke. Nothing imports upwards.

mod attempt_guard;
mod call;
mod exchange;
mod fingerprint;
mod forward;
mod relay_buffered;
mod relay_stream;
mod request_log;
mod response;
mod response_aborted;
mod resume;
mod serve;
mod server_check;
mod server_notices;
mod thread;

use reedsail_core::ServerKey;
use reedsail_net::ConnectionPool;

pub(crate) use thread::TrafficThread;
pub(crate) use thread::run_traffic;

/// Connections under the server's key, since an address may come back with another server.
type Pool = ConnectionPool<ServerKey>;
