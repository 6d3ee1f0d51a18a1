//! Reads a whole file by a reader of its text, as programs do with their settings.

use std::path::Path;

use anyhow::Context as _;

use crate::Fault;
use crate::render_faults;

/// Reads a file and what its text says.
///
/// # Errors
/// Names the file that cannot be read, or every fault of its text.
pub fn read_file<T>(path: &Path, read: impl FnOnce(&str) -> Result<T, Vec<Fault>>) -> anyhow::Result<T> {
    let shown = path.display();
    let text = std::fs::read_to_string(path).with_context(|| format!("cannot read {shown}"))?;
    read(&text).map_err(|faults| anyhow::anyhow!("{shown}:\n{}", render_faults(&faults)))
}
