//! The era of the store, as the list of backend servers knows it: what is logged and measured when one begins.
//!
//! Owns the place in the store's log that was seen last; relies on the list and the evacuations for what is held on to.

use reedsail_core::StorePosition;
use reedsail_dispatch::ServerList;
use reedsail_events::EventKind;

use super::evacuation_state::EvacuationState;
use super::messages::Origin;
use crate::shared::Shared;

/// The place in the store's log that was seen last.
#[derive(Debug, Default)]
pub(crate) struct StoreEra {
    seen: StorePosition,
}

impl StoreEra {
    /// Logs an era that has begun, and by whose word. The first one that an instance hears of began before it did.
    pub(crate) fn note<H>(&mut self, shared: &Shared<H>, servers: &ServerList, origin: Origin) {
        let before = std::mem::replace(&mut self.seen, servers.revision());
        let after = self.seen;
        shared.metrics.store_era.set(i64::from(after.era));
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

    /// Publishes how many records of the store do not count yet.
    pub(crate) fn tick<H>(shared: &Shared<H>, servers: &ServerList, evacuations: &EvacuationState) {
        let withheld = servers.kept_departures().len() + evacuations.withheld();
        shared.metrics.records_withheld.set(withheld as i64);
    }
}
