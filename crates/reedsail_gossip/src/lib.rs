//! Gossip of load between instances: membership, and the routing of load reports.
//!
//! Pure: no I/O, no clock. [`LoadExchange`] receives every incoming message and returns the messages to send at every
//! tick; the router's control thread sends them.
//!
//! In a small fleet, each instance sends its report to all others. In a fleet of more than [`DIRECT_INSTANCES_MAX`]
//! instances, each member reports only to an aggregator of its failure domain. Aggregators send each other the sums
//! over their members, and send their members the sum over the fleet. A member thus sends and receives one message
//! per interval at any fleet size, and a domain's load is sent to another domain once for all members. The interval
//! depends on the utilisation of the servers ([`ExchangePace`]).
//!
//! There is no consensus: every instance that receives members' reports aggregates them. Two aggregators in one
//! failure domain can make a load estimate wrong for a short time, but never an answer to a caller.

mod aggregator_choice;
mod exchange_messages;
mod exchange_pace;
mod exchange_timing;
mod fleet_view;
mod known_aggregators;
mod load_exchange;
mod load_sum;
mod member_reports;
mod peer;
mod peer_table;
mod prefix_relay;
mod sent_reports;
mod stream_holders;
mod urgent_fields;

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
pub use stream_holders::ASKED_MAX;
pub use stream_holders::StreamPeer;
pub use stream_holders::missing_holders;
pub use stream_holders::rank_holders;
