//! How a command fails, and the exit code that says so.

use std::fmt;
use std::path::Path;
use std::process::ExitCode;

/// Why a command failed.
#[derive(Debug)]
pub(crate) enum Failure {
    /// The bundle has faults, or its signatures are not in order.
    Refused(String),
    /// A file cannot be read or written, or the flags do not fit.
    Usage(String),
    /// The base is not the version in force, or a rival came first.
    Stale(String),
    /// The platform or a daemon cannot be reached.
    Unreachable(String),
}

impl Failure {
    /// Returns the documented exit code.
    pub(crate) fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::Refused(_) => 1,
            Self::Usage(_) => 2,
            Self::Stale(_) => 3,
            Self::Unreachable(_) => 4,
        })
    }

    /// Names the file that could not be read or written.
    pub(crate) fn file(what: &str, file: &Path, error: &dyn fmt::Display) -> Self {
        Self::Usage(format!("cannot {what} {}: {error}", file.display()))
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (Self::Refused(text) | Self::Usage(text) | Self::Stale(text) | Self::Unreachable(text)) = self;
        formatter.write_str(text)
    }
}

/// Reads a text file.
pub(crate) fn read_file(file: &Path) -> Result<String, Failure> {
    std::fs::read_to_string(file).map_err(|error| Failure::file("read", file, &error))
}

/// Writes a text file.
pub(crate) fn write_file(file: &Path, text: &str) -> Result<(), Failure> {
    std::fs::write(file, text).map_err(|error| Failure::file("write", file, &error))
}
