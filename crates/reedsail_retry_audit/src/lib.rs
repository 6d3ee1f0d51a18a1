//! Checks retries against the retry budget of a whole fleet, from what callers sent and what servers received.
//!
//! The audit knows nothing of instances. It receives the time of each request that a caller sent to a service and of
//! each arrival of a request at a server of that service, and judges every window at every offset. Tests, simulations
//! and the soak use it.

mod retry_audit;
mod retry_bound;

pub use retry_audit::RetryAudit;
pub use retry_audit::RetryWindow;
pub use retry_bound::RetryBound;
