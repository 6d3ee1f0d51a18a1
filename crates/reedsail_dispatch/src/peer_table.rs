//! The latest report of each peer, and how long it counts.

use std::collections::HashMap;

use reedsail_core::NameHash;
use reedsail_core::TimeMs;

use crate::LoadReport;
use crate::server_table::ServerTable;
use crate::usage::UsageTable;

#[derive(Clone, Debug)]
struct PeerReport {
    report: LoadReport,
    valid_until: TimeMs,
}

/// What peers reported; sums stand in the tables of servers and workspaces.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerTable {
    reports: HashMap<NameHash, PeerReport>,
}

impl PeerTable {
    /// Replaces a peer's report.
    pub(crate) fn hear(
        &mut self,
        peer: NameHash,
        report: LoadReport,
        valid_until: TimeMs,
        servers: &mut ServerTable,
        usage: &mut UsageTable,
        now: TimeMs,
    ) {
        self.forget(peer, servers, usage);
        servers.add_peer(&report.servers, true);
        usage.add_peer(&report.workspaces, 1.0);
        for row in &report.servers {
            if let Some(key) = servers.key(row.server) {
                let rate = f64::from(row.failure_rate) / 255.0;
                servers.get_mut(key).hear_failures(rate, now, valid_until);
            }
        }
        self.reports.insert(peer, PeerReport { report, valid_until });
    }

    /// Drops a peer's report.
    pub(crate) fn forget(&mut self, peer: NameHash, servers: &mut ServerTable, usage: &mut UsageTable) {
        if let Some(old) = self.reports.remove(&peer) {
            servers.add_peer(&old.report.servers, false);
            usage.add_peer(&old.report.workspaces, -1.0);
        }
    }

    /// Drops reports that no longer count.
    pub(crate) fn drop_lapsed(&mut self, servers: &mut ServerTable, usage: &mut UsageTable, now: TimeMs) {
        let lapsed: Vec<NameHash> = self
            .reports
            .iter()
            .filter(|(_, report)| report.valid_until <= now)
            .map(|(peer, _)| *peer)
            .collect();
        for peer in lapsed {
            self.forget(peer, servers, usage);
        }
    }

    /// Sums the reports up anew, after servers were added: rows of unknown servers had been skipped.
    pub(crate) fn recount(&self, servers: &mut ServerTable) {
        servers.clear_peers();
        for report in self.reports.values() {
            servers.add_peer(&report.report.servers, true);
        }
    }

    /// Returns how many peers' reports count.
    pub(crate) fn count(&self) -> usize {
        self.reports.len()
    }
}
