//! Failures of a command and their exit codes.

use std::fmt;
use std::path::Path;
use std::process::ExitCode;

/// The reason why a command failed.
#[derive(Debug)]
pub(crate) enum Failure {
    /// The bundle has faults or was refused, or its signatures are missing or invalid.
    Refused(String),
    /// A file cannot be read or written, or the flags are invalid.
    Usage(String),
    /// The base is not the version in force, or a concurrent bundle was published first.
    Stale(String),
    /// The platform or an instance cannot be reached.
    Unreachable(String),
}

impl Failure {
    /// Returns the exit code that the help text documents.
    pub(crate) fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::Refused(_) => 1,
            Self::Usage(_) => 2,
            Self::Stale(_) => 3,
            Self::Unreachable(_) => 4,
        })
    }

    /// Returns a failure to read or write `file`.
    pub(crate) fn for_file(operation: &str, file: &Path, error: &dyn fmt::Display) -> Self {
        Self::Usage(format!("cannot {operation} {}: {error}", file.display()))
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
    std::fs::read_to_string(file).map_err(|error| Failure::for_file("read", file, &error))
}

/// Writes a text file.
pub(crate) fn write_file(file: &Path, text: &str) -> Result<(), Failure> {
    std::fs::write(file, text).map_err(|error| Failure::for_file("write", file, &error))
}
