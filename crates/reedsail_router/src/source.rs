//! Sources of the configuration and of the list of backend servers.
//!
//! The adapter of a platform implements these traits. An implementation translates, and makes no decisions.

use reedsail_core::StorePosition;
use reedsail_dispatch::EvacuationUpdate;
use reedsail_dispatch::ServerUpdate;
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
