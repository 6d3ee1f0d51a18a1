//! The operators' configuration, independent of the platform's format.
//!
//! The adapter decodes it once from the platform's record. Peers fetch a copy of it (`configuration_copy`) that has these
//! types as JSON, so the names and formats of the serialised fields must not change.

use reedsail_dispatch::RetryPolicy;
use serde::Deserialize;
use serde::Serialize;

use crate::CallerAccess;

/// One version of the operators' configuration; each version replaces the previous one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Increases with each version, not necessarily by one.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services behind the routes.
    pub services: Vec<ServiceDefinition>,
    /// The callers that are admitted.
    pub access: CallerAccess,
    /// The limits for callers.
    pub limits: CallerLimits,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Repetition {
    /// The request may run more than once.
    Allowed,
    /// The request runs at most once.
    Never,
}

/// How the answer to a request is transferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AnswerShape {
    /// As one body.
    Whole,
    /// As a stream of events.
    Events {
        /// Whether another server may continue the stream after the last event.
        resumable: bool,
    },
}

/// Returns whether a priority is zero, which is left out of a serialised configuration as older instances do.
#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes a reference")]
fn is_zero(priority: &u8) -> bool {
    *priority == 0
}

/// A route for the requests to one host whose paths begin with one prefix.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The host that callers request.
    pub host: String,
    /// The path prefix; it begins and ends with a slash.
    pub prefix: String,
    /// Whether its requests may run more than once.
    pub repetition: Repetition,
    /// How its answers are transferred.
    pub answer: AnswerShape,
    /// Time-out of a request, in milliseconds.
    pub timeout_ms: u64,
    /// Latency target: the time to the first event within which an answer has its full value, in milliseconds.
    /// Serialised as `goal_ms` for peers.
    #[serde(rename = "goal_ms")]
    pub latency_target_ms: u64,
    /// Target for the longest pause between two events of an answer, in milliseconds; `None` if it has none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub gap_target_ms: Option<u64>,
    /// Its priority; a workspace's own goes before it. Zero is the most urgent.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub priority: u8,
    /// Maximum number of servers that one request may be sent to.
    pub attempts: u32,
    /// Whether its requests need no key.
    pub is_anonymous: bool,
    /// The services among which requests are distributed.
    pub targets: Vec<RouteTarget>,
    /// The regions that its requests may run in; `None` for all.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub allowed_regions: Option<Vec<String>>,
}

impl Route {
    /// Returns whether a request may be retried after it may have run.
    pub fn is_repeatable(&self) -> bool {
        match self.answer {
            AnswerShape::Whole => self.repetition == Repetition::Allowed,
            AnswerShape::Events { resumable } => resumable,
        }
    }

    /// Returns whether another server may continue the route's streams.
    pub fn has_resumable_streams(&self) -> bool {
        matches!(self.answer, AnswerShape::Events { resumable: true })
    }

    /// Returns the retry policy of the route.
    pub fn retry_policy(&self) -> RetryPolicy {
        RetryPolicy {
            is_repeatable: self.is_repeatable(),
            attempts_max: self.attempts,
        }
    }
}

/// A service that receives a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteTarget {
    /// The service.
    pub service: String,
    /// Its share, relative to the other targets' weights.
    pub weight: u32,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceDefinition {
    /// Its name.
    pub name: String,
    /// Maximum number of connections that one of its servers accepts from all instances together.
    pub connections_max: u32,
    /// Whether its servers are model engines, which cache the prompts that they prefill.
    pub is_model: bool,
    /// How long one of its servers stays cold after a start, in milliseconds.
    #[serde(default)]
    pub cold_ms: u64,
    /// Requests per second that a cold server can handle from all instances together; zero if not specified.
    #[serde(default)]
    pub cold_requests_per_s: f64,
}

/// A workspace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceDefinition {
    /// Its name.
    pub name: String,
    /// The keys that its callers send.
    pub keys: Vec<String>,
    /// The priority of its requests; `None` for that of the route. Zero is the most urgent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub priority: Option<u8>,
    /// The regions that its requests may run in; `None` for all.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub allowed_regions: Option<Vec<String>>,
}

/// Limits for callers, and the throughput of the engines.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum size of the head of a request, in bytes.
    pub header_bytes_max: usize,
    /// Maximum size of the body of a request, in bytes.
    pub body_bytes_max: usize,
    /// Time-out for the arrival of a head, in milliseconds.
    pub header_ms: u64,
    /// Maximum idle time of a connection between requests, in milliseconds.
    pub idle_ms: u64,
    /// Tokens per second that all engines together produce, if the operators know it. It is passed on to peers, but no
    /// decision uses it, because it is the total to divide among workspaces and not the speed of an engine.
    pub engine_tokens_per_s: Option<f64>,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            header_bytes_max: 16 << 10,
            body_bytes_max: 4 << 20,
            header_ms: 5_000,
            idle_ms: 60_000,
            engine_tokens_per_s: None,
        }
    }
}
