//! The figures that an operator may set for the decisions.

/// What the decisions are told at the daemon's start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DispatchSettings {
    /// How many repeats the whole fleet may send for each request of a service.
    pub retry_ratio: f64,
    /// Over which time repeats are counted.
    pub retry_window_ms: u64,
    /// How many repeats a service's window may hold beyond the ratio, over the whole fleet.
    pub retry_slack: f64,
    /// Over which time a workspace's use is compared with its fair part.
    pub share_window_ms: u64,
    /// How long a peer's report counts.
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
