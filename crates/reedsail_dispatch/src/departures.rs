//! Departures: which servers drain or have departed, by this instance's own list and by what peers advertise.
//!
//! Owns both with the time until which each counts; `server_list` decides which of them to believe.

use std::cmp::Reverse;
use std::collections::HashMap;

use reedsail_core::NameHash;
use reedsail_core::TimeMs;

/// How long a departure that a peer advertised counts, in milliseconds.
const ADVERTISED_DEPARTURE_MS: u64 = 5_000;
/// How long this instance advertises a departure, in milliseconds.
const ADVERTISE_MS: u64 = 15_000;

/// Departures that one message advertises at most: it must fit a datagram, also while a whole failure domain's servers
/// depart. Peers fetch the others with the list.
const ADVERTISED_MAX: usize = 1_024;

/// How a departure is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Evidence {
    /// The server's record said it, or was dropped with nothing wrong.
    Recorded,
    /// Its record was missing for longer than trouble with the store explains. The server may be well.
    Missing,
}

/// A departure that this instance advertises.
#[derive(Clone, Copy, Debug)]
struct Departure {
    until: TimeMs,
    evidence: Evidence,
}

/// The departures that are known, by the name of the server's incarnation.
#[derive(Clone, Debug, Default)]
pub(crate) struct Departures {
    /// Servers that drain or departed, by this instance's own list.
    own: HashMap<NameHash, Departure>,
    /// Departures that peers advertised, and until when each counts.
    advertised: HashMap<NameHash, TimeMs>,
}

impl Departures {
    /// Records that a server drains or has departed.
    pub(crate) fn record(&mut self, server: NameHash, evidence: Evidence, now: TimeMs) {
        let until = now.plus_ms(ADVERTISE_MS);
        self.own.insert(server, Departure { until, evidence });
    }

    /// Takes in what a peer advertises; returns what was not known of it.
    pub(crate) fn receive(&mut self, servers: &[NameHash], now: TimeMs) -> Vec<NameHash> {
        let until = now.plus_ms(ADVERTISED_DEPARTURE_MS);
        let mut unknown = Vec::new();
        for server in servers {
            if self.advertised.insert(*server, until).is_none() {
                unknown.push(*server);
            }
        }
        unknown
    }

    /// Tells whether a departure that peers advertised counts.
    pub(crate) fn has_advertised(&self) -> bool {
        !self.advertised.is_empty()
    }

    /// Forgets a server that takes work.
    pub(crate) fn forget(&mut self, server: NameHash) {
        self.own.remove(&server);
        self.advertised.remove(&server);
    }

    /// Forgets a server whose record is there again, unless a record had said that it departs.
    pub(crate) fn forget_inferred(&mut self, server: NameHash) {
        if !self.is_recorded(server) {
            self.own.remove(&server);
        }
    }

    /// Forgets what peers advertised of a server; `true` if they did.
    pub(crate) fn forget_advertised(&mut self, server: NameHash) -> bool {
        self.advertised.remove(&server).is_some()
    }

    /// Tells whether anything is known of a server's departure.
    pub(crate) fn concern(&self, server: NameHash) -> bool {
        self.own.contains_key(&server) || self.advertised.contains_key(&server)
    }

    /// Tells whether this instance knows a server to drain or to have departed.
    pub(crate) fn is_known(&self, server: NameHash) -> bool {
        self.own.contains_key(&server)
    }

    /// Tells whether a server's record said that it drains or has departed.
    pub(crate) fn is_recorded(&self, server: NameHash) -> bool {
        let departure = self.own.get(&server);
        departure.is_some_and(|departure| departure.evidence == Evidence::Recorded)
    }

    /// Tells whether a peer advertised a server's departure lately.
    pub(crate) fn is_advertised(&self, server: NameHash, now: TimeMs) -> bool {
        self.advertised.get(&server).is_some_and(|until| *until > now)
    }

    /// Returns what this instance advertises: the newest, if there are more than a message holds.
    pub(crate) fn names(&self) -> Vec<NameHash> {
        let mut own: Vec<(Reverse<TimeMs>, NameHash)> = self
            .own
            .iter()
            .map(|(server, departure)| (Reverse(departure.until), *server))
            .collect();
        if own.len() > ADVERTISED_MAX {
            own.select_nth_unstable(ADVERTISED_MAX);
            own.truncate(ADVERTISED_MAX);
        }
        own.into_iter().map(|(_, server)| server).collect()
    }

    /// Drops what no longer counts, and returns the servers that it was known of.
    pub(crate) fn tick(&mut self, now: TimeMs) -> Vec<NameHash> {
        let mut ended = Vec::new();
        self.own.retain(|server, departure| {
            let counts = departure.until > now;
            if !counts {
                ended.push(*server);
            }
            counts
        });
        self.advertised.retain(|server, until| {
            let counts = *until > now;
            if !counts {
                ended.push(*server);
            }
            counts
        });
        ended
    }
}
