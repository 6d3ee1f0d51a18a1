//! What this instance knows of the fleet as a whole: its size, and how old the last sum over it is.
//!
//! Owns the last sum's figures; the load itself is the dispatcher's. Relies on aggregators for sums and on
//! direct messages for the size before one has come.

use reedsail_core::TimeMs;
use reedsail_wire::LoadMessage;

use crate::DomainPosition;
use crate::ExchangePace;
use crate::exchange_timing::FLEET_SIZE_VALID_MS;

/// The figures of the last sum over the fleet.
#[derive(Clone, Copy, Debug)]
struct FleetSum {
    received_at: TimeMs,
    /// Until when another sum is to have come.
    valid_until: TimeMs,
    pace: ExchangePace,
    instances: u32,
    domain_instances: u32,
    load_age_ms: u32,
    /// This instance's place among the members that the sum includes.
    place: DomainPosition,
}

/// The last sum, and what direct messages say of the size.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FleetView {
    sum: Option<FleetSum>,
    /// The largest size that a peer named lately, and when.
    size_heard: (u32, TimeMs),
}

impl FleetView {
    /// Takes in a sum over the fleet, in which so many members come before this instance.
    pub(crate) fn receive(&mut self, sum: &LoadMessage, position: usize, now: TimeMs) {
        let pace = ExchangePace::named(sum.load_interval_ms);
        self.sum = Some(FleetSum {
            received_at: now,
            valid_until: now.plus_ms(pace.sum_valid_ms()),
            pace,
            instances: sum.instances,
            domain_instances: sum.domain_instances,
            load_age_ms: sum.load_age_ms,
            place: DomainPosition {
                position,
                instances: sum.included.len().max(1),
            },
        });
    }

    /// Takes in the size that a message names; zero for none.
    pub(crate) fn hear_size(&mut self, instances: u32, now: TimeMs) {
        let (known, heard_at) = self.size_heard;
        if instances >= known || now.since_ms(heard_at) >= FLEET_SIZE_VALID_MS {
            self.size_heard = (instances, now);
        }
    }

    /// Returns how many instances peers say that there are; zero if none said so lately.
    pub(crate) fn instances_heard(&self, now: TimeMs) -> usize {
        let (heard, heard_at) = self.size_heard;
        let is_recent = now.since_ms(heard_at) < FLEET_SIZE_VALID_MS;
        if is_recent { heard as usize } else { 0 }
    }

    /// Returns how many instances the last sum is over, if it is recent.
    pub(crate) fn summed_instances(&self, now: TimeMs) -> Option<usize> {
        self.recent(now).map(|sum| sum.instances as usize)
    }

    /// Returns how many instances of the own failure domain the last sum names; zero without a recent one.
    pub(crate) fn domain_instances(&self, now: TimeMs) -> usize {
        self.recent(now).map_or(0, |sum| sum.domain_instances as usize)
    }

    /// Returns the mean age of the summed load, in milliseconds.
    pub(crate) fn load_age_ms(&self, now: TimeMs) -> Option<u64> {
        let sum = self.recent(now)?;
        Some(u64::from(sum.load_age_ms) + now.since_ms(sum.received_at))
    }

    /// Returns this instance's place among the members of its aggregator, while sums come.
    pub(crate) fn place(&self, now: TimeMs) -> Option<DomainPosition> {
        let sum = self.sum?;
        (now < sum.valid_until).then_some(sum.place)
    }

    /// Returns the pace of the aggregator that sent the last sum; the slowest if none is recent, since a sender may
    /// keep to it.
    pub(crate) fn pace(&self, now: TimeMs) -> ExchangePace {
        self.recent(now)
            .map_or(ExchangePace::of_pressure(0), |sum| sum.pace)
    }

    fn recent(&self, now: TimeMs) -> Option<FleetSum> {
        let sum = self.sum?;
        (now.since_ms(sum.received_at) < FLEET_SIZE_VALID_MS).then_some(sum)
    }
}
