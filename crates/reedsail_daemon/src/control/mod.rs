//! The control thread: one actor that owns all control state, and the tasks around it.
//!
//! The actor never waits for I/O. Calls to peers and to the platform run in other tasks of the same thread,
//! which send their results to the actor.

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
