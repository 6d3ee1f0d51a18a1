//! Reads events from log lines and from files of events.

use std::path::Path;

use reedsail_events::Event;

use crate::failure::Failure;
use crate::failure::read_file;

/// Reads the events of a file.
pub(crate) fn read_events(file: &Path, events: &mut Vec<Event>) -> Result<(), Failure> {
    parse_events(&read_file(file)?, &file.display().to_string(), events)
}

/// Reads the events of a text; lines without one are passed over.
pub(crate) fn parse_events(text: &str, source: &str, events: &mut Vec<Event>) -> Result<(), Failure> {
    for (index, line) in text.lines().enumerate() {
        // Log files have a prefix before the event.
        let Some(start) = line.find("{\"clock\"") else {
            continue;
        };
        let event = Event::parse(&line[start..])
            .map_err(|error| Failure::Usage(format!("{source}, line {}: {error}", index + 1)))?;
        events.push(event);
    }
    Ok(())
}
