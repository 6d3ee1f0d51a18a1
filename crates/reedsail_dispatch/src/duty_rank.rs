//! The order in which the instances of a failure domain are elected for shared tasks.

use std::cmp::Reverse;

use reedsail_core::NameHash;

/// An instance's rank in an election. The instance with the largest processor share comes first; the smallest name
/// hash breaks ties. Every instance computes the same order without exchanging messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct DutyRank(Reverse<u32>, NameHash);

impl DutyRank {
    /// Returns the rank of an instance with the given processor share, in thousandths of a core.
    pub fn of(instance: NameHash, processor_milli: u32) -> Self {
        Self(Reverse(processor_milli), instance)
    }

    /// Returns the processor share, in thousandths of a core.
    pub fn processor_milli(self) -> u32 {
        self.0.0
    }

    /// Returns the instance.
    pub fn instance(self) -> NameHash {
        self.1
    }
}
