//! `reedsail timeline`.

use reedsail_events::Event;
use reedsail_events::chrome_trace;
use reedsail_events::merge_events;

use crate::admin_client;
use crate::failure::Failure;
use crate::failure::write_file;
use crate::flags::timeline::Timeline;
use crate::log_lines::LogEvents;
use crate::log_lines::read_events;
use crate::table::render_table;

/// Merges the events of instances and files into one timeline.
pub(crate) async fn run(flags: &Timeline) -> Result<(), Failure> {
    let mut events = Vec::new();
    for address in &flags.daemon {
        let (_, body) = admin_client::get(*address, "/events").await?;
        let text = String::from_utf8_lossy(&body);
        events.extend(LogEvents::parse(&text, &address.to_string()).require_complete()?);
    }
    for file in &flags.file {
        events.extend(read_events(file)?.require_complete()?);
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
