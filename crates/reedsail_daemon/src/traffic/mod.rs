//! The traffic threads: callers' requests, from the first byte to the last.

mod answer;
mod backend;
mod call;
mod chat;
mod claim;
mod headers;
mod pool;
mod queueing;
mod relay;
mod serve;
mod stream;
mod thread;

pub(crate) use thread::TrafficThread;
pub(crate) use thread::run_traffic;
