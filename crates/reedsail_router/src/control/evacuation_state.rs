//! The failure domains that the operators evacuate: what the store and peers say of them, and what the decisions
//! are told.

use reedsail_core::NameHash;
use reedsail_core::TimeMs;
use reedsail_dispatch::EvacuationRow;
use reedsail_dispatch::EvacuationUpdate;
use reedsail_dispatch::Evacuations;
use reedsail_dispatch::ServerList;
use reedsail_events::EventKind;

use super::messages::Origin;
use crate::shared::Shared;

/// What is known, and what was published last.
#[derive(Debug, Default)]
pub(crate) struct EvacuationState {
    known: Evacuations,
    published: Vec<NameHash>,
}

impl EvacuationState {
    /// Takes in a read of the store.
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

    /// Takes in what a peer's message says.
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

    /// Takes over what the store says since it came back from a copy, once that was withheld for long enough.
    pub(crate) fn tick<H>(&mut self, shared: &Shared<H>, servers: &ServerList, now: TimeMs) {
        if self.known.tick(now) {
            self.publish(shared, servers, Origin::GraceOver, now);
        }
    }

    /// Returns how many failure domains the store says something else of than is in force.
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
            // A failure domain without a server has no name here.
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
