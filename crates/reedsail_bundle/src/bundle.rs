//! The content of a validated bundle.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use reedsail_scheduling::Class;
use reedsail_scheduling::Digest;

/// One version of the configuration that operators control.
#[derive(Clone, Debug, PartialEq)]
pub struct Bundle {
    /// The version number, starting at one.
    pub version: u32,
    /// The services, by name.
    pub services: BTreeMap<String, Service>,
    /// The workspaces, by name.
    pub workspaces: BTreeMap<String, Workspace>,
}

/// The kind of backend servers of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceKind {
    /// Model engines behind `POST /v1/chat/completions`.
    Model,
    /// Any HTTP service behind a path prefix.
    Plain,
}

/// The unit in which the cost of a service is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CostUnit {
    /// Generated tokens.
    Tokens,
    /// One unit per request.
    Requests,
    /// Milliseconds of slot usage.
    Milliseconds,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The kind of its backend servers.
    pub kind: ServiceKind,
    /// The models that it serves; empty for a plain service.
    pub models: Vec<String>,
    /// The path prefix of a plain service.
    pub path_prefix: Option<String>,
    /// The unit in which its cost is measured.
    pub cost_unit: CostUnit,
    /// Its backend servers, by name.
    pub servers: BTreeMap<String, Server>,
    /// The rules for repeating its calls and for idempotency keys; the first matching rule applies.
    pub calls: Vec<CallRule>,
}

/// A backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Server {
    /// Its failure domain.
    pub domain: String,
    /// The address at which it accepts requests.
    pub address: SocketAddr,
    /// The number of requests that it runs concurrently.
    pub slots: u32,
}

/// Whether a call may be retried when its outcome is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// The call may be retried.
    Allowed,
    /// The call may not be retried.
    Never,
}

/// Whether a call must carry an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyRule {
    /// A call without a key is refused.
    Required,
    /// A call with a key runs at most once across the fleet; a call without a key is sent once.
    Optional,
}

/// The rule for calls with a given method and path prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallRule {
    /// The method.
    pub method: String,
    /// The path prefix.
    pub path_prefix: String,
    /// Whether the call may be retried when its outcome is unknown.
    pub repeat: Repeat,
    /// Whether the call must carry an idempotency key.
    pub key: KeyRule,
}

/// A workspace.
#[derive(Clone, Debug, PartialEq)]
pub struct Workspace {
    /// Its weight relative to other workspaces.
    pub weight: f64,
    /// The SHA-256 digests of its callers' keys.
    pub key_digests: Vec<Digest>,
    /// The class of requests that specify none.
    pub default_class: Class,
    /// Its limits.
    pub limits: WorkspaceLimits,
}

/// The limits for one workspace on one instance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkspaceLimits {
    /// The maximum number of queued requests per service.
    pub queued_max: u32,
    /// The maximum total body size of queued requests per service, in bytes.
    pub queued_bytes_max: u64,
    /// The maximum number of concurrently running requests per service.
    pub running_max: u32,
    /// The maximum rate of requests per second, if limited.
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
    /// Returns the rule that applies to a call.
    ///
    /// Without a matching rule, calls of a model service and methods that RFC 9110 defines as idempotent may be
    /// retried. Any other call is sent once.
    pub fn rule_for(&self, method: &str, path: &str) -> (Repeat, KeyRule) {
        let matches_call = |rule: &&CallRule| rule.method == method && path.starts_with(&rule.path_prefix);
        if let Some(rule) = self.calls.iter().find(matches_call) {
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
