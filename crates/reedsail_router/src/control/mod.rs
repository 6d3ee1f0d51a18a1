//! The control thread: this instance's view of the fleet, and the tasks that update and distribute it.
//!
//! `thread` runs the actor and its tasks. `actor` owns the state: `configuration_state`, `evacuation_state`,
//! `store_status`, `share_watch`, `server_end_log`, `server_notice_log`, `quarantine_log`, `retry_watch`,
//! `suspension_watch`, `fetch_plan`, `fleet_publication`, the load exchange of `reedsail_gossip`, and the server list of
//! `reedsail_dispatch`. `server_publication` publishes that list to the dispatcher, and `server_pages` serves it to peers.
//! `reader_election` decides whether this instance reads the store. `loan_exchange` asks peers for loans of retries.
//! `follow` and `quarantine_sync` call the store, `peer_fetch` reads from peers; they send `messages` to the actor.

mod actor;
mod configuration_state;
mod evacuation_state;
mod fetch_plan;
mod fleet_publication;
mod follow;
mod loan_exchange;
mod messages;
mod peer_fetch;
mod quarantine_log;
mod quarantine_sync;
mod reader_election;
mod retry_watch;
mod seeds;
mod server_end_log;
mod server_notice_log;
mod server_pages;
mod server_publication;
mod share_watch;
mod store_era;
mod store_status;
mod stream_watch;
mod suspension_watch;
mod thread;

pub(crate) use actor::Control;
pub(crate) use messages::ListServers;
pub(crate) use thread::ControlThread;
pub(crate) use thread::run_control;
