//! The load that an aggregator received: the reports of its members and the sums of other aggregators.
//!
//! Owns each report and sum until it expires, and computes a new total for every message, so that no load remains
//! counted after its sender is gone.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddrV4;

use reedsail_core::NameHash;
use reedsail_core::TimeMs;
use reedsail_dispatch::LoadReport;
use reedsail_wire::IncludedRow;
use reedsail_wire::LoadMessage;

use crate::ExchangePace;
use crate::LoadSum;

/// The last report of a member.
#[derive(Clone, Debug)]
struct MemberReport {
    address: SocketAddrV4,
    load: LoadReport,
    sequence: u32,
    received_at: TimeMs,
    valid_until: TimeMs,
}

/// The last sum of another aggregator.
#[derive(Clone, Debug)]
struct Aggregate {
    address: SocketAddrV4,
    load: LoadReport,
    failure_domain: NameHash,
    included: Vec<NameHash>,
    instances: u32,
    load_age_ms: u32,
    received_at: TimeMs,
    valid_until: TimeMs,
}

/// A sum over some instances, with their number and the ages of their reports.
#[derive(Clone, Debug, Default)]
pub(crate) struct SummedLoad {
    pub(crate) sum: LoadSum,
    pub(crate) instances: u32,
    /// Total age of the summed reports, in milliseconds.
    age_sum_ms: u64,
}

impl SummedLoad {
    fn add(&mut self, load: &LoadReport, instances: u32, age_ms: u64) {
        self.sum.add(load);
        self.instances += instances;
        self.age_sum_ms += age_ms * u64::from(instances);
    }

    /// Returns the mean age of the summed reports, in milliseconds.
    pub(crate) fn load_age_ms(&self) -> u32 {
        let mean_ms = self.age_sum_ms / u64::from(self.instances.max(1));
        u32::try_from(mean_ms).unwrap_or(u32::MAX)
    }
}

/// The valid reports of members and sums of other aggregators.
#[derive(Clone, Debug, Default)]
pub(crate) struct MemberReports {
    members: HashMap<NameHash, MemberReport>,
    aggregates: HashMap<NameHash, Aggregate>,
}

impl MemberReports {
    /// Stores a member's report.
    pub(crate) fn receive_member(&mut self, message: &LoadMessage, from: SocketAddrV4, now: TimeMs) {
        let pace = ExchangePace::from_interval_ms(message.load_interval_ms);
        let report = MemberReport {
            address: from,
            load: message.load.without_prefixes(),
            sequence: message.sequence,
            received_at: now,
            valid_until: now.plus_ms(pace.member_valid_ms()),
        };
        self.members.insert(message.instance, report);
        self.aggregates.remove(&message.instance);
    }

    /// Stores another aggregator's sum. A member whose newer report the sum includes is
    /// now a member of that aggregator.
    pub(crate) fn receive_aggregate(&mut self, message: &LoadMessage, from: SocketAddrV4, now: TimeMs) {
        for row in &message.included {
            let current = self.members.get(&row.instance);
            if current.is_some_and(|report| report.sequence < row.sequence) {
                self.members.remove(&row.instance);
            }
        }
        let pace = ExchangePace::from_interval_ms(message.load_interval_ms);
        let aggregate = Aggregate {
            address: from,
            load: message.load.without_prefixes(),
            failure_domain: message.failure_domain,
            included: message.included.iter().map(|row| row.instance).collect(),
            instances: message.instances,
            load_age_ms: message.load_age_ms,
            received_at: now,
            valid_until: now.plus_ms(pace.sum_valid_ms()),
        };
        self.aggregates.insert(message.instance, aggregate);
    }

    /// Drops expired reports and sums; returns their senders.
    pub(crate) fn drop_expired(&mut self, now: TimeMs) -> Vec<NameHash> {
        let mut expired = Vec::new();
        self.members.retain(|member, report| {
            let is_valid = now < report.valid_until;
            if !is_valid {
                expired.push(*member);
            }
            is_valid
        });
        self.aggregates.retain(|sender, aggregate| {
            let is_valid = now < aggregate.valid_until;
            if !is_valid {
                expired.push(*sender);
            }
            is_valid
        });
        expired
    }

    pub(crate) fn has_members(&self) -> bool {
        !self.members.is_empty()
    }

    /// Returns the addresses of the members.
    pub(crate) fn member_addresses(&self) -> Vec<SocketAddrV4> {
        self.members.values().map(|member| member.address).collect()
    }

    /// Returns the failure domains and addresses of the other aggregators.
    pub(crate) fn aggregators(&self) -> impl Iterator<Item = (NameHash, SocketAddrV4)> {
        let aggregates = self.aggregates.values();
        aggregates.map(|aggregate| (aggregate.failure_domain, aggregate.address))
    }

    /// Returns the names of the other aggregators.
    pub(crate) fn aggregator_names(&self) -> Vec<NameHash> {
        self.aggregates.keys().copied().collect()
    }

    /// Returns the members with the sequence numbers of their reports, in the order of their names.
    pub(crate) fn included(&self) -> Vec<IncludedRow> {
        let mut rows: Vec<IncludedRow> = self
            .members
            .iter()
            .map(|(member, report)| IncludedRow {
                instance: *member,
                sequence: report.sequence,
            })
            .collect();
        rows.sort_by_key(|row| row.instance);
        rows
    }

    /// Returns the sum over this instance and its members.
    pub(crate) fn member_sum(&self, own: &LoadReport, now: TimeMs) -> SummedLoad {
        let mut summed = SummedLoad::default();
        summed.add(own, 1, 0);
        for report in self.members.values() {
            summed.add(&report.load, 1, now.since_ms(report.received_at));
        }
        summed
    }

    /// Adds the sums of the other aggregators.
    pub(crate) fn add_aggregates(&self, summed: &mut SummedLoad, now: TimeMs) {
        for aggregate in self.aggregates.values() {
            let age_ms = u64::from(aggregate.load_age_ms) + now.since_ms(aggregate.received_at);
            summed.add(&aggregate.load, aggregate.instances, age_ms);
        }
    }

    /// Returns the number of instances of this instance's failure domain that are summed here or at other aggregators.
    ///
    /// Each instance counts once, even while it moves from one aggregator to another. The number of aggregators follows
    /// from this count, so a count that grew with each move would create more aggregators.
    pub(crate) fn instances_in(&self, failure_domain: NameHash) -> u32 {
        let other_members = self
            .aggregates
            .values()
            .filter(|aggregate| aggregate.failure_domain == failure_domain)
            .flat_map(|aggregate| aggregate.included.iter().copied());
        let instances: HashSet<NameHash> = self.members.keys().copied().chain(other_members).collect();
        instances.len() as u32 + 1
    }
}
