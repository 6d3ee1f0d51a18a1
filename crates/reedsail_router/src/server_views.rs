//! The backend servers as requests need them, by the keys of the decisions.
//!
//! Owned by the control thread, which changes single servers; the traffic thread looks one up for each attempt.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::RwLock;

use reedsail_core::ServerKey;

/// A backend server as requests need it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ServerView {
    pub(crate) id: Arc<str>,
    pub(crate) address: SocketAddr,
}

/// The servers that are listed. The lock is held for a look-up or for the change of a list, never across an await.
#[derive(Debug, Default)]
pub(crate) struct ServerViews(RwLock<HashMap<ServerKey, ServerView>>);

impl ServerViews {
    /// Returns a server; `None` if it is not listed any more.
    pub(crate) fn get(&self, key: ServerKey) -> Option<ServerView> {
        let views = self.0.read().unwrap_or_else(PoisonError::into_inner);
        views.get(&key).cloned()
    }

    /// Tells whether no server is listed.
    pub(crate) fn is_empty(&self) -> bool {
        self.0.read().unwrap_or_else(PoisonError::into_inner).is_empty()
    }

    /// Takes over servers that are new or have changed, and takes out those that are removed.
    pub(crate) fn update(&self, updated: Vec<(ServerKey, ServerView)>, removed: &[ServerKey]) {
        let mut views = self.0.write().unwrap_or_else(PoisonError::into_inner);
        for key in removed {
            views.remove(key);
        }
        views.extend(updated);
    }
}
