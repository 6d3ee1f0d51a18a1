//! The decision about a request: where it goes, or why it is refused.

use reedsail_core::ErrorKind;
use reedsail_core::NameHash;
use reedsail_core::ServerKey;
use reedsail_core::TimeMs;

use super::Dispatcher;
use crate::Decision;
use crate::Demand;
use crate::Placement;
use crate::admission::admit;
use crate::admission::is_in_time_alone;
use crate::admission::refuse_paced;
use crate::admission::refuse_unplaced;
use crate::latency_estimate::engine_alone_ms;
use crate::latency_estimate::plain_mean_ms;
use crate::pacing::PrefillCapacity;
use crate::placement::Placer;

impl Dispatcher {
    /// Decides where a request goes, or refuses it.
    pub fn decide(&mut self, demand: &Demand<'_>, now: TimeMs) -> Decision {
        // The quarantine must outlive the attempts of a request. A caller's retry is a new request, usually
        // at another instance, and each retry would crash one more server.
        if let Some(suspect) = self.quarantine.refuses(demand, self.servers.own(), now) {
            return Decision::Quarantined(suspect);
        }
        self.servers.refresh_speeds(now);
        if let Some(target_ms) = demand.gap_target_ms {
            let pauses = self.pauses.entry(demand.service).or_default();
            pauses.record_target(target_ms, now);
        }
        let placer = Placer {
            servers: &self.servers,
            reach: &self.reach,
            prefixes: &self.prefixes,
            own_domain: self.own_domain,
            own_region: self.own_region,
            model: self.first_event_model(demand.service),
            pause_bound: self
                .pauses
                .get(&demand.service)
                .and_then(|pauses| pauses.bound(now)),
            excludes_new_versions: false,
            has_scarce_version: self.servers.versions().has_scarce(demand.service, now),
            now,
        };
        let placement = placer.choose(demand);
        if demand.tried.is_empty() {
            let prefill_tokens = placement.map_or(0, |placement| placement.prefill_tokens);
            self.usage.record_prefill(demand.workspace, prefill_tokens, now);
        }
        let Some(placement) = placement else {
            if demand.version.is_bound() && !self.servers.has_server_for(demand) {
                return Decision::VersionGone;
            }
            return refuse_unplaced(demand, self.servers.returns_at(demand, now), now);
        };
        let yields = self.priorities.yields(demand.service, demand.priority, now);
        let usage = &mut self.usage;
        let mut decision = admit(demand, placement, yields, || usage.share(demand.workspace, now));
        if !yields {
            self.record_priority_pressure(demand, &decision, now);
        }
        if let Decision::Send(placement) = &decision
            && !self.take_pacing_tokens(demand, placement, now)
        {
            decision = refuse_paced(demand, placement);
        }
        decision
    }

    /// Records the refusal of a request within its workspace's share that another time or server would have served. The
    /// refusal of one that yields would make the next lower priority yield in turn.
    fn record_priority_pressure(&mut self, demand: &Demand<'_>, decision: &Decision, now: TimeMs) {
        let Decision::Refuse {
            kind: ErrorKind::WouldMissTarget,
            placement: Some(placement),
            ..
        } = decision
        else {
            return;
        };
        let share = self.usage.share(demand.workspace, now);
        let is_within_share = share.requested_cost <= share.level_cost;
        let is_first_attempt = demand.tried.is_empty() && !demand.version.is_continuation();
        let server = self.servers.get(placement.server);
        let alone_ms = match demand.engine_prompt() {
            Some(_) => engine_alone_ms(server, placement.work, &self.first_event_model(demand.service)),
            None => plain_mean_ms(server),
        };
        if is_first_attempt && is_within_share && is_in_time_alone(demand, alone_ms) {
            self.priorities
                .record_refusal(demand.service, demand.priority, now);
        }
    }

    /// Returns whether a request may be written to an idle connection to a server. If no server of another
    /// failure domain has answered recently, that domain may be partitioned. A new connection detects this
    /// within the connect timeout. A request written to a partitioned connection is lost for seconds and may
    /// not be safe to retry.
    pub fn may_reuse_connection(&self, server: ServerKey, now: TimeMs) -> bool {
        let domain = self.servers.get(server).setup.failure_domain;
        domain == self.own_domain || !self.reach.is_suspect(domain, now)
    }

    /// Applies the pacing rule to a prompt that admission would send.
    fn take_pacing_tokens(&mut self, demand: &Demand<'_>, placement: &Placement, now: TimeMs) -> bool {
        let is_retry = !demand.tried.is_empty();
        if is_retry || demand.version.is_continuation() || demand.engine_prompt().is_none() {
            return true;
        }
        let capacity = self.prefill_capacity(demand.service);
        let prefill_tokens = f64::from(placement.prefill_tokens);
        self.usage.capped(demand.workspace, now).is_none_or(|workspace| {
            self.pacer
                .try_take(demand.workspace, &workspace, capacity, prefill_tokens, now)
        })
    }

    /// Returns the total prefill rate of all servers that prompts go to. Shares cover all services, so a
    /// route to a service with few servers must not be paced by the capacity of these servers alone.
    fn prefill_capacity(&self, service: NameHash) -> PrefillCapacity {
        let tokens_per_ms_of = |service: NameHash| {
            let servers = self.servers.of_service(service).len() as f64;
            servers / self.first_event_model(service).prefill_ms(1.0)
        };
        let others = self.models.keys().filter(|other| **other != service);
        let others_tokens_per_ms: f64 = others.map(|other| tokens_per_ms_of(*other)).sum();
        PrefillCapacity {
            tokens_per_ms: tokens_per_ms_of(service) + others_tokens_per_ms,
        }
    }
}
