//! Checks the style rules that neither the formatter nor the linter covers.

use std::path::Path;
use std::path::PathBuf;

/// Returns the path and text of every source file, except generated ones.
fn sources() -> Vec<(PathBuf, String)> {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut found = Vec::new();
    collect(&root.join("crates"), &mut found);
    collect(&root.join("platform"), &mut found);
    collect(&root.join("build"), &mut found);
    assert!(found.len() > 50, "{} sources", found.len());
    found
}

fn collect(folder: &Path, found: &mut Vec<(PathBuf, String)>) {
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            collect(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs")
            && !path.to_string_lossy().contains("_capnp")
        {
            let text = std::fs::read_to_string(&path).unwrap();
            found.push((path, text));
        }
    }
}

fn group_of(import: &str) -> u8 {
    let root = import.trim_start_matches("pub ").trim_start_matches("use ");
    let root = root.split([':', ';', ' ']).next().unwrap_or_default();
    match root {
        "std" | "core" | "alloc" => 0,
        "crate" | "super" | "self" => 2,
        _ => 1,
    }
}

#[test]
fn imports_are_one_per_line_in_three_groups() {
    let mut violations = Vec::new();
    for (path, text) in sources() {
        let mut modules: Vec<&str> = text
            .lines()
            .filter_map(|line| line.trim_start_matches("pub(crate) ").strip_prefix("mod "))
            .map(|rest| rest.trim_end_matches(';').trim_end_matches(" {"))
            .collect();
        modules.sort_unstable();
        let mut last_group = 0;
        for (index, line) in text.lines().enumerate() {
            if !line.starts_with("use ") {
                continue;
            }
            if line.contains('{') || !line.ends_with(';') {
                violations.push(format!(
                    "{}:{}: more than one import; split it into one per line",
                    path.display(),
                    index + 1
                ));
            }
            let first_segment = line
                .trim_start_matches("use ")
                .split(':')
                .next()
                .unwrap_or_default();
            let is_own_module = modules.binary_search(&first_segment).is_ok();
            let group = if is_own_module { 2 } else { group_of(line) };
            if group < last_group {
                violations.push(format!(
                    "{}:{}: import is out of order; group std, external, own",
                    path.display(),
                    index + 1
                ));
            }
            last_group = group;
        }
    }
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

#[test]
fn the_request_path_has_no_trait_objects() {
    for (path, text) in sources() {
        if path.to_string_lossy().contains("/traffic/") {
            assert!(!text.contains("dyn "), "{}", path.display());
        }
    }
}

#[test]
fn every_module_has_a_module_comment() {
    for (path, text) in sources() {
        assert!(
            text.starts_with("//!"),
            "{} has no module comment",
            path.display()
        );
    }
}

#[test]
fn no_source_file_exceeds_600_lines() {
    const LINES_MAX: usize = 600;
    for (path, text) in sources() {
        let lines = text.lines().count();
        assert!(
            lines <= LINES_MAX,
            "{} has {lines} lines; split it into modules",
            path.display()
        );
    }
}
