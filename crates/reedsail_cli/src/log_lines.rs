//! Parses events from log files and event files.

use std::path::Path;

use reedsail_events::Event;

use crate::failure::Failure;
use crate::failure::read_file;

/// Reads the events of a file.
pub(crate) fn read_events(file: &Path) -> Result<LogEvents, Failure> {
    Ok(LogEvents::parse(&read_file(file)?, &file.display().to_string()))
}

/// The parsed events of a text, and the errors of lines that look like an event but are invalid. Such lines
/// occur in a truncated log, or in one that two processes wrote.
#[derive(Debug, Default)]
pub(crate) struct LogEvents {
    pub(crate) events: Vec<Event>,
    pub(crate) faults: Vec<String>,
}

impl LogEvents {
    /// Parses a text. Lines without an event are skipped.
    pub(crate) fn parse(text: &str, source: &str) -> Self {
        let mut parsed = Self::default();
        for (index, line) in text.lines().enumerate() {
            // Lines of log files have a prefix before the event.
            let Some(start) = line.find("{\"clock\"") else {
                continue;
            };
            match Event::parse(&line[start..]) {
                Ok(event) => parsed.events.push(event),
                Err(error) => parsed
                    .faults
                    .push(format!("{source}, line {}: {error}", index + 1)),
            }
        }
        parsed
    }

    /// Returns the events, or an error if any line is invalid.
    pub(crate) fn require_complete(self) -> Result<Vec<Event>, Failure> {
        match self.faults.into_iter().next() {
            Some(fault) => Err(Failure::Usage(fault)),
            None => Ok(self.events),
        }
    }
}
