//! The life of a server: whether it may get new work, from all that is known of it.
//!
//! **Rule.** A server that is not listed has departed and gets nothing; neither does one that drains, by its record
//! or by an answer of its own, nor one whose failure domain is evacuated. What an answer said holds for the life of that
//! incarnation, whatever a list says: a list may be older, or the store out. A cold one gets little (`slow_start`). A
//! server is cold as long as its record says, and, since what is unknown counts as cold, for a while after nothing
//! answered at its address and after its failure domain was taken back.
//!
//! **Inputs.** The server list (listed, draining, cold until), answers to this instance or a peer in which the server
//! says that it drains, evacuations, connects that failed here or at a peer because nothing listens there.
//!
//! **Why.** One place for all of it: what may be sent to a server follows from one state, in which the
//! strictest of what is known counts.
//!
//! **Tested by** `tests/server_life.rs`, every state by every event.

use reedsail_core::TimeMs;

/// Whether a server may get new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifeState {
    /// It is listed and bears as much as others.
    Warm,
    /// It has started lately, or may have, and bears little.
    Cold,
    /// Its failure domain is evacuated.
    Evacuated,
    /// It finishes what it runs.
    Draining,
    /// It is not listed.
    Departed,
}

/// What is learned of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifeEvent {
    /// The list names it; replaces what the list said before.
    Listed {
        /// It drains.
        is_draining: bool,
        /// Until when it is cold by its own word.
        cold_until: Option<TimeMs>,
    },
    /// The list names it no more.
    Unlisted,
    /// It said in an answer that it drains.
    SaidDraining,
    /// Its failure domain is evacuated.
    Evacuated,
    /// Its failure domain was taken back; it may be cold until then.
    Returned {
        /// The moment from which it is warm unless its record says otherwise.
        cold_until: TimeMs,
    },
    /// Nothing answered at its address; it may have started again and be cold until then.
    Down {
        /// The moment from which it is warm unless its record says otherwise.
        cold_until: TimeMs,
    },
}

/// What the server list says of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Listing {
    /// It is not listed.
    #[default]
    Unlisted,
    /// It takes work.
    Ready,
    /// It drains.
    Draining,
}

/// What is known of one server.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerLife {
    listing: Listing,
    /// It drains by an answer of its own, which no list takes back.
    has_said_draining: bool,
    is_evacuated: bool,
    /// Until when it is cold by its own word.
    cold_until: Option<TimeMs>,
    /// Until when it may be cold though its record does not say so.
    assumed_cold_until: Option<TimeMs>,
}

impl ServerLife {
    /// Takes in what was learned.
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
            LifeEvent::SaidDraining => self.has_said_draining = true,
            LifeEvent::Evacuated => self.is_evacuated = true,
            LifeEvent::Returned { cold_until } => {
                self.is_evacuated = false;
                self.assume_cold(cold_until);
            }
            LifeEvent::Down { cold_until } => self.assume_cold(cold_until),
        }
    }

    fn assume_cold(&mut self, until: TimeMs) {
        self.assumed_cold_until = self.assumed_cold_until.max(Some(until));
    }

    /// Returns the state at a moment.
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

    /// Tells whether the list names the server.
    pub fn is_listed(&self) -> bool {
        self.listing != Listing::Unlisted
    }

    /// Tells whether the server drains, by the list or by an answer.
    pub fn drains(&self) -> bool {
        self.listing == Listing::Draining || self.has_said_draining
    }

    /// Tells whether the server drains by an answer alone, while the list says that it takes work.
    pub fn drains_by_answer_alone(&self) -> bool {
        self.has_said_draining && self.listing == Listing::Ready
    }

    /// Tells whether the server's failure domain is evacuated.
    pub fn is_evacuated(&self) -> bool {
        self.is_evacuated
    }
}
