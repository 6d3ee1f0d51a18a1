//! `reedsail requests`.

use reedsail_events::Event;
use reedsail_events::merge_events;
use reedsail_fairness::ShareWindow;
use reedsail_fairness::WINDOW_S;

use crate::failure::Failure;
use crate::flags::requests::Requests;
use crate::log_lines::read_events;
use crate::request_summary::RequestCounts;
use crate::request_summary::RequestSummary;
use crate::request_summary::spread;
use crate::table::render_table;
use crate::workspace_summary::WorkspaceSummary;

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

    print_workspaces(&WorkspaceSummary::of(events));

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

/// Prints the tokens of each workspace and its worst window, the worst of all first.
fn print_workspaces(summary: &WorkspaceSummary) {
    let windows = summary.worst_windows();
    let window_of = |name: &String| windows.iter().find(|window| window.workspace == *name);
    let mut tokens: Vec<_> = summary.tokens.iter().collect();
    let ratio_of = |name: &String| window_of(name).map_or(f64::INFINITY, ShareWindow::ratio);
    tokens.sort_by(|(left, _), (right, _)| ratio_of(left).total_cmp(&ratio_of(right)));
    let rows: Vec<Vec<String>> = tokens
        .into_iter()
        .map(|(name, tokens)| {
            let counts = [
                tokens.requested,
                tokens.sent,
                tokens.begun,
                tokens.refused,
                tokens.over_share,
            ];
            let counts = counts.iter().map(ToString::to_string);
            let worst = window_of(name).map_or_else(
                || vec!["none".to_owned()],
                |window| {
                    let begins = format!("{:.2}", window.from_ms as f64 / 1_000.0);
                    vec![
                        format!("{:.2}", window.ratio()),
                        begins,
                        window.best_workspace.clone(),
                    ]
                },
            );
            std::iter::once(name.clone()).chain(counts).chain(worst).collect()
        })
        .collect();
    if rows.is_empty() {
        return;
    }
    let header = [
        "workspace",
        "tokens requested",
        "sent",
        "begun",
        "refused",
        "over share",
        "worst ratio",
        "at s",
        "best",
    ];
    println!("{}", render_table(&header, &rows));
    println!(
        "worst ratio: what a workspace got by half of what it was owed, over {WINDOW_S} s in each of which it was \
         refused or late; below 1 it got far less than its share\n"
    );
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
