//! What of the house style neither the formatter nor the linter checks.

use std::path::Path;
use std::path::PathBuf;

/// Returns every source file but generated ones.
fn sources() -> Vec<(PathBuf, String)> {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut found = Vec::new();
    collect(&root.join("crates"), &mut found);
    collect(&root.join("platform"), &mut found);
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
fn imports_stand_one_a_line_in_three_groups() {
    let mut faults = Vec::new();
    for (path, text) in sources() {
        let mut modules: Vec<&str> = text
            .lines()
            .filter_map(|line| line.trim_start_matches("pub(crate) ").strip_prefix("mod "))
            .map(|rest| rest.trim_end_matches(';').trim_end_matches(" {"))
            .collect();
        modules.sort_unstable();
        let mut last = 0;
        for (index, line) in text.lines().enumerate() {
            if !line.starts_with("use ") {
                continue;
            }
            if line.contains('{') || !line.ends_with(';') {
                faults.push(format!("{}:{}: more than one import", path.display(), index + 1));
            }
            let first = line
                .trim_start_matches("use ")
                .split(':')
                .next()
                .unwrap_or_default();
            let is_own = modules.binary_search(&first).is_ok();
            let group = if is_own { 2 } else { group_of(line) };
            if group < last {
                faults.push(format!("{}:{}: out of its group", path.display(), index + 1));
            }
            last = group;
        }
    }
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}

#[test]
fn nothing_on_the_request_path_is_dynamic() {
    for (path, text) in sources() {
        if path.to_string_lossy().contains("/traffic/") {
            assert!(!text.contains("dyn "), "{}", path.display());
        }
    }
}

#[test]
fn every_module_says_what_it_is_for() {
    for (path, text) in sources() {
        assert!(
            text.starts_with("//!"),
            "{} has no module comment",
            path.display()
        );
    }
}

#[test]
fn no_source_file_grows_past_its_one_job() {
    const LINES_MAX: usize = 600;
    for (path, text) in sources() {
        let lines = text.lines().count();
        assert!(
            lines <= LINES_MAX,
            "{} has {lines} lines; split it by job",
            path.display()
        );
    }
}
