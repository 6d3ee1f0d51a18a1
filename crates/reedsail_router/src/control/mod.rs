//! The control thread: what this instance believes, and the tasks that feed and spread it.
//!
//! `thread` runs the actor and the tasks around it. `actor` owns the state: `configuration_state`,
//! `evacuation_state`, `store_status`, `share_watch`, `server_end_log`, `server_notice_log`, `quarantine_log`,
//! `suspension_watch`, the load exchange of `reedsail_gossip`, and the server list of `reedsail_dispatch`, which
//! `server_publication` publishes and `server_pages` shows to peers. `follow` reads the store, `peer_fetch` reads from
//! peers; both send `messages` to the actor.

mod actor;
mod configuration_state;
mod evacuation_state;
mod follow;
mod messages;
mod peer_fetch;
mod quarantine_log;
mod seeds;
mod server_end_log;
mod server_notice_log;
mod server_pages;
mod server_publication;
mod share_watch;
mod store_era;
mod store_status;
mod suspension_watch;
mod thread;

pub(crate) use actor::Control;
pub(crate) use messages::ListServers;
pub(crate) use thread::ControlThread;
pub(crate) use thread::run_control;
