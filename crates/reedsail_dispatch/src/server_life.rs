//! The life cycle of a server: whether it may get new work, given all that is known about it.
//!
//! **Rule.** A server gets no work if it is not listed, if it is draining according to its record or to a notice in
//! one of its answers, or if its failure domain is evacuated. A draining notice holds for the life of the
//! incarnation, whatever a list says: the list may be older, or the store unavailable. A cold server gets little work
//! (`slow_start`). A server is cold for as long as its record says. Since an unknown state counts as cold, it is also
//! cold for some time after nothing listened at its address and after the evacuation of its failure domain ended.
//!
//! **Inputs.** The server list (listed, draining, cold until), draining notices of the server in answers to this
//! instance or to a peer, evacuations, connects of this instance or a peer that failed because nothing listens there.
//!
//! **Why.** Everything that limits the use of a server is combined in one place: what may be sent follows from one
//! state, in which the strictest known condition counts.
//!
//! **Tested by** `tests/server_life.rs`, every state by every event.

use reedsail_core::TimeMs;

/// Whether a server may get new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifeState {
    /// The server is listed and handles as much load as others.
    Warm,
    /// The server has started recently, or may have, and handles little load.
    Cold,
    /// The server's failure domain is evacuated.
    Evacuated,
    /// The server finishes its running requests and gets no new ones.
    Draining,
    /// The server is not listed.
    Departed,
}

/// An event that changes the state of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifeEvent {
    /// The list names the server. Replaces what the list said before.
    Listed {
        /// Whether it is draining.
        is_draining: bool,
        /// Until when it is cold according to its record.
        cold_until: Option<TimeMs>,
    },
    /// The list no longer names the server.
    Unlisted,
    /// The server announced in an answer that it is draining.
    DrainingNotice,
    /// The server's failure domain is evacuated.
    Evacuated,
    /// The evacuation of the server's failure domain ended. The server may be cold until then.
    EvacuationEnded {
        /// The time from which it is warm unless its record says otherwise.
        cold_until: TimeMs,
    },
    /// Nothing listened at the server's address. It may have restarted and be cold until then.
    Down {
        /// The time from which it is warm unless its record says otherwise.
        cold_until: TimeMs,
    },
}

/// What the server list says of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Listing {
    /// The server is not listed.
    #[default]
    Unlisted,
    /// The server accepts work.
    Ready,
    /// The server is draining.
    Draining,
}

/// The life-cycle state of one server.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerLife {
    listing: Listing,
    /// Whether an answer of the server announced that it is draining. No list revokes this.
    has_draining_notice: bool,
    is_evacuated: bool,
    /// Until when it is cold according to its record.
    cold_until: Option<TimeMs>,
    /// Until when it may be cold although its record does not say so.
    assumed_cold_until: Option<TimeMs>,
}

impl ServerLife {
    /// Applies an event.
    pub fn apply(&mut self, event: LifeEvent) {
        match event {
            LifeEvent::Listed {
                is_draining,
                cold_until,
            } => {
                self.listing = if is_draining {
                    Listing::Draining
                } else {
                    Listing::Ready
                };
                self.cold_until = cold_until;
            }
            LifeEvent::Unlisted => self.listing = Listing::Unlisted,
            LifeEvent::DrainingNotice => self.has_draining_notice = true,
            LifeEvent::Evacuated => self.is_evacuated = true,
            LifeEvent::EvacuationEnded { cold_until } => {
                self.is_evacuated = false;
                self.assume_cold(cold_until);
            }
            LifeEvent::Down { cold_until } => self.assume_cold(cold_until),
        }
    }

    fn assume_cold(&mut self, until: TimeMs) {
        self.assumed_cold_until = self.assumed_cold_until.max(Some(until));
    }

    /// Returns the state at a given time.
    pub fn state(&self, now: TimeMs) -> LifeState {
        let is_cold = self.cold_until.max(self.assumed_cold_until) > Some(now);
        if !self.is_listed() {
            LifeState::Departed
        } else if self.drains() {
            LifeState::Draining
        } else if self.is_evacuated {
            LifeState::Evacuated
        } else if is_cold {
            LifeState::Cold
        } else {
            LifeState::Warm
        }
    }

    /// Returns whether the list names the server.
    pub fn is_listed(&self) -> bool {
        self.listing != Listing::Unlisted
    }

    /// Returns whether the server is draining, by the list or by a notice.
    pub fn drains(&self) -> bool {
        self.listing == Listing::Draining || self.has_draining_notice
    }

    /// Returns whether the server is draining only by a notice, while the list says that it accepts work.
    pub fn is_draining_by_notice_only(&self) -> bool {
        self.has_draining_notice && self.listing == Listing::Ready
    }

    /// Returns whether the server's failure domain is evacuated.
    pub fn is_evacuated(&self) -> bool {
        self.is_evacuated
    }
}
