//! Decides where a request runs, and whether it is refused, from this daemon's own load and from
//! what its peers last reported.
//!
//! Like `reedsail_core` it is pure: no I/O, no clock, no runtime. A daemon keeps one [`Dispatcher`],
//! asks it where each request goes, tells it what became of the request, and exchanges
//! [`LoadReport`]s with its peers. All of it is soft state: it may be wrong for a moment, which
//! costs time or fairness, never an answer.

mod attempt;
mod demand;
mod dispatcher;
mod estimate;
mod failure_rate;
mod gossip_timing;
mod load_report;
mod max_min;
mod overload;
mod peer_table;
mod prefix_memory;
mod ranking;
mod retry_window;
mod server_list;
mod server_record;
mod server_table;
mod settings;
mod usage;

pub use attempt::Attempt;
pub use attempt::AttemptOutcome;
pub use demand::Decision;
pub use demand::Demand;
pub use demand::Placement;
pub use demand::Prompt;
pub use demand::PromptSegment;
pub use dispatcher::Dispatcher;
pub use gossip_timing::GossipTiming;
pub use load_report::LoadReport;
pub use load_report::PrefixRow;
pub use load_report::ServerLoadRow;
pub use load_report::WorkspaceUseRow;
pub use max_min::max_min_level;
pub use overload::OverloadMonitor;
pub use overload::OverloadSample;
pub use retry_window::RetryWindow;
pub use server_list::ListComparison;
pub use server_list::ListDelta;
pub use server_list::PeerListState;
pub use server_list::ServerList;
pub use server_record::ServerChange;
pub use server_record::ServerListing;
pub use server_record::ServerRecord;
pub use server_record::ServerUpdate;
pub use server_table::ServerSetup;
pub use settings::DispatchSettings;
