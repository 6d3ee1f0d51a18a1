//! `reedsail fleet status` and `reedsail bundle status`.

use std::net::SocketAddr;

use reedsail_daemon::Status;
use serde_json::json;

use crate::admin_client;
use crate::failure::Failure;
use crate::table::render_table;

/// Shows each daemon's stage, version, slots and queues.
pub(crate) async fn fleet_status(daemons: &[SocketAddr], as_json: bool) -> Result<(), Failure> {
    let (statuses, silent) = ask_all(daemons).await?;
    if as_json {
        println!("{}", json!({ "daemons": statuses, "silent": silent }));
        return end(&silent);
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
    end(&silent)
}

/// Shows which version is in force on each daemon.
pub(crate) async fn bundle_status(daemons: &[SocketAddr], as_json: bool) -> Result<(), Failure> {
    let (statuses, silent) = ask_all(daemons).await?;
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
        println!("{}", json!({ "daemons": rows, "silent": silent }));
        return end(&silent);
    }
    let rows: Vec<Vec<String>> = statuses
        .iter()
        .map(|status| {
            let digest = status.bundle_digest.chars().take(12).collect();
            vec![status.instance.clone(), status.bundle_version.to_string(), digest]
        })
        .collect();
    println!("{}", render_table(&["instance", "version", "digest"], &rows));
    end(&silent)
}

/// Asks every daemon; one that is silent does not hide the others.
async fn ask_all(daemons: &[SocketAddr]) -> Result<(Vec<Status>, Vec<String>), Failure> {
    if daemons.is_empty() {
        return Err(Failure::Usage(
            "name at least one daemon with --daemon".to_owned(),
        ));
    }
    let mut statuses = Vec::new();
    let mut silent = Vec::new();
    for daemon in daemons {
        match admin_client::status(*daemon).await {
            Ok(status) => statuses.push(status),
            Err(_) => silent.push(daemon.to_string()),
        }
    }
    Ok((statuses, silent))
}

fn end(silent: &[String]) -> Result<(), Failure> {
    if silent.is_empty() {
        return Ok(());
    }
    Err(Failure::Unreachable(format!(
        "no answer from {}",
        silent.join(", ")
    )))
}
