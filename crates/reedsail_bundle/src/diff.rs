//! Differences between two bundles, as text for the approver.

use std::collections::BTreeMap;

use crate::Bundle;

/// A difference between two bundles.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BundleChange {
    /// `service` or `workspace`.
    pub what: &'static str,
    /// The name of the service or workspace.
    pub name: String,
    /// A description of the difference.
    pub change: String,
}

/// Returns the differences between two bundles, services first.
pub fn diff_bundles(base: &Bundle, next: &Bundle) -> Vec<BundleChange> {
    let mut changes = Vec::new();
    diff_entries("service", &base.services, &next.services, &mut changes);
    diff_entries("workspace", &base.workspaces, &next.workspaces, &mut changes);
    changes
}

fn diff_entries<T: PartialEq + std::fmt::Debug>(
    what: &'static str,
    base: &BTreeMap<String, T>,
    next: &BTreeMap<String, T>,
    changes: &mut Vec<BundleChange>,
) {
    for (name, before) in base {
        let change = match next.get(name) {
            None => "removed".to_owned(),
            Some(after) if after != before => describe_change(before, after),
            Some(_) => continue,
        };
        let name = name.clone();
        changes.push(BundleChange { what, name, change });
    }
    for name in next.keys().filter(|name| !base.contains_key(*name)) {
        changes.push(BundleChange {
            what,
            name: name.clone(),
            change: "added".to_owned(),
        });
    }
}

/// Returns the lines of the debug representations that differ.
fn describe_change<T: std::fmt::Debug>(before: &T, after: &T) -> String {
    let (before, after) = (format!("{before:#?}"), format!("{after:#?}"));
    let before_lines: Vec<&str> = before.lines().map(str::trim).collect();
    let after_lines: Vec<&str> = after.lines().map(str::trim).collect();
    let removed_lines = before_lines.iter().filter(|line| !after_lines.contains(line));
    let added_lines = after_lines.iter().filter(|line| !before_lines.contains(line));
    let removed_lines: Vec<String> = removed_lines.map(|line| format!("-{line}")).collect();
    let added_lines: Vec<String> = added_lines.map(|line| format!("+{line}")).collect();
    [removed_lines, added_lines].concat().join(" ")
}
