//! The bound on the retries of a service.

/// The bound on the retries that all instances together send to one service.
///
/// Within each window, at any offset, the retries are at most `ratio` times the requests plus `slack`. Requests are
/// counted over the window, the window before it, or the one half a window earlier, whichever has the most.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBound {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries beyond the ratio, for the whole fleet.
    pub slack: f64,
    /// Length of the window, in milliseconds.
    pub window_ms: u64,
}
