//! What a program was built from.

use std::fmt;

/// What a program was built from. [`build_info!`](crate::build_info!) creates it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BuildInfo {
    /// The release number of the package.
    pub version: &'static str,
    /// A digest of the compiled sources in hexadecimal, from `build/source_digest.rs`.
    pub sources: &'static str,
}

impl fmt::Display for BuildInfo {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} (sources {})", self.version, self.sources)
    }
}

/// Returns the [`BuildInfo`](crate::BuildInfo) of the package that uses this macro.
#[macro_export]
macro_rules! build_info {
    () => {
        $crate::BuildInfo {
            version: env!("CARGO_PKG_VERSION"),
            sources: env!("REEDSAIL_SOURCES"),
        }
    };
}
