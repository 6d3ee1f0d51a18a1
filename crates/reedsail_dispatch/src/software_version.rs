//! The version of a backend server's software, and which versions may serve a request.

use reedsail_core::NameHash;

/// The software version of an incarnation of a server. Versions have no order, and what servers of two versions write
/// does not fit together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SoftwareVersion(pub NameHash);

impl SoftwareVersion {
    /// Returns the version with this name; `None` for an empty name, which stands for an unknown version. An unknown
    /// version equals no other one, itself included.
    pub fn of(name: &str) -> Option<Self> {
        (!name.is_empty()).then(|| Self(NameHash::of(name)))
    }
}

/// Which software versions may serve a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum VersionDemand {
    /// Any version.
    #[default]
    Any,
    /// Any version. The request begins a stream that another server may continue later.
    Resumable,
    /// Only the version that began the stream which the request continues.
    Only(SoftwareVersion),
    /// Only this version, at which every stream of the service began. The stream that the request claims to continue is
    /// not known, so it has no precedence over a new one.
    OnlyUnverified(SoftwareVersion),
    /// No version: it is not known which version began the stream that the request continues.
    Unknown,
}

impl VersionDemand {
    /// Returns whether the version must be that of an earlier answer.
    pub fn is_bound(self) -> bool {
        match self {
            Self::Any | Self::Resumable => false,
            Self::Only(_) | Self::OnlyUnverified(_) | Self::Unknown => true,
        }
    }

    /// Returns whether the request is known to continue a stream.
    pub fn is_continuation(self) -> bool {
        matches!(self, Self::Only(_) | Self::Unknown)
    }

    /// Returns whether a server of a version may serve the request.
    pub(crate) fn allows(self, version: Option<SoftwareVersion>) -> bool {
        match self {
            Self::Any | Self::Resumable => true,
            Self::Only(required) | Self::OnlyUnverified(required) => version == Some(required),
            Self::Unknown => false,
        }
    }
}
