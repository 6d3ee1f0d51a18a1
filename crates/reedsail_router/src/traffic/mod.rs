//! The traffic thread: serves callers' requests from the first byte to the last.
//!
//! In the order of a request: `thread` accepts connections, `serve` handles one request, `call` reads and checks it
//! (`fingerprint` identifies retries by the caller), `stream_version` finds the version at which a stream continues,
//! `forward` places and retries it, `exchange` makes one attempt (`incarnation_check` confirms which start of a server
//! answers, `sending` sends the request), `relay_buffered`, `relay_stream` or `resume` relays the response
//! (`response_end` says what its end proves), and `response` builds what the caller receives.
//! These modules share `request_log`, `attempt_guard`, `server_notices` and `response_aborted`. `server_check` connects
//! to servers whose connections broke. The imports between the modules form no cycle.

mod attempt_guard;
mod body_buffer;
mod call;
mod exchange;
mod fingerprint;
mod forward;
mod incarnation_check;
mod relay_buffered;
mod relay_stream;
mod request_log;
mod response;
mod response_aborted;
mod response_end;
mod resume;
mod sending;
mod serve;
mod server_check;
mod server_notices;
mod stream_version;
mod thread;

use reedsail_core::ServerKey;
use reedsail_net::ConnectionPool;

pub(crate) use thread::TrafficThread;
pub(crate) use thread::run_traffic;

/// Connections by server key, because another server may reuse an address.
type Pool = ConnectionPool<ServerKey>;
