//! `reedsail requests`.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use reedsail_events::Event;
use reedsail_events::merge_events;
use reedsail_fairness::ShareWindow;
use reedsail_fairness::WINDOW_S;

use crate::failure::Failure;
use crate::flags::requests::Requests;
use crate::lateness_summary::LatenessCounts;
use crate::lateness_summary::LatenessSummary;
use crate::log_lines::read_events;
use crate::request_summary::RequestCounts;
use crate::request_summary::RequestSummary;
use crate::request_summary::percentiles;
use crate::table::render_table;
use crate::workspace_summary::WorkspaceSummary;

/// Maximum number of servers in the summary. Servers with the most failures come first.
const SERVERS_SHOWN_MAX: usize = 20;

/// Counts request outcomes in log files, or prints the events of one request.
pub(crate) fn run(flags: &Requests) -> Result<(), Failure> {
    let mut events = Vec::new();
    for file in &flags.file {
        let read = read_events(file)?;
        if let Some(first) = read.faults.first() {
            let count = read.faults.len();
            eprintln!("reedsail: {count} lines are invalid and were skipped; first error: {first}");
        }
        events.extend(read.events);
    }
    if events.is_empty() {
        let text = "no events in the files; give log files of a router";
        return Err(Failure::Usage(text.to_owned()));
    }
    if let Some(id) = &flags.request {
        return print_request(events, id);
    }
    print_summary(&events);
    Ok(())
}

/// Prints every event of one request and, if it belongs to a stream that its caller continued, of the stream's other
/// attempts.
fn print_request(mut events: Vec<Event>, id: &str) -> Result<(), Failure> {
    let attempts = attempts_of_stream(&events, id);
    events.retain(|event| {
        event
            .fields
            .get("request")
            .is_some_and(|request| attempts.contains(request))
    });
    if events.is_empty() {
        let text =
            format!("no event of request `{id}` found: it was not logged, or another instance handled it");
        return Err(Failure::Usage(text));
    }
    for event in merge_events(events) {
        println!("{}", event.to_line());
    }
    Ok(())
}

/// Returns the requests of the stream that a request belongs to, that request included: the attempt that began the stream,
/// and all that continued it.
fn attempts_of_stream(events: &[Event], id: &str) -> BTreeSet<String> {
    let resumes = |event: &Event| {
        let resumes = event.fields.get("resumes").filter(|first| !first.is_empty());
        Some((event.fields.get("request")?.clone(), resumes?.clone()))
    };
    let continued: BTreeMap<String, String> = events.iter().filter_map(resumes).collect();
    let first = continued.get(id).map_or(id, String::as_str);
    let of_stream = continued
        .iter()
        .filter(|(_, of)| *of == first)
        .map(|(request, _)| request.as_str());
    of_stream.chain([first, id]).map(str::to_owned).collect()
}

fn print_summary(events: &[Event]) {
    let summary = RequestSummary::from_events(events);
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
    servers.truncate(SERVERS_SHOWN_MAX);
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

    print_workspaces(&WorkspaceSummary::from_events(events));
    print_lateness(&LatenessSummary::from_events(events));

    let distributions = [
        ("measured / expected time to first event", &summary.ratios),
        ("age of load report, ms", &summary.load_ages_ms),
    ];
    for (name, values) in distributions {
        if let Some(percentiles) = percentiles(values) {
            println!(
                "{name}: {} values, p10 {:.2}, p50 {:.2}, p90 {:.2}",
                percentiles.count, percentiles.p10, percentiles.p50, percentiles.p90
            );
        }
    }
    if summary.left_out > 0 {
        println!(
            "{} lines were left out by the logs; the counts cover only the lines that were written",
            summary.left_out
        );
    }
}

/// Prints the tokens of each workspace and its worst window, sorted from worst to best.
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
        "worst ratio: tokens begun plus slack, divided by half of the tokens the workspace was entitled to, over \
         {WINDOW_S} s with a refused or late request in each second; \
         below 1 it got far less than its share\n"
    );
}

/// Prints the causes of late answers, by service and for the servers with the most late answers.
fn print_lateness(summary: &LatenessSummary) {
    let services: Vec<_> = summary.services.iter().collect();
    let mut servers: Vec<_> = summary.servers.iter().collect();
    servers.sort_by_key(|(_, counts)| std::cmp::Reverse(counts.late()));
    servers.truncate(SERVERS_SHOWN_MAX);
    for (first_column, counts) in [("service", services), ("server", servers)] {
        if counts.is_empty() {
            return;
        }
        println!("{}\n", lateness_table(first_column, &counts));
    }
}

fn lateness_table(first_column: &str, counts: &[(&String, &LatenessCounts)]) -> String {
    let rows: Vec<Vec<String>> = counts
        .iter()
        .map(|(name, counts)| lateness_row(name, counts))
        .collect();
    let header = [
        first_column,
        "answered",
        "in time",
        "late by first event",
        "by pause",
        "by both",
        "after refusal",
        "longest pause p50 ms",
    ];
    render_table(&header, &rows)
}

fn lateness_row(name: &str, counts: &LatenessCounts) -> Vec<String> {
    let cells = [
        counts.answered(),
        counts.in_time,
        counts.by_first_event,
        counts.by_pause,
        counts.by_both,
        counts.after_refusal,
    ];
    let cells = cells.iter().map(ToString::to_string);
    let gap_ms = percentiles(&counts.longest_gaps_ms)
        .map_or("none".to_owned(), |percentiles| format!("{:.0}", percentiles.p50));
    let name = std::iter::once(name.to_owned());
    name.chain(cells).chain([gap_ms]).collect()
}

fn counts_table(first_column: &str, rows: &[Vec<String>]) -> String {
    render_table(
        &[first_column, "placed", "answered", "refused", "failed", "retried"],
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
