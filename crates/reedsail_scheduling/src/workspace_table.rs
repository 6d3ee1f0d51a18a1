//! The weights and limits of all workspaces: one table for all services and allocators.

use reedsail_core::TableKey;
use reedsail_core::WorkspaceKey;

use crate::QueueLimits;

/// A workspace's configuration in the bundle in force.
#[derive(Clone, Copy, Debug)]
pub struct WorkspaceSetup {
    /// The workspace.
    pub workspace: WorkspaceKey,
    /// Its weight.
    pub weight: f64,
    /// Its limits at one instance.
    pub limits: QueueLimits,
}

/// Looks up workspaces by key; built once per bundle and shared.
#[derive(Clone, Debug, Default)]
pub struct WorkspaceTable {
    entries: Vec<Option<WorkspaceSetup>>,
}

impl WorkspaceTable {
    /// Creates the table.
    pub fn new(setups: impl IntoIterator<Item = WorkspaceSetup>) -> Self {
        let mut entries: Vec<Option<WorkspaceSetup>> = Vec::new();
        for setup in setups {
            let index = setup.workspace.index();
            if entries.len() <= index {
                entries.resize(index + 1, None);
            }
            entries[index] = Some(setup);
        }
        Self { entries }
    }

    /// Returns a workspace's weight; the weight is one for a workspace that was removed from the bundle while
    /// its requests run.
    pub fn weight(&self, workspace: WorkspaceKey) -> f64 {
        self.get(workspace).map_or(1.0, |setup| setup.weight)
    }

    /// Returns a workspace's limits at one instance.
    pub fn limits(&self, workspace: WorkspaceKey) -> QueueLimits {
        self.get(workspace)
            .map_or_else(QueueLimits::default, |setup| setup.limits)
    }

    fn get(&self, workspace: WorkspaceKey) -> Option<&WorkspaceSetup> {
        self.entries.get(workspace.index())?.as_ref()
    }
}
