//! The state of the fleet as a whole: its size, and the age of the last sum over it.
//!
//! Owns the figures of the last sum; the dispatcher owns the load itself. Relies on aggregators for sums, and on direct
//! messages for the fleet size before the first sum.

use reedsail_core::TimeMs;
use reedsail_wire::LoadMessage;

use crate::DomainPosition;
use crate::ExchangePace;
use crate::exchange_timing::FLEET_SIZE_VALID_MS;

/// The figures of the last sum over the fleet.
#[derive(Clone, Copy, Debug)]
struct FleetSum {
    received_at: TimeMs,
    /// When the sum expires unless another one arrives.
    valid_until: TimeMs,
    pace: ExchangePace,
    instances: u32,
    domain_instances: u32,
    load_age_ms: u32,
    /// This instance's position among the members that the sum includes.
    domain_position: DomainPosition,
}

/// The last sum, and the fleet size from direct messages.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FleetView {
    sum: Option<FleetSum>,
    /// The largest fleet size that a peer reported recently, and when.
    reported_size: (u32, TimeMs),
}

impl FleetView {
    /// Processes a sum over the fleet; `position` is the number of members that precede this instance in it.
    pub(crate) fn receive(&mut self, sum: &LoadMessage, position: usize, now: TimeMs) {
        let pace = ExchangePace::from_interval_ms(sum.load_interval_ms);
        self.sum = Some(FleetSum {
            received_at: now,
            valid_until: now.plus_ms(pace.sum_valid_ms()),
            pace,
            instances: sum.instances,
            domain_instances: sum.domain_instances,
            load_age_ms: sum.load_age_ms,
            domain_position: DomainPosition {
                position,
                instances: sum.included.len().max(1),
            },
        });
    }

    /// Records the fleet size from a message; zero if the message has none.
    pub(crate) fn record_reported_size(&mut self, instances: u32, now: TimeMs) {
        let (size, reported_at) = self.reported_size;
        if instances >= size || now.since_ms(reported_at) >= FLEET_SIZE_VALID_MS {
            self.reported_size = (instances, now);
        }
    }

    /// Returns the fleet size that peers reported; zero if there is no recent report.
    pub(crate) fn reported_instances(&self, now: TimeMs) -> usize {
        let (reported, reported_at) = self.reported_size;
        let is_recent = now.since_ms(reported_at) < FLEET_SIZE_VALID_MS;
        if is_recent { reported as usize } else { 0 }
    }

    /// Returns the number of instances in the last sum, if that is recent.
    pub(crate) fn summed_instances(&self, now: TimeMs) -> Option<usize> {
        self.recent_sum(now).map(|sum| sum.instances as usize)
    }

    /// Returns the number of instances of this instance's failure domain from the last sum; zero without a recent sum.
    pub(crate) fn domain_instances(&self, now: TimeMs) -> usize {
        self.recent_sum(now)
            .map_or(0, |sum| sum.domain_instances as usize)
    }

    /// Returns the mean age of the summed load, in milliseconds.
    pub(crate) fn load_age_ms(&self, now: TimeMs) -> Option<u64> {
        let sum = self.recent_sum(now)?;
        Some(u64::from(sum.load_age_ms) + now.since_ms(sum.received_at))
    }

    /// Returns this instance's position among the members of its aggregator, if the last sum is valid.
    pub(crate) fn domain_position(&self, now: TimeMs) -> Option<DomainPosition> {
        let sum = self.sum?;
        (now < sum.valid_until).then_some(sum.domain_position)
    }

    /// Returns the pace of the aggregator that sent the last sum. Without a recent sum it is the slowest, since the
    /// aggregator may use that.
    pub(crate) fn pace(&self, now: TimeMs) -> ExchangePace {
        self.recent_sum(now)
            .map_or(ExchangePace::from_pressure(0), |sum| sum.pace)
    }

    fn recent_sum(&self, now: TimeMs) -> Option<FleetSum> {
        let sum = self.sum?;
        (now.since_ms(sum.received_at) < FLEET_SIZE_VALID_MS).then_some(sum)
    }
}
