//! Where the router learns the configuration and the backend servers from.
//!
//! The adapter of a platform implements these; they translate, and decide nothing.

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

/// Follows the operators' configuration.
pub trait ConfigurationSource: 'static {
    /// Returns the newest configuration as soon as there is one that was not returned before, or
    /// `None` after `wait_ms`.
    fn next(&mut self, wait_ms: u64) -> impl Future<Output = Result<Option<Configuration>, SourceError>>;
}

/// Follows the list of backend servers.
pub trait ServerSource: 'static {
    /// Returns at once what has changed since the last call, or since `known_revision` if that is
    /// later: what lies before it was learned from a peer.
    fn poll(&mut self, known_revision: u64) -> impl Future<Output = Result<ServerUpdate, SourceError>>;
}
