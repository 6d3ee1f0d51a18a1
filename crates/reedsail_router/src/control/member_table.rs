//! The daemons that are known, and when each was last heard.

use std::collections::HashMap;
use std::net::SocketAddrV4;

use reedsail_core::NameHash;
use reedsail_core::TimeMs;
use reedsail_dispatch::GossipTiming;
use reedsail_wire::LoadMessage;
use reedsail_wire::MemberRow;

/// How often a daemon that does not answer is told all the same.
const SILENT_EVERY_MS: u64 = 1_000;
/// A daemon that was not heard for so long is forgotten.
const FORGET_MS: u64 = 30_000;
/// How many daemons one message names.
const ROWS_PER_MESSAGE: usize = 8;

/// What a daemon last said of itself.
#[derive(Clone, Debug)]
pub(crate) struct Member {
    pub(crate) address: SocketAddrV4,
    /// When it was heard; for one that others named, when that was.
    pub(crate) heard_at: TimeMs,
    pub(crate) is_heard: bool,
    pub(crate) incarnation: u32,
    pub(crate) sequence: u32,
    pub(crate) failure_domain: NameHash,
    pub(crate) configuration_version: u64,
    pub(crate) servers_revision: u64,
    pub(crate) is_stopping: bool,
    told_at: TimeMs,
}

/// What a message has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Heard {
    /// It is older than one that was heard.
    Stale,
    /// The daemon was silent or unknown before.
    Anew,
    /// The daemon was alive before.
    Again,
}

/// The daemons that are known.
#[derive(Debug, Default)]
pub(crate) struct MemberTable {
    members: HashMap<NameHash, Member>,
    seeds: Vec<SocketAddrV4>,
    seeds_told_at: TimeMs,
    rows_from: usize,
    times: GossipTiming,
}

impl MemberTable {
    pub(crate) fn set_seeds(&mut self, seeds: Vec<SocketAddrV4>) {
        self.seeds = seeds;
        self.seeds_told_at = TimeMs(0);
    }

    /// Takes in a message; one that overtook a newer one is stale.
    pub(crate) fn hear(&mut self, message: &LoadMessage, from: SocketAddrV4, now: TimeMs) -> Heard {
        for row in &message.members {
            self.learn(*row, now);
        }
        let peer_silent_ms = self.times.peer_silent_ms;
        let known = self.members.get(&message.instance);
        let is_alive =
            known.is_some_and(|member| member.is_heard && now.since_ms(member.heard_at) < peer_silent_ms);
        let is_stale = known.is_some_and(|member| {
            member.is_heard
                && member.incarnation == message.incarnation
                && member.sequence >= message.sequence
        });
        if is_stale {
            return Heard::Stale;
        }
        let told_at = known.map_or(TimeMs(0), |member| member.told_at);
        let member = Member {
            address: from,
            heard_at: now,
            is_heard: true,
            incarnation: message.incarnation,
            sequence: message.sequence,
            failure_domain: message.failure_domain,
            configuration_version: message.configuration_version,
            servers_revision: message.servers_revision,
            is_stopping: message.is_stopping,
            told_at,
        };
        self.members.insert(message.instance, member);
        if is_alive { Heard::Again } else { Heard::Anew }
    }

    fn learn(&mut self, row: MemberRow, now: TimeMs) {
        self.members.entry(row.instance).or_insert(Member {
            address: row.address,
            heard_at: now,
            is_heard: false,
            incarnation: 0,
            sequence: 0,
            failure_domain: NameHash::default(),
            configuration_version: 0,
            servers_revision: 0,
            is_stopping: false,
            told_at: TimeMs(0),
        });
    }

    /// Returns the daemons that went silent since the last call, and forgets those long silent.
    pub(crate) fn drop_silent(&mut self, now: TimeMs) -> Vec<(NameHash, SocketAddrV4)> {
        self.members
            .retain(|_, member| now.since_ms(member.heard_at) < FORGET_MS);
        let peer_silent_ms = self.times.peer_silent_ms;
        let mut silent = Vec::new();
        for (instance, member) in &mut self.members {
            if member.is_heard && now.since_ms(member.heard_at) >= peer_silent_ms {
                member.is_heard = false;
                silent.push((*instance, member.address));
            }
        }
        self.times = GossipTiming::of(self.alive().count());
        silent
    }

    /// Returns the addresses that are to be told in this round.
    pub(crate) fn targets(&mut self, now: TimeMs) -> Vec<SocketAddrV4> {
        let mut targets = Vec::new();
        for member in self.members.values_mut() {
            if member.is_heard || now.since_ms(member.told_at) >= SILENT_EVERY_MS {
                member.told_at = now;
                targets.push(member.address);
            }
        }
        if now.since_ms(self.seeds_told_at) >= SILENT_EVERY_MS {
            self.seeds_told_at = now;
            let unknown = self.seeds.iter().filter(|seed| !targets.contains(seed));
            targets.extend(unknown.copied().collect::<Vec<_>>());
        }
        targets
    }

    /// Returns some daemons for the next message, a different part each time.
    pub(crate) fn rows(&mut self) -> Vec<MemberRow> {
        let mut heard: Vec<MemberRow> = self
            .members
            .iter()
            .filter(|(_, member)| member.is_heard)
            .map(|(instance, member)| MemberRow {
                instance: *instance,
                address: member.address,
            })
            .collect();
        heard.sort_by_key(|row| row.instance);
        if heard.is_empty() {
            return heard;
        }
        self.rows_from = (self.rows_from + ROWS_PER_MESSAGE) % heard.len().max(ROWS_PER_MESSAGE);
        let from = self.rows_from % heard.len();
        heard.rotate_left(from);
        heard.truncate(ROWS_PER_MESSAGE);
        heard
    }

    /// Tells whether no daemon of the failure domain that was heard just now has a smaller name: of
    /// each domain, that daemon reads the store and tells the others.
    pub(crate) fn is_first_of_domain(&self, own: NameHash, domain: NameHash, now: TimeMs) -> bool {
        let peer_silent_ms = self.times.reader_silent_ms;
        !self.members.iter().any(|(instance, member)| {
            member.is_heard
                && !member.is_stopping
                && member.failure_domain == domain
                && now.since_ms(member.heard_at) < peer_silent_ms
                && *instance < own
        })
    }

    /// Returns the times that follow from how many daemons were heard at the last tick: messages are
    /// far more frequent.
    pub(crate) fn times(&self) -> GossipTiming {
        self.times
    }

    /// Returns the daemons that were heard lately.
    pub(crate) fn alive(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter(|member| member.is_heard)
    }
}
