//! The messages as the rest of the program uses them, and the limits enforced on messages from peers.

use capnp::Error;
use reedsail_core::NameHash;
use reedsail_core::ServiceKey;
use reedsail_scheduling::ClaimKey;
use reedsail_scheduling::Nonce;
use reedsail_scheduling::ServiceGrant;
use reedsail_scheduling::ServiceReport;

/// The maximum number of rows of one kind in a message.
pub(crate) const ROWS_MAX: u32 = 16_384;
/// The maximum number of services in a message.
pub(crate) const SERVICES_MAX: u32 = 1_024;

/// A member's report on all services for which the receiver is its allocator.
#[derive(Clone, Debug)]
pub struct Report {
    /// The reporting daemon.
    pub sender: NameHash,
    /// The number that identifies this start of the daemon.
    pub incarnation: u32,
    /// The sender's event clock.
    pub clock: u64,
    /// The version of the bundle that the sender has in force.
    pub bundle_version: u32,
    /// Whether the sender is stopping.
    pub is_leaving: bool,
    /// The reports by service.
    pub services: Vec<(ServiceKey, ServiceReport)>,
    /// Daemons that did not answer the sender.
    pub suspects: Vec<NameHash>,
    /// Backend servers that are leaving according to the platform.
    pub servers_leaving: Vec<NameHash>,
}

/// The allocator's answer to a report.
#[derive(Clone, Debug, Default)]
pub struct Grant {
    /// The answering daemon's incarnation. After a change, it knows none of the member's counters.
    pub incarnation: u32,
    /// The answering daemon's event clock.
    pub clock: u64,
    /// When the member should send its next report, as time after this report.
    pub next_report_ms: u32,
    /// The duration of the leases, as time after the report.
    pub lease_ms: u32,
    /// The leases by service.
    pub services: Vec<(ServiceKey, ServiceGrant)>,
    /// Backend servers that are leaving.
    pub servers_leaving: Vec<NameHash>,
}

/// A claim on a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ClaimRequest {
    /// The key.
    pub key: ClaimKey,
    /// The number that identifies the attempt.
    pub nonce: Nonce,
}

/// The end of a call that held its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimEnd {
    /// The key.
    pub key: ClaimKey,
    /// The number that identifies the attempt.
    pub nonce: Nonce,
    /// The backend server's status, or zero if the call was never sent.
    pub status: u16,
}

/// The outcome of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// This attempt holds the key, and the call may run once.
    Held,
    /// Another attempt holds the key, and its end is unknown.
    InUse,
    /// An earlier attempt ran and ended with this status.
    Ended(u16),
    /// The log is unreachable, and the claim is certainly not in any of its records.
    Unavailable,
    /// The claim may be in the log, but the log could not be read to check.
    Unsettled,
}

/// Rejects a list that is longer than any correct peer sends.
pub(crate) fn check_rows(length: u32, rows_max: u32) -> Result<(), Error> {
    if length > rows_max {
        return Err(Error::failed(format!(
            "a list has {length} rows; at most {rows_max} are accepted"
        )));
    }
    Ok(())
}

/// Keeps the upper half of a number's bits, a precision of one in 256. That is enough for a hint to the next
/// allocator or for a divisor, and the zero bits need almost no bytes on the wire.
pub(crate) fn truncate_precision(number: f64) -> f32 {
    f32::from_bits((number as f32).to_bits() & 0xffff_0000)
}

/// Rejects infinite numbers and NaN, which would make every sum that includes them useless.
pub(crate) fn check_finite(number: f64) -> Result<f64, Error> {
    if number.is_finite() {
        return Ok(number);
    }
    Err(Error::failed("a virtual time is not a finite number".to_owned()))
}
