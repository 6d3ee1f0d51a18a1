//! Choice of the other aggregators that an aggregator sends its sum to.
//!
//! **Rule.** An aggregator sends its sum to the aggregators whose sums arrive, and to the instances that rank as
//! aggregators of their failure domain. If no sum arrives from a failure domain, it also tries the next ranks there,
//! and one further rank in each search round.
//!
//! **Why.** After the loss of many instances, all of the best ranks that an aggregator knows may be gone. The
//! instances that took over search in the same way.

use std::collections::HashMap;
use std::net::SocketAddrV4;

use reedsail_core::NameHash;

/// Number of ranks of a failure domain that a sum is sent to while no sum arrives from there. If half of the instances
/// are lost, all of these ranks are lost in one of eight failure domains.
const SEARCHED_RANKS: usize = 3;

/// The other aggregators, and the instances that may aggregate, as an aggregator knows them.
#[derive(Clone, Debug)]
pub(crate) struct KnownAggregators {
    /// The failure domains and addresses of the aggregators whose sums arrive.
    pub(crate) active: Vec<(NameHash, SocketAddrV4)>,
    /// The instances that may aggregate, by failure domain, best rank first. Of this instance's failure
    /// domain, only instances that rank before this one are included.
    pub(crate) ranked: HashMap<NameHash, Vec<SocketAddrV4>>,
    /// The failure domain of this instance.
    pub(crate) own_domain: NameHash,
    /// The number of aggregators of a failure domain of the same size as this instance's.
    pub(crate) aggregators_per_domain: usize,
}

impl KnownAggregators {
    /// Returns the target addresses of the next message; `search_round` differs in each call.
    pub(crate) fn targets(&self, search_round: usize) -> Vec<SocketAddrV4> {
        let mut targets: Vec<SocketAddrV4> = self.active.iter().map(|(_, address)| *address).collect();
        for (domain, ranked) in &self.ranked {
            for address in self.targets_in(*domain, ranked, search_round) {
                if !targets.contains(&address) {
                    targets.push(address);
                }
            }
        }
        targets
    }

    fn targets_in(
        &self,
        domain: NameHash,
        ranked: &[SocketAddrV4],
        search_round: usize,
    ) -> Vec<SocketAddrV4> {
        let is_connected = domain == self.own_domain
            || self
                .active
                .iter()
                .any(|(active_domain, _)| *active_domain == domain);
        if is_connected {
            return ranked.iter().take(self.aggregators_per_domain).copied().collect();
        }
        let best_ranked = ranked
            .iter()
            .take(self.aggregators_per_domain.max(SEARCHED_RANKS));
        let next = ranked.iter().cycle().skip(search_round % ranked.len()).take(1);
        best_ranked.chain(next).copied().collect()
    }
}
