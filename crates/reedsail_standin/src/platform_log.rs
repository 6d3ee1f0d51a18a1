//! The streams of the log: offsets only grow, and records expire.

use std::collections::HashMap;
use std::collections::VecDeque;

use reedsail_log_client::LogPage;
use reedsail_log_client::LogRecord;

/// Maximum number of records in an answer.
const PAGE_RECORDS_MAX: usize = 1_000;

#[derive(Debug, Default)]
struct Stream {
    first_offset: u64,
    records: VecDeque<LogRecord>,
}

impl Stream {
    fn next_offset(&self) -> u64 {
        self.first_offset + self.records.len() as u64
    }
}

/// All streams of the log.
#[derive(Debug, Default)]
pub(crate) struct LogStreams {
    streams: HashMap<String, Stream>,
}

impl LogStreams {
    pub(crate) fn append(&mut self, stream: &str, data: Vec<u8>, unix_ms: u64) -> u64 {
        let stream = self.streams.entry(stream.to_owned()).or_default();
        let offset = stream.next_offset();
        stream.records.push_back(LogRecord {
            offset,
            appended_unix_ms: unix_ms,
            data,
        });
        offset
    }

    pub(crate) fn read(&self, stream: &str, from: u64) -> LogPage {
        let Some(stream) = self.streams.get(stream) else {
            return LogPage {
                first_offset: 0,
                next_offset: 0,
                records: Vec::new(),
            };
        };
        let skipped = from.saturating_sub(stream.first_offset) as usize;
        LogPage {
            first_offset: stream.first_offset,
            next_offset: stream.next_offset(),
            records: stream
                .records
                .iter()
                .skip(skipped)
                .take(PAGE_RECORDS_MAX)
                .cloned()
                .collect(),
        }
    }

    /// Drops the records that were appended before a time. The offsets of later records do not change.
    pub(crate) fn drop_before(&mut self, unix_ms: u64) {
        for stream in self.streams.values_mut() {
            while stream
                .records
                .front()
                .is_some_and(|record| record.appended_unix_ms < unix_ms)
            {
                stream.records.pop_front();
                stream.first_offset += 1;
            }
        }
    }
}
