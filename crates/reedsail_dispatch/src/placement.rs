//! Placement: which backend server a request goes to.
//!
//! **Rule.** A prompt goes to one of the two servers that rank first for its last shared segment, its homes
//! (`candidate_ranking`). Of these, the server with the earliest expected first event is chosen, with a penalty
//! for the second one. A server whose streams would pause too long (`stream_pause`) has a penalty of the excess. A
//! request without a prompt goes to the server of its service with the least expected time. Servers that were already
//! tried are excluded, and so are servers whose lifecycle state or slow start allows no new request (`server_life`,
//! `slow_start`). Unreachable servers, and servers of an unreachable failure domain (`domain_reach`), are used only if
//! there is no other. After a connect to another failure domain failed, servers in the own failure domain are tried
//! first.
//!
//! **Inputs.** Requests and prefill tokens on each server from all instances, slots, health, the
//! segments each server has cached, the service's first-event model; times in milliseconds.
//!
//! **Why.** Prefilling a shared segment again costs more than anything else here. Rendezvous hashing sends
//! requests that share a segment to the same servers, from every instance alike and without a message. There
//! are two servers because a single busy one would refuse requests; the second one has the segment
//! transferred from the first.
//!
//! **Tested by** `tests/placement.rs`, `tests/decision_trace.rs`.

use reedsail_core::NameHash;
use reedsail_core::ServerKey;
use reedsail_core::TimeMs;

use crate::Demand;
use crate::EngineWork;
use crate::FirstEventModel;
use crate::Placement;
use crate::Prompt;
use crate::PromptSegment;
use crate::VersionDemand;
use crate::candidate_ranking::HOMES;
use crate::candidate_ranking::RankedServers;
use crate::candidate_ranking::rendezvous_score;
use crate::domain_reach::DomainReach;
use crate::latency_estimate;
use crate::prefix_cache_index::PrefixCacheIndex;
use crate::server_groups::GroupedServer;
use crate::server_table::ServerState;
use crate::server_table::ServerTable;
use crate::stream_pause::PauseBound;

/// Penalty for sending a prompt to its second server if that server has not cached the segment, in
/// milliseconds.
const SECOND_SERVER_PENALTY_MS: f64 = 250.0;
/// Penalty for sending a prompt to its second server if that server has cached the segment, in milliseconds.
const SECOND_SERVER_CACHED_PENALTY_MS: f64 = 100.0;
/// Time to transfer a prompt's shared segments between servers, in milliseconds.
const TRANSFER_MS: f64 = 40.0;
/// Penalty of a server in another failure domain for requests without a prompt, in milliseconds. The latency
/// between failure domains is half a millisecond each way.
const OTHER_DOMAIN_PENALTY_MS: f64 = 1.0;

/// Penalty of a server in another region for requests without a prompt, in milliseconds. The latency between
/// regions is about ten milliseconds each way.
const OTHER_REGION_PENALTY_MS: f64 = 20.0;

/// Penalty of a server of a scarce version for requests that other versions may serve, in milliseconds. It is longer than
/// the wait for which admission sends a request to a busy server.
const SCARCE_VERSION_PENALTY_MS: f64 = 1_000.0;

/// The set of servers that are considered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CandidateScope {
    /// Reachable servers in the own failure domain.
    OwnDomain,
    /// Servers that are not known to be unreachable.
    Reachable,
    /// All servers.
    Any,
}

/// The inputs of placement, collected for each decision.
#[derive(Clone, Copy)]
pub(crate) struct Placer<'a> {
    pub(crate) servers: &'a ServerTable,
    pub(crate) reach: &'a DomainReach,
    pub(crate) prefixes: &'a PrefixCacheIndex,
    pub(crate) own_domain: NameHash,
    /// The region of this instance; `None` if it is unknown.
    pub(crate) own_region: Option<NameHash>,
    /// The first-event model of the called service.
    pub(crate) model: FirstEventModel,
    /// The bound on the pauses of the called service's streams; `None` if there is none.
    pub(crate) pause_bound: Option<PauseBound>,
    /// Whether servers of a version that peers may not know yet are excluded.
    pub(crate) excludes_new_versions: bool,
    /// Whether the called service runs a version that is scarce.
    pub(crate) has_scarce_version: bool,
    pub(crate) now: TimeMs,
}

