//! The latest load report of each peer with its expiry time. An aggregator's report stands for all instances that it
//! sums up.
//!
//! Owns the reports. Their sums are in the tables of servers and of workspaces: an old report is subtracted there
//! before the next one is added.

use std::collections::HashMap;

use reedsail_core::NameHash;
use reedsail_core::TimeMs;

use crate::LoadReport;
use crate::fair_share::UsageTable;
use crate::server_table::FAILURE_RATE_ONE;
use crate::server_table::ServerTable;

#[derive(Clone, Debug)]
struct PeerReport {
    report: LoadReport,
    valid_until: TimeMs,
}

/// The reports by peer.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerReports {
    reports: HashMap<NameHash, PeerReport>,
}

impl PeerReports {
    /// Stores a report, which replaces the previous one of its peer.
    pub(crate) fn receive(
        &mut self,
        peer: NameHash,
        report: LoadReport,
        valid_until: TimeMs,
        servers: &mut ServerTable,
        usage: &mut UsageTable,
        now: TimeMs,
    ) {
        self.remove(peer, servers, usage);
        servers.add_peer(&report.servers, true);
        usage.add_peer(&report.workspaces, 1.0);
        for row in &report.servers {
            if let Some(key) = servers.key(row.server) {
                let rate = f64::from(row.failure_rate) / FAILURE_RATE_ONE;
                servers
                    .get_mut(key)
                    .health
                    .receive_failures(rate, now, valid_until);
                servers.get_mut(key).streams.receive(row.pause_ms, now);
                if row.is_down {
                    servers.record_down(key, false, now);
                }
                if row.is_backed_off {
                    servers.get_mut(key).backoff.record_peer_report(now);
                }
                if row.is_draining {
                    servers.record_draining(key, false);
                }
            }
        }
        self.reports.insert(peer, PeerReport { report, valid_until });
    }

    /// Drops a peer's report and subtracts it from the sums.
    pub(crate) fn remove(&mut self, peer: NameHash, servers: &mut ServerTable, usage: &mut UsageTable) {
        if let Some(old) = self.reports.remove(&peer) {
            servers.add_peer(&old.report.servers, false);
            usage.add_peer(&old.report.workspaces, -1.0);
        }
    }

    /// Drops reports that have expired.
    pub(crate) fn drop_expired(&mut self, servers: &mut ServerTable, usage: &mut UsageTable, now: TimeMs) {
        let expired: Vec<NameHash> = self
            .reports
            .iter()
            .filter(|(_, report)| report.valid_until <= now)
            .map(|(peer, _)| *peer)
            .collect();
        for peer in expired {
            self.remove(peer, servers, usage);
        }
    }

    /// Recomputes the load of the servers after a change of the list: rows of unknown servers had been skipped.
    pub(crate) fn recount(&self, servers: &mut ServerTable) {
        servers.clear_peers();
        for report in self.reports.values() {
            servers.add_peer(&report.report.servers, true);
        }
    }

    /// Returns the servers named in the reports, possibly with duplicates.
    pub(crate) fn servers(&self) -> impl Iterator<Item = NameHash> {
        let rows = self.reports.values().flat_map(|report| &report.report.servers);
        rows.map(|row| row.server)
    }

    /// Returns the number of peers with a valid report.
    pub(crate) fn count(&self) -> usize {
        self.reports.len()
    }
}
