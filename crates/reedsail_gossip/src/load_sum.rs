//! Sums of load reports, and the subtraction of the receiver's own report from a sum.

use std::cmp::Reverse;
use std::collections::HashMap;

use reedsail_core::NameHash;
use reedsail_dispatch::LoadReport;
use reedsail_dispatch::ServerLoadRow;
use reedsail_dispatch::SuspectEndRow;
use reedsail_dispatch::SuspectKey;
use reedsail_dispatch::SuspectRow;
use reedsail_dispatch::WorkspaceUseRow;

/// Maximum number of rows of suspects in a sum, so that the sum fits one datagram.
const SUSPECTS_MAX: usize = 256;
/// Maximum number of ends of servers in these rows, for the same reason.
const SUSPECT_ENDS_MAX: usize = 512;

/// A sum of load reports, by backend server and by workspace. It contains no prefix rows, which are not amounts;
/// `PrefixRelay` relays those.
#[derive(Clone, Debug, Default)]
pub struct LoadSum {
    servers: HashMap<NameHash, ServerLoadRow>,
    workspaces: HashMap<NameHash, WorkspaceUseRow>,
    suspects: HashMap<SuspectKey, SuspectRow>,
}

impl LoadSum {
    /// Adds a report. The sum has the highest failure rate of the reports.
    pub fn add(&mut self, report: &LoadReport) {
        for row in &report.servers {
            let sum = self.servers.entry(row.server).or_insert(ServerLoadRow {
                server: row.server,
                ..ServerLoadRow::default()
            });
            sum.running = sum.running.saturating_add(row.running);
            sum.prefill_tokens = sum.prefill_tokens.saturating_add(row.prefill_tokens);
            sum.failure_rate = sum.failure_rate.max(row.failure_rate);
            sum.is_down |= row.is_down;
            sum.is_draining |= row.is_draining;
            sum.is_backed_off |= row.is_backed_off;
            sum.speed.add(row.speed, 1.0);
            sum.pause_ms = sum.pause_ms.max(row.pause_ms);
        }
        for row in &report.workspaces {
            let sum = self.workspaces.entry(row.workspace).or_insert(WorkspaceUseRow {
                workspace: row.workspace,
                ..WorkspaceUseRow::default()
            });
            sum.requested_cost += row.requested_cost;
            sum.sent_cost += row.sent_cost;
            sum.recent_prefill_tokens += row.recent_prefill_tokens;
            sum.recent_sent_cost += row.recent_sent_cost;
        }
        for row in &report.suspects {
            self.add_suspect(row);
        }
    }

    /// Adds a row of a suspect. Rows with server ends merge into a set of servers. If one row has ends and
    /// the other has an answer, the newer row counts.
    fn add_suspect(&mut self, row: &SuspectRow) {
        let Some(known) = self.suspects.get_mut(&row.key) else {
            self.suspects.insert(row.key, row.clone());
            return;
        };
        let seen_ms_ago = known.seen_ms_ago.min(row.seen_ms_ago);
        let answered_ms_ago = latest(known.answered_ms_ago, row.answered_ms_ago);
        let (stored, stored_ms_ago) = if is_stored_newer(row, known) {
            (row.stored, row.stored_ms_ago)
        } else {
            (known.stored, known.stored_ms_ago)
        };
        let was_answered = known.was_answered || row.was_answered;
        if known.ends.is_empty() == row.ends.is_empty() {
            for end in &row.ends {
                add_end(&mut known.ends, end);
            }
            known.changed_ms_ago = known.changed_ms_ago.min(row.changed_ms_ago);
        } else if row.changed_ms_ago < known.changed_ms_ago {
            *known = row.clone();
        }
        known.seen_ms_ago = seen_ms_ago;
        known.answered_ms_ago = answered_ms_ago;
        known.was_answered = was_answered;
        known.stored = stored;
        known.stored_ms_ago = stored_ms_ago;
    }