impl Placer<'_> {
    /// Chooses a server. Returns `None` if no server of the service may be tried.
    pub(crate) fn choose(&self, demand: &Demand<'_>) -> Option<Placement> {
        let versions = self.servers.versions();
        if demand.version == VersionDemand::Resumable && versions.has_new(demand.service, self.now) {
            let established = Self {
                excludes_new_versions: true,
                ..*self
            };
            let placement = established.choose_by_reach(demand);
            if placement.is_some() || versions.may_continue_at_established(demand.service, self.now) {
                return placement;
            }
        }
        self.choose_by_reach(demand)
    }

    fn choose_by_reach(&self, demand: &Demand<'_>) -> Option<Placement> {
        let is_partition_suspected = demand.tried.iter().any(|key| self.may_be_partitioned(*key));
        let in_own_domain = || self.choose_among(demand, CandidateScope::OwnDomain);
        is_partition_suspected
            .then(in_own_domain)
            .flatten()
            .or_else(|| self.choose_among(demand, CandidateScope::Reachable))
            .or_else(|| self.choose_among(demand, CandidateScope::Any))
    }

    /// Returns whether a tried server is unreachable and in another failure domain that may be partitioned.
    /// If so, the next server outside the own failure domain may be behind the same partition.
    fn may_be_partitioned(&self, tried: ServerKey) -> bool {
        let server = self.servers.get(tried);
        let domain = server.setup.failure_domain;
        domain != self.own_domain
            && !server.health.is_reachable(self.now)
            && self.reach.is_suspect(domain, self.now)
    }

    fn is_in_scope(&self, server: &ServerState, scope: CandidateScope) -> bool {
        let domain = server.setup.failure_domain;
        match scope {
            CandidateScope::OwnDomain => domain == self.own_domain && server.health.is_reachable(self.now),
            CandidateScope::Reachable => {
                let is_domain_reachable =
                    domain == self.own_domain || self.reach.is_reachable(domain, self.now);
                is_domain_reachable && server.health.is_reachable(self.now)
            }
            CandidateScope::Any => true,
        }
    }

    fn choose_among(&self, demand: &Demand<'_>, scope: CandidateScope) -> Option<Placement> {
        match demand.engine_prompt() {
            Some(prompt) => self.choose_engine(demand, prompt, scope),
            None => self.choose_plain(demand, scope),
        }
    }

    /// Returns a server's state if the server may be tried.
    fn usable(
        &self,
        server: GroupedServer,
        demand: &Demand<'_>,
        scope: CandidateScope,
    ) -> Option<&ServerState> {
        let state = self.servers.get(server.key);
        let is_usable = self.is_in_scope(state, scope)
            && self.servers.accepts_work(state, self.now)
            && demand.regions.allows(state.setup.region)
            && self.allows_version(state, demand)
            && !demand.tried.contains(&server.key);
        is_usable.then_some(state)
    }

    /// Returns whether the version of a server may serve a request.
    fn allows_version(&self, server: &ServerState, demand: &Demand<'_>) -> bool {
        let setup = &server.setup;
        match demand.version {
            VersionDemand::Any | VersionDemand::Resumable => {
                let versions = self.servers.versions();
                !self.excludes_new_versions || !versions.is_new(setup.service, setup.version, self.now)
            }
            VersionDemand::Only(_) | VersionDemand::OnlyUnverified(_) | VersionDemand::Unknown => {
                demand.version.allows(setup.version)
            }
        }
    }

    fn choose_plain(&self, demand: &Demand<'_>, scope: CandidateScope) -> Option<Placement> {
        let own = u64::from(self.servers.own().0);
        let mut groups = self.servers.of_service(demand.service).beginning_with(own);
        let best = groups.find_map(|group| {
            let usable = group
                .iter()
                .filter_map(|server| Some((server.key, self.usable(*server, demand, scope)?)));
            let scored = usable.map(|(key, state)| (self.plain_score_ms(state, demand), key));
            scored.min_by(|(left, _), (right, _)| left.total_cmp(right))
        });
        let (_, server) = best?;
        let state = self.servers.get(server);
        Some(Placement {
            server,
            rank: 0,
            cache_source: None,
            prefill_tokens: 0,
            work: EngineWork::default(),
            other_wait_ms: 0,
            expected_ms: latency_estimate::plain_ms(state) as u64,
            queue_ms: latency_estimate::plain_queue_ms(state) as u64,
            pause_excess_ms: 0,
        })
    }

    fn plain_score_ms(&self, server: &ServerState, demand: &Demand<'_>) -> f64 {
        let load = f64::from(server.running()) / f64::from(server.setup.slots.max(1));
        let wait_ms = latency_estimate::plain_ms(server) * (1.0 + load);
        let version_ms = self.version_penalty_ms(server, demand);
        wait_ms + self.distance_penalty_ms(server) + self.health_penalty_ms(server, demand) + version_ms
    }

    /// Returns the penalty of a server that is needed for streams which only servers of its version may continue, in
    /// milliseconds. A request that continues a stream has none.
    fn version_penalty_ms(&self, server: &ServerState, demand: &Demand<'_>) -> f64 {
        let setup = &server.setup;
        let is_scarce = || {
            let versions = self.servers.versions();
            versions.is_scarce(setup.service, setup.version, self.now)
        };
        if self.has_scarce_version && !demand.version.is_continuation() && is_scarce() {
            SCARCE_VERSION_PENALTY_MS
        } else {
            0.0
        }
    }

    /// Returns the penalty for a server in another region or failure domain, in milliseconds.
    fn distance_penalty_ms(&self, server: &ServerState) -> f64 {
        let regions = self.own_region.zip(server.setup.region);
        if regions.is_some_and(|(own, other)| own != other) {
            OTHER_REGION_PENALTY_MS
        } else if server.setup.failure_domain != self.own_domain {
            OTHER_DOMAIN_PENALTY_MS
        } else {
            0.0
        }
    }

    /// Chooses the home with the earliest expected first event.
    fn choose_engine(
        &self,
        demand: &Demand<'_>,
        prompt: &Prompt,
        scope: CandidateScope,
    ) -> Option<Placement> {
        let segment = prompt.last_shared()?;
        let homes = self.rank::<HOMES>(prompt, segment, demand, scope)?;
        let candidates = homes.iter().map(|(rank, key)| {
            let placement = self.place_prompt(demand, prompt, segment, key, rank);
            let penalty_ms = self.candidate_penalty_ms(demand, segment, &placement);
            (placement, placement.expected_ms as f64 + penalty_ms)
        });
        candidates
            .min_by(|(_, left), (_, right)| left.total_cmp(right))
            .map(|(placement, _)| placement)
    }

    /// Returns the usable servers that rank highest for a segment, in the first group that has any.
    fn rank<const N: usize>(
        &self,
        prompt: &Prompt,
        segment: PromptSegment,
        demand: &Demand<'_>,
        scope: CandidateScope,
    ) -> Option<RankedServers<N>> {
        let weighted = |server: GroupedServer| {
            rendezvous_score(server, segment.id, self.ownership_slowness(server, prompt))
        };
        let is_usable = |server: GroupedServer| self.usable(server, demand, scope).is_some();
        let mut groups = self.servers.of_service(demand.service).beginning_with(segment.id);
        groups.find_map(|group| RankedServers::rank(group, weighted, is_usable))
    }

    /// Returns the slowness by which an engine owns segments; `None` while the engines of its service count as equally
    /// fast. It is higher for an engine whose streams the prompt would make pause too long.
    fn ownership_slowness(&self, server: GroupedServer, prompt: &Prompt) -> Option<f64> {
        let slowness = self.servers.get(server.key).speed.relative_slowness()?;
        let prefill_ms = self.model.prefill_ms(f64::from(prompt.own_tokens())) * slowness;
        let reluctance = |bound: PauseBound| bound.reluctance(slowness, prefill_ms);
        Some(slowness * self.pause_bound.map_or(1.0, reluctance))
    }

    /// Returns what is added to a home's expected time before homes are compared, in milliseconds.
    fn candidate_penalty_ms(
        &self,
        demand: &Demand<'_>,
        segment: PromptSegment,
        placement: &Placement,
    ) -> f64 {
        let server = placement.server;
        let second_server_ms = self.second_server_penalty_ms(segment, server, placement.rank == 0);
        let health_ms = self.health_penalty_ms(self.servers.get(server), demand);
        let version_ms = self.version_penalty_ms(self.servers.get(server), demand);
        second_server_ms + health_ms + version_ms + placement.pause_excess_ms as f64
    }

    fn second_server_penalty_ms(&self, segment: PromptSegment, server: ServerKey, is_first: bool) -> f64 {
        match (is_first, self.prefixes.has(segment.id, server, self.now)) {
            (true, _) => 0.0,
            (false, true) => SECOND_SERVER_CACHED_PENALTY_MS,
            (false, false) => SECOND_SERVER_PENALTY_MS,
        }
    }

    /// Estimates the placement of a prompt on a server.
    fn place_prompt(
        &self,
        demand: &Demand<'_>,
        prompt: &Prompt,
        last_shared: PromptSegment,
        key: ServerKey,
        rank: usize,
    ) -> Placement {
        let server = self.servers.get(key);
        let cache_source = self.cache_source(demand, last_shared.id, key);
        let (prefill_tokens, transfer_ms) = match cache_source {
            Some(_) => (prompt.own_tokens(), TRANSFER_MS),
            None => (self.prefill_tokens(prompt, key), 0.0),
        };
        let work = latency_estimate::engine_work(server, prefill_tokens);
        let first_event_ms = latency_estimate::engine_ms(server, work, &self.model);
        let queue_ms = latency_estimate::engine_queue_ms(server, &self.model);
        let other_wait_ms = transfer_ms + latency_estimate::slot_wait_ms(server);
        Placement {
            server: key,
            rank: rank as u8,
            cache_source,
            prefill_tokens,
            work,
            other_wait_ms: other_wait_ms as u64,
            expected_ms: (first_event_ms + transfer_ms) as u64,
            queue_ms: queue_ms as u64,
            pause_excess_ms: self.pause_excess_ms(server, prefill_tokens) as u64,
        }
    }

    /// Returns the number of prompt tokens that a server has to prefill: those from the first segment on that
    /// the server is not known to have cached.
    fn prefill_tokens(&self, prompt: &Prompt, server: ServerKey) -> u32 {
        let cached: u32 = prompt
            .shared_segments()
            .iter()
            .take_while(|segment| self.prefixes.has(segment.id, server, self.now))
            .map(|segment| segment.tokens)
            .sum();
        prompt.tokens().saturating_sub(cached).max(1)
    }

    /// Returns a server that probably has a cached segment that the chosen server lacks. The server must be
    /// in a region where the request may run, because a transfer copies its prompt, and must run the software version of
    /// the chosen one, which reads what it wrote.
    fn cache_source(&self, demand: &Demand<'_>, segment: u64, chosen: ServerKey) -> Option<ServerKey> {
        if self.prefixes.has(segment, chosen, self.now) {
            return None;
        }
        let version = self.servers.get(chosen).setup.version?;
        self.prefixes.holders(segment, self.now).find(|key| {
            let server = self.servers.get(*key);
            *key != chosen
                && demand.regions.allows(server.setup.region)
                && server.setup.version == Some(version)
                && server.life.is_listed()
                && server.health.is_reachable(self.now)
        })
    }

    /// Returns how much too long the streams of an engine would pause with a prompt, in milliseconds, beyond what the
    /// prompt alone causes on an engine of mean speed.
    fn pause_excess_ms(&self, server: &ServerState, prefill_tokens: u32) -> f64 {
        let Some(bound) = self.pause_bound.filter(|_| server.running() > 0) else {
            return 0.0;
        };
        let slowness = server.speed.slowness();
        let pause_ms = server.streams.pause_ms(self.now);
        let prefill_ms = latency_estimate::prefill_ms(server, prefill_tokens, &self.model);
        let own_ms = self.model.prefill_ms(f64::from(prefill_tokens));
        let unavoidable_ms = bound.excess_ms(1.0, 0.0, own_ms);
        (bound.excess_ms(slowness, pause_ms, prefill_ms) - unavoidable_ms).max(0.0)
    }

    fn health_penalty_ms(&self, server: &ServerState, demand: &Demand<'_>) -> f64 {
        server.health.penalty_ms(demand.latency_target_ms, self.now)
    }
}
