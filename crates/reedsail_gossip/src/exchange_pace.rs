//! Exchange pace: how often load is reported in a fleet with aggregators, and how long a report is valid.
//!
//! **Rule.** At a pressure of one, an aggregator sends sums every [`AGGREGATE_INTERVAL_MS`]. At a lower pressure the
//! interval grows with the inverse square of the pressure, up to [`IDLE_INTERVAL_MS`]. Members report at the interval
//! of their aggregator, but at least every [`HEARTBEAT_MS`]. Between sums, an aggregator sends heartbeats without
//! load. A report is valid for several intervals.
//!
//! **Inputs.** The pressure (`load_pressure` of `reedsail_dispatch`, in thousandths), and the interval that a sender
//! names in its messages (in milliseconds; zero from the previous release, which reports its load at the shortest
//! interval).
//!
//! **Why.** The probability that two instances send a request to a server that neither knows to be busy grows with the
//! square of the servers' utilisation. In an idle fleet, which has the most servers for each request, the load of
//! others is of no use, while the cost of its exchange at each instance grows with the fleet size.
//!
//! **Tested by** `tests/exchange_pace.rs`, `tests/idle_fleet.rs`.

use crate::exchange_timing::AGGREGATE_INTERVAL_MS;
use crate::exchange_timing::AGGREGATE_VALID_MIN_MS;
use crate::exchange_timing::AGGREGATOR_TIMEOUT_MIN_MS;
use crate::exchange_timing::HEARTBEAT_MS;
use crate::exchange_timing::IDLE_INTERVAL_MS;
use crate::exchange_timing::IDLE_TICK_MS;
use crate::exchange_timing::INTER_AGGREGATOR_INTERVAL_MS;
use crate::exchange_timing::MEMBER_VALID_MIN_MS;

/// Half-intervals for which load is valid: two intervals may pass, and a message may be late.
const VALID_HALF_INTERVALS: u64 = 5;
/// Half-intervals of silence after which a sender counts as silent: three messages are missing.
const TIMEOUT_HALF_INTERVALS: u64 = 7;

/// Longest accepted interval from a sender's message, in milliseconds.
const REPORTED_INTERVAL_MAX_MS: u64 = 10_000;
/// Maximum number of other aggregators that are each sent every sum.
const FULL_RATE_AGGREGATORS: u64 = 14;

/// The interval at which an instance reports its load, and the times that follow from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExchangePace {
    load_interval_ms: u64,
}

impl ExchangePace {
    /// Returns the pace of an aggregator for a pressure in thousandths.
    pub fn from_pressure(pressure_milli: u32) -> Self {
        let pressure = f64::from(pressure_milli.max(1)) / 1_000.0;
        let interval_ms = AGGREGATE_INTERVAL_MS as f64 / (pressure * pressure);
        Self::from_interval_ms(interval_ms.min(IDLE_INTERVAL_MS as f64) as u32)
    }

    /// Returns the pace of a sender that names this interval, in milliseconds, in its messages.
    pub(crate) fn from_interval_ms(interval_ms: u32) -> Self {
        Self {
            load_interval_ms: u64::from(interval_ms).clamp(AGGREGATE_INTERVAL_MS, REPORTED_INTERVAL_MAX_MS),
        }
    }

    /// Returns the interval at which an aggregator sends its sum to the other aggregators, in milliseconds. It grows
    /// with their number, so that the total traffic between aggregators grows linearly with their number and not
    /// with its square.
    pub(crate) fn inter_aggregator_interval_ms(self, others: usize) -> u64 {
        let interval_ms = self.load_interval_ms.max(INTER_AGGREGATOR_INTERVAL_MS);
        let others = (others as u64).max(FULL_RATE_AGGREGATORS);
        interval_ms * others / FULL_RATE_AGGREGATORS
    }

    /// Returns the interval between two reports of load, in milliseconds.
    pub fn load_interval_ms(self) -> u64 {
        self.load_interval_ms
    }

    /// Returns the interval between two messages, heartbeats included, in milliseconds.
    pub fn message_interval_ms(self) -> u64 {
        self.load_interval_ms.min(HEARTBEAT_MS)
    }

    /// Returns the time until the next check for messages to send, in milliseconds.
    pub(crate) fn tick_ms(self) -> u64 {
        self.load_interval_ms.min(IDLE_TICK_MS)
    }

    /// Returns how long a member's report is valid, in milliseconds.
    pub(crate) fn member_valid_ms(self) -> u64 {
        MEMBER_VALID_MIN_MS.max(self.message_timeout_ms())
    }

    /// Returns how long a sum is valid, in milliseconds.
    pub(crate) fn sum_valid_ms(self) -> u64 {
        AGGREGATE_VALID_MIN_MS.max(self.load_interval_ms * VALID_HALF_INTERVALS / 2)
    }

    /// Returns the silence after which an aggregator is skipped, in milliseconds.
    pub(crate) fn aggregator_timeout_ms(self) -> u64 {
        AGGREGATOR_TIMEOUT_MIN_MS.max(self.message_timeout_ms())
    }

    /// Returns the additional delay of an update that travels through aggregators instead of directly, in milliseconds.
    /// It passes two aggregators, and a message may be lost.
    pub(crate) fn relay_delay_ms(self) -> u64 {
        self.message_timeout_ms()
    }

    /// Returns the silence after which a sender counts as silent, in milliseconds.
    fn message_timeout_ms(self) -> u64 {
        self.message_interval_ms() * TIMEOUT_HALF_INTERVALS / 2
    }
}

impl Default for ExchangePace {
    /// Returns the shortest pace, which holds where no other pace is known.
    fn default() -> Self {
        Self::from_interval_ms(0)
    }
}
