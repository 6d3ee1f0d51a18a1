//! The traffic threads, which serve callers' requests from the first byte to the last.

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

/// A pool of connections to backend servers, by the address that the bundle states for a server.
type Pool = ConnectionPool<SocketAddr>;
