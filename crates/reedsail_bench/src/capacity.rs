//! Works the size to design for out of measured slopes, for docs/CAPACITY.md.

use std::fmt::Write as _;

use crate::SlopesReport;

/// The letter's size.
const DAEMONS: f64 = 320.0;
const DOMAINS: f64 = 6.0;
const SERVICES: f64 = 25.0;
const ENGINES: f64 = 830.0;
const REQUESTS_PER_S: f64 = 5_700.0;
const TOKENS_PER_S: f64 = 2_200_000.0;
const WORKSPACES: f64 = 4_600.0;
const BACKLOGGED: f64 = 460.0;
const CHANGES_PER_DAY: f64 = 660.0;
const REPLACED_PER_DAY: f64 = 370.0;
/// What a daemon may spend on control.
const BUDGET_CPU_US_PER_S: f64 = 10_000.0;
const BUDGET_MEMORY_BYTES: f64 = 32e6;
const BUDGET_BYTES_PER_S: f64 = 2_048.0;
/// What reports may take of that; the rest is for the log and the list.
const REPORT_BYTES_PER_S: f64 = 1_700.0;
/// Ticks a second of the control state, and what one of a service without work takes at most.
const TICKS_PER_S: f64 = 20.0;
/// Tokens between two charges of a stream.
const TOKENS_PER_CHARGE: f64 = 8.0;
/// A long poll of the log or the list: so many bytes in so many seconds.
const POLL_BYTES: f64 = 400.0;
const POLL_S: f64 = 10.0;
/// Base64 in a JSON answer, for what the log returns.
const BASE64_FACTOR: f64 = 4.0 / 3.0;
/// A signed record beside its content.
const ENVELOPE_BYTES: f64 = 700.0;
/// Appends a second that the log takes for the whole fleet.
const APPENDS_PER_S: f64 = 100.0;
/// An append and its read at the log, in milliseconds.
const APPEND_ROUND_MS: f64 = 15.0;
const DAY_S: f64 = 86_400.0;
/// How long a key is remembered, and keyed calls a second over the fleet, for the claim table.
const CLAIM_MINUTES: f64 = 50.0;
const KEYED_PER_S: f64 = 300.0;

/// What one daemon has to do with at the letter's size.
struct Size {
    daemons_per_domain: f64,
    /// Allocators that a daemon reports to: those among its domain's daemons with a duty.
    pairs: f64,
    /// Workspaces active at one daemon and service.
    rows: f64,
    /// Services that a daemon allocates, on average.
    duties: f64,
}

impl Size {
    fn letter() -> Self {
        let daemons_per_domain = DAEMONS / DOMAINS;
        let without_duty = (1.0 - 1.0 / daemons_per_domain).powf(SERVICES);
        Self {
            daemons_per_domain,
            pairs: daemons_per_domain * (1.0 - without_duty),
            rows: BACKLOGGED / SERVICES,
            duties: SERVICES * DOMAINS / DAEMONS,
        }
    }

    /// Bytes of one round of reports as a member: to each allocator, with all its services.
    fn member_round_bytes(&self, slopes: &SlopesReport) -> f64 {
        self.pairs * slopes.exchange_bytes.base + SERVICES * self.rows * slopes.exchange_bytes.each
    }

    /// Bytes of one round between domains: to and from the five others, for each duty.
    fn domain_round_bytes(&self, slopes: &SlopesReport) -> f64 {
        self.duties * 2.0 * (DOMAINS - 1.0) * slopes.exchange_bytes.at(self.rows)
    }

    /// A daemon serves as many reports as it sends, on average.
    fn round_bytes(&self, slopes: &SlopesReport) -> f64 {
        2.0 * self.member_round_bytes(slopes) + self.domain_round_bytes(slopes)
    }

    fn round_s(&self, slopes: &SlopesReport) -> f64 {
        self.round_bytes(slopes) / REPORT_BYTES_PER_S
    }
}

/// Returns the generated part of docs/CAPACITY.md.
pub fn capacity_tables(slopes: &SlopesReport) -> String {
    let size = Size::letter();
    let mut text = String::new();
    write_slopes(&mut text, slopes);
    write_roles(&mut text, slopes, &size);
    write_budgets(&mut text, slopes, &size);
    text
}

