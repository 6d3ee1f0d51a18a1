//! Checks that the tables in docs/ and the code list the same entries, in both directions.

use std::collections::BTreeSet;
use std::path::PathBuf;

use reedsail_core::ErrorKind;
use reedsail_events::EventKind;

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn read(path: &str) -> String {
    std::fs::read_to_string(root().join(path)).unwrap_or_else(|error| panic!("{path}: {error}"))
}

/// Removes the backticks from a cell that is a single quoted word.
fn unquoted(cell: &str) -> String {
    let inner = cell.strip_prefix('`').and_then(|rest| rest.strip_suffix('`'));
    match inner {
        Some(inner) if !inner.contains('`') => inner.to_owned(),
        _ => cell.to_owned(),
    }
}

/// Returns the cells of every table row of a page, except separator lines.
fn table_rows(page: &str) -> Vec<Vec<String>> {
    let rows = page
        .lines()
        .filter(|line| line.starts_with('|') && !line.starts_with("|---"));
    let cells = |line: &str| -> Vec<String> {
        let inner = line.trim_matches('|');
        inner.split('|').map(|cell| unquoted(cell.trim())).collect()
    };
    rows.map(cells).collect()
}

#[test]
fn errors_page_matches_the_code() {
    let page = read("docs/ERRORS.md");
    let rows: BTreeSet<Vec<String>> = table_rows(&page)
        .into_iter()
        .filter(|row| row[0] != "kind")
        .map(|row| {
            vec![
                row[0].clone(),
                row[1].clone(),
                row[2].clone(),
                row[3].clone(),
                row[5].clone(),
            ]
        })
        .collect();
    let kinds = ErrorKind::ALL.iter().map(|kind| {
        let retry = kind
            .retry_after_ms()
            .map_or("-".to_owned(), |after_ms| after_ms.to_string());
        vec![
            kind.name().to_owned(),
            kind.status().to_string(),
            kind.ran().as_str().to_owned(),
            retry,
            kind.message().to_owned(),
        ]
    });
    assert_eq!(rows, kinds.collect());
}

#[test]
fn events_page_matches_the_code() {
    let page = read("docs/EVENTS.md");
    let rows: BTreeSet<Vec<String>> = table_rows(&page)
        .into_iter()
        .filter(|row| row[0] != "number")
        .collect();
    let kinds = EventKind::ALL.iter().map(|kind| {
        vec![
            kind.number().to_string(),
            kind.name().to_owned(),
            kind.level().as_str().to_lowercase(),
            kind.text().to_owned(),
        ]
    });
    assert_eq!(rows, kinds.collect());
    let numbers: BTreeSet<u16> = EventKind::ALL.iter().map(|kind| kind.number()).collect();
    assert_eq!(
        numbers.len(),
        EventKind::ALL.len(),
        "two events have the same number"
    );
}

#[test]
fn daemon_metrics_page_matches_the_code() {
    let page = read("docs/reedsaild/METRICS.md");
    let named: BTreeSet<String> = table_rows(&page).into_iter().map(|row| row[0].clone()).collect();
    let code = read("crates/reedsail_daemon/src/metrics.rs");
    let known: BTreeSet<String> = code
        .split('"')
        .filter(|text| text.starts_with("reedsail_"))
        .map(ToOwned::to_owned)
        .collect();
    let named: BTreeSet<String> = named
        .into_iter()
        .filter(|name| name.starts_with("reedsail_"))
        .collect();
    assert_eq!(named, known);
}

#[test]
fn daemon_settings_page_matches_the_code() {
    let page = read("docs/reedsaild/SETTINGS.md");
    let named: BTreeSet<String> = table_rows(&page)
        .into_iter()
        .filter(|row| row[0] != "key")
        .map(|row| row[0].rsplit('.').next().unwrap_or_default().to_owned())
        .collect();
    let code = read("crates/reedsail_daemon/src/settings_reader.rs");
    let code = code.split_whitespace().collect::<Vec<_>>().join(" ");
    let mut known = BTreeSet::new();
    for marker in ["required(\"", "optional(\"", "map, \"", "&mut mapping, \""] {
        for part in code.split(marker).skip(1) {
            known.extend(part.split('"').next().map(ToOwned::to_owned));
        }
    }
    for inner in [
        "listen", "limits", "control", "claims", "timeline", "name", "role", "key", "address",
    ] {
        known.remove(inner);
    }
    assert_eq!(named, known);
}

#[test]
fn faults_page_names_every_fault() {
    let page = read("docs/FAULTS.md");
    let code = read("crates/reedsail_bench/src/faults.rs");
    let body = code.split("Some(match text.as_str() {").nth(1).unwrap();
    let body = body.split("other => {").next().unwrap();
    let known: Vec<&str> = body
        .lines()
        .filter_map(|line| line.trim().strip_prefix('"')?.split_once("\" =>"))
        .map(|(name, _)| name)
        .collect();
    assert!(known.len() > 10);
    for name in known {
        assert!(
            page.contains(&format!("`{name}`")),
            "fault `{name}` is missing in docs/FAULTS.md"
        );
    }
}

/// Returns the first cells of the tables below a heading of docs/ROUTER.md.
fn router_rows(heading: &str, header: &str) -> BTreeSet<String> {
    let page = read("docs/ROUTER.md");
    let part = page.split(heading).nth(1).unwrap_or_default();
    let part = part.split("\n## ").next().unwrap_or_default();
    table_rows(part)
        .into_iter()
        .map(|row| row[0].clone())
        .filter(|name| name != header)
        .collect()
}

#[test]
fn router_page_names_every_metric() {
    let code = read("crates/reedsail_router/src/metrics.rs");
    let known: BTreeSet<String> = code
        .split('"')
        .filter(|text| text.starts_with("reedsail_router_"))
        .map(ToOwned::to_owned)
        .collect();
    assert_eq!(router_rows("## Metrics", "name"), known);
}

#[test]
fn router_page_names_every_setting() {
    let code = read("crates/reedsail_router/src/settings.rs");
    let code = code.split_whitespace().collect::<Vec<_>>().join(" ");
    let mut known = BTreeSet::new();
    for marker in ["required(\"", "optional(\"", "&mut map, \""] {
        for part in code.split(marker).skip(1) {
            known.extend(part.split('"').next().map(ToOwned::to_owned));
        }
    }
    for section in ["listen", "stop", "dispatch"] {
        known.remove(section);
    }
    let named: BTreeSet<String> = router_rows("## Settings", "key")
        .into_iter()
        .map(|key| key.rsplit('.').next().unwrap_or_default().to_owned())
        .collect();
    assert_eq!(named, known);
}
