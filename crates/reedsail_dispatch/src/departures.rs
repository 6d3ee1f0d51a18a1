//! Departures: which servers are draining or have departed, according to this instance's own list and to its peers.
//!
//! Owns both sets of departures and their expiry times. `server_list` decides which departures to apply.

use std::cmp::Reverse;
use std::collections::HashMap;

use reedsail_core::NameHash;
use reedsail_core::StorePosition;
use reedsail_core::TimeMs;

/// How long a departure advertised by a peer is valid, in milliseconds.
const ADVERTISED_DEPARTURE_MS: u64 = 5_000;
/// How long this instance advertises a departure, in milliseconds.
const ADVERTISE_MS: u64 = 15_000;

/// Maximum number of departures in one message. The message must fit a datagram even when the servers of a whole
/// failure domain depart. Peers fetch the remaining departures with the list.
const ADVERTISED_MAX: usize = 1_024;

/// How this instance learned of a departure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DepartureEvidence {
    /// The server's record said so, or the record was dropped while the store was healthy.
    Recorded,
    /// The record was missing for longer than a store outage explains. The server may still be healthy.
    Missing,
}

/// A departure that this instance advertises.
#[derive(Clone, Copy, Debug)]
struct Departure {
    until: TimeMs,
    evidence: DepartureEvidence,
    /// The position in the store's log as of which the server was gone or draining.
    as_of: StorePosition,
}

/// A departure that a peer advertises.
#[derive(Clone, Copy, Debug)]
struct AdvertisedDeparture {
    until: TimeMs,
    /// The latest position of a peer's list that has the departure.
    as_of: StorePosition,
}

/// The known departures, by the name of the server's incarnation.
#[derive(Clone, Debug, Default)]
pub(crate) struct Departures {
    /// Servers that are draining or have departed according to this instance's own list.
    own: HashMap<NameHash, Departure>,
    /// Departures advertised by peers.
    advertised: HashMap<NameHash, AdvertisedDeparture>,
}

impl Departures {
    /// Records that a server is draining or has departed as of a position in the store's log.
    pub(crate) fn record(
        &mut self,
        server: NameHash,
        evidence: DepartureEvidence,
        as_of: StorePosition,
        now: TimeMs,
    ) {
        let departure = Departure {
            until: now.plus_ms(ADVERTISE_MS),
            evidence,
            as_of,
        };
        self.own.insert(server, departure);
    }

    /// Records that a server is draining or has departed as of a position, unless that is known as of a later one.
    pub(crate) fn record_newer(&mut self, server: NameHash, as_of: StorePosition, now: TimeMs) {
        if !self.is_known_since(server, as_of) {
            self.record(server, DepartureEvidence::Recorded, as_of, now);
        }
    }

    /// Returns this instance's departures, each with its position in the store's log.
    pub(crate) fn positions(&self) -> impl Iterator<Item = (NameHash, StorePosition)> {
        self.own
            .iter()
            .map(|(server, departure)| (*server, departure.as_of))
    }

    /// Stores the departures that a peer advertises with a list of the given position. Returns those that no peer had
    /// advertised before.
    pub(crate) fn receive(
        &mut self,
        servers: &[NameHash],
        position: StorePosition,
        now: TimeMs,
    ) -> Vec<NameHash> {
        let until = now.plus_ms(ADVERTISED_DEPARTURE_MS);
        let mut unknown = Vec::new();
        for server in servers {
            let before = self.advertised.get(server);
            if before.is_none() {
                unknown.push(*server);
            }
            let as_of = before.map_or(position, |before| before.as_of.max(position));
            self.advertised
                .insert(*server, AdvertisedDeparture { until, as_of });
        }
        unknown
    }

    /// Returns whether there is any valid departure advertised by a peer.
    pub(crate) fn has_advertised(&self) -> bool {
        !self.advertised.is_empty()
    }