fn write_slopes(text: &mut String, slopes: &SlopesReport) {
    let rows = [
        &slopes.allocator_report_us,
        &slopes.allocator_members_us,
        &slopes.allocator_memory_bytes,
        &slopes.daemon_report_us,
        &slopes.daemon_request_us,
        &slopes.daemon_memory_bytes,
        &slopes.exchange_bytes,
        &slopes.exchange_cpu_us,
        &slopes.bundle_bytes,
        &slopes.bundle_packed_bytes,
        &slopes.bundle_patch_bytes,
        &slopes.bundle_read_ms,
        &slopes.claim_memory_bytes,
        &slopes.claim_record_bytes,
    ];
    text.push_str("### Slopes\n\n| what | base | each | row |\n|---|---|---|---|\n");
    for slope in rows {
        // Writing to a string does not fail.
        let _ = writeln!(
            text,
            "| {} | {:.1} | {:.3} | {} |",
            slope.what, slope.base, slope.each, slope.per
        );
    }
}

fn write_roles(text: &mut String, slopes: &SlopesReport, size: &Size) {
    let round_s = size.round_s(slopes);
    let served_per_s = SERVICES / round_s;
    let active_per_service = BACKLOGGED / SERVICES;
    let allocator_us = slopes.allocator_report_us.at(active_per_service);
    let report_us = slopes.daemon_report_us.at(size.rows);
    let exchange_us = slopes.exchange_cpu_us.at(size.rows) / 2.0;
    let requests_per_s = REQUESTS_PER_S / DAEMONS;
    let tokens_per_s = TOKENS_PER_S / DAEMONS;
    let claim_bytes = slopes.claim_memory_bytes.each * KEYED_PER_S * 60.0 * CLAIM_MINUTES;
    text.push_str("\n### Each role at the letter's size\n\n| role | state | messages | processor | mechanism |\n|---|---|---|---|---|\n");
    // Writing to a string does not fail.
    let _ = writeln!(
        text,
        "| entry daemon, as member | {:.1} MB: {SERVICES} services, {:.0} workspaces active in each | {:.1} KB a round, a round each {:.1} s | {:.2} ms a round, and {:.2} ms/s for {:.0} requests and {:.0} charges a second | reports and grants, one a peer; `BytePacer` |",
        SERVICES * slopes.daemon_memory_bytes.at(WORKSPACES) / 1e6,
        size.rows,
        size.member_round_bytes(slopes) / 1e3,
        round_s,
        SERVICES * (report_us + exchange_us) / 1e3,
        (requests_per_s + tokens_per_s / TOKENS_PER_CHARGE / 10.0) * slopes.daemon_request_us.at(size.rows)
            / 1e3,
        requests_per_s,
        tokens_per_s / TOKENS_PER_CHARGE,
    );
    let _ = writeln!(
        text,
        "| allocator, {:.2} a daemon | {:.2} MB for {:.0} members | {:.1} reports/s served | {:.2} ms/s | `Allocator::on_report`, shares computed at most each 100 ms |",
        size.duties,
        slopes.allocator_memory_bytes.at(size.daemons_per_domain) / 1e6,
        size.daemons_per_domain,
        served_per_s,
        served_per_s * (allocator_us + exchange_us) / 1e3,
    );
    let _ = writeln!(
        text,
        "| domain link | in the allocator | {:.1} KB a round | {:.2} ms a round | `domain_report`, lending by the same grant |",
        size.domain_round_bytes(slopes) / 1e3,
        size.duties * 2.0 * (DOMAINS - 1.0) * (allocator_us + exchange_us) / 1e3,
    );
    let _ = writeln!(
        text,
        "| claim writer, one a domain and shard | {:.1} MB if all {CLAIM_MINUTES} minutes at {KEYED_PER_S} keyed calls/s are asked for at one writer | {:.0} appends/s a writer at a window of 60 ms | {:.0} B a claim with its end | `ClaimWriter`; streams by minute |",
        claim_bytes / 1e6,
        1_000.0 / (60.0 + APPEND_ROUND_MS),
        slopes.claim_record_bytes.each,
    );
    let patch_bytes = (slopes.bundle_patch_bytes.at(WORKSPACES) + ENVELOPE_BYTES) * BASE64_FACTOR;
    let _ = writeln!(
        text,
        "| bundle follower | {:.1} MB: the text and what is read of it, twice while it changes | {:.1} KB a change | {:.0} ms a change | `BundleFollower`, patches; long polling |",
        slopes.bundle_bytes.at(WORKSPACES) * 4.0 / 1e6,
        patch_bytes / 1e3,
        slopes.bundle_read_ms.at(WORKSPACES),
    );
}

