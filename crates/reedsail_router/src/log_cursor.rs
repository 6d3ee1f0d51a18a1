//! The read position in a topic of the store's log.
//!
//! A store that is restored from an older copy begins a new era and reuses offsets. An offset is therefore valid only
//! within its era, and positions of older eras are ignored.

use reedsail_core::StorePosition;

use crate::SourceError;

/// The offset to read a topic from next, in the newest known era.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogCursor {
    era: u32,
    /// `None` until the whole topic was read once in the era.
    next: Option<u64>,
}

impl LogCursor {
    /// Returns the newest known era.
    pub fn era(&self) -> u32 {
        self.era
    }

    /// Returns the offset to read from, or `None` if the whole topic must be read.
    pub fn next(&self) -> Option<u64> {
        self.next
    }

    /// Sets the offset to read from in the current era; `None` to read the whole topic.
    pub fn set_next(&mut self, next: Option<u64>) {
        self.next = next;
    }

    /// Returns the position in the log of an offset of the current era.
    pub fn position(&self, offset: u64) -> StorePosition {
        StorePosition::new(self.era, offset)
    }

    /// Skips the records before `target`. Returns whether `target` belongs to a newer era. A target in an older era is
    /// ignored, because the records after it are not known.
    pub fn skip_to(&mut self, target: StorePosition) -> bool {
        let is_new_era = target.era > self.era;
        if is_new_era {
            self.begin_era(target.era);
        }
        if target.era == self.era && target.offset > 0 {
            let next = self.next.map_or(target.offset, |next| next.max(target.offset));
            self.next = Some(next);
        }
        is_new_era
    }

    /// Records the era of an answer of the store. Returns whether a newer era has begun.
    ///
    /// # Errors
    /// Returns an error if the answer belongs to an older era: it dates from before the store was restored.
    pub fn observe_era(&mut self, era: u32) -> Result<bool, SourceError> {
        if era < self.era {
            let fault = format!(
                "the answer is of era {era}, older than the known era {}",
                self.era
            );
            return Err(SourceError::Unreachable(fault));
        }
        let is_new_era = era > self.era;
        if is_new_era {
            self.begin_era(era);
        }
        Ok(is_new_era)
    }

    fn begin_era(&mut self, era: u32) {
        *self = Self { era, next: None };
    }
}
