//! `reedsail bundle new`, `check` and `diff`.

use std::path::Path;

use reedsail_bundle::Bundle;
use reedsail_bundle::diff_bundles;
use reedsail_bundle::read_bundle;
use reedsail_document::render_faults;
use serde_json::json;

use crate::failure::Failure;
use crate::failure::read_file;
use crate::failure::write_file;
use crate::table::render_table;

/// The example bundle. It passes `reedsail bundle check`.
const TEMPLATE: &str = "\
# A bundle contains every setting that operators choose. docs/BUNDLES.md explains each key.
version: 1
services:
  - name: assistant-llm
    kind: model            # or `plain`
    cost_unit: tokens      # or `requests`, `milliseconds`
    models: [hut-writer]
    servers:
      - {name: llm-1, failure_domain: hall-a, address: '127.0.0.1:9001', slots: 16}
  - name: booking-api
    kind: plain
    cost_unit: requests
    path_prefix: /booking/
    calls:                 # the first matching rule applies
      - {method: POST, path_prefix: /booking/deposits, repeat: never, key: required}
    servers:
      - {name: booking-1, failure_domain: hall-a, address: '127.0.0.1:9101', slots: 32}
workspaces:
  - name: labska
    weight: 1
    default_class: interactive
    # The SHA-256 digests of the callers' keys, never the keys themselves.
    key_digests: [0000000000000000000000000000000000000000000000000000000000000000]
    limits: {queued_max: 1024}
";

/// Writes the example bundle. Never overwrites a file.
pub(crate) fn new(file: &Path) -> Result<(), Failure> {
    if file.exists() {
        return Err(Failure::Usage(format!(
            "{} already exists; choose another name",
            file.display()
        )));
    }
    write_file(file, TEMPLATE)?;
    println!(
        "{} written; edit it, then run `reedsail bundle check`",
        file.display()
    );
    Ok(())
}

/// Reads a bundle, or returns a failure that lists every fault.
pub(crate) fn read_checked(file: &Path) -> Result<(String, Bundle), Failure> {
    let text = read_file(file)?;
    match read_bundle(&text) {
        Ok(bundle) => Ok((text, bundle)),
        Err(faults) => Err(Failure::Refused(format!(
            "{} has {} faults:\n{}",
            file.display(),
            faults.len(),
            render_faults(&faults)
        ))),
    }
}

/// Checks a bundle and prints the result.
pub(crate) fn check(file: &Path, as_json: bool) -> Result<(), Failure> {
    if as_json {
        let faults = read_bundle(&read_file(file)?).err().unwrap_or_default();
        let rows: Vec<_> = faults
            .iter()
            .map(|fault| {
                json!({
                    "line": fault.line,
                    "column": fault.column,
                    "path": fault.path,
                    "message": fault.message,
                })
            })
            .collect();
        println!("{}", json!({ "valid": faults.is_empty(), "faults": rows }));
        if faults.is_empty() {
            return Ok(());
        }
        return Err(Failure::Refused(format!(
            "{} has {} faults",
            file.display(),
            faults.len()
        )));
    }
    let (_, bundle) = read_checked(file)?;
    println!(
        "{}: version {}, {} services, {} workspaces, no faults",
        file.display(),
        bundle.version,
        bundle.services.len(),
        bundle.workspaces.len()
    );
    Ok(())
}

/// Lists the changes from one bundle to another.
pub(crate) fn diff(base: &Path, file: &Path, as_json: bool) -> Result<(), Failure> {
    let (_, base) = read_checked(base)?;
    let (_, next) = read_checked(file)?;
    let changes = diff_bundles(&base, &next);
    if as_json {
        let rows: Vec<_> = changes
            .iter()
            .map(|change| json!({ "what": change.what, "name": change.name, "change": change.change }))
            .collect();
        println!(
            "{}",
            json!({ "base": base.version, "version": next.version, "changes": rows })
        );
        return Ok(());
    }
    println!("version {} to {}", base.version, next.version);
    let rows: Vec<Vec<String>> = changes
        .into_iter()
        .map(|change| vec![change.what.to_owned(), change.name, change.change])
        .collect();
    println!("{}", render_table(&["what", "name", "change"], &rows));
    Ok(())
}