fn write_budgets(text: &mut String, slopes: &SlopesReport, size: &Size) {
    let round_s = size.round_s(slopes);
    let patch_bytes = (slopes.bundle_patch_bytes.at(WORKSPACES) + ENVELOPE_BYTES) * BASE64_FACTOR;
    let changes_bytes_per_s = patch_bytes * CHANGES_PER_DAY / DAY_S;
    let checkpoint_bytes = slopes.bundle_packed_bytes.at(WORKSPACES) * BASE64_FACTOR;
    let list_bytes_per_s = REPLACED_PER_DAY * 3.0 * 250.0 / DAY_S;
    let polls_bytes_per_s = 2.0 * POLL_BYTES / POLL_S;
    let other_bytes_per_s = changes_bytes_per_s + list_bytes_per_s + polls_bytes_per_s;
    let tick_us_per_s = TICKS_PER_S * SERVICES * slopes.daemon_report_us.at(size.rows) / 2.0;
    let control_us = SERVICES
        * (slopes.daemon_report_us.at(size.rows) + slopes.exchange_cpu_us.at(size.rows))
        + SERVICES * slopes.allocator_report_us.at(size.rows);
    let read_us_per_s = slopes.bundle_read_ms.at(WORKSPACES) * 1e3 * CHANGES_PER_DAY / DAY_S;
    let cpu_us_per_s = tick_us_per_s + control_us / round_s + read_us_per_s;
    let memory_bytes = SERVICES * slopes.daemon_memory_bytes.at(WORKSPACES)
        + size.duties * slopes.allocator_memory_bytes.at(size.daemons_per_domain)
        + slopes.bundle_bytes.at(WORKSPACES) * 4.0;
    let six_writers = DOMAINS * 1_000.0 / (60.0 + APPEND_ROUND_MS);
    let slower_writers = DOMAINS * 1_000.0 / (100.0 + APPEND_ROUND_MS);
    text.push_str("\n### Budgets\n\n| need | budget | worked out | headroom | what gives first |\n|---|---|---|---|---|\n");
    // Writing to a string does not fail.
    let _ = writeln!(
        text,
        "| control bytes of a daemon | {BUDGET_BYTES_PER_S:.0} B/s | {REPORT_BYTES_PER_S:.0} for reports (by pacing) + {other_bytes_per_s:.0} for log and list | {:.0} B/s | the round: {round_s:.1} s instead of half a second |",
        BUDGET_BYTES_PER_S - REPORT_BYTES_PER_S - other_bytes_per_s,
    );
    let _ = writeln!(
        text,
        "| control processor time | {:.0} ms/s | {:.1} ms/s: ticks {:.1}, rounds {:.1}, bundles {:.1} | {:.1} ms/s | ticks of {SERVICES} services |",
        BUDGET_CPU_US_PER_S / 1e3,
        cpu_us_per_s / 1e3,
        tick_us_per_s / 1e3,
        control_us / round_s / 1e3,
        read_us_per_s / 1e3,
        (BUDGET_CPU_US_PER_S - cpu_us_per_s) / 1e3,
    );
    let _ = writeln!(
        text,
        "| control memory | {:.0} MB | {:.1} MB | {:.1} MB | workspaces that use many services at one daemon ({:.0} B an entry) |",
        BUDGET_MEMORY_BYTES / 1e6,
        memory_bytes / 1e6,
        (BUDGET_MEMORY_BYTES - memory_bytes) / 1e6,
        slopes.daemon_memory_bytes.each,
    );
    let _ = writeln!(
        text,
        "| appends of the fleet | {APPENDS_PER_S:.0}/s | {six_writers:.0}/s from {DOMAINS:.0} writers at a window of 60 ms; {slower_writers:.0}/s at 100 ms | {:.0}/s | set `claims.batch_window_ms: 100` beyond three domains |",
        APPENDS_PER_S - slower_writers,
    );
    let _ = writeln!(
        text,
        "| bundle changes | {CHANGES_PER_DAY:.0} a day | {changes_bytes_per_s:.0} B/s of {:.1} KB each | | checkpoints: {:.0} KB each time, {:.0} B/s at ten minutes, {:.0} B/s at six hours |",
        patch_bytes / 1e3,
        checkpoint_bytes / 1e3,
        checkpoint_bytes / 600.0,
        checkpoint_bytes / 21_600.0,
    );
    let _ = writeln!(
        text,
        "| slots of an engine | | {:.0} streams open on {ENGINES:.0} engines: {:.0} each | | |",
        REQUESTS_PER_S * 23.0,
        REQUESTS_PER_S * 23.0 / ENGINES,
    );
}
