//! Whether this instance may read a topic of the store now.
//!
//! The rules of the election are in `reedsail_dispatch`; this passes them what the instance knows.

use reedsail_core::TimeMs;
use reedsail_dispatch::DutyRank;
use reedsail_dispatch::ServerList;
use reedsail_dispatch::Staleness;
use reedsail_dispatch::StoreTopic;
use reedsail_dispatch::is_reader;
use reedsail_dispatch::is_turn;
use reedsail_dispatch::staleness;
use reedsail_gossip::InstanceIdentity;
use reedsail_gossip::LoadExchange;

use super::configuration_state::ConfigurationState;
use super::follow::ELECTION_CHECK_MAX_MS;
use super::follow::ELECTION_CHECK_MIN_MS;
use super::messages::ReadTurn;

/// How long a new instance waits for a message from a peer before it reads the store itself, in milliseconds. Peers
/// answer within a tick. Without the wait, several hundred instances that start together would each read the store
/// twice.
const PEER_WAIT_MS: u64 = 400;

/// What an instance knows when it asks whether it may read the store.
pub(super) struct ReaderElection<'a> {
    pub(super) identity: InstanceIdentity,
    pub(super) started_at: TimeMs,
    pub(super) exchange: &'a LoadExchange,
    pub(super) configuration: &'a ConfigurationState,
    /// The version of the configuration in force, or zero if there is none.
    pub(super) configuration_version: u64,
    pub(super) servers: &'a ServerList,
}

impl ReaderElection<'_> {
    /// Returns whether this instance may read a topic of the store now, by the reader election. A topic that was never
    /// known counts as stale since the start.
    pub(super) fn turn(&self, topic: StoreTopic, now: TimeMs) -> ReadTurn {
        let peers = self.exchange.peers();
        let is_new = now.since_ms(self.started_at) < PEER_WAIT_MS;
        if is_new && peers.has_seeds() && peers.alive().next().is_none() {
            return ReadTurn::After(ELECTION_CHECK_MIN_MS);
        }
        // The next records of the servers themselves have what a peer's list lacks.
        if topic == StoreTopic::Servers && self.servers.lacks_versions() {
            return ReadTurn::Now(self.servers.revision());
        }
        // Peers of an earlier release may be the only ones that have the version.
        if topic == StoreTopic::Configuration && self.configuration.needs_store(self.configuration_version) {
            return ReadTurn::Now(self.servers.revision());
        }
        let age_ms = match topic {
            StoreTopic::Configuration => self.configuration.age_ms(now),
            StoreTopic::Servers => self.servers.age_ms(now),
        };
        let age_ms = age_ms.min(now.since_ms(self.started_at));
        let timing = self.exchange.timing(now);
        let candidates = peers.reader_candidates(now);
        let own = DutyRank::of(self.identity.instance, self.identity.processor_milli);
        // With aggregators, the updates of one reader reach all failure domains.
        let domain_scope = (!self.exchange.is_aggregated(now)).then_some(self.identity.failure_domain);
        if is_reader(own, domain_scope, candidates, timing) {
            return ReadTurn::Now(self.servers.revision());
        }
        let domain_position = self.exchange.domain_position(now);
        match staleness(topic, age_ms, timing) {
            Staleness::For(stale_ms)
                if is_turn(domain_position.position, domain_position.instances, stale_ms) =>
            {
                ReadTurn::Now(self.servers.revision())
            }
            Staleness::For(_) => ReadTurn::After(ELECTION_CHECK_MIN_MS),
            Staleness::After(fresh_ms) => {
                ReadTurn::After(fresh_ms.clamp(ELECTION_CHECK_MIN_MS, ELECTION_CHECK_MAX_MS))
            }
        }
    }
}
