//! `reedsail fleet builds`.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use serde::Serialize;
use serde_json::json;

use crate::admin_client;
use crate::failure::Failure;
use crate::fleet_command::require_all_reachable;
use crate::fleet_command::require_instances;
use crate::table::render_table;

/// The metrics that tell what a program was built from, with the name of the program.
const BUILD_METRICS: [(&str, &str); 2] = [
    ("reedsail_router_build_info{", "reedsail-router"),
    ("reedsail_build_info{", "reedsaild"),
];

/// Shown for an instance whose release does not tell what it was built from.
const UNKNOWN: &str = "unknown";

/// What the program of an instance was built from.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
struct InstanceBuild {
    program: String,
    version: String,
    sources: String,
}

impl InstanceBuild {
    /// Reads the metrics page of a router or a daemon.
    fn read(metrics: &str) -> Self {
        let found = metrics.lines().find_map(|line| {
            let (prefix, program) = BUILD_METRICS
                .iter()
                .find(|(prefix, _)| line.starts_with(prefix))?;
            Some((*program, line.strip_prefix(prefix)?))
        });
        let (program, labels) = found.unwrap_or((UNKNOWN, ""));
        let label = |name| label_of(labels, name).unwrap_or(UNKNOWN).to_owned();
        Self {
            program: program.to_owned(),
            version: label("version"),
            sources: label("sources"),
        }
    }
}

/// Returns the value of a label. The labels of a build have values without quotes.
fn label_of<'a>(labels: &'a str, name: &str) -> Option<&'a str> {
    let (_, value) = labels.split_once(&format!("{name}=\""))?;
    value.split('"').next()
}

/// Shows what each instance was built from, and how many builds there are.
pub(crate) async fn fleet_builds(addresses: &[SocketAddr], as_json: bool) -> Result<(), Failure> {
    require_instances(addresses, "--instance")?;
    let mut builds = Vec::new();
    let mut unreachable = Vec::new();
    for address in addresses {
        match admin_client::metrics(*address).await {
            Ok(page) => builds.push((address.to_string(), InstanceBuild::read(&page))),
            Err(failure) => {
                eprintln!("reedsail: {failure}");
                unreachable.push(address.to_string());
            }
        }
    }
    if as_json {
        let rows: Vec<_> = builds
            .iter()
            .map(|(instance, build)| json!({ "instance": instance, "build": build }))
            .collect();
        println!("{}", json!({ "instances": rows, "silent": unreachable }));
        return require_all_reachable(&unreachable);
    }
    let distinct: BTreeSet<&InstanceBuild> = builds.iter().map(|(_, build)| build).collect();
    let count = distinct.len();
    let rows: Vec<Vec<String>> = builds
        .into_iter()
        .map(|(instance, build)| vec![instance, build.program, build.version, build.sources])
        .collect();
    println!(
        "{}",
        render_table(&["instance", "program", "version", "sources"], &rows)
    );
    println!("builds: {count}");
    require_all_reachable(&unreachable)
}
