//! Store reader: which instance of a failure domain reads the platform's store.
//!
//! **Rule.** The reader of a failure domain is the instance with the largest processor share, then the smallest name
//! hash, among its instances that sent a load message recently and are not stopping. The others get the data from its
//! load messages. In a fleet with aggregators, which pass updates between failure domains, one reader serves all
//! failure domains that its updates reach. Once the data in a failure domain is older than [`SERVERS_STALE_MS`] or
//! [`CONFIGURATION_STALE_MS`], its other instances also read the store, one after the other: each has a turn of
//! [`TURN_MS`], later of [`LATE_TURN_MS`].
//!
//! **Inputs.** Peers with their failure domain, processor share, silence (milliseconds) and whether they are
//! stopping; the age of the data (milliseconds); this instance's position in its failure domain; the gossip timing.
//!
//! **Why.** Every call to the store is charged and its rates are limited. No lease is needed: two readers only cost
//! additional calls, and a reader that is partitioned, frozen or rejected delays the others by no more than these
//! limits. While the store is unavailable, or rejects some instances, a failure domain of any size calls it a few
//! times a second instead of once for each instance, and the first successful read updates all others.
//!
//! **Tested by** `tests/store_reader.rs`, `reedsail_router`'s `tests/control_state.rs`
//! (`an_instance_that_the_store_rejects…`).

use reedsail_core::NameHash;

use crate::DutyRank;
use crate::GossipTiming;

/// Age of the server list from which an instance reads the store itself, in milliseconds, in a small fleet.
const SERVERS_STALE_MS: u64 = 1_200;
/// Age of the configuration from which an instance reads it itself, in milliseconds; it is read less often than the
/// servers.
const CONFIGURATION_STALE_MS: u64 = 1_700;
/// Length of each instance's turn while the data is stale, in milliseconds: longer than the interval at which an
/// instance checks whether it may read.
const TURN_MS: u64 = 200;
/// Number of turns after which the store counts as unavailable for all, so that longer turns suffice.
const SHORT_TURNS: u64 = 8;
/// Length of each turn from then on, in milliseconds.
const LATE_TURN_MS: u64 = 500;

/// What is read from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreTopic {
    /// The operators' configuration.
    Configuration,
    /// The list of backend servers.
    Servers,
}

impl StoreTopic {
    /// Returns the name in log fields and metric labels.
    pub fn name(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Servers => "servers",
        }
    }

    /// Returns the age from which data of the topic is stale, in milliseconds.
    fn stale_ms(self) -> u64 {
        match self {
            Self::Configuration => CONFIGURATION_STALE_MS,
            Self::Servers => SERVERS_STALE_MS,
        }
    }
}

/// A peer as a possible reader.
#[derive(Clone, Copy, Debug)]
pub struct ReaderCandidate {
    /// The instance.
    pub instance: NameHash,
    /// Its failure domain.
    pub failure_domain: NameHash,
    /// Its processor share, in thousandths of a core.
    pub processor_milli: u32,
    /// Time since its last message, in milliseconds.
    pub silent_ms: u64,
    /// Whether it is stopping.
    pub is_stopping: bool,
}

/// Returns whether an instance is the reader of its failure domain, or of the fleet if `domain` is `None`, given its
/// live peers.
pub fn is_reader(
    own: DutyRank,
    domain: Option<NameHash>,
    peers: impl IntoIterator<Item = ReaderCandidate>,
    timing: GossipTiming,
) -> bool {
    !peers.into_iter().any(|peer| {
        !peer.is_stopping
            && domain.is_none_or(|domain| peer.failure_domain == domain)
            && peer.silent_ms < timing.reader_silent_ms
            && DutyRank::of(peer.instance, peer.processor_milli) < own
    })
}

/// Whether data is too old to rely on the reader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Staleness {
    /// Stale for this many milliseconds.
    For(u64),
    /// Stale after this many milliseconds without an update.
    After(u64),
}

/// Returns the staleness of data of a topic, given its age in milliseconds.
pub fn staleness(topic: StoreTopic, age_ms: u64, timing: GossipTiming) -> Staleness {
    let limit_ms = topic.stale_ms() + timing.update_delay_ms;
    if age_ms > limit_ms {
        Staleness::For(age_ms - limit_ms)
    } else {
        Staleness::After(limit_ms - age_ms)
    }
}

/// Returns whether it is an instance's turn to read data that has been stale for this long, given the instance's
/// position in its failure domain. The second instance has the first turn: the first instance is the reader, which
/// has failed to read.
pub fn is_turn(position: usize, instances: usize, stale_for_ms: u64) -> bool {
    let late_for_ms = stale_for_ms.saturating_sub(SHORT_TURNS * TURN_MS);
    let turn = (stale_for_ms / TURN_MS).min(SHORT_TURNS) + late_for_ms / LATE_TURN_MS;
    let instances = instances.max(1) as u64;
    (turn + 1) % instances == position as u64 % instances
}
