//! The file that holds a person's secret key.

use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;

use reedsail_bundle::SecretKey;
use reedsail_document::read_document;
use reedsail_document::render_faults;

use crate::failure::Failure;
use crate::failure::read_file;

/// A person's name and key.
pub(crate) struct KeyFile {
    pub(crate) name: String,
    pub(crate) key: SecretKey,
}

impl KeyFile {
    /// Reads a key file.
    pub(crate) fn read(file: &Path) -> Result<Self, Failure> {
        let text = read_file(file)?;
        let document = read_document(&text, |top| {
            let name = top.required("name").and_then(|value| value.name());
            let secret = top.required("secret").and_then(|value| value.hex::<32>());
            Some((name?, secret?))
        });
        let (name, secret) = document.map_err(|faults| {
            let shown = file.display();
            Failure::Usage(format!(
                "{shown} is not a valid key file:\n{}",
                render_faults(&faults)
            ))
        })?;
        let key = SecretKey::from_bytes(secret);
        Ok(Self { name, key })
    }

    /// Writes a new key file that only its owner can read. Never overwrites a file.
    pub(crate) fn write_new(&self, file: &Path) -> Result<(), Failure> {
        let mut options = std::fs::OpenOptions::new();
        options.write(true).create_new(true).mode(0o600);
        let text = format!(
            "name: {}\nsecret: {}\n",
            self.name,
            hex::encode(self.key.to_bytes())
        );
        options
            .open(file)
            .and_then(|mut opened| opened.write_all(text.as_bytes()))
            .map_err(|error| Failure::for_file("write", file, &error))
    }
}
