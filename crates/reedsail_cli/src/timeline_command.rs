//! `reedsail timeline`.

use reedsail_events::Event;
use reedsail_events::chrome_trace;
use reedsail_events::merge_events;

use crate::admin_client;
use crate::failure::Failure;
use crate::failure::read_file;
use crate::failure::write_file;
use crate::flags::timeline::Timeline;
use crate::table::render_table;

/// Merges the events of daemons and files into one order.
pub(crate) async fn run(flags: &Timeline) -> Result<(), Failure> {
    let mut events = Vec::new();
    for daemon in &flags.daemon {
        let (_, body) = admin_client::get(*daemon, "/events").await?;
        parse_lines(&String::from_utf8_lossy(&body), &daemon.to_string(), &mut events)?;
    }
    for file in &flags.file {
        parse_lines(&read_file(file)?, &file.display().to_string(), &mut events)?;
    }
    let events = merge_events(events);
    if let Some(file) = &flags.chrome {
        return write_file(file, &chrome_trace(&events).to_string());
    }
    if flags.json {
        for event in &events {
            println!("{}", event.to_line());
        }
        return Ok(());
    }
    let rows: Vec<Vec<String>> = events.iter().map(event_row).collect();
    println!(
        "{}",
        render_table(&["clock", "instance", "event", "about"], &rows)
    );
    Ok(())
}

fn parse_lines(text: &str, source: &str, events: &mut Vec<Event>) -> Result<(), Failure> {
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

fn event_row(event: &Event) -> Vec<String> {
    let about: Vec<String> = event
        .fields
        .iter()
        .map(|(key, value)| format!("{key}={value}"))
        .collect();
    vec![
        event.clock.to_string(),
        event.instance.clone(),
        format!("{} {}", event.number, event.name),
        about.join(" "),
    ]
}
