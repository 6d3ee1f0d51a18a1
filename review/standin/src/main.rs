//! The cases of the review that are scripts: `review_standin CASE RECORD FOLDER`, from the repository's root.
//!
//! Ends with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod client;
mod engine;
mod http;
mod late_answer;
mod link;
mod memory;
mod record;
mod router;
mod slow_client;
mod store;

use std::path::Path;
use std::process::ExitCode;

/// How a case ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
    CannotRun,
}

/// The operators' first configuration: one route for each service, and one tenant.
pub fn configuration(routes: &[(&str, &str, &str)], timeout_ms: u64) -> String {
    let services: std::collections::BTreeSet<&str> = routes.iter().map(|(_, _, service)| *service).collect();
    let routes: Vec<String> = routes
        .iter()
        .map(|(prefix, kind, service)| {
            format!(
                r#"{{"name":"{prefix}","host":"shop.example","prefix":"{prefix}","kind":"{kind}","timeoutMs":{timeout_ms},"goalMs":{timeout_ms},"priority":1,"attempts":1,"service":"{service}"}}"#
            )
        })
        .collect();
    let services: Vec<String> = services
        .into_iter()
        .map(|service| format!(r#"{{"name":"{service}","maxConns":370}}"#))
        .collect();
    format!(
        r#"{{"version":1,"routes":[{}],"services":[{}],"limits":{{"headerBytes":16384,"bodyBytes":4194304,"headerMs":5000,"idleMs":20000}},"tenants":[{{"name":"tenant-1","keys":["key-1"]}}]}}"#,
        routes.join(","),
        services.join(",")
    )
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record_path, folder] = arguments.as_slice() else {
        eprintln!("usage: review_standin CASE RECORD FOLDER");
        return ExitCode::from(2);
    };
    if let Err(error) = record::open(Path::new(record_path)) {
        eprintln!("cannot write {record_path}: {error}");
        return ExitCode::from(2);
    }
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let folder = Path::new(folder);
    let verdict = match case.as_str() {
        "memory" => memory::run(folder, has_trouble),
        "slow-client" => slow_client::run(folder, has_trouble),
        "late-answer" => late_answer::run(folder, has_trouble),
        _ => None,
    };
    let verdict = verdict.unwrap_or(Verdict::CannotRun);
    record::tell(&format!("verdict: {verdict:?} (trouble: {has_trouble})"));
    ExitCode::from(match verdict {
        Verdict::Held => 0,
        Verdict::Broken => 1,
        Verdict::CannotRun => 2,
    })
}
