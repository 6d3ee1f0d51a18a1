//! The failure domains that operators evacuate: merges the reports of the store and of peers, and publishes the result
//! to the dispatcher.

use reedsail_core::NameHash;
use reedsail_core::TimeMs;
use reedsail_dispatch::EvacuationRow;
use reedsail_dispatch::EvacuationUpdate;
use reedsail_dispatch::Evacuations;
use reedsail_dispatch::ServerList;
use reedsail_events::EventKind;

use super::messages::Origin;
use crate::shared::Shared;

/// The known evacuations, and the failure domains that were published last.
#[derive(Debug, Default)]
pub(crate) struct EvacuationState {
    known: Evacuations,
    published: Vec<NameHash>,
}

impl EvacuationState {
    /// Applies an update that was read from the store.
    pub(crate) fn apply<H>(
        &mut self,
        shared: &Shared<H>,
        servers: &ServerList,
        update: &EvacuationUpdate,
        now: TimeMs,
    ) {
        if self.known.apply(update) {
            self.publish(shared, servers, Origin::Store, now);
        }
    }

    /// Merges the evacuations of a peer's load message.
    pub(crate) fn merge<H>(
        &mut self,
        shared: &Shared<H>,
        servers: &ServerList,
        rows: &[EvacuationRow],
        now: TimeMs,
    ) {
        if self.known.merge(rows) {
            self.publish(shared, servers, Origin::Peer, now);
        }
    }

    /// Applies the withheld evacuation state of a restored store once its grace period is over.
    pub(crate) fn tick<H>(&mut self, shared: &Shared<H>, servers: &ServerList, now: TimeMs) {
        if self.known.tick(now) {
            self.publish(shared, servers, Origin::GraceOver, now);
        }
    }

    /// Returns the number of failure domains whose state in the store differs from the state in force.
    pub(crate) fn withheld(&self) -> usize {
        self.known.withheld()
    }

    /// Returns the rows for load messages.
    pub(crate) fn rows(&self) -> Vec<EvacuationRow> {
        self.known.rows()
    }

    fn publish<H>(&mut self, shared: &Shared<H>, servers: &ServerList, origin: Origin, now: TimeMs) {
        let active = self.known.active();
        shared.dispatcher().set_evacuated(&active, now);
        let begun = active.iter().filter(|domain| !self.published.contains(domain));
        let ended = self.published.iter().filter(|domain| !active.contains(domain));
        let changes = begun
            .map(|domain| (EventKind::DomainEvacuated, domain))
            .chain(ended.map(|domain| (EventKind::DomainReturned, domain)));
        for (kind, domain) in changes {
            // The name of a failure domain without a server is not known here.
            let name = servers.failure_domain_name(*domain);
            let fields = [
                (
                    "failure_domain",
                    name.unwrap_or_else(|| format!("{:08x}", domain.0)),
                ),
                ("origin", origin.name().to_owned()),
            ];
            shared.emit(kind, &fields);
        }
        self.published = active;
    }
}
