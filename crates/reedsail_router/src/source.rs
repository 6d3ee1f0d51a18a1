//! Where the router learns the configuration and the backend servers from.
//!
//! The adapter of a platform implements these; they translate, and decide nothing.

use reedsail_core::StorePosition;
use reedsail_dispatch::EvacuationUpdate;
use reedsail_dispatch::ServerUpdate;
use thiserror::Error;

use crate::Configuration;

/// Why a source gave nothing.
#[derive(Debug, Error)]
pub enum SourceError {
    /// It did not answer, or refused.
    #[error("the store is out of reach: {0}")]
    Unreachable(String),
    /// It answered with what cannot be read.
    #[error("the store's record cannot be read: {0}")]
    Unreadable(String),
}

/// What the operators wrote since the last read.
#[derive(Debug, Default)]
pub struct OperatorUpdate {
    /// The newest configuration if there is one that was not returned before, or what is wrong with it.
    pub configuration: Option<Result<Configuration, SourceError>>,
    /// What was said of the evacuation of failure domains.
    pub evacuations: EvacuationUpdate,
}

impl OperatorUpdate {
    /// Tells whether the operators wrote nothing.
    pub fn is_empty(&self) -> bool {
        self.configuration.is_none() && self.evacuations == EvacuationUpdate::default()
    }
}

/// Follows what the operators write: the configuration, and evacuations of failure domains.
pub trait OperatorSource: 'static {
    /// Returns what the operators wrote as soon as there is something that was not returned before, or an
    /// update without anything after `wait_ms`.
    fn next(&mut self, wait_ms: u64) -> impl Future<Output = Result<OperatorUpdate, SourceError>>;
}

/// Follows the list of backend servers.
pub trait ServerSource: 'static {
    /// Returns at once what has changed since the last call, or since `known_revision` if that is
    /// later: what lies before it was learned from a peer.
    fn poll(
        &mut self,
        known_revision: StorePosition,
    ) -> impl Future<Output = Result<ServerUpdate, SourceError>>;
}
