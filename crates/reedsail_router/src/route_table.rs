//! Lookups in the configuration in force. A table is built once for each version and never changes.

use std::collections::HashMap;
use std::sync::Arc;

use reedsail_core::NameHash;
use reedsail_dispatch::AllowedRegions;
use reedsail_dispatch::Priority;

use crate::Configuration;
use crate::Route;

/// The name of a workspace and its hash.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct WorkspaceEntry {
    pub(crate) name: String,
    pub(crate) hash: NameHash,
    /// The priority of its requests; `None` for that of the route.
    pub(crate) priority: Option<Priority>,
}

/// The identity of a request's caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CallerIdentity {
    /// The key belongs to this workspace.
    Workspace(Arc<WorkspaceEntry>),
    /// The route needs no key.
    Anonymous,
    /// The key is missing, or belongs to no workspace.
    Unknown,
}

/// Lookup tables of one configuration.
#[derive(Debug, Default)]
pub(crate) struct RouteTable {
    pub(crate) configuration: Configuration,
    /// Routes by host, sorted by descending prefix length.
    by_host: HashMap<String, Vec<Arc<Route>>>,
    by_key: HashMap<String, Arc<WorkspaceEntry>>,
    by_hash: HashMap<NameHash, Arc<WorkspaceEntry>>,
    /// Allowed regions by route name. Routes without a restriction are absent.
    regions_by_route: HashMap<String, AllowedRegions>,
    /// Allowed regions by workspace. Workspaces without a restriction are absent.
    regions_by_workspace: HashMap<NameHash, AllowedRegions>,
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
        for workspace in configuration.access.workspaces() {
            let entry = Arc::new(WorkspaceEntry {
                name: workspace.name.clone(),
                hash: NameHash::of(&workspace.name),
                priority: workspace.priority.map(Priority),
            });
            by_hash.insert(entry.hash, Arc::clone(&entry));
            for key in &workspace.keys {
                by_key.insert(key.clone(), Arc::clone(&entry));
            }
        }
        let regions_by_route = named_regions(configuration.routes.iter(), |route| {
            (route.name.clone(), route.allowed_regions.as_deref())
        });
        let regions_by_workspace = named_regions(configuration.access.workspaces().iter(), |workspace| {
            (
                NameHash::of(&workspace.name),
                workspace.allowed_regions.as_deref(),
            )
        });
        Self {
            configuration,
            by_host,
            by_key,
            by_hash,
            regions_by_route,
            regions_by_workspace,
        }
    }

    /// Returns the name of a workspace of this configuration.
    pub(crate) fn workspace_name(&self, hash: NameHash) -> Option<&str> {
        self.by_hash.get(&hash).map(|workspace| workspace.name.as_str())
    }

    /// Returns the version of the configuration, or zero if none is in force.
    pub(crate) fn version(&self) -> u64 {
        self.configuration.version
    }

    /// Returns the route of the host whose prefix is the longest that matches the path.
    pub(crate) fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self
            .by_host
            .get(name)
            .or_else(|| self.by_host.get(&name.to_ascii_lowercase()))?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Returns the regions where requests of a route and a workspace may run. A route or workspace that is absent from
    /// this configuration adds no restriction.
    pub(crate) fn allowed_regions(&self, route: &Route, workspace: Option<NameHash>) -> AllowedRegions {
        let route_regions = self.regions_by_route.get(&route.name);
        let workspace_regions = workspace.and_then(|workspace| self.regions_by_workspace.get(&workspace));
        let named = route_regions.into_iter().chain(workspace_regions);
        named.fold(AllowedRegions::Any, |regions, other| regions.intersection(other))
    }

    /// Returns the workspace that owns a key.
    pub(crate) fn workspace(&self, key: &str) -> Option<&Arc<WorkspaceEntry>> {
        self.by_key.get(key)
    }

    /// Returns the identity of a caller that sent this key on the route.
    pub(crate) fn identify(&self, route: &Route, key: Option<&str>) -> CallerIdentity {
        if let Some(workspace) = key.and_then(|key| self.workspace(key)) {
            return CallerIdentity::Workspace(Arc::clone(workspace));
        }
        if route.is_anonymous || !self.configuration.access.requires_keys() {
            return CallerIdentity::Anonymous;
        }
        CallerIdentity::Unknown
    }
}

/// Collects the allowed regions of the entries that restrict them.
fn named_regions<'a, Entry: 'a, Key: Eq + std::hash::Hash>(
    entries: impl Iterator<Item = &'a Entry>,
    key_and_regions: impl Fn(&'a Entry) -> (Key, Option<&'a [String]>),
) -> HashMap<Key, AllowedRegions> {
    let named = entries.filter_map(|entry| {
        let (key, names) = key_and_regions(entry);
        Some((key, AllowedRegions::from_names(Some(names?))))
    });
    named.collect()
}
