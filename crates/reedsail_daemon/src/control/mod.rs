//! The control thread: one actor that owns all control state, and the tasks around it.
//!
//! The actor never waits: whatever takes time (calls to peers, the platform) is done by tasks of
//! the same thread, which send it what came of it.

mod actor;
mod allocation;
mod grant;
mod links;
mod messages;
mod pacing;
mod peer_service;
mod platform_tasks;
mod report;
mod report_plan;
mod roll_out;
mod thread;
mod thread_time;

pub(crate) use actor::Control;
pub(crate) use links::Links;
pub(crate) use messages::BeginStop;
pub(crate) use messages::PeerAddress;
pub(crate) use messages::ReadContent;
pub(crate) use messages::ReadStatus;
pub(crate) use thread::ControlThread;
pub(crate) use thread::run_control;
