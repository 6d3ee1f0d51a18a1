//! The traffic threads: callers' requests, from the first byte to the last.

mod answer;
mod call;
mod exchange;
mod forward;
mod pool;
mod relay;
mod resume;
mod run_guard;
mod serve;
mod thread;

pub(crate) use thread::TrafficThread;
pub(crate) use thread::run_traffic;
