//! Reads and parses a file, such as the settings of a program.

use std::path::Path;

use anyhow::Context as _;

use crate::Fault;
use crate::render_faults;

/// Reads a file and parses its text with `parse`.
///
/// # Errors
/// Names the file that cannot be read, or every fault in its text.
pub fn read_file<T>(path: &Path, parse: impl FnOnce(&str) -> Result<T, Vec<Fault>>) -> anyhow::Result<T> {
    let shown = path.display();
    let text = std::fs::read_to_string(path).with_context(|| format!("cannot read {shown}"))?;
    parse(&text).map_err(|faults| anyhow::anyhow!("{shown}:\n{}", render_faults(&faults)))
}
