//! A fault in a document: its position, what is wrong, and what is allowed.

use std::cell::RefCell;
use std::fmt;

use marked_yaml::LoadError;
use marked_yaml::Marker;

/// A fault in a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The line, starting at one; zero if unknown.
    pub line: usize,
    /// The column, starting at one; zero if unknown.
    pub column: usize,
    /// The path of keys and indices to the value.
    pub path: String,
    /// What is wrong and what is allowed.
    pub message: String,
}

impl Fault {
    pub(crate) fn syntax(error: &LoadError) -> Self {
        let marker = match error {
            LoadError::TopLevelMustBeMapping(marker)
            | LoadError::TopLevelMustBeSequence(marker)
            | LoadError::UnexpectedAnchor(marker)
            | LoadError::MappingKeyMustBeScalar(marker)
            | LoadError::UnexpectedTag(marker)
            | LoadError::ScanError(marker, _) => Some(*marker),
            LoadError::DuplicateKey(keys) => keys.key.span().start().copied(),
        };
        let message = match error {
            LoadError::DuplicateKey(keys) => format!("duplicate key `{}`; remove one", keys.key.as_str()),
            other => format!("invalid YAML: {other}"),
        };
        Self::at(marker.as_ref(), String::new(), message)
    }

    pub(crate) fn at(marker: Option<&Marker>, path: String, message: String) -> Self {
        Self {
            line: marker.map_or(0, Marker::line),
            column: marker.map_or(0, Marker::column),
            path,
            message,
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "line {}, column {}: ", self.line, self.column)?;
        if !self.path.is_empty() {
            write!(formatter, "`{}`: ", self.path)?;
        }
        write!(formatter, "{}", self.message)
    }
}

/// Returns the faults as text, one per line.
pub fn render_faults(faults: &[Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

/// Collects faults while a document is read.
#[derive(Debug, Default)]
pub struct Faults(RefCell<Vec<Fault>>);

impl Faults {
    pub(crate) fn add(&self, fault: Fault) {
        self.0.borrow_mut().push(fault);
    }

    pub(crate) fn take(&self) -> Vec<Fault> {
        self.0.take()
    }
}
