//! The messages as the rest of the program sees them, and how far a peer is trusted in them.

use capnp::Error;
use reedsail_core::NameHash;
use reedsail_core::ServiceKey;
use reedsail_scheduling::ClaimKey;
use reedsail_scheduling::Nonce;
use reedsail_scheduling::ServiceGrant;
use reedsail_scheduling::ServiceReport;

/// The most rows of one kind that a message may carry.
pub(crate) const ROWS_MAX: u32 = 16_384;
/// The most services that a message may speak of.
pub(crate) const SERVICES_MAX: u32 = 1_024;

/// A member's report on all services for which the receiver is its allocator.
#[derive(Clone, Debug)]
pub struct Report {
    /// The reporting daemon.
    pub sender: NameHash,
    /// Changes with each start of the daemon.
    pub incarnation: u32,
    /// The sender's event clock.
    pub clock: u64,
    /// The version of the bundle that the sender has in force.
    pub bundle_version: u32,
    /// Set when the sender is stopping.
    pub leaving: bool,
    /// The reports by service.
    pub services: Vec<(ServiceKey, ServiceReport)>,
    /// Daemons that did not answer the sender.
    pub suspects: Vec<NameHash>,
    /// Backend servers that the platform told the sender are leaving.
    pub servers_leaving: Vec<NameHash>,
}

/// The allocator's answer.
#[derive(Clone, Debug, Default)]
pub struct Grant {
    /// The answering daemon's incarnation: a new one knows none of the member's counters.
    pub incarnation: u32,
    /// The answering daemon's event clock.
    pub clock: u64,
    /// When the member is to report next, counted from its report.
    pub next_report_ms: u32,
    /// How long the leases last, counted from the report.
    pub lease_ms: u32,
    /// The leases by service.
    pub services: Vec<(ServiceKey, ServiceGrant)>,
    /// Backend servers that are leaving.
    pub leaving: Vec<NameHash>,
}

/// A claim on a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ClaimRequest {
    /// The key.
    pub key: ClaimKey,
    /// The try.
    pub nonce: Nonce,
}

/// The end of a call that held its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimEnd {
    /// The key.
    pub key: ClaimKey,
    /// The try.
    pub nonce: Nonce,
    /// The backend server's status, or zero if the call was never sent.
    pub status: u16,
}

/// What became of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// The try holds the key and may run, once.
    Held,
    /// Another try holds the key and has no known end.
    InUse,
    /// The call ran earlier, with this status.
    Ended(u16),
    /// The log cannot be reached, and the claim is in none of its records for sure.
    Unavailable,
    /// The claim may stand in the log, but nobody could read whether.
    Unsettled,
}

/// Refuses a list that is longer than any honest peer would send.
pub(crate) fn check_rows(length: u32, most: u32) -> Result<(), Error> {
    if length > most {
        return Err(Error::failed(format!(
            "a list of {length} rows is over the limit of {most}"
        )));
    }
    Ok(())
}

/// Keeps the upper half of a number's bits, a precision of one in 256: enough for what is a hint to
/// the next allocator or is divided by anyway, and the zeros cost next to nothing on the wire.
pub(crate) fn coarse(number: f64) -> f32 {
    f32::from_bits((number as f32).to_bits() & 0xffff_0000)
}

/// Refuses numbers that would poison every sum they enter.
pub(crate) fn check_finite(number: f64) -> Result<f64, Error> {
    if number.is_finite() {
        return Ok(number);
    }
    Err(Error::failed("a virtual time is not a finite number".to_owned()))
}
