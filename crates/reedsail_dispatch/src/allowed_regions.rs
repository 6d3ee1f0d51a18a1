//! Allowed regions: where a request may run, and where its prompt may be cached.
//!
//! **Rule.** A route and a workspace may each list allowed regions. If both do, a request runs only in
//! regions that are in both lists. A server whose region is unknown is in no region.
//!
//! **Why.** Operators bind data to regions by law or contract, so no load, failure or network partition is a
//! reason to leave them.
//!
//! **Tested by** `tests/allowed_regions.rs`.

use reedsail_core::NameHash;

/// The regions in which a request may run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum AllowedRegions {
    /// All regions, including unknown ones.
    #[default]
    Any,
    /// Only the listed regions. An empty list allows no region.
    Only(Vec<NameHash>),
}

impl AllowedRegions {
    /// Makes the allowed regions from a configured list; `None` means that no list is configured.
    pub fn from_names<Name: AsRef<str>>(names: Option<&[Name]>) -> Self {
        names.map_or(Self::Any, |names| {
            Self::Only(names.iter().map(|name| NameHash::of(name.as_ref())).collect())
        })
    }

    /// Returns the regions that both `self` and `other` allow.
    #[must_use]
    pub fn intersection(&self, other: &Self) -> Self {
        match (self, other) {
            (Self::Any, regions) | (regions, Self::Any) => regions.clone(),
            (Self::Only(these), Self::Only(others)) => {
                let in_both = these.iter().filter(|region| others.contains(region));
                Self::Only(in_both.copied().collect())
            }
        }
    }

    /// Returns whether a request may run in a region; `None` is an unknown region.
    pub fn allows(&self, region: Option<NameHash>) -> bool {
        match self {
            Self::Any => true,
            Self::Only(regions) => region.is_some_and(|region| regions.contains(&region)),
        }
    }

    /// Returns whether no region is allowed.
    pub fn is_empty(&self) -> bool {
        matches!(self, Self::Only(regions) if regions.is_empty())
    }
}
