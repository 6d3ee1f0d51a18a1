//! The setup of a fleet, and the bundle that describes it.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::SocketAddr;

use reedsail_bundle::digest_of;
use serde::Deserialize;
use serde::Serialize;

/// The default limit of queued requests per workspace. It is above the number that any trace sends.
const DEFAULT_QUEUED_MAX: u32 = 20_000;

/// One instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DaemonSetup {
    /// Its name.
    pub instance: String,
    /// Its failure domain.
    pub failure_domain: String,
}

/// One service and its backend servers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSetup {
    /// Its name.
    pub name: String,
    /// The model that it serves; a plain service has none.
    pub model: Option<String>,
    /// The path prefix of a plain service; a model service has none.
    pub path_prefix: Option<String>,
    /// The path prefix of the non-idempotent calls (POST), which require an idempotency key.
    pub keyed_prefix: Option<String>,
    /// The number of its backend servers in each failure domain.
    pub servers_by_domain: BTreeMap<String, u32>,
    /// The number of requests that a backend server runs concurrently.
    pub slots: u32,
    /// The time between two tokens of a stream.
    pub token_interval_ms: u64,
}

/// One workspace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspacePlan {
    /// Its name; the key of its callers is derived from it.
    pub name: String,
    /// Its weight.
    pub weight: f64,
    /// The maximum number of requests queued at one instance; defaults to `DEFAULT_QUEUED_MAX`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub queued_max: Option<u32>,
}

impl WorkspacePlan {
    /// Returns the bearer key of its callers.
    pub fn caller_key(name: &str) -> String {
        format!("key-of-{name}")
    }
}

/// A change from one bundle to the next.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BundleChangePlan {
    /// The workspace whose weight changes.
    pub workspace: String,
    /// Its new weight.
    pub weight: f64,
}

/// A whole fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSetup {
    /// The name of the deployment.
    pub name: String,
    /// The instances.
    pub daemons: Vec<DaemonSetup>,
    /// The services.
    pub services: Vec<ServiceSetup>,
    /// The workspaces.
    pub workspaces: Vec<WorkspacePlan>,
}

/// The name, failure domain and address of a backend server.
pub(crate) type ServerAddress = (String, String, SocketAddr);

impl FleetSetup {
    /// Returns the failure domains in the order of the instances.
    pub fn domains(&self) -> Vec<String> {
        let mut domains: Vec<String> = Vec::new();
        for daemon in &self.daemons {
            if !domains.contains(&daemon.failure_domain) {
                domains.push(daemon.failure_domain.clone());
            }
        }
        domains
    }

    /// Returns the weight of a workspace; 1 if the workspace is unknown.
    pub fn weight_of(&self, workspace: &str) -> f64 {
        let found = self.workspaces.iter().find(|plan| plan.name == workspace);
        found.map_or(1.0, |plan| plan.weight)
    }

    /// Formats the bundle, with the addresses on which the backend servers listen.
    pub(crate) fn bundle_text(&self, version: u32, servers: &BTreeMap<String, Vec<ServerAddress>>) -> String {
        let mut text = format!("version: {version}\nservices:\n");
        for service in &self.services {
            write_service(&mut text, service, &servers[&service.name]);
        }
        text.push_str("workspaces:\n");
        for workspace in &self.workspaces {
            let digest = hex::encode(digest_of(&WorkspacePlan::caller_key(&workspace.name)));
            let (name, weight) = (&workspace.name, workspace.weight);
            // Writing to a `String` cannot fail.
            let _ = writeln!(text, "  - name: {name}\n    weight: {weight}");
            let _ = writeln!(text, "    key_digests: [{digest}]");
            let queued_max = workspace.queued_max.unwrap_or(DEFAULT_QUEUED_MAX);
            let _ = writeln!(text, "    limits: {{queued_max: {queued_max}}}");
        }
        text
    }
}

fn write_service(text: &mut String, service: &ServiceSetup, servers: &[ServerAddress]) {
    // Writing to a `String` cannot fail.
    let _ = writeln!(text, "  - name: {}", service.name);
    match (&service.model, &service.path_prefix) {
        (Some(model), _) => {
            let _ = writeln!(
                text,
                "    kind: model\n    cost_unit: tokens\n    models: [{model}]"
            );
        }
        (None, prefix) => {
            let prefix = prefix.as_deref().unwrap_or("/");
            let _ = writeln!(
                text,
                "    kind: plain\n    cost_unit: requests\n    path_prefix: {prefix}"
            );
        }
    }
    if let Some(keyed) = &service.keyed_prefix {
        let _ = writeln!(text, "    calls:");
        let _ = writeln!(
            text,
            "      - {{method: POST, path_prefix: {keyed}, repeat: never, key: required}}"
        );
    }
    let _ = writeln!(text, "    servers:");
    for (name, domain, address) in servers {
        let _ = writeln!(
            text,
            "      - {{name: {name}, failure_domain: {domain}, address: '{address}', slots: {}}}",
            service.slots
        );
    }
}
