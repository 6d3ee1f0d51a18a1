//! Membership: which daemons are alive, and which of them has a role.
//!
//! Owns what the platform's list, this daemon's own calls and its peers' reports say of each daemon. The
//! list is late, so a daemon that was heard from is alive whether or not it is listed.

use std::collections::HashMap;

use reedsail_core::NameHash;
use reedsail_core::TimeMs;

/// Time for which a daemon that failed to answer is suspected at first, in milliseconds.
const SUSPECT_FIRST_MS: u64 = 3_000;
/// Longest time for which it is suspected, in milliseconds; each failure in a row doubles the time up to
/// here.
const SUSPECT_MAX_MS: u64 = 48_000;
/// Time for which a daemon that was heard from counts as alive, in milliseconds.
const ALIVE_MS: u64 = 10_000;

/// What is known of one daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// It can be asked.
    Alive,
    /// It said, or the platform says, that it is leaving.
    Leaving,
    /// It failed to answer a moment ago, or nobody has heard of it for long.
    Unreachable,
}

#[derive(Clone, Debug)]
struct Entry {
    name: String,
    domain: NameHash,
    address: String,
    listed: bool,
    alive_until: TimeMs,
    suspect_until: TimeMs,
    failures_in_row: u32,
    leaving: bool,
}

/// The daemons that this one knows: the platform's late list, its own connections, peers' words.
#[derive(Clone, Debug, Default)]
pub struct Membership {
    entries: HashMap<NameHash, Entry>,
}

impl Membership {
    /// Takes over one row of the platform's list, or of the settings.
    pub fn list(&mut self, name: &str, domain: &str, address: &str, leaving: bool) {
        let entry = self.entries.entry(NameHash::of(name)).or_insert_with(|| Entry {
            name: name.to_owned(),
            domain: NameHash::of(domain),
            address: address.to_owned(),
            listed: false,
            alive_until: TimeMs(0),
            suspect_until: TimeMs(0),
            failures_in_row: 0,
            leaving: false,
        });
        if entry.address != address {
            address.clone_into(&mut entry.address);
            entry.suspect_until = TimeMs(0);
            entry.failures_in_row = 0;
            entry.leaving = false;
        }
        entry.leaving |= leaving;
        entry.listed = true;
    }

    /// Takes note that the platform no longer lists a daemon.
    pub fn unlist(&mut self, name: &str) {
        if let Some(entry) = self.entries.get_mut(&NameHash::of(name)) {
            entry.listed = false;
        }
    }

    /// Records that a daemon was heard from and stays; returns `true` if it was suspected.
    pub fn record_alive(&mut self, daemon: NameHash, now: TimeMs) -> bool {
        let Some(entry) = self.entries.get_mut(&daemon) else {
            return false;
        };
        let was_suspect = entry.failures_in_row > 0;
        entry.alive_until = now.plus_ms(ALIVE_MS);
        entry.suspect_until = TimeMs(0);
        entry.failures_in_row = 0;
        entry.leaving = false;
        was_suspect
    }

    /// Records that a daemon said it is leaving.
    pub fn record_leaving(&mut self, daemon: NameHash) {
        if let Some(entry) = self.entries.get_mut(&daemon) {
            entry.leaving = true;
        }
    }

    /// Records that a daemon did not answer; returns `true` if that is news.
    pub fn suspect(&mut self, daemon: NameHash, now: TimeMs) -> bool {
        let Some(entry) = self.entries.get_mut(&daemon) else {
            return false;
        };
        let is_new = entry.failures_in_row == 0;
        let suspect_ms = (SUSPECT_FIRST_MS << entry.failures_in_row.min(4)).min(SUSPECT_MAX_MS);
        entry.failures_in_row += 1;
        entry.suspect_until = now.plus_ms(suspect_ms);
        is_new
    }

    /// Returns what is known of a daemon.
    pub fn presence(&self, daemon: NameHash, now: TimeMs) -> Presence {
        let Some(entry) = self.entries.get(&daemon) else {
            return Presence::Unreachable;
        };
        if entry.leaving {
            return Presence::Leaving;
        }
        let known = entry.listed || now < entry.alive_until;
        if known && entry.suspect_until <= now {
            Presence::Alive
        } else {
            Presence::Unreachable
        }
    }

    /// Returns the daemons that can be asked, of one failure domain or of all.
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

    /// Returns the daemons of a failure domain that may hold leases: all that are known, those that do not answer as
    /// well, since a daemon that cannot be reached goes on with what it was leased until that lapses.
    pub fn lease_holders(&self, domain: NameHash, now: TimeMs) -> Vec<NameHash> {
        let known = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.domain == domain && (entry.listed || now < entry.alive_until));
        known.map(|(name, _)| *name).collect()
    }

    /// Returns the daemons of a failure domain that are suspected although they are known. They are to be asked
    /// again and again: two allocators that suspect each other lease the same slots for as long as they do.
    pub fn suspects_to_probe(&self, domain: NameHash, now: TimeMs) -> Vec<NameHash> {
        let holders = self.lease_holders(domain, now).into_iter();
        let mut suspects: Vec<NameHash> = holders
            .filter(|name| self.presence(*name, now) == Presence::Unreachable)
            .collect();
        suspects.sort();
        suspects
    }

    /// Returns the failure domains that any known daemon belongs to.
    pub fn domains(&self) -> Vec<NameHash> {
        let mut domains: Vec<NameHash> = self.entries.values().map(|entry| entry.domain).collect();
        domains.sort();
        domains.dedup();
        domains
    }

    /// Returns where a daemon takes peers' calls.
    pub fn address(&self, daemon: NameHash) -> Option<&str> {
        self.entries.get(&daemon).map(|entry| entry.address.as_str())
    }

    /// Returns a daemon's name.
    pub fn name(&self, daemon: NameHash) -> Option<&str> {
        self.entries.get(&daemon).map(|entry| entry.name.as_str())
    }

    /// Takes a peer's word that a daemon did not answer, unless it was heard from here since.
    pub fn suspect_by_report(&mut self, daemon: NameHash, now: TimeMs) {
        let Some(entry) = self.entries.get(&daemon) else {
            return;
        };
        let heard_lately = now.plus_ms(ALIVE_MS / 2) < entry.alive_until;
        if !heard_lately && entry.suspect_until <= now {
            self.suspect(daemon, now);
        }
    }

    /// Returns the daemons that are suspected now.
    pub fn suspects(&self, now: TimeMs) -> Vec<NameHash> {
        let suspected = self.entries.iter().filter(|(_, entry)| now < entry.suspect_until);
        suspected.map(|(name, _)| *name).collect()
    }

    /// Forgets daemons that nobody has heard of for long.
    pub fn remove_stale(&mut self, now: TimeMs) {
        self.entries
            .retain(|_, entry| entry.listed || now < entry.alive_until);
    }

    /// Returns how many daemons are known.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether no daemon is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

/// Orders candidates for a role by rendezvous hashing: the first one alive has it.
///
/// Everybody who sees the same candidates reaches the same order, and the loss of one moves only
/// its own duties.
pub fn rank_by_rendezvous(role: u64, candidates: &[NameHash]) -> Vec<NameHash> {
    let mut ranked: Vec<NameHash> = candidates.to_vec();
    ranked.sort_by_key(|candidate| std::cmp::Reverse(candidate.rendezvous_weight(role)));
    ranked
}
