//! The weights and limits of every workspace: one table for all services and allocators.

use reedsail_core::TableKey;
use reedsail_core::WorkspaceKey;

use crate::QueueLimits;

/// A workspace as the bundle in force describes it.
#[derive(Clone, Copy, Debug)]
pub struct WorkspaceSetup {
    /// The workspace.
    pub workspace: WorkspaceKey,
    /// Its weight.
    pub weight: f64,
    /// Its limits at one daemon.
    pub limits: QueueLimits,
}

/// Looks workspaces up by key; made once for each bundle and shared.
#[derive(Clone, Debug, Default)]
pub struct WorkspaceTable {
    entries: Vec<Option<WorkspaceSetup>>,
}

impl WorkspaceTable {
    /// Makes the table.
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

    /// Returns a workspace's weight; one that left the bundle while its requests run counts as one.
    pub fn weight(&self, workspace: WorkspaceKey) -> f64 {
        self.get(workspace).map_or(1.0, |setup| setup.weight)
    }

    /// Returns a workspace's limits at one daemon.
    pub fn limits(&self, workspace: WorkspaceKey) -> QueueLimits {
        self.get(workspace)
            .map_or_else(QueueLimits::default, |setup| setup.limits)
    }

    fn get(&self, workspace: WorkspaceKey) -> Option<&WorkspaceSetup> {
        self.entries.get(workspace.index())?.as_ref()
    }
}
