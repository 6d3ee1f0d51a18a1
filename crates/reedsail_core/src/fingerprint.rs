//! The fingerprint of a request, by which its returns are known as the same request.

use std::fmt;

/// A request's fingerprint: equal for requests of one caller with the same address and body, whatever their ids.
///
/// It must be made so that no caller can find a request with the fingerprint of another caller's, or it could have
/// that one quarantined.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(pub u128);

impl fmt::Display for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}
