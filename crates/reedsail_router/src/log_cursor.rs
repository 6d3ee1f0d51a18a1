//! How far a topic of a store's log is known.
//!
//! A store that comes back from an older copy of itself begins a new era and gives offsets out again, so an offset
//! counts within its era alone, and nothing of an older era counts any more.

use reedsail_core::StorePosition;

use crate::SourceError;

/// The place to read a topic from next, in the newest era that was seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogCursor {
    era: u32,
    /// `None` until everything of the era was read once.
    next: Option<u64>,
}

impl LogCursor {
    /// Returns the newest era that was seen.
    pub fn era(&self) -> u32 {
        self.era
    }

    /// Returns the offset to read from; `None` if everything is to be read.
    pub fn next(&self) -> Option<u64> {
        self.next
    }

    /// Sets the offset to read from in the current era; `None` to read everything.
    pub fn set_next(&mut self, next: Option<u64>) {
        self.next = next;
    }

    /// Returns an offset of the current era as a place in the log.
    pub fn position(&self, offset: u64) -> StorePosition {
        StorePosition::new(self.era, offset)
    }

    /// Passes over records before a place in the log; `true` if the place is of a newer era. What comes after a place
    /// of an older one is not known.
    pub fn skip_to(&mut self, place: StorePosition) -> bool {
        let begins_era = place.era > self.era;
        if begins_era {
            self.begin_era(place.era);
        }
        if place.era == self.era && place.offset > 0 {
            let next = self.next.map_or(place.offset, |next| next.max(place.offset));
            self.next = Some(next);
        }
        begins_era
    }

    /// Takes in the era that an answer of the store names; `true` if a newer era has begun.
    ///
    /// # Errors
    /// The answer is of an older era: it comes from before the store went back.
    pub fn observe_era(&mut self, era: u32) -> Result<bool, SourceError> {
        if era < self.era {
            let fault = format!("an answer of era {era} came after one of era {}", self.era);
            return Err(SourceError::Unreachable(fault));
        }
        let begins_era = era > self.era;
        if begins_era {
            self.begin_era(era);
        }
        Ok(begins_era)
    }

    fn begin_era(&mut self, era: u32) {
        *self = Self { era, next: None };
    }
}
