//! Store reader: which instance of a failure domain reads the platform's store.
//!
//! **Rule.** The instance with the smallest name hash among those of its failure domain that sent a
//! load message recently and are not stopping reads the store; the others learn from its load messages.
//! An instance whose own knowledge is older than [`SERVERS_STALE_MS`] or [`CONFIGURATION_STALE_MS`] reads
//! the store itself, even if another one is the reader.
//!
//! **Inputs.** Peers with their failure domain, silence (milliseconds) and whether they stop; the age of
//! what is known (milliseconds); the gossip timing.
//!
//! **Why.** Every call of the store is charged and its rates are limited. No lease is needed: two
//! readers cost calls and nothing else, and a reader that is cut off, frozen or turned away costs the
//! others no more than these limits.
//!
//! **Measured.** One reader a failure domain: 895 to 512 store calls on quiet-1 of vgs-reedsail (commit
//! "Read the store once a failure domain…"). Half and double of the limits: docs/DECISIONS.md.
//!
//! **Tested by** `tests/store_reader.rs`, `reedsail_router`'s `tests/beliefs.rs`
//! (`a_daemon_that_the_store_turns_away…`).

use reedsail_core::NameHash;

use crate::GossipTiming;

/// Age of the server list from which an instance reads the store itself, in milliseconds, in a small
/// fleet. Trials at 600 and 2,400: docs/DECISIONS.md.
const SERVERS_STALE_MS: u64 = 1_200;
/// Age of the configuration from which an instance reads it itself, in milliseconds; it is read less often
/// than the servers. Trials at 850 and 3,400: docs/DECISIONS.md.
const CONFIGURATION_STALE_MS: u64 = 1_700;

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

    /// Returns the age from which knowledge of the topic counts as stale, in milliseconds.
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
    /// How long ago its last message came, in milliseconds.
    pub silent_ms: u64,
    /// It is stopping.
    pub is_stopping: bool,
}

/// Tells whether an instance is the reader of its failure domain, given its peers that are alive.
pub fn is_reader(
    own: NameHash,
    domain: NameHash,
    peers: impl IntoIterator<Item = ReaderCandidate>,
    timing: GossipTiming,
) -> bool {
    !peers.into_iter().any(|peer| {
        !peer.is_stopping
            && peer.failure_domain == domain
            && peer.silent_ms < timing.reader_silent_ms
            && peer.instance < own
    })
}

/// Tells whether knowledge of a topic, of the given age, is too old to rely on the reader.
pub fn is_stale(topic: StoreTopic, age_ms: u64, timing: GossipTiming) -> bool {
    age_ms > topic.stale_ms() + timing.update_delay_ms
}
