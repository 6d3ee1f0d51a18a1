//! The daemon's settings and their defaults. `settings_reader` parses them.

use std::net::SocketAddr;

use reedsail_bundle::TrustedKeys;

/// The settings of a daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The instance's name.
    pub instance: String,
    /// The instance's failure domain.
    pub failure_domain: String,
    /// The addresses to listen on.
    pub listen: ListenSettings,
    /// The platform's address.
    pub platform: SocketAddr,
    /// The keys whose signatures on bundles are accepted.
    pub trusted_keys: TrustedKeys,
    /// Daemons to contact until the platform's instance list is known.
    pub peers: Vec<PeerSeed>,
    /// The policy by which workspaces share capacity.
    pub policy: PolicyChoice,
    /// The number of traffic threads.
    pub traffic_threads: usize,
    /// Limits on message sizes and waiting times.
    pub limits: LimitSettings,
    /// Settings of the control traffic between daemons.
    pub control: ControlSettings,
    /// Settings of the claims on calls that must not be repeated.
    pub claims: ClaimSettings,
    /// Settings of the event timeline.
    pub timeline: TimelineSettings,
}

/// The addresses that the daemon listens on. Port 0 selects any free port.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenSettings {
    /// For callers.
    pub callers: SocketAddr,
    /// For other daemons.
    pub peers: SocketAddr,
    /// For health, metrics and the event timeline.
    pub admin: SocketAddr,
}

/// A peer named in the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerSeed {
    /// The name of its instance.
    pub instance: String,
    /// Its failure domain.
    pub failure_domain: String,
    /// The address where it listens for other daemons.
    pub address: SocketAddr,
}

/// The policy by which workspaces share capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicyChoice {
    /// Each daemon schedules by itself, first come first served. A baseline for comparison.
    Fifo,
    /// Each daemon schedules fairly by itself, with a fixed fraction of the slots of every backend server.
    /// A baseline for comparison.
    Split {
        /// The number of daemons.
        daemons: u32,
    },
    /// Daemons lease slots and serve workspaces in the order of fleet-wide virtual time.
    Fleet,
}

/// Limits on message sizes and waiting times.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitSettings {
    /// The maximum size of a header section.
    pub header_bytes_max: usize,
    /// The maximum size of a request body.
    pub body_bytes_max: usize,
    /// The maximum size of an answer that is not a stream.
    pub answer_bytes_max: usize,
    /// The deadline for the start of the answer if the request sets none.
    pub deadline_default_ms: u64,
    /// The longest deadline that a request can set.
    pub deadline_max_ms: u64,
    /// The longest pause between two frames of an answer.
    pub stall_max_ms: u64,
    /// How long a stopping daemon keeps accepting requests, so that the load balancer notices the stop.
    pub stop_notice_ms: u64,
    /// How long a stopping daemon waits for open requests to finish.
    pub stop_max_ms: u64,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            header_bytes_max: 16 << 10,
            body_bytes_max: 8 << 20,
            answer_bytes_max: 64 << 20,
            deadline_default_ms: 60_000,
            deadline_max_ms: 600_000,
            stall_max_ms: 15_000,
            stop_notice_ms: 2_000,
            stop_max_ms: 120_000,
        }
    }
}

/// Settings of the control traffic between daemons.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ControlSettings {
    /// The byte budget of control messages per second, both directions together.
    pub budget_bytes_per_s: u64,
    /// The minimum duration of a lease. Leases last longer when reports are spaced further apart.
    pub lease_ms: u64,
    /// The time over which a workspace that is behind in virtual time catches up.
    pub horizon_ms: u64,
    /// The maximum lead of a workspace after a network partition heals, as time at its fair share.
    pub rejoin_clamp_ms: u64,
    /// The timeout of a call to a peer or the platform.
    pub call_limit_ms: u64,
    /// The interval at which the bundle in force is appended to the log again.
    pub checkpoint_every_ms: u64,
}

impl Default for ControlSettings {
    fn default() -> Self {
        Self {
            budget_bytes_per_s: 1_700,
            lease_ms: 3_000,
            horizon_ms: 4_000,
            rejoin_clamp_ms: 2_000,
            call_limit_ms: 500,
            checkpoint_every_ms: 600_000,
        }
    }
}

/// Settings of the claims on calls that must not be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimSettings {
    /// The number of shards of the claim log. It must be the same on every daemon of the fleet.
    pub shards: u32,
    /// How long a claim waits for other claims, so that one append carries them all.
    pub batch_window_ms: u64,
    /// How long the log is guaranteed to keep a claim. Older keys are refused.
    pub retention_ms: u64,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self {
            shards: 1,
            batch_window_ms: 60,
            retention_ms: 3_000_000,
        }
    }
}

/// Settings of the event timeline, which is kept in memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimelineSettings {
    /// The maximum number of events.
    pub kept_max: usize,
    /// Whether the timeline includes the events of each request.
    pub requests: bool,
}

impl Default for TimelineSettings {
    fn default() -> Self {
        Self {
            kept_max: 8_192,
            requests: false,
        }
    }
}
