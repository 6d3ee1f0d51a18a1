//! How a daemon orders waiting work, and whether its slots are leased or fixed.

use reedsail_core::TimeMs;

use crate::Class;

/// A way of sharing the backend servers; chosen at start-up, generic so that no call is indirect.
pub trait SharePolicy: Clone + Send + Sync + 'static {
    /// The name that reports carry.
    const NAME: &'static str;

    /// Tells whether slots come as leases from an allocator.
    const LEASED: bool;

    /// Returns how many slots of a server this daemon takes when slots are not leased.
    fn fixed_slots(&self, capacity: u32) -> u32;

    /// Returns the rank of a request inside its workspace's queue; the smallest goes first.
    fn rank(&self, class: Class, deadline: TimeMs, sequence: u64) -> (u8, u64, u64);

    /// Returns the rank of a workspace; the smallest goes first.
    fn workspace_order(&self, virtual_time: f64, oldest_sequence: u64) -> f64;
}

/// Each daemon alone: first come, first served, over the whole of every backend server.
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

/// Each daemon alone: a fair queue over a fixed part of every backend server.
#[derive(Clone, Debug)]
pub struct SplitPolicy {
    /// How many daemons share each backend server.
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

/// The fleet's own way: leased slots, spent in the order of fleet-wide virtual time.
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
