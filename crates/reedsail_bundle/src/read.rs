//! Parses and validates the YAML of a bundle.

use std::collections::BTreeMap;
use std::collections::HashMap;

use reedsail_core::NameHash;
use reedsail_document::Fault;
use reedsail_document::Mapping;
use reedsail_document::Value;
use reedsail_document::read_document;
use reedsail_scheduling::Class;
use reedsail_scheduling::Digest;

use crate::Bundle;
use crate::CallRule;
use crate::CostUnit;
use crate::KeyRule;
use crate::Repeat;
use crate::Server;
use crate::Service;
use crate::ServiceKind;
use crate::Workspace;
use crate::WorkspaceLimits;

/// Maximum number of slots of one backend server.
const SERVER_SLOTS_MAX: u32 = 4_096;
/// Maximum weight; the minimum weight is its inverse.
const WEIGHT_MAX: f64 = 1_000.0;

/// Parses a bundle.
///
/// # Errors
/// Returns every fault in the document, with its line and path. A bundle with any fault is rejected as a whole.
pub fn read_bundle(text: &str) -> Result<Bundle, Vec<Fault>> {
    read_document(text, |top| {
        let version = top
            .required("version")
            .and_then(|value| value.number(1..=u32::MAX));
        let services = top.required("services").map(|value| read_services(&value));
        let workspaces = top.required("workspaces").map(|value| read_workspaces(&value));
        Some(Bundle {
            version: version?,
            services: services?,
            workspaces: workspaces?,
        })
    })
}

