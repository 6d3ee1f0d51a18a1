//! Slow start: which instances send requests to a cold server, and how many.
//!
//! **Rule.** A cold server gets requests from [`SENDERS`] instances alone, those of its failure domain that
//! rank first for it by rendezvous hashing, silent ones included. Each sends a request only after the time of
//! its even part of three quarters of the rate that the operators state. Nobody else sends it anything, and an
//! instance that does not know its fleet yet sends none.
//!
//! **Inputs.** The operators' figures of a service (how long its servers are cold, requests a second that a
//! cold one bears); the instances that are known and their failure domains.
//!
//! **Why.** A cold server falls over under more requests than it bears, and all instances together must not
//! send more. A sum over the fleet is too old for a bound that holds in each second; a bound that each sender
//! keeps alone holds as well when the sums are late, and any second sees `SENDERS` requests beyond the rate at
//! most. Ranking silent instances too keeps the senders the same on both sides of a cut.
//!
//! **Tested by** `tests/slow_start.rs`.

use std::collections::HashMap;

use reedsail_core::NameHash;
use reedsail_core::TimeMs;

/// Instances that send to a cold server. Two, so that one may be gone; each adds a request to the most that
/// arrives in a second.
const SENDERS: usize = 2;
/// Fraction of the stated rate that the senders use together. It leaves room for the halves of a fleet that forgot
/// each other in a long cut, and so chose twice as many senders.
const RATE_FRACTION: f64 = 0.75;
/// How long a server at whose address nothing answered counts as cold beyond the time that a start takes, in
/// milliseconds: by then its new record has been read everywhere.
const RECORD_LAG_MS: u64 = 2_000;

/// What the operators state of the servers of a service after a start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SlowStartLimit {
    /// How long a server is cold after a start, in milliseconds.
    pub cold_ms: u64,
    /// Requests a second that a cold server bears, from all instances together; zero where none is stated.
    pub requests_per_s: f64,
}

impl SlowStartLimit {
    /// Tells whether a cold server bears less than a warm one.
    pub(crate) fn binds(self) -> bool {
        self.requests_per_s > 0.0
    }

    /// Returns until when a server may be cold at whose address nothing answers now.
    pub(crate) fn down_until(self, now: TimeMs) -> TimeMs {
        now.plus_ms(self.cold_ms + RECORD_LAG_MS)
    }

    /// Returns until when a server may be cold whose failure domain was taken back now.
    pub(crate) fn returned_until(self, now: TimeMs) -> TimeMs {
        now.plus_ms(self.cold_ms)
    }

    /// Returns the time between two requests of one sender, in milliseconds.
    fn interval_ms(self) -> u64 {
        (SENDERS as f64 * 1_000.0 / (self.requests_per_s * RATE_FRACTION)).ceil() as u64
    }
}

/// The instances of the fleet, by which the senders of each server are chosen.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Senders {
    own: NameHash,
    by_domain: HashMap<NameHash, Vec<NameHash>>,
    all: Vec<NameHash>,
}

impl Senders {
    /// Makes the choice for an instance of a fleet; each member comes with its failure domain.
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

    /// Tells whether this instance sends to a cold server. Where its failure domain has no instance, those of
    /// the whole fleet are ranked.
    pub(crate) fn include_own(&self, server: NameHash, failure_domain: NameHash) -> bool {
        let members = self.by_domain.get(&failure_domain).unwrap_or(&self.all);
        let weight = |instance: &NameHash| instance.rendezvous_weight(u64::from(server.0));
        let own_weight = weight(&self.own);
        let before = members.iter().filter(|member| weight(member) > own_weight);
        members.contains(&self.own) && before.count() < SENDERS
    }
}

/// What this instance may send to one server while it is cold.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ColdAllowance {
    next_at: TimeMs,
}

impl ColdAllowance {
    /// Tells whether a sender of the server may send a request now.
    pub(crate) fn allows(self, now: TimeMs) -> bool {
        self.next_at <= now
    }

    /// Records that a request is sent.
    pub(crate) fn take(&mut self, limit: SlowStartLimit, now: TimeMs) {
        if limit.binds() {
            self.next_at = now.plus_ms(limit.interval_ms());
        }
    }
}
