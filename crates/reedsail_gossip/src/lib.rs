//! Which instance tells which other one of its load: membership, and the way of load reports.
//!
//! Pure: no I/O, no clock. [`LoadExchange`] is told of every message that came and asked at every tick
//! what to send; the router's control thread does the sending.
//!
//! A small fleet sends every report to everyone. Beyond [`DIRECT_INSTANCES_MAX`] instances each one
//! reports to an aggregator of its failure domain only; aggregators send each other the sums over their
//! members, and their members the sum over the fleet. So an instance sends and receives one message an
//! interval at any size, and load crosses between failure domains once for all members. How long the interval is
//! follows how busy the servers are ([`ExchangePace`]).
//!
//! Nothing is agreed: whoever receives members' reports aggregates them. Two aggregators of one failure
//! domain cost an estimate for a moment, never an answer.

mod aggregator_choice;
mod exchange_messages;
mod exchange_pace;
mod exchange_timing;
mod fleet_view;
mod head_mark;
mod known_aggregators;
mod load_exchange;
mod load_sum;
mod member_reports;
mod peer;
mod peer_table;
mod prefix_relay;
mod sent_reports;

pub use exchange_messages::DomainPosition;
pub use exchange_messages::InstanceIdentity;
pub use exchange_messages::LostSource;
pub use exchange_messages::MessageHeader;
pub use exchange_messages::Outgoing;
pub use exchange_messages::ReceiveOutcome;
pub use exchange_messages::ReportTarget;
pub use exchange_pace::ExchangePace;
pub use exchange_timing::AGGREGATE_INTERVAL_MS;
pub use exchange_timing::DIRECT_INSTANCES_MAX;
pub use exchange_timing::HEARTBEAT_MS;
pub use exchange_timing::IDLE_INTERVAL_MS;
pub use load_exchange::LoadExchange;
pub use load_sum::LoadSum;
pub use peer::Arrival;
pub use peer::Peer;
pub use peer_table::PeerTable;
pub use prefix_relay::PrefixRelay;
pub use sent_reports::SentReports;
