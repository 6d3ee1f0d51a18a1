//! Tracks which instances are alive and ranks them for roles.
//!
//! The state of an instance combines the platform's list, this instance's own calls and the reports of its
//! peers. The list lags behind, so an instance that answered recently counts as alive even when it is not
//! listed.

use std::collections::HashMap;

use reedsail_core::NameHash;
use reedsail_core::TimeMs;

/// How long an instance is suspected after its first unanswered call, in milliseconds.
const SUSPECT_FIRST_MS: u64 = 3_000;
/// The longest suspicion, in milliseconds; each consecutive failure doubles the suspicion up to this limit.
const SUSPECT_MAX_MS: u64 = 48_000;
/// How long an instance counts as alive after a successful contact, in milliseconds.
const ALIVE_MS: u64 = 10_000;

/// The state of one instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// It can be called.
    Alive,
    /// The instance or the platform announced that it is leaving.
    Leaving,
    /// It recently failed to answer, or it is neither listed nor recently contacted.
    Unreachable,
}

#[derive(Clone, Debug)]
struct Entry {
    name: String,
    domain: NameHash,
    address: String,
    is_listed: bool,
    alive_until: TimeMs,
    suspected_until: TimeMs,
    consecutive_failures: u32,
    is_leaving: bool,
}

/// The instances known to this one, from the platform's list, its own connections and the reports of peers.
#[derive(Clone, Debug, Default)]
pub struct Membership {
    entries: HashMap<NameHash, Entry>,
}

impl Membership {
    /// Applies one row of the platform's list or of the settings.
    pub fn list(&mut self, name: &str, domain: &str, address: &str, is_leaving: bool) {
        let entry = self.entries.entry(NameHash::of(name)).or_insert_with(|| Entry {
            name: name.to_owned(),
            domain: NameHash::of(domain),
            address: address.to_owned(),
            is_listed: false,
            alive_until: TimeMs(0),
            suspected_until: TimeMs(0),
            consecutive_failures: 0,
            is_leaving: false,
        });
        if entry.address != address {
            address.clone_into(&mut entry.address);
            entry.suspected_until = TimeMs(0);
            entry.consecutive_failures = 0;
            entry.is_leaving = false;
        }
        entry.is_leaving |= is_leaving;
        entry.is_listed = true;
    }

    /// Records that the platform no longer lists an instance.
    pub fn unlist(&mut self, name: &str) {
        if let Some(entry) = self.entries.get_mut(&NameHash::of(name)) {
            entry.is_listed = false;
        }
    }

    /// Records a successful contact with an instance that is not leaving; returns `true` if the instance was
    /// suspected.
    pub fn record_alive(&mut self, instance: NameHash, now: TimeMs) -> bool {
        let Some(entry) = self.entries.get_mut(&instance) else {
            return false;
        };
        let was_suspected = entry.consecutive_failures > 0;
        entry.alive_until = now.plus_ms(ALIVE_MS);
        entry.suspected_until = TimeMs(0);
        entry.consecutive_failures = 0;
        entry.is_leaving = false;
        was_suspected
    }

    /// Records that an instance announced that it is leaving.
    pub fn record_leaving(&mut self, instance: NameHash) {
        if let Some(entry) = self.entries.get_mut(&instance) {
            entry.is_leaving = true;
        }
    }

    /// Records that an instance did not answer; returns `true` for the first failure in a row.
    pub fn suspect(&mut self, instance: NameHash, now: TimeMs) -> bool {
        let Some(entry) = self.entries.get_mut(&instance) else {
            return false;
        };
        let is_first_failure = entry.consecutive_failures == 0;
        let suspect_ms = (SUSPECT_FIRST_MS << entry.consecutive_failures.min(4)).min(SUSPECT_MAX_MS);
        entry.consecutive_failures += 1;
        entry.suspected_until = now.plus_ms(suspect_ms);
        is_first_failure
    }

