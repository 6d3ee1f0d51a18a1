//! Reads YAML documents strictly and collects every fault with its line and path.
//!
//! Settings and bundles share this crate, so that both report faults in the same form.

mod fault;
mod file;
mod mapping;
mod value;

pub use fault::Fault;
pub use fault::Faults;
pub use fault::render_faults;
pub use file::read_file;
pub use mapping::Mapping;
pub use value::Value;

/// Parses a document and passes its top-level mapping to `read`.
///
/// # Errors
/// Returns every fault, ordered by position. A document with any fault is rejected as a whole.
pub fn read_document<T>(
    text: &str,
    read: impl FnOnce(&mut Mapping<'_>) -> Option<T>,
) -> Result<T, Vec<Fault>> {
    let options = marked_yaml::LoaderOptions::default().error_on_duplicate_keys(true);
    let node = marked_yaml::parse_yaml_with_options(0, text, options)
        .map_err(|error| vec![Fault::syntax(&error)])?;
    let faults = Faults::default();
    let root = Value::root(&node, &faults);
    let outcome = root.mapping().and_then(|mut mapping| {
        let outcome = read(&mut mapping);
        mapping.close();
        outcome
    });
    let mut found = faults.take();
    match outcome {
        Some(document) if found.is_empty() => Ok(document),
        _ => {
            found.sort_by_key(|fault| (fault.line, fault.column));
            Err(found)
        }
    }
}