    /// Removes the departures of a server that accepts work as of a position in the store's log, unless they are newer.
    /// Returns the latest position of those that were removed.
    pub(crate) fn forget(&mut self, server: NameHash, as_of: StorePosition) -> Option<StorePosition> {
        let own = self.forget_own(server, as_of);
        own.max(self.forget_advertised(server, as_of))
    }

    fn forget_own(&mut self, server: NameHash, as_of: StorePosition) -> Option<StorePosition> {
        let departed_as_of = self.own.get(&server)?.as_of;
        if departed_as_of >= as_of {
            return None;
        }
        self.own.remove(&server);
        Some(departed_as_of)
    }

    /// Removes this instance's departure of a server whose record has reappeared, unless a record had announced the
    /// departure or it is newer. Returns the position of the departure.
    pub(crate) fn forget_inferred(
        &mut self,
        server: NameHash,
        as_of: StorePosition,
    ) -> Option<StorePosition> {
        if self.is_recorded(server) {
            return None;
        }
        self.forget_own(server, as_of)
    }

    /// Removes the departure of a server that peers advertised, unless it is newer than a list that has the server.
    /// Returns the position of the departure.
    pub(crate) fn forget_advertised(
        &mut self,
        server: NameHash,
        as_of: StorePosition,
    ) -> Option<StorePosition> {
        let departed_as_of = self.advertised.get(&server)?.as_of;
        if departed_as_of >= as_of {
            return None;
        }
        self.advertised.remove(&server);
        Some(departed_as_of)
    }

    /// Returns whether this instance's own list has the server as draining or departed as of a position or later.
    pub(crate) fn is_known_since(&self, server: NameHash, as_of: StorePosition) -> bool {
        let departure = self.own.get(&server);
        departure.is_some_and(|departure| departure.as_of >= as_of)
    }

    /// Returns whether this instance or a peer has recorded a departure of the server.
    pub(crate) fn has_any(&self, server: NameHash) -> bool {
        self.own.contains_key(&server) || self.advertised.contains_key(&server)
    }

    /// Returns whether this instance's own list has recorded that the server is draining or has departed.
    pub(crate) fn is_known(&self, server: NameHash) -> bool {
        self.own.contains_key(&server)
    }

    /// Returns whether the server's record said that it is draining or has departed.
    pub(crate) fn is_recorded(&self, server: NameHash) -> bool {
        let departure = self.own.get(&server);
        departure.is_some_and(|departure| departure.evidence == DepartureEvidence::Recorded)
    }

    /// Returns whether a peer has advertised the server's departure and that departure is still valid.
    pub(crate) fn is_advertised(&self, server: NameHash, now: TimeMs) -> bool {
        let departure = self.advertised.get(&server);
        departure.is_some_and(|departure| departure.until > now)
    }

    /// Returns the departures up to a position to advertise: the newest ones if there are more than fit a message.
    pub(crate) fn to_advertise(&self, until: StorePosition) -> Vec<NameHash> {
        let mut own: Vec<(Reverse<TimeMs>, NameHash)> = self
            .own
            .iter()
            .filter(|(_, departure)| departure.as_of <= until)
            .map(|(server, departure)| (Reverse(departure.until), *server))
            .collect();
        if own.len() > ADVERTISED_MAX {
            own.select_nth_unstable(ADVERTISED_MAX);
            own.truncate(ADVERTISED_MAX);
        }
        own.into_iter().map(|(_, server)| server).collect()
    }

    /// Drops expired departures and returns their servers.
    pub(crate) fn tick(&mut self, now: TimeMs) -> Vec<NameHash> {
        let mut expired = Vec::new();
        self.own.retain(|server, departure| {
            let is_valid = departure.until > now;
            if !is_valid {
                expired.push(*server);
            }
            is_valid
        });
        self.advertised.retain(|server, departure| {
            let is_valid = departure.until > now;
            if !is_valid {
                expired.push(*server);
            }
            is_valid
        });
        expired
    }
}
