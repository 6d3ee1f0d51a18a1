//! Which callers a configuration admits on the routes that are not anonymous.

use crate::WorkspaceDefinition;

/// The callers whose requests are served on the routes that are not anonymous.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerAccess {
    /// All callers: requests need no key.
    Everyone,
    /// The callers with a key of one of these workspaces. Without workspaces, no key is valid.
    Workspaces(Vec<WorkspaceDefinition>),
}

impl CallerAccess {
    /// Returns whether requests need a key.
    pub fn requires_keys(&self) -> bool {
        matches!(self, Self::Workspaces(_))
    }

    /// Returns the workspaces.
    pub fn workspaces(&self) -> &[WorkspaceDefinition] {
        match self {
            Self::Everyone => &[],
            Self::Workspaces(workspaces) => workspaces,
        }
    }
}

impl Default for CallerAccess {
    /// Admits no caller.
    fn default() -> Self {
        Self::Workspaces(Vec::new())
    }
}
