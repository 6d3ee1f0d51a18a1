//! The control thread: one actor that owns all control state, and the tasks around it.
//!
//! The actor never waits: whatever takes time (calls to peers, the platform) is done by tasks of
//! the same thread, which send it what came of it.

mod actor;
mod allocation;
mod exchange;
mod links;
mod peer_service;
mod platform_tasks;
mod roll_out;
mod thread;
mod thread_time;

pub(crate) use actor::BeginStop;
pub(crate) use actor::Control;
pub(crate) use actor::ReadContent;
pub(crate) use actor::ReadStatus;
pub(crate) use links::Links;
pub(crate) use links::PeerAddress;
pub(crate) use thread::ControlThread;
pub(crate) use thread::run_control;
