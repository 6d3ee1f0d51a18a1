//! The order in which the instances of a failure domain take on duties for the others.

use std::cmp::Reverse;

use reedsail_core::NameHash;

/// An instance's rank: the one with the largest share of processor comes first, then the smallest name hash.
/// Every instance comes to the same order without a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct DutyRank(Reverse<u32>, NameHash);

impl DutyRank {
    /// Makes the rank of an instance that may use so much of a core, in thousandths.
    pub fn of(instance: NameHash, processor_milli: u32) -> Self {
        Self(Reverse(processor_milli), instance)
    }

    /// Returns the share of a core, in thousandths.
    pub fn processor_milli(self) -> u32 {
        self.0.0
    }

    /// Returns the instance.
    pub fn instance(self) -> NameHash {
        self.1
    }
}
