//! The newest record of every key of a topic, read page by page.
//!
//! The pages are not a snapshot: each holds the records that were the newest when it was read.

use reedsail_core::StorePosition;
use reedsail_core::TimeMs;

/// How long unfinished pages stay valid, in milliseconds. After that they are read again, because much may have changed.
const PAGES_VALID_MS: u64 = 3_000;

/// A record with its position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PositionedRecord<R> {
    /// The position in the log as of which the record is the newest of its key.
    pub as_of: StorePosition,
    /// The record.
    pub record: R,
}

/// The pages that were read so far.
#[derive(Debug)]
pub struct NewestRecords<R> {
    first_end: u64,
    valid_until: TimeMs,
    last_key: Option<String>,
    records: Vec<PositionedRecord<R>>,
}

impl<R> NewestRecords<R> {
    /// Begins with no page. The log ended at `first_end` when the first one was read, at `now`.
    pub fn new(first_end: u64, now: TimeMs) -> Self {
        Self {
            first_end,
            valid_until: now.plus_ms(PAGES_VALID_MS),
            last_key: None,
            records: Vec::new(),
        }
    }

    /// Returns whether a read may continue after these pages.
    pub fn is_valid(&self, now: TimeMs) -> bool {
        now < self.valid_until
    }

    /// Returns the key after which the next page begins; `None` for the first page.
    pub fn last_key(&self) -> Option<&str> {
        self.last_key.as_deref()
    }

    /// Adds a page that was read when the log ended at `end`. A record without a readable key has none. Returns whether
    /// the last key differs from that of the page before.
    pub fn add_page(&mut self, page: impl Iterator<Item = (Option<String>, R)>, end: StorePosition) -> bool {
        let mut last_key = self.last_key.clone();
        for (key, record) in page {
            last_key = key.or(last_key);
            self.records.push(PositionedRecord { as_of: end, record });
        }
        let advances = last_key != self.last_key;
        self.last_key = last_key;
        advances
    }

    /// Returns the records, in the order of the keys, and the offset from which the log must be read again: records that
    /// were written since the first page may be missing.
    pub fn into_records(self) -> (Vec<PositionedRecord<R>>, u64) {
        (self.records, self.first_end)
    }
}
