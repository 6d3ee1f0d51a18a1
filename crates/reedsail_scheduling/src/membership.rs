//! Which daemons are alive, by three kinds of word, and who is allocator of what.

use std::collections::HashMap;

use reedsail_core::NameHash;
use reedsail_core::TimeMs;
use twox_hash::XxHash64;

/// A daemon that failed to answer is left out for this long at first, unless it is heard from.
const SUSPECT_FIRST_MS: u64 = 3_000;
/// The longest time for which it is left out; each failure in a row doubles it up to here.
const SUSPECT_MAX_MS: u64 = 48_000;
/// A daemon that was heard from counts as alive for this long, listed or not.
const HEARD_MS: u64 = 10_000;

/// What is known of one daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// It can be asked.
    Alive,
    /// It said, or the platform says, that it is leaving.
    Leaving,
    /// It failed to answer a moment ago, or nobody has heard of it for long.
    Away,
}

#[derive(Clone, Debug)]
struct Entry {
    name: String,
    domain: NameHash,
    address: String,
    listed: bool,
    heard_until: TimeMs,
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
            heard_until: TimeMs(0),
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
    pub fn hear(&mut self, daemon: NameHash, now: TimeMs) -> bool {
        let Some(entry) = self.entries.get_mut(&daemon) else {
            return false;
        };
        let was_suspect = entry.failures_in_row > 0;
        entry.heard_until = now.plus_ms(HEARD_MS);
        entry.suspect_until = TimeMs(0);
        entry.failures_in_row = 0;
        entry.leaving = false;
        was_suspect
    }

    /// Records that a daemon said it is leaving.
    pub fn leave(&mut self, daemon: NameHash) {
        if let Some(entry) = self.entries.get_mut(&daemon) {
            entry.leaving = true;
        }
    }

    /// Records that a daemon did not answer; returns `true` if that is news.
    pub fn suspect(&mut self, daemon: NameHash, now: TimeMs) -> bool {
        let Some(entry) = self.entries.get_mut(&daemon) else {
            return false;
        };
        let is_news = entry.failures_in_row == 0;
        let suspect_ms = (SUSPECT_FIRST_MS << entry.failures_in_row.min(4)).min(SUSPECT_MAX_MS);
        entry.failures_in_row += 1;
        entry.suspect_until = now.plus_ms(suspect_ms);
        is_news
    }

    /// Returns what is known of a daemon.
    pub fn presence(&self, daemon: NameHash, now: TimeMs) -> Presence {
        let Some(entry) = self.entries.get(&daemon) else {
            return Presence::Away;
        };
        if entry.leaving {
            return Presence::Leaving;
        }
        let known = entry.listed || now < entry.heard_until;
        if known && entry.suspect_until <= now {
            Presence::Alive
        } else {
            Presence::Away
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
    pub fn suspect_by_hearsay(&mut self, daemon: NameHash, now: TimeMs) {
        let Some(entry) = self.entries.get(&daemon) else {
            return;
        };
        let heard_lately = now.plus_ms(HEARD_MS / 2) < entry.heard_until;
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
    pub fn forget_old(&mut self, now: TimeMs) {
        self.entries
            .retain(|_, entry| entry.listed || now < entry.heard_until);
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

/// Orders candidates for a duty by rendezvous hashing: the first one alive has it.
///
/// Everybody who sees the same candidates reaches the same order, and the loss of one moves only
/// its own duties (Thaler and Ravishankar, 1998).
pub fn rank_by_rendezvous(duty: u64, candidates: &[NameHash]) -> Vec<NameHash> {
    let mut ranked: Vec<NameHash> = candidates.to_vec();
    ranked.sort_by_key(|candidate| std::cmp::Reverse(XxHash64::oneshot(duty, &candidate.0.to_le_bytes())));
    ranked
}
