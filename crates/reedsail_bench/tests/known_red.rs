//! Checks that the ignored tests are exactly those listed in KNOWN-RED.txt.

use std::collections::BTreeSet;
use std::path::Path;
use std::path::PathBuf;

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn collect_source_files(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            collect_source_files(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
}

/// Returns the names of the ignored tests.
fn ignored_tests() -> BTreeSet<String> {
    // The pattern is split, so that this file does not match it.
    let attribute = concat!("#[", "ignore");
    let mut files = Vec::new();
    for folder in ["crates", "platform"] {
        collect_source_files(&root().join(folder), &mut files);
    }
    let mut names = BTreeSet::new();
    for file in files {
        let text = std::fs::read_to_string(file).unwrap();
        for after in text.split(attribute).skip(1) {
            let name = after.split("fn ").nth(1).and_then(|rest| rest.split('(').next());
            names.insert(name.unwrap().to_owned());
        }
    }
    names
}

#[test]
fn only_known_failing_tests_are_ignored() {
    let list_text = std::fs::read_to_string(root().join("KNOWN-RED.txt")).unwrap_or_default();
    let listed: BTreeSet<String> = list_text
        .lines()
        .filter_map(|line| line.split_once(" | "))
        .map(|(name, _)| name.to_owned())
        .collect();
    assert_eq!(ignored_tests(), listed);
}
