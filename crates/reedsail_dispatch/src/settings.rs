//! The decision parameters that operators may set. docs/ROUTER.md lists their keys.

/// Settings of the decisions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DispatchSettings {
    /// Maximum ratio of retries to requests of a service. Key `dispatch.repeat_ratio`.
    pub retry_ratio: f64,
    /// Window over which retries are counted, in milliseconds. Key `dispatch.repeat_window_ms`.
    pub retry_window_ms: u64,
    /// Retries of a service that the whole fleet may make beyond the ratio within a window. Key
    /// `dispatch.repeat_slack`.
    pub retry_slack: f64,
    /// Window over which a workspace's usage is compared with its fair share, in milliseconds. Key
    /// `dispatch.share_window_ms`.
    pub share_window_ms: u64,
    /// How long a peer's load report is valid, in milliseconds. Key `dispatch.report_valid_ms`.
    pub report_valid_ms: u64,
}

impl Default for DispatchSettings {
    fn default() -> Self {
        Self {
            retry_ratio: 0.1,
            retry_window_ms: 10_000,
            retry_slack: 20.0,
            share_window_ms: 4_000,
            report_valid_ms: 1_500,
        }
    }
}
