//! The signatures of a bundle, stored in a file next to it until it is published.

use std::path::Path;
use std::path::PathBuf;

use reedsail_bundle::SignedHead;

use crate::failure::Failure;
use crate::failure::read_file;
use crate::failure::write_file;

/// Returns the path of a bundle's signature file.
pub(crate) fn signed_path(bundle: &Path) -> PathBuf {
    let mut name = bundle.as_os_str().to_owned();
    name.push(".signed.json");
    PathBuf::from(name)
}

/// Reads the signatures of a bundle, and checks that they match its current content.
pub(crate) fn read_signed(bundle: &Path, text: &str) -> Result<SignedHead, Failure> {
    let path = signed_path(bundle);
    let head: SignedHead = serde_json::from_str(&read_file(&path)?)
        .map_err(|error| Failure::Usage(format!("invalid signature file {}: {error}", path.display())))?;
    if head.digest != hex::encode(reedsail_bundle::digest_of(text)) {
        return Err(Failure::Refused(format!(
            "{} was changed after it was signed; sign it again",
            bundle.display()
        )));
    }
    Ok(head)
}

/// Writes the signatures of a bundle.
pub(crate) fn write_signed(bundle: &Path, head: &SignedHead) -> Result<(), Failure> {
    let text = serde_json::to_string_pretty(head).map_err(|error| Failure::Usage(error.to_string()))?;
    write_file(&signed_path(bundle), &(text + "\n"))
}
