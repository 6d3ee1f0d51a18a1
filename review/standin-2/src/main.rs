//! The cases of the second review: each drives processes of the router from outside, and judges by what clients and engines saw.
//!
//! `review_standin_2 CASE` reads `ROUTER` (the program), `WORK` (a temporary folder), `RECORD` (the file to write) and
//! `TROUBLE` (`0` leaves the disruption out). It exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.

mod ending_stop;
mod fleet;
mod http;
mod last_tenant;
mod plain_engine;
mod raised_limit;
mod slow_reader;
mod unknown_configuration;

use std::process::ExitCode;

/// What came of a case.
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

fn main() -> ExitCode {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build()
        .expect("the runtime starts");
    let case = std::env::args().nth(1).unwrap_or_default();
    let verdict = runtime.block_on(async {
        match case.as_str() {
            "ending-stop" => ending_stop::run().await,
            "last-tenant" => last_tenant::run().await,
            "raised-limit" => raised_limit::run().await,
            "slow-reader" => slow_reader::run().await,
            "unknown-configuration" => unknown_configuration::run().await,
            _ => Verdict::NotRun,
        }
    });
    runtime.shutdown_background();
    match verdict {
        Verdict::Held => ExitCode::from(0),
        Verdict::Broken => ExitCode::from(1),
        Verdict::NotRun => ExitCode::from(2),
    }
}