    /// Returns the sum as a report, with rows in the order of their names. Of more than `rows_max` servers the least
    /// loaded are left out, and of more than `rows_max` workspaces those with the least requested cost.
    pub fn report(&self, rows_max: usize) -> LoadReport {
        let mut servers: Vec<ServerLoadRow> = self.servers.values().copied().collect();
        keep_greatest(&mut servers, rows_max, |row| {
            let has_status = row.is_down || row.is_draining || row.is_backed_off;
            (has_status, row.failure_rate, row.prefill_tokens, row.running)
        });
        servers.sort_by_key(|row| row.server);
        let mut workspaces: Vec<WorkspaceUseRow> = self.workspaces.values().copied().collect();
        // Costs are not negative, so their bits sort in the order of their values.
        keep_greatest(&mut workspaces, rows_max, |row| row.requested_cost.to_bits());
        workspaces.sort_by_key(|row| row.workspace);
        let mut suspects: Vec<SuspectRow> = self.suspects.values().cloned().collect();
        SuspectRow::keep_strongest(&mut suspects, SUSPECTS_MAX);
        keep_ends(&mut suspects, SUSPECT_ENDS_MAX);
        LoadReport {
            servers,
            workspaces,
            prefixes: Vec::new(),
            suspects,
        }
    }
}

/// Keeps the first rows with at most `ends_max` ends in all.
fn keep_ends(rows: &mut Vec<SuspectRow>, ends_max: usize) {
    let mut ends = 0;
    let within = rows.iter().take_while(|row| {
        ends += row.ends.len();
        ends <= ends_max
    });
    let kept = within.count();
    rows.truncate(kept);
}

/// Adds the end of a server under a suspect, or what it says more than the known one.
fn add_end(ends: &mut Vec<SuspectEndRow>, end: &SuspectEndRow) {
    match ends.iter_mut().find(|known| known.server == end.server) {
        Some(known) => {
            known.answered_ms = known.answered_ms.max(end.answered_ms);
            known.beside = known.beside.or(end.beside);
            known.is_outlived |= end.is_outlived;
            known.is_early &= end.is_early;
        }
        None => ends.push(*end),
    }
}

/// Returns whether what a row says of the store is newer than what another says.
fn is_stored_newer(row: &SuspectRow, known: &SuspectRow) -> bool {
    let order = |row: &SuspectRow| (row.stored.era(), Reverse(row.stored_ms_ago));
    order(row) > order(known)
}

/// Returns the smaller of two ages that may not be known.
fn latest(first_ms_ago: Option<u32>, second_ms_ago: Option<u32>) -> Option<u32> {
    first_ms_ago.into_iter().chain(second_ms_ago).min()
}

/// Keeps the `rows_max` rows with the greatest keys.
fn keep_greatest<Row, Key: Ord>(rows: &mut Vec<Row>, rows_max: usize, key: impl Fn(&Row) -> Key) {
    if rows.len() > rows_max {
        rows.select_nth_unstable_by_key(rows_max, |row| Reverse(key(row)));
        rows.truncate(rows_max);
    }
}

/// Subtracts a report from a sum that includes it. An amount below zero becomes zero; it occurs when the sum includes
/// another report than the one that is subtracted.
pub(crate) fn subtract(sum: &mut LoadReport, report: &LoadReport) {
    let servers: HashMap<NameHash, ServerLoadRow> =
        report.servers.iter().map(|row| (row.server, *row)).collect();
    for row in &mut sum.servers {
        let Some(own) = servers.get(&row.server) else {
            continue;
        };
        row.running = row.running.saturating_sub(own.running);
        row.prefill_tokens = row.prefill_tokens.saturating_sub(own.prefill_tokens);
        row.speed.add(own.speed, -1.0);
        row.speed = row.speed.bounded();
    }
    let workspaces: HashMap<NameHash, WorkspaceUseRow> = report
        .workspaces
        .iter()
        .map(|row| (row.workspace, *row))
        .collect();
    for row in &mut sum.workspaces {
        let Some(own) = workspaces.get(&row.workspace) else {
            continue;
        };
        row.requested_cost = (row.requested_cost - own.requested_cost).max(0.0);
        row.sent_cost = (row.sent_cost - own.sent_cost).max(0.0);
        row.recent_sent_cost = (row.recent_sent_cost - own.recent_sent_cost).max(0.0);
        row.recent_prefill_tokens = (row.recent_prefill_tokens - own.recent_prefill_tokens).max(0.0);
    }
}
