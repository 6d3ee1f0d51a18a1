//! The traffic threads: callers' requests, from the first byte to the last.

mod answer;
mod backend;
mod call;
mod chat;
mod claim;
mod headers;
mod queueing;
mod relay;
mod serve;
mod stream;
mod thread;

use std::net::SocketAddr;

use reedsail_net::ConnectionPool;

pub(crate) use thread::TrafficThread;
pub(crate) use thread::run_traffic;

/// Connections under the server's address, which the bundle fixes.
type Pool = ConnectionPool<SocketAddr>;
