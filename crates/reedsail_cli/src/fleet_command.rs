//! `reedsail fleet status` and `reedsail bundle status`.

use std::net::SocketAddr;

use reedsail_daemon::Status;
use serde_json::json;

use crate::admin_client;
use crate::failure::Failure;
use crate::table::render_table;

/// Shows each instance's stage, bundle version, slots and queues.
pub(crate) async fn fleet_status(addresses: &[SocketAddr], as_json: bool) -> Result<(), Failure> {
    let (statuses, unreachable) = fetch_statuses(addresses).await?;
    if as_json {
        println!("{}", json!({ "daemons": statuses, "silent": unreachable }));
        return require_all_reachable(&unreachable);
    }
    let mut rows = Vec::new();
    for status in &statuses {
        for service in &status.services {
            rows.push(vec![
                status.instance.clone(),
                status.failure_domain.clone(),
                status.stage.clone(),
                status.bundle_version.to_string(),
                status.open_requests.to_string(),
                format!("{}/{}", status.alive_daemons, status.members),
                service.name.clone(),
                service.queued.to_string(),
                format!("{}/{}", service.slots_in_use, service.slots_leased),
            ]);
        }
    }
    let header = [
        "instance",
        "domain",
        "stage",
        "version",
        "open",
        "alive/members",
        "service",
        "queued",
        "slots used/leased",
    ];
    println!("{}", render_table(&header, &rows));
    require_all_reachable(&unreachable)
}

/// Shows which version is in force on each instance.
pub(crate) async fn bundle_status(addresses: &[SocketAddr], as_json: bool) -> Result<(), Failure> {
    let (statuses, unreachable) = fetch_statuses(addresses).await?;
    if as_json {
        let rows: Vec<_> = statuses
            .iter()
            .map(|status| {
                json!({
                    "instance": status.instance,
                    "version": status.bundle_version,
                    "digest": status.bundle_digest,
                })
            })
            .collect();
        println!("{}", json!({ "daemons": rows, "silent": unreachable }));
        return require_all_reachable(&unreachable);
    }
    let rows: Vec<Vec<String>> = statuses
        .iter()
        .map(|status| {
            let digest = status.bundle_digest.chars().take(12).collect();
            vec![status.instance.clone(), status.bundle_version.to_string(), digest]
        })
        .collect();
    println!("{}", render_table(&["instance", "version", "digest"], &rows));
    require_all_reachable(&unreachable)
}

/// Fetches the status of every instance. Returns the addresses of unreachable instances separately, so
/// that one unreachable instance does not hide the others.
async fn fetch_statuses(addresses: &[SocketAddr]) -> Result<(Vec<Status>, Vec<String>), Failure> {
    require_instances(addresses, "--daemon")?;
    let mut statuses = Vec::new();
    let mut unreachable = Vec::new();
    for address in addresses {
        match admin_client::status(*address).await {
            Ok(status) => statuses.push(status),
            Err(_) => unreachable.push(address.to_string()),
        }
    }
    Ok((statuses, unreachable))
}

/// Returns a failure if no instance is named with the flag.
pub(crate) fn require_instances(addresses: &[SocketAddr], flag: &str) -> Result<(), Failure> {
    if addresses.is_empty() {
        return Err(Failure::Usage(format!(
            "give the admin address of at least one instance with {flag}"
        )));
    }
    Ok(())
}

/// Returns a failure that names the unreachable instances, if there are any.
pub(crate) fn require_all_reachable(unreachable: &[String]) -> Result<(), Failure> {
    if unreachable.is_empty() {
        return Ok(());
    }
    Err(Failure::Unreachable(format!(
        "no answer from {}",
        unreachable.join(", ")
    )))
}
