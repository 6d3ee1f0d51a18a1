//! The control thread: what the daemon believes, and the tasks that feed and spread it.

mod actor;
mod follow;
mod member_table;
mod peer_fetch;
mod round;
mod thread;

pub(crate) use actor::Control;
pub(crate) use actor::ListServers;
pub(crate) use thread::ControlThread;
pub(crate) use thread::run_control;
