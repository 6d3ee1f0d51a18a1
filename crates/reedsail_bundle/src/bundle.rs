//! What a bundle says, after it was checked.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use reedsail_scheduling::Class;
use reedsail_scheduling::Digest;

/// One version of everything that operators decide.
#[derive(Clone, Debug, PartialEq)]
pub struct Bundle {
    /// Counts up from one.
    pub version: u32,
    /// The services by name.
    pub services: BTreeMap<String, Service>,
    /// The workspaces by name.
    pub workspaces: BTreeMap<String, Workspace>,
}

/// What kind of backend servers a service has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceKind {
    /// Model engines behind `POST /v1/chat/completions`.
    Model,
    /// Any HTTP service behind a path prefix.
    Plain,
}

/// In what a service's cost is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CostUnit {
    /// Generated tokens.
    Tokens,
    /// One for each request.
    Requests,
    /// Milliseconds of a slot.
    Milliseconds,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// What its backend servers are.
    pub kind: ServiceKind,
    /// The models that it serves; empty for a plain service.
    pub models: Vec<String>,
    /// The path prefix of a plain service.
    pub path_prefix: Option<String>,
    /// In what its cost is counted.
    pub cost_unit: CostUnit,
    /// Its backend servers by name.
    pub servers: BTreeMap<String, Server>,
    /// Which of its calls may not be repeated; the first rule that fits applies.
    pub calls: Vec<CallRule>,
}

/// A backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Server {
    /// Its failure domain.
    pub domain: String,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// How many requests it runs at once.
    pub slots: u32,
}

/// Whether a call may be sent again when its outcome is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// It may.
    Allowed,
    /// It may not.
    Never,
}

/// Whether a call must carry an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyRule {
    /// Without one it is refused.
    Required,
    /// With one it runs at most once over the fleet; without, it is sent once.
    Optional,
}

/// How calls with a method and path prefix are to be treated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallRule {
    /// The method.
    pub method: String,
    /// The path prefix.
    pub path_prefix: String,
    /// Whether it may be repeated.
    pub repeat: Repeat,
    /// Whether it needs a key.
    pub key: KeyRule,
}

/// A workspace.
#[derive(Clone, Debug, PartialEq)]
pub struct Workspace {
    /// Its weight against other workspaces.
    pub weight: f64,
    /// The SHA-256 digests of its callers' keys.
    pub key_digests: Vec<Digest>,
    /// The class of requests that name none.
    pub default_class: Class,
    /// Its limits.
    pub limits: WorkspaceLimits,
}

/// Bounds on one workspace at one daemon.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkspaceLimits {
    /// The most requests that wait, for each service.
    pub queued_max: u32,
    /// The most bytes of bodies that wait, for each service.
    pub queued_bytes_max: u64,
    /// The most requests that run at once, for each service.
    pub running_max: u32,
    /// Requests a second, if limited.
    pub requests_per_s: Option<f64>,
}

impl Default for WorkspaceLimits {
    fn default() -> Self {
        Self {
            queued_max: 1_024,
            queued_bytes_max: 16 << 20,
            running_max: u32::MAX,
            requests_per_s: None,
        }
    }
}

impl Service {
    /// Returns how a call is to be treated.
    ///
    /// Without a rule, a model's call and a method that RFC 9110 calls idempotent may be repeated,
    /// and any other is sent once.
    pub fn rule_for(&self, method: &str, path: &str) -> (Repeat, KeyRule) {
        let fits = |rule: &&CallRule| rule.method == method && path.starts_with(&rule.path_prefix);
        if let Some(rule) = self.calls.iter().find(fits) {
            return (rule.repeat, rule.key);
        }
        let idempotent = matches!(method, "GET" | "HEAD" | "PUT" | "DELETE" | "OPTIONS");
        if idempotent || self.kind == ServiceKind::Model {
            (Repeat::Allowed, KeyRule::Optional)
        } else {
            (Repeat::Never, KeyRule::Optional)
        }
    }
}