/// Reads a list of named entries, and adds a fault for each duplicate name and each hash collision of names.
fn read_named<T>(
    list: &Value<'_>,
    what: &str,
    mut read: impl FnMut(&mut Mapping<'_>) -> Option<T>,
) -> BTreeMap<String, T> {
    let mut entries = BTreeMap::new();
    let mut hashes: HashMap<NameHash, String> = HashMap::new();
    for value in list.list() {
        let Some(mut mapping) = value.mapping() else {
            continue;
        };
        let name = mapping.required("name").and_then(|name| name.name());
        let entry = read(&mut mapping);
        mapping.close();
        let (Some(name), Some(entry)) = (name, entry) else {
            continue;
        };
        if let Some(other) = hashes.insert(NameHash::of(&name), name.clone()) {
            if other == name {
                value.fault(format!("duplicate {what} `{name}`; remove or rename one"));
            } else {
                value.fault(format!(
                    "{what} `{name}` has the same hash as `{other}`; rename one"
                ));
            }
        }
        entries.insert(name, entry);
    }
    entries
}

fn read_services(list: &Value<'_>) -> BTreeMap<String, Service> {
    let mut servers_seen = HashMap::new();
    let mut models_seen = HashMap::new();
    let services = read_named(list, "service", |mapping| {
        read_service(mapping, &mut servers_seen, &mut models_seen)
    });
    if services.is_empty() {
        list.fault("must name at least one service");
    }
    services
}

fn read_service(
    mapping: &mut Mapping<'_>,
    servers_seen: &mut HashMap<String, String>,
    models_seen: &mut HashMap<String, String>,
) -> Option<Service> {
    const KINDS: &[(&str, ServiceKind)] = &[("model", ServiceKind::Model), ("plain", ServiceKind::Plain)];
    const UNITS: &[(&str, CostUnit)] = &[
        ("tokens", CostUnit::Tokens),
        ("requests", CostUnit::Requests),
        ("milliseconds", CostUnit::Milliseconds),
    ];
    let kind = mapping.required("kind").and_then(|value| value.choice(KINDS));
    let cost_unit = mapping
        .required("cost_unit")
        .and_then(|value| value.choice(UNITS));
    let models = mapping
        .optional("models")
        .map(|value| read_models(&value, models_seen));
    let path_prefix = mapping
        .optional("path_prefix")
        .and_then(|value| read_path(&value));
    let servers = mapping
        .required("servers")
        .map(|value| read_servers(&value, servers_seen));
    let calls = mapping.optional("calls").map(|value| read_calls(&value));
    match kind? {
        ServiceKind::Model if models.as_ref().is_none_or(Vec::is_empty) => {
            mapping.fault("a service of kind `model` needs `models`");
        }
        ServiceKind::Plain if path_prefix.is_none() => {
            mapping.fault("a service of kind `plain` needs `path_prefix`");
        }
        ServiceKind::Plain if cost_unit == Some(CostUnit::Tokens) => {
            mapping.fault("a service of kind `plain` has no tokens; use `requests` or `milliseconds`");
        }
        ServiceKind::Model | ServiceKind::Plain => {}
    }
    Some(Service {
        kind: kind?,
        models: models.unwrap_or_default(),
        path_prefix,
        cost_unit: cost_unit?,
        servers: servers?,
        calls: calls.unwrap_or_default(),
    })
}

fn read_models(list: &Value<'_>, seen: &mut HashMap<String, String>) -> Vec<String> {
    let mut models = Vec::new();
    for value in list.list() {
        let Some(model) = value.name() else { continue };
        if let Some(other) = seen.insert(model.clone(), value.path().to_owned()) {
            value.fault(format!(
                "model `{model}` is also at `{other}`; list each model in one service only"
            ));
        }
        models.push(model);
    }
    models
}

fn read_servers(list: &Value<'_>, seen: &mut HashMap<String, String>) -> BTreeMap<String, Server> {
    let servers = read_named(list, "backend server", |mapping| {
        let domain = mapping.required("failure_domain").and_then(|value| value.name());
        let address = mapping
            .required("address")
            .and_then(|value| value.socket_address());
        let slots = mapping
            .required("slots")
            .and_then(|value| value.number(1..=SERVER_SLOTS_MAX));
        Some(Server {
            domain: domain?,
            address: address?,
            slots: slots?,
        })
    });
    for name in servers.keys() {
        if let Some(other) = seen.insert(name.clone(), list.path().to_owned()) {
            list.fault(format!(
                "backend server `{name}` is also at `{other}`; list each backend server once"
            ));
        }
    }
    servers
}

fn read_path(value: &Value<'_>) -> Option<String> {
    let path = value.text()?;
    if path.starts_with('/') {
        return Some(path);
    }
    value.fault(format!("`{path}` must begin with `/`"));
    None
}

fn read_calls(list: &Value<'_>) -> Vec<CallRule> {
    const METHODS: &[(&str, &str)] = &[
        ("GET", "GET"),
        ("HEAD", "HEAD"),
        ("POST", "POST"),
        ("PUT", "PUT"),
        ("PATCH", "PATCH"),
        ("DELETE", "DELETE"),
    ];
    const REPEATS: &[(&str, Repeat)] = &[("allowed", Repeat::Allowed), ("never", Repeat::Never)];
    const KEYS: &[(&str, KeyRule)] = &[("required", KeyRule::Required), ("optional", KeyRule::Optional)];
    let mut rules = Vec::new();
    for value in list.list() {
        let Some(mut mapping) = value.mapping() else {
            continue;
        };
        let method = mapping.required("method").and_then(|value| value.choice(METHODS));
        let path_prefix = mapping
            .required("path_prefix")
            .and_then(|value| read_path(&value));
        let repeat = mapping.required("repeat").and_then(|value| value.choice(REPEATS));
        let key = mapping.optional("key").and_then(|value| value.choice(KEYS));
        mapping.close();
        if let (Some(method), Some(path_prefix), Some(repeat)) = (method, path_prefix, repeat) {
            rules.push(CallRule {
                method: method.to_owned(),
                path_prefix,
                repeat,
                key: key.unwrap_or(KeyRule::Optional),
            });
        }
    }
    rules
}

fn read_workspaces(list: &Value<'_>) -> BTreeMap<String, Workspace> {
    let mut digests_seen: HashMap<Digest, String> = HashMap::new();
    let workspaces = read_named(list, "workspace", |mapping| {
        read_workspace(mapping, &mut digests_seen)
    });
    if workspaces.is_empty() {
        list.fault("must name at least one workspace");
    }
    workspaces
}

fn read_workspace(
    mapping: &mut Mapping<'_>,
    digests_seen: &mut HashMap<Digest, String>,
) -> Option<Workspace> {
    const CLASSES: &[(&str, Class)] = &[("interactive", Class::Interactive), ("batch", Class::Batch)];
    let weight = match mapping.optional("weight") {
        Some(value) => value.number(1.0 / WEIGHT_MAX..=WEIGHT_MAX),
        None => Some(1.0),
    };
    let class = match mapping.optional("default_class") {
        Some(value) => value.choice(CLASSES),
        None => Some(Class::Interactive),
    };
    let mut key_digests = Vec::new();
    for value in mapping
        .required("key_digests")
        .map(|value| value.list())
        .unwrap_or_default()
    {
        let Some(digest) = value.hex::<32>() else { continue };
        if let Some(other) = digests_seen.insert(digest, value.path().to_owned()) {
            value.fault(format!(
                "the same key is at `{other}`; give each workspace its own key"
            ));
        }
        key_digests.push(digest);
    }
    let limits = match mapping.optional("limits") {
        Some(value) => read_limits(&value),
        None => Some(WorkspaceLimits::default()),
    };
    Some(Workspace {
        weight: weight?,
        key_digests,
        default_class: class?,
        limits: limits?,
    })
}

fn read_limits(value: &Value<'_>) -> Option<WorkspaceLimits> {
    let mut mapping = value.mapping()?;
    let mut limits = WorkspaceLimits::default();
    if let Some(number) = mapping.optional("queued_max") {
        limits.queued_max = number.number(1..=100_000)?;
    }
    if let Some(number) = mapping.optional("queued_bytes_max") {
        limits.queued_bytes_max = number.number(1_024..=1 << 32)?;
    }
    if let Some(number) = mapping.optional("running_max") {
        limits.running_max = number.number(1..=100_000)?;
    }
    if let Some(number) = mapping.optional("requests_per_s") {
        limits.requests_per_s = Some(number.number(0.001..=1_000_000.0)?);
    }
    mapping.close();
    Some(limits)
}
