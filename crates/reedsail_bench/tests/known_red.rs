//! No test is passed over but those that KNOWN-RED.txt names, each with its cause.

use std::collections::BTreeSet;
use std::path::Path;
use std::path::PathBuf;

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn test_files(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            test_files(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
}

/// Returns the names of the tests that carry the attribute.
fn ignored_tests() -> BTreeSet<String> {
    // Written apart, so that this file does not count itself.
    let attribute = concat!("#[", "ignore");
    let mut files = Vec::new();
    for folder in ["crates", "platform"] {
        test_files(&root().join(folder), &mut files);
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
fn only_tests_that_are_known_to_fail_are_passed_over() {
    let listed = std::fs::read_to_string(root().join("KNOWN-RED.txt")).unwrap_or_default();
    let named: BTreeSet<String> = listed
        .lines()
        .filter_map(|line| line.split_once(" | "))
        .map(|(name, _)| name.to_owned())
        .collect();
    assert_eq!(ignored_tests(), named);
}
