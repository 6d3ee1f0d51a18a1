//! Sources of the configuration and of the list of backend servers.
//!
//! The adapter of a platform implements these traits. An implementation translates, and makes no decisions.

use reedsail_core::StorePosition;
use reedsail_dispatch::EvacuationUpdate;
use reedsail_dispatch::ServerUpdate;
use reedsail_dispatch::SuspectRecord;
use reedsail_dispatch::SuspectRow;
use thiserror::Error;

use crate::Configuration;

/// Why a read from a source failed.
#[derive(Debug, Error)]
pub enum SourceError {
    /// The store did not answer, or refused the request.
    #[error("the store is unreachable: {0}")]
    Unreachable(String),
    /// The store answered with a record that cannot be parsed.
    #[error("cannot parse the record of the store: {0}")]
    Unreadable(String),
}

/// What operators wrote since the last read.
#[derive(Debug, Default)]
pub struct OperatorUpdate {
    /// The newest configuration if it was not returned before, or the fault in it.
    pub configuration: Option<Result<Configuration, SourceError>>,
    /// Changes of the evacuations of failure domains.
    pub evacuations: EvacuationUpdate,
}

impl OperatorUpdate {
    /// Returns whether the operators wrote nothing.
    pub fn is_empty(&self) -> bool {
        self.configuration.is_none() && self.evacuations == EvacuationUpdate::default()
    }
}

/// Follows what operators write: the configuration, and evacuations of failure domains.
pub trait OperatorSource: 'static {
    /// Returns what the operators wrote as soon as there is an update that was not returned before, or an empty update
    /// after `wait_ms`.
    fn next(&mut self, wait_ms: u64) -> impl Future<Output = Result<OperatorUpdate, SourceError>>;
}

/// Follows the list of backend servers.
pub trait ServerSource: 'static {
    /// Returns immediately the changes since the last call, or since `known_revision` if that is later. Changes before
    /// `known_revision` were learned from a peer.
    fn poll(
        &mut self,
        known_revision: StorePosition,
    ) -> impl Future<Output = Result<ServerUpdate, SourceError>>;
}

/// The records of quarantined requests and segments in the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SavedQuarantine {
    /// The rows, with the ages that they have now.
    pub rows: Vec<SuspectRow>,
    /// The era of the store.
    pub era: u32,
}

/// Keeps records of quarantined requests and segments beyond the life of all instances.
pub trait QuarantineStore: 'static {
    /// Returns all records. Those that cannot be parsed are left out.
    fn read(&mut self) -> impl Future<Output = Result<SavedQuarantine, SourceError>>;

    /// Writes or withdraws records. Returns the era of the store.
    fn write(&mut self, records: &[SuspectRecord]) -> impl Future<Output = Result<u32, SourceError>>;
}

/// What an instance reads from and writes to its platform.
#[derive(Debug)]
pub struct Sources<C, S, Q> {
    /// What operators write.
    pub operator: C,
    /// The list of backend servers.
    pub servers: S,
    /// The records of quarantined requests and segments.
    pub quarantine: Q,
}
