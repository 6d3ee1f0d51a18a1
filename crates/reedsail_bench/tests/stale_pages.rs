//! Checks that everything the pages name exists in the tree: paths, links, and `snake_case` tests or
//! `CONSTANTS` in backticks. Incidents and findings describe past states and are skipped.

use std::collections::BTreeSet;
use std::path::Component;
use std::path::Path;
use std::path::PathBuf;

/// The first folders of the paths that are checked.
const ROOTS: &[&str] = &[
    "crates/",
    "platform/",
    "docs/",
    "days/",
    "deploy/",
    "soak/",
    "traces/",
];
/// A lower-case name with at least this many words is checked as a name in the code.
const CODE_NAME_WORDS_MIN: usize = 4;

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Collects the files below a folder, as paths relative to the root.
fn collect(folder: &Path, found: &mut BTreeSet<String>) {
    for entry in std::fs::read_dir(root().join(folder)).unwrap() {
        let entry = entry.unwrap();
        let name = entry.file_name().into_string().unwrap();
        if ["target", ".git", "journal"].contains(&name.as_str()) {
            continue;
        }
        let path = folder.join(&name);
        if entry.file_type().unwrap().is_dir() {
            collect(&path, found);
        } else {
            found.insert(path.to_string_lossy().into_owned());
        }
    }
}

fn tree() -> BTreeSet<String> {
    let mut found = BTreeSet::new();
    collect(Path::new(""), &mut found);
    found
}

fn exists(tree: &BTreeSet<String>, path: &str) -> bool {
    tree.range(path.to_owned()..)
        .next()
        .is_some_and(|first| first.starts_with(path))
}

fn is_path_character(letter: char) -> bool {
    letter.is_ascii_alphanumeric() || "_./-".contains(letter)
}

/// Returns the paths in a line.
fn paths(line: &str) -> Vec<&str> {
    let words = line.split(|letter| !is_path_character(letter));
    words
        .filter_map(|word| {
            let root_folder = ROOTS.iter().find(|root_folder| word.starts_with(**root_folder))?;
            let path = word.trim_end_matches(['.', '-', '/']);
            (path.len() > root_folder.len()).then_some(path)
        })
        .collect()
}

/// Returns the link targets in a line, as paths relative to the root.
fn links(page: &str, line: &str) -> Vec<String> {
    let targets = line.split("](").skip(1).filter_map(|rest| rest.split(')').next());
    targets
        .map(|target| target.split('#').next().unwrap_or_default())
        .filter(|target| !target.is_empty() && !target.contains(':'))
        .map(|target| normalised(&Path::new(page).parent().unwrap().join(target)))
        .collect()
}

fn normalised(path: &Path) -> String {
    let mut parts = PathBuf::new();
    for component in path.components() {
        match component {
            Component::ParentDir => drop(parts.pop()),
            Component::CurDir => {}
            other => parts.push(other),
        }
    }
    parts.to_string_lossy().into_owned()
}

/// Returns the names in backticks that look like tests or constants. An abbreviated name ends with an
/// ellipsis.
fn names(line: &str) -> Vec<&str> {
    let quoted = line.split('`').skip(1).step_by(2);
    quoted
        .map(|name| name.trim_end_matches('…').trim_end_matches('_'))
        .filter(|name| is_constant(name) || is_long_snake_case(name))
        .collect()
}

fn is_constant(name: &str) -> bool {
    let is_upper = |letter: char| letter.is_ascii_uppercase() || letter.is_ascii_digit() || letter == '_';
    name.contains('_')
        && name.starts_with(|letter: char| letter.is_ascii_uppercase())
        && name.chars().all(is_upper)
}

fn is_long_snake_case(name: &str) -> bool {
    let is_lower = |letter: char| letter.is_ascii_lowercase() || letter.is_ascii_digit() || letter == '_';
    name.chars().all(is_lower) && name.split('_').count() >= CODE_NAME_WORDS_MIN
}

#[test]
fn pages_name_only_existing_paths_and_names() {
    let tree = tree();
    let is_code = |path: &&String| {
        let endings = [".rs", ".toml", ".capnp", ".py", ".yaml", ".sh"];
        endings.iter().any(|ending| path.ends_with(ending)) || *path == ".ci/run"
    };
    let code: String = tree
        .iter()
        .filter(is_code)
        .map(|path| std::fs::read_to_string(root().join(path)).unwrap())
        .collect();
    let is_page = |path: &&String| Path::new(path).extension().is_some_and(|ending| ending == "md");
    let is_dated = |path: &str| path.contains("incidents/") || path.ends_with("FINDINGS.md");
    let pages = tree.iter().filter(is_page).filter(|path| !is_dated(path));
    let mut violations = Vec::new();
    for page in pages {
        let text = std::fs::read_to_string(root().join(page)).unwrap();
        for (index, line) in text.lines().enumerate() {
            let place = format!("{page}:{}", index + 1);
            let missing = paths(line).into_iter().filter(|path| !exists(&tree, path));
            violations.extend(missing.map(|path| format!("{place}: path {path}")));
            let broken = links(page, line).into_iter().filter(|link| !exists(&tree, link));
            violations.extend(broken.map(|link| format!("{place}: link {link}")));
            let unknown = names(line).into_iter().filter(|name| !code.contains(name));
            violations.extend(unknown.map(|name| format!("{place}: name {name}")));
        }
    }
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}
