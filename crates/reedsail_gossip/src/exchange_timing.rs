//! Intervals of the load exchange through aggregators, and how long the exchanged load is valid.
//!
//! `GossipTiming` holds the timing of direct messages. Used by `load_exchange`.

/// Maximum number of instances in a fleet in which each instance sends to all others. At this size direct messages are
/// still sent every tenth of a second, the shortest interval of direct messages.
pub const DIRECT_INSTANCES_MAX: usize = 25;
/// Shortest interval between two reports of a member, and between two sums of an aggregator, in milliseconds; see
/// `exchange_pace`.
pub const AGGREGATE_INTERVAL_MS: u64 = 25;
/// Shortest interval between two sums that an aggregator sends to other aggregators, in milliseconds. It is twice
/// [`AGGREGATE_INTERVAL_MS`], since these sums cross failure domains, where bytes are charged.
pub(crate) const INTER_AGGREGATOR_INTERVAL_MS: u64 = 50;
/// Longest interval between two sums of an aggregator, in milliseconds.
pub const IDLE_INTERVAL_MS: u64 = 1_000;
/// Longest interval between two messages of an instance to the instances that it exchanges load with, in milliseconds.
pub const HEARTBEAT_MS: u64 = 200;
/// Longest interval at which an instance of a fleet with aggregators checks for messages to send, in milliseconds.
pub(crate) const IDLE_TICK_MS: u64 = 200;
/// Interval at which an instance checks for messages to send in a fleet without aggregators, in milliseconds. It is
/// half of the interval of direct messages.
pub(crate) const DIRECT_TICK_MS: u64 = 50;
/// Shortest silence after which an aggregator is skipped, in milliseconds: twelve messages at the shortest interval.
pub(crate) const AGGREGATOR_TIMEOUT_MIN_MS: u64 = 300;
/// How long a silent aggregator is skipped before it is tried again, in milliseconds.
pub(crate) const SKIP_AGGREGATOR_MS: u64 = 3_000;
/// Shortest time for which a member's last report is valid, in milliseconds. It is longer than a member takes to notice
/// that its aggregator is silent.
pub(crate) const MEMBER_VALID_MIN_MS: u64 = 500;
/// Shortest time for which another aggregator's sum is valid, in milliseconds.
pub(crate) const AGGREGATE_VALID_MIN_MS: u64 = 500;
/// How long the fleet size from a sum or a message is valid, in milliseconds.
pub(crate) const FLEET_SIZE_VALID_MS: u64 = 3_000;
/// Interval between two messages to a silent peer or to a seed, in milliseconds.
pub(crate) const SILENT_PEER_RETRY_MS: u64 = 1_000;
