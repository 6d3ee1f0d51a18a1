//! Look-ups over the configuration in force: built once for each version, never changed.

use std::collections::HashMap;
use std::sync::Arc;

use reedsail_core::NameHash;

use crate::Configuration;
use crate::Route;

/// A workspace as requests need it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct WorkspaceEntry {
    pub(crate) name: String,
    pub(crate) hash: NameHash,
}

/// The workspace that a request counts against.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Identity {
    /// A workspace's key was sent.
    Workspace(Arc<WorkspaceEntry>),
    /// The route needs no key.
    Anonymous,
    /// The key is missing, or nobody's.
    Unknown,
}

/// Look-ups over one configuration.
#[derive(Debug, Default)]
pub(crate) struct RouteTable {
    pub(crate) configuration: Configuration,
    /// Routes by host, the longest prefix first.
    by_host: HashMap<String, Vec<Arc<Route>>>,
    by_key: HashMap<String, Arc<WorkspaceEntry>>,
    by_hash: HashMap<NameHash, Arc<WorkspaceEntry>>,
}

impl RouteTable {
    pub(crate) fn new(configuration: Configuration) -> Self {
        let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in &configuration.routes {
            let host = by_host.entry(route.host.to_ascii_lowercase()).or_default();
            host.push(Arc::new(route.clone()));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let mut by_key = HashMap::new();
        let mut by_hash = HashMap::new();
        for workspace in &configuration.workspaces {
            let entry = Arc::new(WorkspaceEntry {
                name: workspace.name.clone(),
                hash: NameHash::of(&workspace.name),
            });
            by_hash.insert(entry.hash, Arc::clone(&entry));
            for key in &workspace.keys {
                by_key.insert(key.clone(), Arc::clone(&entry));
            }
        }
        Self {
            configuration,
            by_host,
            by_key,
            by_hash,
        }
    }

    /// Returns the name of a workspace of this configuration.
    pub(crate) fn workspace_name(&self, hash: NameHash) -> Option<&str> {
        self.by_hash.get(&hash).map(|workspace| workspace.name.as_str())
    }

    /// Returns the version; zero while none is in force.
    pub(crate) fn version(&self) -> u64 {
        self.configuration.version
    }

    /// Finds the route of the host with the longest prefix of the path.
    pub(crate) fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self
            .by_host
            .get(name)
            .or_else(|| self.by_host.get(&name.to_ascii_lowercase()))?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Finds the workspace that has a key.
    pub(crate) fn workspace(&self, key: &str) -> Option<&Arc<WorkspaceEntry>> {
        self.by_key.get(key)
    }

    /// Finds whom a request of the route counts against.
    pub(crate) fn identify(&self, route: &Route, key: Option<&str>) -> Identity {
        if let Some(workspace) = key.and_then(|key| self.workspace(key)) {
            return Identity::Workspace(Arc::clone(workspace));
        }
        if route.is_anonymous || self.configuration.workspaces.is_empty() {
            return Identity::Anonymous;
        }
        Identity::Unknown
    }
}
