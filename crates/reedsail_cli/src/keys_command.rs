//! `reedsail keys`.

use std::path::Path;

use reedsail_bundle::SecretKey;

use crate::failure::Failure;
use crate::key_file::KeyFile;

/// Creates a key, and prints its `trusted_keys` entry for the settings of the instances.
pub(crate) fn new(name: &str, out: &Path) -> Result<(), Failure> {
    let is_allowed = |character: char| character.is_ascii_alphanumeric() || "-_.".contains(character);
    if name.is_empty() || name.len() > 64 || !name.chars().all(is_allowed) {
        return Err(Failure::Usage(format!(
            "invalid name `{name}`: use at most 64 letters, digits, `-`, `_` and `.`"
        )));
    }
    let file = KeyFile {
        name: name.to_owned(),
        key: SecretKey::generate(),
    };
    file.write_new(out)?;
    let public = hex::encode(file.key.public().0);
    println!("secret key of {name} written to {}", out.display());
    println!("add to `trusted_keys` in the settings of the instances, with the role of {name}:");
    println!("  - {{name: {name}, role: author, key: {public}}}");
    Ok(())
}
