//! Policies: how an instance orders waiting requests, and whether its slots are leased or fixed.

use reedsail_core::TimeMs;

use crate::Class;

/// A policy for sharing the backend servers. It is selected at start-up; the code is generic over it, so no
/// call is dynamically dispatched.
pub trait SharePolicy: Clone + Send + Sync + 'static {
    /// The name used in reports.
    const NAME: &'static str;

    /// Whether an allocator leases the slots.
    const LEASED: bool;

    /// Returns how many slots of a server this instance uses when slots are not leased.
    fn fixed_slots(&self, capacity: u32) -> u32;

    /// Returns the rank of a request in its workspace's queue; the lowest rank goes first.
    fn rank(&self, class: Class, deadline: TimeMs, sequence: u64) -> (u8, u64, u64);

    /// Returns the rank of a workspace; the lowest rank goes first.
    fn workspace_order(&self, virtual_time: f64, oldest_sequence: u64) -> f64;
}

/// Each instance alone: first in, first out, on all slots of every backend server.
#[derive(Clone, Debug, Default)]
pub struct FifoPolicy;

impl SharePolicy for FifoPolicy {
    const NAME: &'static str = "fifo";
    const LEASED: bool = false;

    fn fixed_slots(&self, capacity: u32) -> u32 {
        capacity
    }

    fn rank(&self, _class: Class, _deadline: TimeMs, sequence: u64) -> (u8, u64, u64) {
        (0, 0, sequence)
    }

    fn workspace_order(&self, _virtual_time: f64, oldest_sequence: u64) -> f64 {
        oldest_sequence as f64
    }
}

/// Each instance alone: a fair queue on a fixed fraction of every backend server.
#[derive(Clone, Debug)]
pub struct SplitPolicy {
    /// The number of instances that share each backend server.
    pub instances: u32,
}

impl SharePolicy for SplitPolicy {
    const NAME: &'static str = "split";
    const LEASED: bool = false;

    fn fixed_slots(&self, capacity: u32) -> u32 {
        (capacity / self.instances.max(1)).max(1)
    }

    fn rank(&self, class: Class, deadline: TimeMs, sequence: u64) -> (u8, u64, u64) {
        (class.rank(), deadline.0, sequence)
    }

    fn workspace_order(&self, virtual_time: f64, _oldest_sequence: u64) -> f64 {
        virtual_time
    }
}

/// Instances together: leased slots, used in the order of fleet-wide virtual time.
#[derive(Clone, Debug, Default)]
pub struct FleetPolicy;

impl SharePolicy for FleetPolicy {
    const NAME: &'static str = "fleet";
    const LEASED: bool = true;

    fn fixed_slots(&self, _capacity: u32) -> u32 {
        0
    }

    fn rank(&self, class: Class, deadline: TimeMs, sequence: u64) -> (u8, u64, u64) {
        (class.rank(), deadline.0, sequence)
    }

    fn workspace_order(&self, virtual_time: f64, _oldest_sequence: u64) -> f64 {
        virtual_time
    }
}
