//! Slow start: which instances send requests to a cold server, and how many.
//!
//! **Rule.** Only [`SENDERS`] instances send requests to a cold server: the instances of its failure domain that rank
//! first for it by rendezvous hashing, silent ones included. Together the senders use three quarters of the rate that
//! the operators configured, in equal shares, and each sender spaces its requests evenly. All other instances send
//! nothing to the server, and an instance that does not know its fleet yet sends nothing either.
//!
//! **Inputs.** The operators' figures for a service (how long its servers are cold, the requests a second that a cold
//! server handles); the known instances and their failure domains.
//!
//! **Why.** A cold server fails under more requests than it can handle, and all instances together must not send
//! more. A sum over the fleet is too old for a limit that applies to each second. A limit that each sender enforces
//! by itself also holds when the sums are late: any second sees at most `SENDERS` requests beyond the rate. Silent
//! instances are ranked too, so that the senders are the same on both sides of a network partition.
//!
//! **Tested by** `tests/slow_start.rs`.

use std::collections::HashMap;

use reedsail_core::NameHash;
use reedsail_core::TimeMs;

/// Number of instances that send to a cold server. Two, so that one may fail; each adds one request to the maximum
/// that arrives in a second.
const SENDERS: usize = 2;
/// Fraction of the configured rate that the senders use together. The rest is a margin for a long network partition:
/// each half of the fleet forgets the other half and chooses its own senders, so there are twice as many.
const RATE_FRACTION: f64 = 0.75;
/// How long a server counts as cold beyond the time of a start after nothing listened at its address, in
/// milliseconds: by then its new record has been read everywhere.
const RECORD_LAG_MS: u64 = 2_000;

/// The operators' limits for the servers of a service after a start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SlowStartLimit {
    /// How long a server is cold after a start, in milliseconds.
    pub cold_ms: u64,
    /// Requests a second that a cold server handles, from all instances together; zero for no limit.
    pub requests_per_s: f64,
}

impl SlowStartLimit {
    /// Returns whether cold servers have a limit.
    pub(crate) fn is_limited(self) -> bool {
        self.requests_per_s > 0.0
    }

    /// Returns until when a server may be cold if nothing listens at its address now.
    pub(crate) fn cold_until_after_down(self, now: TimeMs) -> TimeMs {
        now.plus_ms(self.cold_ms + RECORD_LAG_MS)
    }

    /// Returns until when a server may be cold if the evacuation of its failure domain ends now.
    pub(crate) fn cold_until_after_evacuation(self, now: TimeMs) -> TimeMs {
        now.plus_ms(self.cold_ms)
    }

    /// Returns the time between two requests of one sender, in milliseconds.
    fn interval_ms(self) -> u64 {
        (SENDERS as f64 * 1_000.0 / (self.requests_per_s * RATE_FRACTION)).ceil() as u64
    }
}

/// The instances of the fleet, from which the senders for each server are chosen.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Senders {
    own: NameHash,
    by_domain: HashMap<NameHash, Vec<NameHash>>,
    all: Vec<NameHash>,
}

impl Senders {
    /// Creates the senders as seen by the instance `own`. Each member comes with its failure domain.
    pub(crate) fn new(own: NameHash, members: &[(NameHash, NameHash)]) -> Self {
        let mut by_domain: HashMap<NameHash, Vec<NameHash>> = HashMap::new();
        for (instance, domain) in members {
            by_domain.entry(*domain).or_default().push(*instance);
        }
        Self {
            own,
            by_domain,
            all: members.iter().map(|(instance, _)| *instance).collect(),
        }
    }

    /// Returns this instance.
    pub(crate) fn own(&self) -> NameHash {
        self.own
    }

    /// Returns whether this instance sends to a cold server. If the server's failure domain has no instance, the
    /// instances of the whole fleet are ranked.
    pub(crate) fn include_own(&self, server: NameHash, failure_domain: NameHash) -> bool {
        let members = self.by_domain.get(&failure_domain).unwrap_or(&self.all);
        let weight = |instance: &NameHash| instance.rendezvous_weight(u64::from(server.0));
        let own_weight = weight(&self.own);
        let ranked_before = members.iter().filter(|member| weight(member) > own_weight);
        members.contains(&self.own) && ranked_before.count() < SENDERS
    }
}

/// Rate limit of this instance for one cold server.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ColdRateLimit {
    next_at: TimeMs,
}

impl ColdRateLimit {
    /// Returns whether a sender for the server may send a request now.
    pub(crate) fn allows(self, now: TimeMs) -> bool {
        self.next_at <= now
    }

    /// Records that a request is sent.
    pub(crate) fn record_sent(&mut self, limit: SlowStartLimit, now: TimeMs) {
        if limit.is_limited() {
            self.next_at = now.plus_ms(limit.interval_ms());
        }
    }
}
