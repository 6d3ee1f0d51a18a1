//! Reads events from log lines and from files of events.

use std::path::Path;

use reedsail_events::Event;

use crate::failure::Failure;
use crate::failure::read_file;

/// Reads the events of a file.
pub(crate) fn read_events(file: &Path) -> Result<LogEvents, Failure> {
    Ok(LogEvents::of(&read_file(file)?, &file.display().to_string()))
}

/// The events of a text, and the lines that look like one and cannot be read: a log that is cut off, or
/// written by two processes, has some.
#[derive(Debug, Default)]
pub(crate) struct LogEvents {
    pub(crate) events: Vec<Event>,
    pub(crate) faults: Vec<String>,
}

impl LogEvents {
    /// Reads a text; lines without an event are passed over.
    pub(crate) fn of(text: &str, source: &str) -> Self {
        let mut read = Self::default();
        for (index, line) in text.lines().enumerate() {
            // Log files have a prefix before the event.
            let Some(start) = line.find("{\"clock\"") else {
                continue;
            };
            match Event::parse(&line[start..]) {
                Ok(event) => read.events.push(event),
                Err(error) => read.faults.push(format!("{source}, line {}: {error}", index + 1)),
            }
        }
        read
    }

    /// Returns the events if every line could be read.
    pub(crate) fn complete(self) -> Result<Vec<Event>, Failure> {
        match self.faults.into_iter().next() {
            Some(fault) => Err(Failure::Usage(fault)),
            None => Ok(self.events),
        }
    }
}
