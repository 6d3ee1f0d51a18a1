//! `reedsail requests`.

use reedsail_events::Event;
use reedsail_events::merge_events;

use crate::failure::Failure;
use crate::flags::requests::Requests;
use crate::log_lines::read_events;
use crate::request_summary::RequestCounts;
use crate::request_summary::RequestSummary;
use crate::request_summary::spread;
use crate::table::render_table;

/// Servers that the summary shows, those with the most failures first.
const SERVERS_SHOWN: usize = 20;

/// Counts what became of the requests in log files, or follows one of them.
pub(crate) fn run(flags: &Requests) -> Result<(), Failure> {
    let mut events = Vec::new();
    for file in &flags.file {
        let read = read_events(file)?;
        if let Some(first) = read.faults.first() {
            let count = read.faults.len();
            eprintln!("reedsail: {count} lines cannot be read and do not count; the first is {first}");
        }
        events.extend(read.events);
    }
    if events.is_empty() {
        let text = "no event in the files; give files with a router's log lines";
        return Err(Failure::Usage(text.to_owned()));
    }
    if let Some(id) = &flags.request {
        return follow(events, id);
    }
    summarise(&events);
    Ok(())
}

/// Prints every line about one request.
fn follow(mut events: Vec<Event>, id: &str) -> Result<(), Failure> {
    events.retain(|event| event.fields.get("request").is_some_and(|request| request == id));
    if events.is_empty() {
        let text =
            format!("no line names the request `{id}`: it was not logged, or came by another instance");
        return Err(Failure::Usage(text));
    }
    for event in merge_events(events) {
        println!("{}", event.to_line());
    }
    Ok(())
}

fn summarise(events: &[Event]) {
    let summary = RequestSummary::of(events);
    let ends: u64 = summary.reasons.values().sum();
    let reasons: Vec<Vec<String>> = summary
        .reasons
        .iter()
        .map(|(reason, count)| {
            let share = *count as f64 / ends.max(1) as f64;
            vec![reason.clone(), count.to_string(), format!("{share:.3}")]
        })
        .collect();
    println!("{}\n", render_table(&["reason", "requests", "share"], &reasons));

    let mut servers: Vec<(&String, &RequestCounts)> = summary.servers.iter().collect();
    servers.sort_by_key(|(_, counts)| std::cmp::Reverse(counts.failed));
    servers.truncate(SERVERS_SHOWN);
    let servers: Vec<Vec<String>> = servers
        .into_iter()
        .map(|(server, counts)| counts_row(server.clone(), counts))
        .collect();
    println!("{}\n", counts_table("server", &servers));

    let seconds: Vec<Vec<String>> = summary
        .seconds
        .iter()
        .map(|(second, counts)| counts_row(second.to_string(), counts))
        .collect();
    println!("{}\n", counts_table("second", &seconds));

    let spreads = [
        ("measured by expected time", &summary.ratios),
        ("age of load, ms", &summary.load_ages_ms),
    ];
    for (name, values) in spreads {
        if let Some(spread) = spread(values) {
            println!(
                "{name}: {} values, lowest tenth {:.2}, middle {:.2}, highest tenth {:.2}",
                spread.count, spread.low, spread.middle, spread.high
            );
        }
    }
    if summary.left_out > 0 {
        println!(
            "{} lines were left out by the logs; the counts are of those written",
            summary.left_out
        );
    }
}

fn counts_table(first: &str, rows: &[Vec<String>]) -> String {
    render_table(
        &[first, "placed", "answered", "refused", "failed", "retried"],
        rows,
    )
}

fn counts_row(name: String, counts: &RequestCounts) -> Vec<String> {
    let counts = [
        counts.placed,
        counts.answered,
        counts.refused,
        counts.failed,
        counts.retried,
    ];
    let cells = counts.iter().map(ToString::to_string);
    std::iter::once(name).chain(cells).collect()
}
