//! Logs when the store begins a new era, and publishes the metrics of eras.
//!
//! Owns the last known position in the store's log. The server list and the evacuations hold the withheld records.

use reedsail_core::StorePosition;
use reedsail_dispatch::ServerList;
use reedsail_events::EventKind;

use super::evacuation_state::EvacuationState;
use super::messages::Origin;
use crate::shared::Shared;

/// The last known position in the store's log.
#[derive(Debug, Default)]
pub(crate) struct StoreEraWatch {
    last_position: StorePosition,
}

impl StoreEraWatch {
    /// Logs an era that has begun, with the origin of the information. The first era that an instance learns of is not
    /// logged: it began before the instance did.
    pub(crate) fn log_era_change<H>(&mut self, shared: &Shared<H>, servers: &ServerList, origin: Origin) {
        let before = std::mem::replace(&mut self.last_position, servers.revision());
        let after = self.last_position;
        shared.metrics.store.era.set(i64::from(after.era));
        if before.era == after.era || before == StorePosition::default() {
            return;
        }
        let fields = [
            ("before", before.to_string()),
            ("after", after.to_string()),
            ("origin", origin.name().to_owned()),
            ("kept_departures", servers.kept_departures().len().to_string()),
        ];
        shared.emit(EventKind::StoreEraBegan, &fields);
    }

    /// Publishes how many records of the store do not take effect yet.
    pub(crate) fn tick<H>(shared: &Shared<H>, servers: &ServerList, evacuations: &EvacuationState) {
        let withheld = servers.kept_departures().len() + evacuations.withheld();
        shared.metrics.store.records_withheld.set(withheld as i64);
    }
}
