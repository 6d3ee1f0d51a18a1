//! The copy of a configuration that peers fetch as JSON.
//!
//! Instances of other releases read and write it too, so the names and formats of its fields must not change.

use std::borrow::Cow;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::CallerAccess;
use crate::CallerLimits;
use crate::Configuration;
use crate::Route;
use crate::ServiceDefinition;
use crate::WorkspaceDefinition;

/// A configuration in the format for peers.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct ConfigurationCopy<'a> {
    version: u64,
    routes: Cow<'a, [Route]>,
    services: Cow<'a, [ServiceDefinition]>,
    /// Never left out, because earlier releases cannot read a copy without it.
    workspaces: Cow<'a, [WorkspaceDefinition]>,
    /// Whether requests need a key; `None` in a copy of an earlier release.
    requires_keys: Option<bool>,
    limits: CallerLimits,
}

/// A copy of an earlier release without workspaces: either requests need no key, or no key is valid.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("the copy of version {version} has no workspaces and does not say whether requests need a key")]
pub(crate) struct AmbiguousCopy {
    pub(crate) version: u64,
}

impl<'a> ConfigurationCopy<'a> {
    /// Copies a configuration.
    pub(crate) fn of(configuration: &'a Configuration) -> Self {
        Self {
            version: configuration.version,
            routes: Cow::Borrowed(&configuration.routes),
            services: Cow::Borrowed(&configuration.services),
            workspaces: Cow::Borrowed(configuration.access.workspaces()),
            requires_keys: Some(configuration.access.requires_keys()),
            limits: configuration.limits,
        }
    }

    /// Returns the configuration of the copy.
    ///
    /// # Errors
    /// [`AmbiguousCopy`] if the copy does not say whether requests need a key.
    pub(crate) fn into_configuration(self) -> Result<Configuration, AmbiguousCopy> {
        let version = self.version;
        let access = match (self.requires_keys, self.workspaces.is_empty()) {
            (None, true) => return Err(AmbiguousCopy { version }),
            (Some(false), true) => CallerAccess::Everyone,
            (Some(true), true) | (_, false) => CallerAccess::Workspaces(self.workspaces.into_owned()),
        };
        Ok(Configuration {
            version,
            routes: self.routes.into_owned(),
            services: self.services.into_owned(),
            access,
            limits: self.limits,
        })
    }
}