    /// Returns the state of an instance.
    pub fn presence(&self, instance: NameHash, now: TimeMs) -> Presence {
        let Some(entry) = self.entries.get(&instance) else {
            return Presence::Unreachable;
        };
        if entry.is_leaving {
            return Presence::Leaving;
        }
        let is_known = entry.is_listed || now < entry.alive_until;
        if is_known && entry.suspected_until <= now {
            Presence::Alive
        } else {
            Presence::Unreachable
        }
    }

    /// Returns the instances that can be called, of one failure domain or of all.
    pub fn alive(&self, domain: Option<NameHash>, now: TimeMs) -> Vec<NameHash> {
        let mut alive: Vec<NameHash> = self
            .entries
            .iter()
            .filter(|(name, entry)| {
                domain.is_none_or(|domain| entry.domain == domain)
                    && self.presence(**name, now) == Presence::Alive
            })
            .map(|(name, _)| *name)
            .collect();
        alive.sort();
        alive
    }

    /// Returns the instances of a failure domain that may hold leases: all known ones, including those that
    /// do not answer. An unreachable instance keeps using its leases until they expire.
    pub fn lease_holders(&self, domain: NameHash, now: TimeMs) -> Vec<NameHash> {
        let holders = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.domain == domain && (entry.is_listed || now < entry.alive_until));
        holders.map(|(name, _)| *name).collect()
    }

    /// Returns the instances of a failure domain that are suspected although they are known. The caller
    /// probes them repeatedly: two allocators that suspect each other lease the same slots while their
    /// suspicion lasts.
    pub fn suspects_to_probe(&self, domain: NameHash, now: TimeMs) -> Vec<NameHash> {
        let holders = self.lease_holders(domain, now).into_iter();
        let mut suspects: Vec<NameHash> = holders
            .filter(|name| self.presence(*name, now) == Presence::Unreachable)
            .collect();
        suspects.sort();
        suspects
    }

    /// Returns the failure domains of all known instances.
    pub fn domains(&self) -> Vec<NameHash> {
        let mut domains: Vec<NameHash> = self.entries.values().map(|entry| entry.domain).collect();
        domains.sort();
        domains.dedup();
        domains
    }

    /// Returns the address at which an instance accepts calls from peers.
    pub fn address(&self, instance: NameHash) -> Option<&str> {
        self.entries.get(&instance).map(|entry| entry.address.as_str())
    }

    /// Returns an instance's name.
    pub fn name(&self, instance: NameHash) -> Option<&str> {
        self.entries.get(&instance).map(|entry| entry.name.as_str())
    }

    /// Applies a peer's report that an instance did not answer, unless this instance has contacted it since.
    pub fn suspect_by_report(&mut self, instance: NameHash, now: TimeMs) {
        let Some(entry) = self.entries.get(&instance) else {
            return;
        };
        let was_recently_alive = now.plus_ms(ALIVE_MS / 2) < entry.alive_until;
        if !was_recently_alive && entry.suspected_until <= now {
            self.suspect(instance, now);
        }
    }

    /// Returns the instances that are suspected now.
    pub fn suspects(&self, now: TimeMs) -> Vec<NameHash> {
        let suspected = self
            .entries
            .iter()
            .filter(|(_, entry)| now < entry.suspected_until);
        suspected.map(|(name, _)| *name).collect()
    }

    /// Removes instances that are neither listed nor recently alive.
    pub fn remove_stale(&mut self, now: TimeMs) {
        self.entries
            .retain(|_, entry| entry.is_listed || now < entry.alive_until);
    }

    /// Returns the number of known instances.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no instance is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

/// Ranks the candidates for a role by rendezvous hashing; the first live candidate has the role.
///
/// Every instance that sees the same candidates computes the same order. The loss of a candidate moves only
/// the roles of that candidate.
pub fn rank_by_rendezvous(role: u64, candidates: &[NameHash]) -> Vec<NameHash> {
    let mut ranked: Vec<NameHash> = candidates.to_vec();
    ranked.sort_by_key(|candidate| std::cmp::Reverse(candidate.rendezvous_weight(role)));
    ranked
}
