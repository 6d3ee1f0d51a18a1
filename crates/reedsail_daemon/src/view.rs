//! The view of the bundle in force that traffic threads use. It is built once for each version and immutable.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use reedsail_bundle::Bundle;
use reedsail_bundle::Service;
use reedsail_bundle::ServiceKind;
use reedsail_bundle::Workspace;
use reedsail_core::Directory;
use reedsail_core::ServerKey;
use reedsail_core::ServiceKey;
use reedsail_core::TableKey;
use reedsail_core::WorkspaceKey;
use reedsail_scheduling::Digest;
use reedsail_scheduling::QueueLimits;
use reedsail_scheduling::ServerSetup;
use reedsail_scheduling::SharePolicy;
use reedsail_scheduling::WorkspaceSetup;
use reedsail_scheduling::WorkspaceTable;

use crate::service_cell::ServiceCell;

/// The parts of a backend server that requests need.
#[derive(Clone, Debug)]
pub(crate) struct ServerView {
    pub(crate) name: String,
    pub(crate) address: SocketAddr,
}

/// The parts of a service that requests need.
#[derive(Debug)]
pub(crate) struct ServiceView<P: SharePolicy> {
    pub(crate) name: String,
    pub(crate) service: Service,
    pub(crate) servers: HashMap<ServerKey, ServerView>,
    pub(crate) cell: Arc<ServiceCell<P>>,
}

/// The parts of a workspace that requests need.
#[derive(Clone, Debug)]
pub(crate) struct WorkspaceView {
    pub(crate) name: String,
    pub(crate) workspace: Workspace,
}

/// The bundle in force, indexed for lookups.
#[derive(Debug)]
pub(crate) struct View<P: SharePolicy> {
    /// Zero while no bundle is in force.
    pub(crate) version: u32,
    by_digest: HashMap<Digest, WorkspaceKey>,
    workspaces: HashMap<WorkspaceKey, WorkspaceView>,
    /// The weights and limits that every scheduler and allocator uses.
    pub(crate) table: Arc<WorkspaceTable>,
    models: HashMap<String, ServiceKey>,
    /// Path prefixes, longest first.
    prefixes: Vec<(String, ServiceKey)>,
    services: Vec<Option<Arc<ServiceView<P>>>>,
}

impl<P: SharePolicy> Default for View<P> {
    fn default() -> Self {
        Self {
            version: 0,
            by_digest: HashMap::new(),
            workspaces: HashMap::new(),
            table: Arc::default(),
            models: HashMap::new(),
            prefixes: Vec::new(),
            services: Vec::new(),
        }
    }
}

impl<P: SharePolicy> View<P> {
    /// Builds the view of a bundle. Services that are also in `before` keep their queues and slots.
    pub(crate) fn build(
        bundle: &Bundle,
        directory: &mut Directory,
        before: &Self,
        make_cell: impl Fn(&str) -> ServiceCell<P>,
    ) -> Self {
        let mut view = Self {
            version: bundle.version,
            ..Self::default()
        };
        for (name, workspace) in &bundle.workspaces {
            let key = directory.workspaces.intern(name);
            for digest in &workspace.key_digests {
                view.by_digest.insert(*digest, key);
            }
            let name = name.clone();
            let workspace = workspace.clone();
            view.workspaces.insert(key, WorkspaceView { name, workspace });
        }
        let setups = view.workspaces.iter();
        let table = WorkspaceTable::new(setups.map(|(key, view)| workspace_setup(*key, &view.workspace)));
        view.table = Arc::new(table);
        for (name, service) in &bundle.services {
            let key = directory.services.intern(name);
            let cell = match before.service(key) {
                Some(known) => Arc::clone(&known.cell),
                None => Arc::new(make_cell(name)),
            };
            view.add_service(key, name, service, directory, cell);
        }
        view.prefixes
            .sort_by_key(|(prefix, _)| std::cmp::Reverse(prefix.len()));
        view
    }

    fn add_service(
        &mut self,
        key: ServiceKey,
        name: &str,
        service: &Service,
        directory: &mut Directory,
        cell: Arc<ServiceCell<P>>,
    ) {
        for model in &service.models {
            self.models.insert(model.clone(), key);
        }
        if let (ServiceKind::Plain, Some(prefix)) = (service.kind, &service.path_prefix) {
            self.prefixes.push((prefix.clone(), key));
        }
        let mut servers = HashMap::new();
        let mut setups = Vec::new();
        for (server_name, server) in &service.servers {
            let server_key = directory.servers.intern(server_name);
            setups.push(ServerSetup {
                server: server_key,
                capacity: server.slots,
            });
            let view = ServerView {
                name: server_name.clone(),
                address: server.address,
            };
            servers.insert(server_key, view);
        }
        cell.configure(&setups, Arc::clone(&self.table));
        if self.services.len() <= key.index() {
            self.services.resize_with(key.index() + 1, || None);
        }
        self.services[key.index()] = Some(Arc::new(ServiceView {
            name: name.to_owned(),
            service: service.clone(),
            servers,
            cell,
        }));
    }

    pub(crate) fn identify(&self, digest: &Digest) -> Option<(WorkspaceKey, &WorkspaceView)> {
        let key = self.by_digest.get(digest)?;
        Some((*key, self.workspaces.get(key)?))
    }

    pub(crate) fn service(&self, key: ServiceKey) -> Option<&Arc<ServiceView<P>>> {
        self.services.get(key.index())?.as_ref()
    }

    pub(crate) fn service_of_model(&self, model: &str) -> Option<&Arc<ServiceView<P>>> {
        self.service(*self.models.get(model)?)
    }

    pub(crate) fn service_of_path(&self, path: &str) -> Option<&Arc<ServiceView<P>>> {
        let found = self
            .prefixes
            .iter()
            .find(|(prefix, _)| path.starts_with(prefix))?;
        self.service(found.1)
    }

    pub(crate) fn services(&self) -> impl Iterator<Item = (ServiceKey, &Arc<ServiceView<P>>)> {
        self.services
            .iter()
            .enumerate()
            .filter_map(|(index, service)| Some((ServiceKey::from_index(index), service.as_ref()?)))
    }

    pub(crate) fn workspaces(&self) -> impl Iterator<Item = (WorkspaceKey, &WorkspaceView)> {
        self.workspaces.iter().map(|(key, view)| (*key, view))
    }
}

fn workspace_setup(workspace: WorkspaceKey, settings: &Workspace) -> WorkspaceSetup {
    WorkspaceSetup {
        workspace,
        weight: settings.weight,
        limits: QueueLimits {
            queued_max: settings.limits.queued_max,
            queued_bytes_max: settings.limits.queued_bytes_max,
            running_max: settings.limits.running_max,
        },
    }
}
