//! Checks that every module, function, constant, log field, metric and test that docs/DECISIONS.md
//! names exists.

use std::path::PathBuf;

use reedsail_core::ErrorKind;
use reedsail_events::EventKind;

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn read(path: &str) -> String {
    std::fs::read_to_string(root().join(path)).unwrap_or_else(|error| panic!("{path}: {error}"))
}

/// Returns the names in backticks in a cell.
fn names(cell: &str) -> impl Iterator<Item = &str> {
    cell.split('`').skip(1).step_by(2)
}

/// Returns the cells of each row in the table of rules.
fn rows(page: &str) -> Vec<Vec<&str>> {
    let table = page.lines().skip_while(|line| !line.starts_with("| question"));
    let rows = table.skip(2).take_while(|line| line.starts_with('|'));
    rows.map(|row| row.trim_matches('|').split('|').map(str::trim).collect())
        .collect()
}

fn declares(code: &str, keyword: &str, name: &str) -> bool {
    let declaration = format!("{keyword} {name}");
    code.match_indices(&declaration).any(|(at, _)| {
        let next = code[at + declaration.len()..].chars().next();
        next.is_some_and(|next| !next.is_alphanumeric() && next != '_')
    })
}

#[test]
fn every_rule_is_in_the_module_that_the_page_names() {
    let page = read("docs/DECISIONS.md");
    let rows = rows(&page);
    assert!(rows.len() >= 15, "{} rows", rows.len());
    for row in rows {
        let module = names(row[1]).next().unwrap();
        let code = read(&format!("crates/reedsail_dispatch/src/{module}.rs"));
        for name in names(row[2]) {
            assert!(declares(&code, "fn", name), "{module} has no function {name}");
        }
        for name in names(row[3]) {
            assert!(declares(&code, "const", name), "{module} has no constant {name}");
        }
        for name in names(row[5]) {
            let test = if name.contains('/') {
                name.to_owned()
            } else {
                format!("crates/reedsail_dispatch/tests/{name}")
            };
            assert!(root().join(&test).exists(), "test file {test} does not exist");
        }
    }
}

#[test]
fn every_log_field_and_metric_that_the_page_names_is_written() {
    let page = read("docs/DECISIONS.md");
    let lines = read("crates/reedsail_router/tests/snapshots/golden__log_lines.snap");
    let metrics = read("crates/reedsail_router/src/metrics.rs");
    for row in rows(&page) {
        for name in names(row[4]) {
            let is_field = lines.split([' ', ',', '\n', '=']).any(|field| field == name);
            let is_kind = ErrorKind::ALL.iter().any(|kind| kind.name() == name);
            let is_metric = metrics.contains(&format!("\"{name}\""));
            assert!(
                is_field || is_kind || is_metric,
                "`{name}` is not a log field, error kind or metric"
            );
        }
        for number in row[4]
            .split([' ', ',', ':', ';'])
            .filter_map(|word| word.parse::<u16>().ok())
        {
            let is_known = EventKind::ALL.iter().any(|kind| kind.number() == number);
            assert!(is_known, "{number} is not the number of an event");
        }
    }
}

/// Each constant of a decision needs a comment with the reason for its value, for the engineer on call.
#[test]
fn every_constant_of_the_decisions_has_a_comment() {
    let mut paths = vec![root().join("crates/reedsail_dispatch/src")];
    let mut count = 0;
    while let Some(path) = paths.pop() {
        if path.is_dir() {
            let entries = std::fs::read_dir(path).unwrap();
            paths.extend(entries.map(|entry| entry.unwrap().path()));
            continue;
        }
        let code = std::fs::read_to_string(&path).unwrap();
        let lines: Vec<&str> = code.lines().map(str::trim).collect();
        for (index, line) in lines.iter().enumerate() {
            if line.starts_with("const ")
                || line.starts_with("pub const ")
                || line.starts_with("pub(crate) const ")
            {
                assert!(lines[index - 1].starts_with("///"), "{}: {line}", path.display());
                count += 1;
            }
        }
    }
    assert!(count > 40, "{count} constants");
}
