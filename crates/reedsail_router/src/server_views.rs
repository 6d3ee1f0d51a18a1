//! The ids, addresses and software versions of the backend servers, by the dispatcher's server keys.
//!
//! The control thread owns the table and updates single servers. The traffic thread looks up one server for each
//! attempt.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::RwLock;

use reedsail_core::ServerKey;

/// The id, the address and the software version of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ServerView {
    pub(crate) id: Arc<str>,
    pub(crate) address: SocketAddr,
    /// The version of its software; empty if it is unknown.
    pub(crate) software_version: Arc<str>,
}

/// The listed servers. The lock is held for one lookup or one update, never across an await.
#[derive(Debug, Default)]
pub(crate) struct ServerViews(RwLock<HashMap<ServerKey, ServerView>>);

impl ServerViews {
    /// Returns a server, or `None` if it is no longer listed.
    pub(crate) fn get(&self, key: ServerKey) -> Option<ServerView> {
        let views = self.0.read().unwrap_or_else(PoisonError::into_inner);
        views.get(&key).cloned()
    }

    /// Returns whether no server is listed.
    pub(crate) fn is_empty(&self) -> bool {
        self.0.read().unwrap_or_else(PoisonError::into_inner).is_empty()
    }

    /// Inserts the new and changed servers of `updated`, and removes those of `removed`.
    pub(crate) fn update(&self, updated: Vec<(ServerKey, ServerView)>, removed: &[ServerKey]) {
        let mut views = self.0.write().unwrap_or_else(PoisonError::into_inner);
        for key in removed {
            views.remove(key);
        }
        views.extend(updated);
    }
}
