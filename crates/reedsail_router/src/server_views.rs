//! The ids, addresses and software versions of the backend servers, by the dispatcher's server keys.
//!
//! The control thread owns the table and updates single servers. The traffic thread looks up one server for each
//! attempt.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::sync::RwLockReadGuard;

use reedsail_core::NameHash;
use reedsail_core::ServerKey;
use reedsail_dispatch::SoftwareVersion;

/// The id, the service, the address and the software version of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ServerView {
    pub(crate) id: Arc<str>,
    pub(crate) service: Arc<str>,
    pub(crate) address: SocketAddr,
    /// When it started, in milliseconds of Unix time by its own clock; `None` if its record does not say.
    pub(crate) born_ms: Option<u64>,
    /// The version of its software; empty if it is unknown.
    pub(crate) software_version: Arc<str>,
}

/// The listed servers, and the names behind the hashes of services and versions.
#[derive(Debug, Default)]
struct Views {
    servers: HashMap<ServerKey, ServerView>,
    names: HashMap<NameHash, Arc<str>>,
}

/// The listed servers. The lock is held for one lookup or one update, never across an await.
#[derive(Debug, Default)]
pub(crate) struct ServerViews(RwLock<Views>);

impl ServerViews {
    /// Returns a server, or `None` if it is no longer listed.
    pub(crate) fn get(&self, key: ServerKey) -> Option<ServerView> {
        self.read().servers.get(&key).cloned()
    }

    /// Returns the name of a service that has or had a server; empty if there was none.
    pub(crate) fn service_name(&self, service: NameHash) -> Arc<str> {
        let name = self.read().names.get(&service).cloned();
        name.unwrap_or_else(|| Arc::from(""))
    }

    /// Returns the name of a version that a server runs or ran.
    pub(crate) fn version_name(&self, version: SoftwareVersion) -> Option<Arc<str>> {
        self.read().names.get(&version.0).cloned()
    }

    fn read(&self) -> RwLockReadGuard<'_, Views> {
        self.0.read().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether no server is listed.
    pub(crate) fn is_empty(&self) -> bool {
        self.read().servers.is_empty()
    }

    /// Inserts the new and changed servers of `updated`, and removes those of `removed`.
    pub(crate) fn update(&self, updated: Vec<(ServerKey, ServerView)>, removed: &[ServerKey]) {
        let mut views = self.0.write().unwrap_or_else(PoisonError::into_inner);
        for key in removed {
            views.servers.remove(key);
        }
        for (_, view) in &updated {
            for name in [&view.service, &view.software_version] {
                views
                    .names
                    .entry(NameHash::of(name))
                    .or_insert_with(|| Arc::clone(name));
            }
        }
        views.servers.extend(updated);
    }
}
