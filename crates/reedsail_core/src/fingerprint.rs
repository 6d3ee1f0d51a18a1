//! The fingerprint of a request, which identifies repetitions of the request.

use std::fmt;

/// A request's fingerprint: equal for requests of one caller with the same address and body, regardless of their ids.
///
/// A caller must not be able to construct a request with the fingerprint of another caller's request. Otherwise the
/// caller could have that request quarantined.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(pub u128);

impl fmt::Display for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}
